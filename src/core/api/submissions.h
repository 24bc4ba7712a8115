/*
 * Submissions of jobs. Each submission is checked when it arrives. An accepted submission waits for
 * a transaction that writes its job's record. One transaction at a time is in flight. The next
 * transaction writes the records of all submissions that arrived in the meantime, as far as the
 * limits allow, so that batches grow with the load.
 */
#ifndef PLOVERLOFT_SUBMISSIONS_H
#define PLOVERLOFT_SUBMISSIONS_H

#include <stddef.h>

struct core;
struct core_request;
struct user_request;

struct submission_queue {
	/* List: submissions that wait for the next transaction; owned. */
	struct user_request *waiting;
	int waiting_count;
	struct user_request *in_flight; /* list: submissions in the transaction in flight; owned */
	/* Size in bytes of the largest record in the transaction in flight. */
	size_t largest_record;
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
