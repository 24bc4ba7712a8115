/* Delivers messages to their hosts, and sends the replies and reports of the stand-ins. */
#ifndef PLOVERLOFT_RUNNER_DELIVERY_H
#define PLOVERLOFT_RUNNER_DELIVERY_H

#include "world.h"

/* Delivers a message. The caller keeps it. A message to a controller that is down, or a reply to a
 * call of an earlier process of the controller, is ignored. */
void deliver_message(struct world *world, struct message *message);

/*
 * Sends a stand-in's reply to a request. A callback of the stand-ins (struct standin_callbacks), as
 * standin_report is; `context` is the world. `handle` came with the request, and its memory is
 * freed. The body is copied.
 */
void standin_reply(void *context, uint64_t handle, int status, const char *body);
/* Sends a report of a machine's agent to a controller; both are indices. The body is copied. */
void standin_report(void *context, int machine, int controller, const char *body);

/* Frees the pending requests of the watches that the state service has not answered. */
void watch_requests_free(struct world *world);
/* Frees the pending requests between controllers. */
void peer_requests_free(struct world *world);

#endif
