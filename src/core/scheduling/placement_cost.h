/*
 * Placement cost: what it is worth to a task to start on one machine rather than another, in
 * seconds of waiting.
 */
#ifndef PLOVERLOFT_PLACEMENT_COST_H
#define PLOVERLOFT_PLACEMENT_COST_H

#include <stdbool.h>

struct core;
struct job;
struct machine;

/* Whether tasks of the job failed on the machine of late. */
bool job_failed_on(const struct job *job, const struct machine *machine);
/*
 * The cost of one task of the job on the machine, as far as it can be foreseen: fetching the
 * image, bin packing (the best fit, and machines in use first), and earlier failures.
 */
double placement_cost(const struct machine *machine, const struct job *job);
/* The further cost of a replica there; 0 for jobs that are no service. */
double replica_cost(const struct core *core, const struct job *job, const struct machine *machine);

#endif
