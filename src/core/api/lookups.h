/*
 * Lookups: requests that are answered from the records of their job. The records are read after the
 * request came, so that the answer is not older than the request. Lookups wait for the next read of
 * changes into the index of jobs, and one such read answers all lookups that wait for it.
 */
#ifndef PLOVERLOFT_LOOKUPS_H
#define PLOVERLOFT_LOOKUPS_H

#include <stdbool.h>

#include "core/records/job_record.h"
#include "core/api/user_requests.h"

struct lookup_queue {
	/* List: requests that wait for the next read of changes; owned. */
	struct user_request *waiting;
	/* List: requests that wait for the read of changes in flight; owned. */
	struct user_request *batch;
	int count; /* number of requests in `waiting`, in `batch`, and in reads of one record */
};

/*
 * Answers the request once the records of its job are read. Answers the request at once if the
 * index has the job's final state, which doesn't change any more, or if too many lookups wait
 * already. Takes ownership of the request.
 */
void user_request_lookup(struct core *core, struct user_request *request);
/*
 * Reads one record of the request's job. The call owns the request until `on_answer` is called;
 * `on_answer` has to call lookup_end_read first.
 */
void lookup_read_record(struct core *core, struct user_request *request, enum job_record_kind kind,
			answer_fn on_answer);
/* Ends a read that lookup_read_record began, and returns the request of this read. The caller owns
 * the request. */
struct user_request *lookup_end_read(struct core *core, const struct call *call,
				     const struct call_answer *answer);
/*
 * Answers the request of a job that has no open record: reads the job's final record, and answers
 * with the job's final state, or that there is no such job. Takes ownership of the request.
 */
void lookup_read_final(struct core *core, struct user_request *request);
/*
 * Decodes the record in an answer of the state service. Returns the decoded document, which the
 * caller frees and into which *item points; NULL if the answer has no record.
 */
json_t *lookup_parse_record(const struct call_answer *answer, struct kv_item *item);

/* True if lookups wait for the next read of changes. */
bool lookups_waiting(const struct core *core);
/* Makes all waiting lookups the batch: the lookups that the read of changes that is being sent will
 * answer. */
void lookups_begin_batch(struct core *core);
/* Answers the lookups of the batch from the index of jobs, to which the changes have been
 * applied. */
void lookups_answer_batch(struct core *core);
/* True if the oldest lookup of the batch has waited for less than LOOKUP_MAX_WAIT_S. The batch may
 * then wait for another read of changes, which may succeed after a refused one. */
bool lookups_batch_may_retry(const struct core *core);
/* Lets the batch wait for the next read of changes, ahead of the lookups that came later. */
void lookups_requeue_batch(struct core *core);
/* Ends the lookups of the batch, because the read of changes failed with `answer`: each request is
 * forwarded to another controller or answered with an error. */
void lookups_fail_batch(struct core *core, const struct call_answer *answer);
/* Ends all waiting lookups, because the read of a page of open records failed with `answer`: each
 * request is forwarded to another controller or answered with an error. */
void lookups_fail_waiting(struct core *core, const struct call_answer *answer);
/* Frees the waiting requests and those of the batch, without answering them. */
void lookups_clear(struct core *core);

#endif
