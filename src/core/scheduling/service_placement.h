/* Placement of services: replicas are independent, and each that runs serves. */
#ifndef PLOVERLOFT_SERVICE_PLACEMENT_H
#define PLOVERLOFT_SERVICE_PLACEMENT_H

#include "core/scheduling/cycle.h"

/* Places replicas one by one; false if some still wait. */
bool place_service(struct scheduling_cycle *cycle, struct job *job);
/* Moves replicas off the machines that are about to go, as far as there is room elsewhere. */
void move_replicas(struct scheduling_cycle *cycle);

#endif
