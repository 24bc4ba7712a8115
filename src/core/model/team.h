/* Teams: the CPUs and GPUs that each team's tasks use, and the team's quotas. */
#ifndef PLOVERLOFT_TEAM_H
#define PLOVERLOFT_TEAM_H

#include <stdbool.h>
#include <stdint.h>

#include "conf/conf.h"
#include "wire/wire.h"

struct core;

/*
 * A team and what it uses. A task's resources count as used from the time that it is bound until
 * the end of its binding, which has to be proved (see binding.h).
 */
struct team {
	const struct conf_team *conf; /* the team's name and quotas in the settings */
	double cpus, gpus;	      /* CPUs and GPUs that the team's bound tasks use */
};

/* The team with this name; NULL if the settings have no such team. */
struct team *team_find(const struct core *core, const char *name);
/*
 * True if the quotas of the job's team allow `tasks` more tasks of the job; false if the settings
 * don't have the team.
 */
bool team_quota_allows(const struct core *core, const struct job_spec *spec, uint32_t tasks);
/*
 * True if the quotas of the job's team allow the job while the team uses nothing else: a single
 * task of an array, or all tasks of a gang or service. False if the settings don't have the team.
 */
bool team_quota_covers_job(const struct conf *conf, const struct job_spec *spec);
/* Adds the resources of one task of the job to the team's use. */
void team_charge(struct core *core, const struct job_spec *spec);
/* Subtracts the resources of one task of the job from the team's use. */
void team_release(struct core *core, const struct job_spec *spec);

#endif
