#include "core/model/team.h"

#include <string.h>

#include "core/state.h"

#define QUOTA_SLACK 1e-6 /* CPUs, GPUs: sums of decimal amounts */

struct team *team_find(const struct core *core, const char *name)
{
	for (size_t i = 0; i < core->conf->team_count; i++)
		if (!strcmp(core->teams[i].conf->name, name))
			return &core->teams[i];
	return NULL;
}

/* A quota of 0 is none. What asks for nothing fits also where the quota is exceeded. */
static bool within_quota(double used, double more, double quota)
{
	return quota <= 0 || more <= 0 || used + more <= quota + QUOTA_SLACK;
}

bool team_has_room(const struct core *core, const struct job_spec *spec, uint32_t tasks)
{
	const struct team *team = team_find(core, spec->team);

	return team && within_quota(team->cpus, spec->cpus * tasks, team->conf->cpus_max) &&
	       within_quota(team->gpus, spec->gpus * tasks, team->conf->gpus_max);
}

bool team_ever_fits(const struct conf *conf, const struct job_spec *spec)
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
