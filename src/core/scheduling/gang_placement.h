/* Placement of gangs: all tasks at once, or none. */
#ifndef PLOVERLOFT_GANG_PLACEMENT_H
#define PLOVERLOFT_GANG_PLACEMENT_H

#include "core/scheduling/cycle.h"

/* False if there is no room for all of its tasks, or its earlier attempt is not over. */
bool place_gang(struct scheduling_cycle *cycle, struct job *job);

#endif
