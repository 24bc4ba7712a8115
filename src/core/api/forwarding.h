/*
 * Forwarding of users' requests: a controller that the state service does not serve forwards them
 * to one that it may serve, and passes the answer on. A request is forwarded once at most.
 */
#ifndef PLOVERLOFT_FORWARDING_H
#define PLOVERLOFT_FORWARDING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

struct core;
struct core_request;
struct user_request;

#define FORWARD_PATH "/forward"

/* A request that another controller forwarded: its answer goes back in a message to it. */
struct forwarded_request {
	uint64_t connection; /* of the controller that forwarded it */
	UT_hash_handle hh;
};

/*
 * Forwards the request to a controller that the state service may serve; false if there is none.
 * The request stays owned by the caller, who frees it without an answer if it was forwarded.
 */
bool forward_user_request(struct core *core, const struct user_request *request);
/* Another controller forwards a request: it is handled as a user's own. */
void forwarding_receive(struct core *core, const struct core_request *request);
/* See wrap_forwarded_answer in struct core_events. */
bool forwarding_wrap_answer(struct core *core, uint64_t connection, int *status, int retry_after,
			    char **body, size_t *len);
/* Forgets whose requests were forwarded here. */
void forwarding_clear(struct core *core);

#endif
