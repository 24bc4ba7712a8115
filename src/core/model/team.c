#include "core/model/team.h"

#include <string.h>

#include "core/state.h"

/* Tolerance when a team's use is compared with its quota, in CPUs or GPUs: decimal amounts are
 * summed up, which is not exact. */
#define QUOTA_SLACK 1e-6

struct team *team_find(const struct core *core, const char *name)
{
	for (size_t i = 0; i < core->conf->team_count; i++)
		if (!strcmp(core->teams[i].conf->name, name))
			return &core->teams[i];
	return NULL;
}

/*
 * True if the quota allows `requested` more. A quota of 0 means that there is no limit. A request
 * for nothing is allowed even if the use already exceeds the quota.
 */
static bool within_quota(double used, double requested, double quota)
{
	return quota <= 0 || requested <= 0 || used + requested <= quota + QUOTA_SLACK;
}

bool team_quota_allows(const struct core *core, const struct job_spec *spec, uint32_t tasks)
{
	const struct team *team = team_find(core, spec->team);

	return team && within_quota(team->cpus, spec->cpus * tasks, team->conf->cpus_max) &&
	       within_quota(team->gpus, spec->gpus * tasks, team->conf->gpus_max);
}

bool team_quota_covers_job(const struct conf *conf, const struct job_spec *spec)
{
	uint32_t tasks = spec->kind == JOB_ARRAY ? 1 : spec->task_count;

	for (size_t i = 0; i < conf->team_count; i++) {
		const struct conf_team *team = &conf->teams[i];

		if (!strcmp(team->name, spec->team))
			return within_quota(0, spec->cpus * tasks, team->cpus_max) &&
			       within_quota(0, spec->gpus * tasks, team->gpus_max);
	}
	return false;
}

void team_charge(struct core *core, const struct job_spec *spec)
{
	struct team *team = team_find(core, spec->team);

	if (!team)
		return;
	team->cpus += spec->cpus;
	team->gpus += spec->gpus;
}

void team_release(struct core *core, const struct job_spec *spec)
{
	struct team *team = team_find(core, spec->team);

	if (!team)
		return;
	team->cpus -= spec->cpus;
	team->gpus -= spec->gpus;
}
