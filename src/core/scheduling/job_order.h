/* The order in which a cycle serves the jobs that wait. */
#ifndef PLOVERLOFT_JOB_ORDER_H
#define PLOVERLOFT_JOB_ORDER_H

#include "core/scheduling/job_list.h"

struct core;

/* All jobs with tasks that wait and no backoff, in order. The caller frees the array. */
struct job_list waiting_jobs(struct core *core);

#endif
