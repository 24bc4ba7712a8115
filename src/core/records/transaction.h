/*
 * The leader's transaction in flight. There is at most one at a time.
 *
 * transaction_build.h builds it, transaction.c sends it and handles the answer,
 * transaction_commit.c applies the effects of a commit, and transaction_conflict.c resolves
 * conflicts.
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

/* The transaction that has no definite answer yet, or whose conflict is being resolved. All fields
 * are zero if there is none. */
struct transaction {
	bool in_flight;
	struct pending_write *writes; /* owned */
	char *body;		      /* owned; the text of the request */
	int op_count;		      /* changes of keys */
	size_t largest_value;	      /* size of its largest value in bytes */
	bool renews_token;	      /* writes the leader's key; its revision is the new token */
	bool raises_format;  /* a renewal of the token that also raises the records' format */
	bool awaits_retry;   /* to be sent again unchanged, at the write queue's `retry_at` */
	int reads_in_flight; /* after a conflict: keys whose present values are being read */
};

/*
 * Sends the transaction whose writes are in `core->write_queue.transaction`. `txn` holds its text,
 * and is empty afterwards.
 */
void transaction_send(struct core *core, struct txn *txn);
/* Sends the transaction in flight again if it awaits a retry and the delay has passed. */
void transaction_retry_if_due(struct core *core);
/* Ends the transaction: frees what it owns. Answers to it are ignored from then on. */
void transaction_clear(struct core *core);
/*
 * Ends the transaction as not committed: its writes return to the head of their queues. Deletes are
 * given up.
 */
void transaction_requeue(struct core *core);
/* Ends the transaction as committed at the revision: applies its writes and the new token. */
void transaction_apply_commit(struct core *core, uint64_t revision);
/* Applies the job's final record, which is committed. May free the job. */
void transaction_apply_final(struct core *core, struct job *job);
/*
 * Resolves a conflict: a guard of the transaction failed, as `answer` says. Depending on which
 * guards failed, and on the present values of the keys, which are read, the transaction is ended as
 * committed or requeued, or the term ends.
 */
void transaction_resolve_conflict(struct core *core, json_t *answer);

#endif
