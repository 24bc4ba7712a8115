/* Submissions: admitted as they come, and committed in batches that widen with the load. */
#ifndef PLOVERLOFT_SUBMISSIONS_H
#define PLOVERLOFT_SUBMISSIONS_H

#include <stddef.h>

struct core;
struct core_request;
struct user_request;

struct submission_queue {
	struct user_request *waiting; /* for a transaction; owned */
	int waiting_count;
	struct user_request *in_flight; /* in the transaction under way; owned */
	size_t largest_record;		/* bytes of the largest record in that transaction */
};

/* A user submits a job. A submission that is repeated is answered with the job's status. */
void submissions_receive(struct core *core, const struct core_request *request);
/* Commits what has gathered, one transaction at a time. */
void submissions_tick(struct core *core);
/* Frees all submissions that wait. */
void submissions_clear(struct core *core);

#endif
