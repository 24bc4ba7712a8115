/* Whether machine types, zones and a team's quota allow a job to run. */
#include "standins/job_fit.h"

#include <string.h>

#include "standins/standin.h"

const struct conf_team *job_team(const struct standin *standin, const struct standin_job *job)
{
	for (size_t i = 0; i < standin->conf->team_count; i++)
		if (!strcmp(standin->conf->teams[i].name, job->spec.team))
			return &standin->conf->teams[i];
	return NULL;
}

bool team_allows(const struct conf_team *team, const struct team_use *use)
{
	return (team->cpus_max <= 0 || use->cpus <= team->cpus_max + AMOUNT_TOLERANCE) &&
	       (team->gpus_max <= 0 || use->gpus <= team->gpus_max + AMOUNT_TOLERANCE);
}

bool team_allows_start(const struct conf_team *team, const struct standin_job *job,
		       const struct team_use *use)
{
	uint32_t tasks = job_tasks_started_together(job);
	struct team_use with_start = {
	    .cpus = use->cpus + tasks * job->spec.cpus,
	    .gpus = use->gpus + tasks * job->spec.gpus,
	};

	return team_allows(team, &with_start);
}

static bool lists_name(const struct name_list *list, const char *name)
{
	for (int i = 0; i < list->count; i++)
		if (!strcmp(list->names[i], name))
			return true;
	return false;
}

bool job_allows_type(const struct standin_job *job, const struct machine_type *type)
{
	return job->spec.types.count == 0 || lists_name(&job->spec.types, type->name);
}

bool job_fits_type(const struct standin_job *job, const struct machine_type *type)
{
	const struct job_spec *spec = &job->spec;

	if (!job_allows_type(job, type))
		return false;
	if (*spec->zone && !lists_name(&type->zones, spec->zone))
		return false;
	return spec->cpus <= type->cpus && spec->gpus <= type->gpus && spec->mem_gb <= type->mem_gb;
}

static bool fits_any_type(const struct standin_cloud *cloud, const struct standin_job *job)
{
	for (size_t i = 0; i < cloud->type_count; i++)
		if (job_fits_type(job, &cloud->types[i]))
			return true;
	return false;
}

/* True if the machine types that the job fits are offered in at least two zones. */
static bool fits_two_zones(const struct standin_cloud *cloud, const struct standin_job *job)
{
	const char *first = NULL;

	for (size_t i = 0; i < cloud->type_count; i++) {
		const struct machine_type *type = &cloud->types[i];

		if (!job_fits_type(job, type))
			continue;
		for (int zone = 0; zone < type->zones.count; zone++) {
			if (first && strcmp(first, type->zones.names[zone]))
				return true;
			first = type->zones.names[zone];
		}
	}
	return false;
}

/*
 * True if there are enough zones for the job. At most half of the tasks of a spread gang or service
 * may be in one zone, so from two tasks on it needs two zones, and can't run in one.
 */
static bool zones_suffice(const struct standin_cloud *cloud, const struct standin_job *job)
{
	const struct job_spec *spec = &job->spec;

	if (spec->kind == JOB_ARRAY || !spec->spread || spec->task_count < 2)
		return true;
	if (spec->one_zone || *spec->zone)
		return false;
	return fits_two_zones(cloud, job);
}

bool job_can_ever_run(const struct standin *standin, const struct standin_job *job)
{
	const struct conf_team *team = job_team(standin, job);
	struct team_use none = {0};

	return team && team_allows_start(team, job, &none) && fits_any_type(&standin->cloud, job) &&
	       zones_suffice(&standin->cloud, job);
}
