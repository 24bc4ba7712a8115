/*
 * Handles heartbeats: reports that agents send at regular intervals. Each is answered with the
 * commands that are due for the agent.
 */
#ifndef PLOVERLOFT_HEARTBEATS_H
#define PLOVERLOFT_HEARTBEATS_H

#include "core/core.h"

/* Applies and answers an agent's heartbeat. The request may also be a late copy of a heartbeat. */
void agents_handle_heartbeat(struct core *core, const struct core_request *request);

#endif
