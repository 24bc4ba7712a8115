/*
 * Preemption: frees capacity for a job that does not fit. Array tasks of lower priority, or beyond
 * their team's guarantee, are stopped where that costs least, and the capacity is reserved for the
 * job meanwhile. If that is not possible, a gang may get a growing reservation (see reservation.h)
 * instead, of capacity that falls free.
 */
#ifndef PLOVERLOFT_PREEMPTION_H
#define PLOVERLOFT_PREEMPTION_H

#include "core/scheduling/cycle.h"

/* Tries to free capacity for the job. A cycle calls it for each gang, each service and each array
 * without slots that it could not place. */
void preemption_make_room(struct scheduling_cycle *cycle, struct job *job);

#endif
