/* Heartbeats: reports that agents send by themselves, answered with the commands that are due. */
#ifndef PLOVERLOFT_HEARTBEATS_H
#define PLOVERLOFT_HEARTBEATS_H

#include "core/core.h"

/* Answers an agent's heartbeat, or a copy of it that arrives late. */
void agent_heartbeat(struct core *core, const struct core_request *request);

#endif
