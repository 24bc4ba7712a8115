/* Users' cancellations: each is noted in the open job's record, which is read for it first. */
#ifndef PLOVERLOFT_CANCEL_REQUESTS_H
#define PLOVERLOFT_CANCEL_REQUESTS_H

struct core;
struct user_request;

/* Cancels the request's job, and answers the request in the end. Takes over the request. */
void cancel_request_start(struct core *core, struct user_request *request);

#endif
