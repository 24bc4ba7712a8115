/* Requests of other controllers, but for those of share switching, and what is requested of them.
 */
#ifndef PLOVERLOFT_PEER_REQUESTS_H
#define PLOVERLOFT_PEER_REQUESTS_H

struct core;
struct core_request;

/* Answers a request on the back link. */
void peer_requests_receive(struct core *core, const struct core_request *request);
/* Sends the requests to other controllers that are due. */
void peer_requests_tick(struct core *core);
/* Frees what requests of other controllers have left behind. */
void peer_requests_clear(struct core *core);

#endif
