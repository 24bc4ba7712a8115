/*
 * Submissions of jobs. Each is checked when it arrives. If it is accepted, it waits for a
 * transaction that writes its job's record. One transaction at a time is in flight. The next one
 * writes the records of all submissions that arrived in the meantime, as far as the limits allow,
 * so that batches grow with the load.
 */
#ifndef PLOVERLOFT_SUBMISSIONS_H
#define PLOVERLOFT_SUBMISSIONS_H

#include <stddef.h>

struct core;
struct core_request;
struct user_request;

struct submission_queue {
	struct user_request *waiting; /* list: wait for the next transaction; owned */
	int waiting_count;
	struct user_request *in_flight; /* list: in the transaction in flight; owned */
	size_t largest_record; /* size of the largest record in that transaction in bytes */
};

/*
 * Handles a user's submission of a job. If the job was submitted before, the answer tells its
 * status.
 */
void submissions_receive(struct core *core, const struct core_request *request);
/* Sends a transaction with waiting submissions, unless one is in flight. */
void submissions_tick(struct core *core);
/* Frees all submissions that wait or are in flight, without answering them. */
void submissions_clear(struct core *core);

#endif
