/*
 * Placement cost: compares machines for a task, in seconds of waiting. A machine with a cost of 5 s
 * is as good as a machine without cost on which the task starts 5 s later.
 */
#ifndef PLOVERLOFT_PLACEMENT_COST_H
#define PLOVERLOFT_PLACEMENT_COST_H

#include <stdbool.h>

struct core;
struct job;
struct machine;

/* Whether tasks of the job failed on the machine, as far as the job remembers such machines. */
bool job_failed_on(const struct job *job, const struct machine *machine);
/*
 * Returns the cost of one task of the job on the machine: the time until its start can be sent, the
 * time to fetch the image, bin packing
 * (prefers the best fit, and machines in use), and earlier failures of the job there.
 */
double placement_cost(const struct core *core, const struct machine *machine,
		      const struct job *job);
/* Returns the cost that one task of the job on the machine has in addition to placement_cost
 * because it is a replica; 0 if the job is not a service. */
double replica_cost(const struct core *core, const struct job *job, const struct machine *machine);

#endif
