/* Plans machines for waiting tasks. These tasks fit on no running machine: a scheduling cycle would
 * have placed them there. */
#include <string.h>

#include "core/autoscale/scale_out.h"
#include "core/state.h"

/*
 * Whether only spot machines are to be requested for the job. Where low cost is an aim, a job that
 * allows spot machines and has a deadline waits for a spot machine or for capacity that falls free.
 * On-demand machines are requested for it only when it might miss its deadline otherwise.
 */
static bool can_wait_for_spot(const struct core *core, const struct job *job)
{
	const struct job_spec *spec = &job->spec;
	double remaining_s = job->submitted_at + spec->deadline_s - core->wall;

	return autoscale_minimises_cost(core) && spec->spot && spec->deadline_s >= 0 &&
	       remaining_s > SCALE_OUT_ESTIMATE_FACTOR * spec->estimate_s + SCALE_OUT_LEAD_S;
}

/* Returns the zone whose pending machines have capacity for the most tasks of the job; NULL: no
 * zone has capacity for any. */
static const char *zone_with_most_pending_capacity(const struct core *core,
						   struct capacity_plan *plan,
						   const struct job_spec *spec)
{
	const char *zone_with_most = NULL;
	uint32_t most = 0;

	for (size_t i = 0; i < catalog_type_count(core); i++) {
		const struct name_list *zones = &catalog_type(core, i)->zones;

		for (int j = 0; j < zones->count; j++) {
			const char *zone = zones->names[j];
			uint32_t slots;

			if (zone_with_most && !strcmp(zone_with_most, zone))
				continue;
			slots =
			    capacity_plan_count_pending_slots(plan, spec, zone, spec->task_count);
			if (slots > most) {
				most = slots;
				zone_with_most = zone;
			}
		}
	}
	return zone_with_most;
}

/* Whether all tasks of the job have to run in the same zone. This does not apply to arrays. */
static bool needs_one_zone(const struct job_spec *spec)
{
	return spec->one_zone && spec->kind != JOB_ARRAY;
}

/*
 * Returns the zone in which machines for the job are planned; NULL: any. Capacity that is spread
 * over several zones is of no use to a job that needs one zone. Such a job is planned in the zone
 * with the most pending capacity for it. If there is none, the first machine is planned where it is
 * cheapest. A job with a single task may use any zone.
 */
static const char *initial_zone(const struct core *core, struct capacity_plan *plan,
				const struct job_spec *spec)
{
	if (!needs_one_zone(spec) || spec->task_count == 1)
		return NULL;
	return zone_with_most_pending_capacity(core, plan, spec);
}

/* Plans a machine in the demand's zone, or in any zone if there is no offer in the demand's zone.
 */
static bool plan_machine_preferring_zone(struct core *core, struct capacity_plan *plan,
					 const struct machine_demand *demand)
{
	struct machine_demand anywhere = *demand;

	if (scale_out_plan_machine(core, plan, demand))
		return true;
	if (!demand->zone)
		return false;
	anywhere.zone = NULL;
	return scale_out_plan_machine(core, plan, &anywhere);
}

/* Plans machines for the waiting tasks of the job, as far as its team's quota allows. */
static void plan_job(struct core *core, struct capacity_plan *plan, const struct job *job)
{
	const struct job_spec *spec = &job->spec;
	uint32_t waiting = job_waiting_count(job);
	struct machine_demand demand = {
	    .spec = spec,
	    .zone = initial_zone(core, plan, spec),
	    .choice = can_wait_for_spot(core, job) ? SPOT_ONLY : ANY_KIND,
	};

	for (uint32_t i = 0; i < waiting && team_quota_allows(core, spec, i + 1); i++) {
		if (capacity_plan_allocate_task(plan, spec, PLAN_PENDING_MACHINES, demand.zone))
			continue;
		demand.tasks = waiting - i;
		if (!plan_machine_preferring_zone(core, plan, &demand))
			break;
		/* The first machine determines the zone of the job's other tasks. */
		if (!demand.zone && needs_one_zone(spec))
			demand.zone = plan->machines[plan->count - 1].zone;
	}
}

/*
 * Whether the job has tasks that wait only for capacity: the job is not in backoff, no attempt of a
 * gang is still bound, and scheduling cycles have had SCALE_OUT_AFTER_S to place the tasks.
 */
static bool lacks_capacity(const struct core *core, const struct job *job)
{
	bool gang_is_bound = job->bindings && job->spec.kind == JOB_GANG;

	return job_waiting_count(job) && core->now >= job->scheduling.retry_at && !gang_is_bound &&
	       core->wall - job->submitted_at >= SCALE_OUT_AFTER_S;
}

void scale_out_plan_jobs(struct core *core, struct capacity_plan *plan)
{
	struct job *job, *next;

	JOBS_FOR_EACH (core, job, next)
		if (lacks_capacity(core, job))
			plan_job(core, plan, job);
}
