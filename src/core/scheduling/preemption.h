/*
 * Preemption: room for a job that found none. Tasks of lower work are stopped for it, where that
 * costs least, and the room is reserved meanwhile; failing that, a gang gets a reservation that
 * grows with the room that falls free.
 */
#ifndef PLOVERLOFT_PREEMPTION_H
#define PLOVERLOFT_PREEMPTION_H

#include "core/scheduling/cycle.h"

/* Called in a cycle for each gang, service, and array without slots, that found no room. */
void preemption_make_room(struct scheduling_cycle *cycle, struct job *job);

#endif
