/*
 * Lookups: requests that wait for the state of their job's records as it is now, or newer. They
 * gather until the next read of changes leaves, which answers all of them at once.
 */
#ifndef PLOVERLOFT_LOOKUPS_H
#define PLOVERLOFT_LOOKUPS_H

#include <stdbool.h>

#include "core/records/job_record.h"
#include "core/api/user_requests.h"

struct lookup_queue {
	struct user_request *waiting; /* for the next read of changes; owned */
	struct user_request *batch;   /* for the read of changes under way; owned */
	int count;		      /* of all under way, also of those that read a record */
};

/* Answers the request once its job's records are read, or refuses it if too many are looked up. */
void user_request_lookup(struct core *core, struct user_request *request);
/*
 * Reads the record of the request's job; the call owns the request until `on_answer` takes it.
 * `on_answer` is to begin with lookup_end_read.
 */
void lookup_read_record(struct core *core, struct user_request *request, enum job_record_kind kind,
			answer_fn on_answer);
/* The call made by lookup_read_record is answered: its request, which the caller owns. */
struct user_request *lookup_end_read(struct core *core, const struct call *call,
				     const struct call_answer *answer);
/* Answers the request, whose job has no open record, once the final one is read. */
void lookup_read_final(struct core *core, struct user_request *request);
/*
 * The record in the state service's answer: *item points into the document that is returned, which
 * the caller frees. NULL if the answer holds no record.
 */
json_t *lookup_parse_record(const struct call_answer *answer, struct kv_item *item);

/* Requests wait for the next read of changes. */
bool lookups_waiting(const struct core *core);
/* A read of changes is sent: all that wait are its batch. */
void lookups_begin_batch(struct core *core);
/* The changes are in the index: answers the batch. */
void lookups_answer_batch(struct core *core);
/* The read failed, but the oldest of the batch has not waited long: another read may succeed. */
bool lookups_batch_may_wait(const struct core *core);
/* The batch waits for the next read, before those that came later. */
void lookups_requeue_batch(struct core *core);
/* The state service refused the read that the batch, or those that wait, needed. */
void lookups_fail_batch(struct core *core, const struct call_answer *answer);
/* The read that all waiting lookups wait for has failed: they end as `answer` says. */
void lookups_fail_waiting(struct core *core, const struct call_answer *answer);
/* Frees all requests that wait. */
void lookups_clear(struct core *core);

#endif
