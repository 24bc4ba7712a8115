/* Forwarding of users' requests between controllers. */
#ifndef PLOVERLOFT_FORWARDING_H
#define PLOVERLOFT_FORWARDING_H

#include "core/api/api.h"

/* A request that another controller forwarded: its answer goes back in a message to it. */
struct forwarded_request {
	uint64_t conn;
	UT_hash_handle hh;
};

#define FORWARD_PATH "/forward"

/* Forwards the request to a controller that the state service may serve; false if there is none. */
bool forward_user_request(struct core *core, struct user_request *request);
/* Another controller forwards a request: it is answered as a user's own. */
void forward_take(struct core *core, const struct core_request *request);
/* See struct core_events. */
bool peers_wrap_answer(struct core *core, uint64_t conn, int *status, int retry_after, char **body,
		       size_t *len);
void forwarding_clear(struct core *core);

#endif
