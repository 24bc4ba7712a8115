/* Turns the actions of a controller's core into messages. */
#ifndef PLOVERLOFT_RUNNER_OUTBOX_H
#define PLOVERLOFT_RUNNER_OUTBOX_H

#include "world.h"

/* Removes all calls and answers from the controller's core, adds them to the trace and sends them.
 * Nothing happens if the controller is down. */
void outbox_send(struct world *world, int index);

#endif
