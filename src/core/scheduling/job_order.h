/* The order in which a scheduling cycle places the waiting jobs. */
#ifndef PLOVERLOFT_JOB_ORDER_H
#define PLOVERLOFT_JOB_ORDER_H

#include "core/scheduling/job_list.h"

struct core;

/* Returns all jobs that have waiting tasks and are not in backoff, in this order: the highest
 * priority, which has the lowest number, comes first. The caller frees the array. */
struct job_list waiting_jobs(struct core *core);

#endif
