/* Whether machine types, zones and a team's quota allow a job to run. */
#ifndef PLOVERLOFT_STANDINS_JOB_FIT_H
#define PLOVERLOFT_STANDINS_JOB_FIT_H

#include <stdbool.h>

#include "conf/conf.h"
#include "standins/jobs.h"

/* The resources that a team's tasks use. */
struct team_use {
	double cpus;
	double gpus;
};

/* The settings of the job's team, or NULL if there is no such team. */
const struct conf_team *job_team(const struct standin *standin, const struct standin_job *job);

/* True if the use is within the team's quota. */
bool team_allows(const struct conf_team *team, const struct team_use *use);

/* True if the team's quota allows this use plus the tasks of the job that start together. */
bool team_allows_start(const struct conf_team *team, const struct standin_job *job,
		       const struct team_use *use);

/* True if the job names this machine type, or none. */
bool job_allows_type(const struct standin_job *job, const struct machine_type *type);

/*
 * True if the job allows this machine type, the type is offered in the job's zone, and a task of
 * the job fits on an empty machine of it.
 */
bool job_fits_type(const struct standin_job *job, const struct machine_type *type);

/*
 * True if the job could run on any number of empty machines of the catalog: its team's quota covers
 * the tasks that start together, and there are machine types and zones for them.
 */
bool job_can_ever_run(const struct standin *standin, const struct standin_job *job);

#endif
