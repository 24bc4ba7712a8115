/* Placement of services: each replica is useful by itself, so replicas are placed one by one. */
#ifndef PLOVERLOFT_SERVICE_PLACEMENT_H
#define PLOVERLOFT_SERVICE_PLACEMENT_H

#include "core/scheduling/cycle.h"

/* Places the waiting replicas of the service as far as they fit; false if some still wait. */
bool place_service(struct scheduling_cycle *cycle, struct job *job);
/* Moves replicas off the machines that they have to leave, as far as they fit on others. */
void move_replicas(struct scheduling_cycle *cycle);

#endif
