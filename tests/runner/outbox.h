/* Turns what a controller wants sent into messages. */
#ifndef PLOVERLOFT_RUNNER_OUTBOX_H
#define PLOVERLOFT_RUNNER_OUTBOX_H

#include "world.h"

/* Takes all calls and answers from the controller's core, records them in the trace and puts
 * them into the queue. Does nothing if the controller is down. */
void outbox_send(struct world *world, int index);

#endif
