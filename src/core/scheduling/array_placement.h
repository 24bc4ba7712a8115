/* Placement of job arrays, whose tasks are independent and start one by one. */
#ifndef PLOVERLOFT_ARRAY_PLACEMENT_H
#define PLOVERLOFT_ARRAY_PLACEMENT_H

#include "core/scheduling/cycle.h"

/*
 * Serves the arrays of one priority: one slot for each that has none, what deadlines need, slots
 * that were freed for a certain array, and equal shares of the rest. Jobs are taken off the list
 * once nothing more can be placed for them.
 */
void place_arrays(struct scheduling_cycle *cycle, struct job_list *arrays);

#endif
