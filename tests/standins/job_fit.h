/* Whether a job may and can run somewhere: types of machines, zones, limits of teams. */
#ifndef PLOVERLOFT_STANDINS_JOB_FIT_H
#define PLOVERLOFT_STANDINS_JOB_FIT_H

#include <stdbool.h>

#include "conf/conf.h"
#include "standins/jobs.h"

/* What a team's tasks use. */
struct team_use {
	double cpus;
	double gpus;
};

/* The settings of the job's team; NULL if there is no such team. */
const struct conf_team *job_team(const struct standin *standin, const struct standin_job *job);

/* Whether the use is within the team's limits. */
bool team_allows(const struct conf_team *team, const struct team_use *use);

/* The same with the tasks of the job that start together on top. */
bool team_allows_start(const struct conf_team *team, const struct standin_job *job,
		       const struct team_use *use);

/* Whether the job names this type of machine, or none. */
bool job_allows_type(const struct standin_job *job, const struct machine_type *type);

/* Whether a task of the job may run on a machine of this type, and an empty one has room for it. */
bool job_fits_type(const struct standin_job *job, const struct machine_type *type);

/* Whether the job could run if all machines were empty, and the cloud had any number of them. */
bool job_can_ever_run(const struct standin *standin, const struct standin_job *job);

#endif
