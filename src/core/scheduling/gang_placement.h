/* Placement of gangs: all tasks of a gang are placed in one cycle, or none. */
#ifndef PLOVERLOFT_GANG_PLACEMENT_H
#define PLOVERLOFT_GANG_PLACEMENT_H

#include "core/scheduling/cycle.h"

/* Places all tasks of the gang. False: they do not all fit, the team is at its quota, or tasks of
 * an earlier attempt have not ended. */
bool place_gang(struct scheduling_cycle *cycle, struct job *job);

#endif
