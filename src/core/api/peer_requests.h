/* Requests of other controllers, and what is asked of them regularly. */
#ifndef PLOVERLOFT_PEER_REQUESTS_H
#define PLOVERLOFT_PEER_REQUESTS_H

#include "core/core.h"

#define COUNTS_PATH "/counts"

void peers_request(struct core *core, const struct core_request *request);
void peers_tick(struct core *core);
void peers_clear(struct core *core);

/* task_counts.c */
void task_counts_reply(struct core *core, uint64_t conn);
void task_counts_tick(struct core *core);

#endif
