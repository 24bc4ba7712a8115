/* What teams hold, counted on bindings: a task counts until its end is proved. */
#include <string.h>

#include "core/state.h"

#define TEAM_SLACK 1e-6 /* CPUs: sums of decimal amounts */

struct team *team_find(struct core *c, const char *name)
{
	for (size_t i = 0; i < c->conf->nteams; i++)
		if (!strcmp(c->teams[i].conf->name, name))
			return &c->teams[i];
	return NULL;
}

static bool within(double used, double more, double most)
{
	return most <= 0 || more <= 0 || used + more <= most + TEAM_SLACK;
}

bool team_has_room(struct core *c, const struct job_spec *s, uint32_t tasks)
{
	struct team *t = team_find(c, s->team);

	return t && within(t->cpus, s->cpus * tasks, t->conf->cpus_max) &&
	       within(t->gpus, s->gpus * tasks, t->conf->gpus_max);
}

bool team_ever_fits(const struct conf *conf, const struct job_spec *s)
{
	uint32_t n = s->kind == JOB_ARRAY ? 1 : s->ntasks;

	for (size_t i = 0; i < conf->nteams; i++) {
		const struct conf_team *t = &conf->teams[i];

		if (!strcmp(t->name, s->team))
			return within(0, s->cpus * n, t->cpus_max) &&
			       within(0, s->gpus * n, t->gpus_max);
	}
	return false;
}

void team_charge(struct core *c, const struct job_spec *s, double sign)
{
	struct team *t = team_find(c, s->team);

	if (!t)
		return;
	t->cpus += sign * s->cpus;
	t->gpus += sign * s->gpus;
}
