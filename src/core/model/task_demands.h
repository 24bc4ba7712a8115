/*
 * What tasks take of their machines: the different demands of tasks that wait for capacity, and
 * those of the jobs that were added last. From these the leader guesses what a machine is needed
 * for.
 */
#ifndef PLOVERLOFT_TASK_DEMANDS_H
#define PLOVERLOFT_TASK_DEMANDS_H

#include <stdbool.h>
#include <stddef.h>

#include "constants.h"
#include "wire/wire.h"

struct core;
struct machine;

/* What one task takes of its machine. */
struct task_demand {
	double cpus, gpus, mem_gb;
};

/* Different demands, the newest first. If there are more than fit, the oldest are dropped. */
struct demand_list {
	struct task_demand demands[TASK_DEMANDS_MAX];
	size_t count;
};

struct task_demands {
	struct demand_list recent;  /* of the jobs that were added last */
	struct demand_list waiting; /* of the tasks that the newest scheduling cycle left waiting */
};

/* Records the demand of the tasks of a job that was added, if they have any. */
void recent_demand_add(struct core *core, const struct job_spec *spec);
/* Empties the list of the demands that wait, before a scheduling cycle records them again. */
void waiting_demands_clear(struct core *core);
/* Records that a task of the job waits for capacity. */
void waiting_demand_add(struct core *core, const struct job_spec *spec);
/* True if a task like those of the jobs that were added last fits in the machine's free capacity.
 */
bool recent_demand_fits(const struct core *core, const struct machine *machine);
/* True if a task waits that fits in the machine's free capacity. */
bool waiting_demand_fits(const struct core *core, const struct machine *machine);
/* True if a task waits that would fit on the machine if the machine were empty. */
bool waiting_demand_fits_empty(const struct core *core, const struct machine *machine);

#endif
