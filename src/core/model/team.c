/* What teams hold, counted on bindings: a task counts until its end is proved. */
#include <string.h>

#include "core/state.h"

#define TEAM_SLACK 1e-6 /* CPUs: sums of decimal amounts */

struct team *team_find(struct core *core, const char *name)
{
	for (size_t i = 0; i < core->conf->nteams; i++)
		if (!strcmp(core->teams[i].conf->name, name))
			return &core->teams[i];
	return NULL;
}

static bool within(double used, double more, double most)
{
	return most <= 0 || more <= 0 || used + more <= most + TEAM_SLACK;
}

bool team_has_room(struct core *core, const struct job_spec *spec, uint32_t tasks)
{
	struct team *team = team_find(core, spec->team);

	return team && within(team->cpus, spec->cpus * tasks, team->conf->cpus_max) &&
	       within(team->gpus, spec->gpus * tasks, team->conf->gpus_max);
}

bool team_ever_fits(const struct conf *conf, const struct job_spec *spec)
{
	uint32_t n = spec->kind == JOB_ARRAY ? 1 : spec->task_count;

	for (size_t i = 0; i < conf->nteams; i++) {
		const struct conf_team *team = &conf->teams[i];

		if (!strcmp(team->name, spec->team))
			return within(0, spec->cpus * n, team->cpus_max) &&
			       within(0, spec->gpus * n, team->gpus_max);
	}
	return false;
}

void team_charge(struct core *core, const struct job_spec *spec, double sign)
{
	struct team *team = team_find(core, spec->team);

	if (!team)
		return;
	team->cpus += sign * spec->cpus;
	team->gpus += sign * spec->gpus;
}
