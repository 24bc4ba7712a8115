/* Teams: what each of them uses of the cluster, and the quotas that bound it. */
#ifndef PLOVERLOFT_TEAM_H
#define PLOVERLOFT_TEAM_H

#include <stdbool.h>
#include <stdint.h>

#include "conf/conf.h"
#include "wire/wire.h"

struct core;

/* A team's use. A task counts from its binding on until its end is proved. */
struct team {
	const struct conf_team *conf;
	double cpus, gpus; /* bound */
};

/* NULL if the settings have no team of this name. */
struct team *team_find(const struct core *core, const char *name);
/* Whether so many more tasks of the job are within its team's quotas; false without a team. */
bool team_has_room(const struct core *core, const struct job_spec *spec, uint32_t tasks);
/* Whether the job could run if its team used nothing: an array by a task at a time. */
bool team_ever_fits(const struct conf *conf, const struct job_spec *spec);
/* Counts one task of the job as bound. */
void team_charge(struct core *core, const struct job_spec *spec);
/* Takes back team_charge. */
void team_release(struct core *core, const struct job_spec *spec);

#endif
