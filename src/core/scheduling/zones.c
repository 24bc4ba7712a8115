/* Evaluates the rules of jobs on zones against the zones of their bindings. */
#include "core/scheduling/zones.h"

#include "core/state.h"

const char *job_bound_zone(const struct job *job)
{
	return job->spec.one_zone && job->bindings ? job->bindings->machine->zone : NULL;
}

static uint32_t tasks_in_zone(const struct job *job, const char *zone)
{
	const struct binding *binding;
	uint32_t count = 0;

	DL_FOREACH2 (job->bindings, binding, job_next)
		count += !strcmp(binding->machine->zone, zone);
	return count;
}

uint32_t job_zone_tasks_allowed(const struct job *job, const char *zone)
{
	uint32_t zone_max = (job->spec.task_count + 1) / 2;
	uint32_t zone_tasks;

	if (!job->spec.spread)
		return job->spec.task_count;
	zone_tasks = tasks_in_zone(job, zone);
	return zone_tasks < zone_max ? zone_max - zone_tasks : 0;
}

bool job_may_use_zone(const struct job *job, const char *zone)
{
	return zone_matches(job_bound_zone(job), zone) && job_zone_tasks_allowed(job, zone) > 0;
}
