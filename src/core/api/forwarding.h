/*
 * Forwarding of users' requests. A controller that the state service does not serve forwards a
 * user's request to another controller, which may be served, and passes the answer on to the user.
 * A request that was forwarded once is not forwarded again.
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

/* Path on which a user's request is forwarded to another controller, as a ForwardedRequest message.
 * The answer is a ForwardedAnswer message. */
#define FORWARD_PATH "/forward"

/* Marks a connection whose request another controller forwarded: the answer goes back to that
 * controller in a message. */
struct forwarded_request {
	uint64_t connection; /* connection to the controller that forwarded the request */
	UT_hash_handle hh;
};

/*
 * Forwards the request to another controller. Returns false if the request was itself forwarded to
 * this controller, or if no other controller may be able to serve it. The caller keeps ownership of
 * the request and, after true, frees it without answering it.
 */
bool forward_user_request(struct core *core, const struct user_request *request);
/* Handles a request that another controller forwards, in the same way as a request that comes from
 * a user directly. */
void forwarding_receive(struct core *core, const struct core_request *request);
/* Implements wrap_forwarded_answer of struct core_events. */
bool forwarding_wrap_answer(struct core *core, uint64_t connection, int *status, int retry_after,
			    char **body, size_t *len);
/* Frees the marks (struct forwarded_request) of all requests that were forwarded to this controller
 * and are not answered yet. */
void forwarding_clear(struct core *core);

#endif
