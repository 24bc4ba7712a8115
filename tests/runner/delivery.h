/* Hands messages to the hosts that they arrive at, and takes the stand-ins' replies and reports. */
#ifndef PLOVERLOFT_RUNNER_DELIVERY_H
#define PLOVERLOFT_RUNNER_DELIVERY_H

#include "world.h"

/* Hands over a message, which the caller still owns. One that nobody waits for is ignored. */
void deliver_message(struct world *world, struct message *message);

/*
 * The stand-ins' callbacks (struct standin_callbacks); `context` is the world. The handle is the
 * one that came with the request, and is freed. Bodies are copied.
 */
void standin_reply(void *context, uint64_t handle, int status, const char *body);
void standin_report(void *context, int machine, int controller, const char *body);

/* Frees what is kept for the requests that the state service still holds open. */
void service_requests_free(struct world *world);
/* Frees what is kept for requests between controllers that have no answer yet. */
void peer_requests_free(struct world *world);

#endif
