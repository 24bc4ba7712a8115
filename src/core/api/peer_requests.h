/*
 * Requests between controllers, except those of share switching (see scheduling/share_switching.h):
 * routes the requests that other controllers send to this controller, and sends this controller's
 * periodic requests to them.
 */
#ifndef PLOVERLOFT_PEER_REQUESTS_H
#define PLOVERLOFT_PEER_REQUESTS_H

struct core;
struct core_request;

/* Handles and answers a request of another controller, from the back listener. */
void peer_requests_receive(struct core *core, const struct core_request *request);
/* Sends the periodic requests to other controllers, each when it is due. */
void peer_requests_tick(struct core *core);
/* Frees the marks of forwarded requests and the confirmed cancellations. */
void peer_requests_clear(struct core *core);

#endif
