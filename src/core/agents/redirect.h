/* The answer to agents that report to a controller which does not lead. */
#ifndef PLOVERLOFT_REDIRECT_H
#define PLOVERLOFT_REDIRECT_H

#include <stdint.h>

struct core;

/* Redirects the agent to the leader, if the leader's key names another controller. */
void reply_misdirected(struct core *core, uint64_t connection);

#endif
