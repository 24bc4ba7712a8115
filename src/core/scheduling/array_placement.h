/* Placement of job arrays, whose tasks are independent and start one by one. */
#ifndef PLOVERLOFT_ARRAY_PLACEMENT_H
#define PLOVERLOFT_ARRAY_PLACEMENT_H

#include "core/scheduling/cycle.h"

/*
 * Places tasks of the arrays of one priority in these steps: one task of each array that has no
 * bound task; the tasks that deadlines need; tasks for freed slots (see share_switching.h) that are
 * kept for a certain array, of any priority; equal shares of the other capacity. Jobs for which
 * nothing more can be placed are removed from the list.
 */
void place_arrays(struct scheduling_cycle *cycle, struct job_list *arrays);

#endif
