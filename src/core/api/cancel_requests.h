/*
 * Users' requests to cancel a job. The job's open record is read and written again, marked as
 * cancelled. The user is answered once the write is committed.
 */
#ifndef PLOVERLOFT_CANCEL_REQUESTS_H
#define PLOVERLOFT_CANCEL_REQUESTS_H

struct core;
struct user_request;

/* Begins to cancel the request's job. Takes ownership of the request, and answers the request at
 * the end. */
void cancel_request_start(struct core *core, struct user_request *request);

#endif
