/*
 * The leader's transaction in flight; there is one at a time.
 *
 * transaction.c sends it and takes its answer, transaction_commit.c applies a commit, and
 * transaction_conflict.c finds out what a conflict means. transaction_build.h has what goes in.
 */
#ifndef PLOVERLOFT_RECORDS_TRANSACTION_H
#define PLOVERLOFT_RECORDS_TRANSACTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/wire.h"

struct core;
struct job;
struct pending_write;

/* A transaction without a definite answer. All zero: none. */
struct transaction {
	bool in_flight;
	struct pending_write *writes; /* owned */
	char *body;		      /* owned; as sent */
	int op_count;
	size_t largest_value; /* bytes of its largest value */
	bool renews_token;    /* writes the leader's key: its revision is the new fencing token */
	bool raises_format;   /* a renewal of the token that raises the records' format too */
	bool awaits_retry;    /* to be sent again, unchanged */
	int reads_in_flight;  /* after a conflict: keys whose present values are being read */
};

/*
 * Sends the transaction whose writes are in `core->write_queue.transaction`. `txn` is its text, and
 * is empty afterwards.
 */
void transaction_send(struct core *core, struct txn *txn);
/* Sends the transaction in flight again if it awaits that and its time has come. */
void transaction_retry_if_due(struct core *core);
/* Ends the transaction: frees what it owns, and ignores answers from now on. */
void transaction_clear(struct core *core);
/* Ends the transaction; its writes go to the head of their queues. */
void transaction_requeue(struct core *core);
/* Ends the transaction as committed at the revision: applies its writes and its new token. */
void transaction_note_committed(struct core *core, uint64_t revision);
/* Applies the final record of the job, which is committed. May free the job. */
void transaction_apply_final(struct core *core, struct job *job);
/*
 * The state service refused the transaction since a key had another version; `answer` is its
 * answer. Reads the keys, and ends the transaction or the term by what they show.
 */
void transaction_resolve_conflict(struct core *core, json_t *answer);

#endif
