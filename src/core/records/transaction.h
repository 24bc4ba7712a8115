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
 * are zero if there is no transaction in flight. */
struct transaction {
	bool in_flight;
	struct pending_write *writes; /* list of the writes that the transaction carries; owned */
	char *body;		      /* text of the request; owned */
	int op_count;		      /* number of changes of keys */
	size_t largest_value;	      /* size of the transaction's largest value in bytes */
	/* The transaction writes the leader's key, and the revision of the commit is the new
	 * token. */
	bool renews_token;
	/* The transaction renews the token and also raises the records' format. */
	bool raises_format;
	/* The transaction is to be sent again unchanged, at `retry_at` of struct write_queue. */
	bool awaits_retry;
	/* After a conflict: number of keys whose present values are being read. */
	int reads_in_flight;
};

/*
 * Sends the transaction whose writes are in `core->write_queue.transaction`. `txn` holds its text,
 * and is empty afterwards.
 */
void transaction_send(struct core *core, struct txn *txn);
/* Sends the transaction in flight again if it awaits a retry and the retry delay has passed. */
void transaction_retry_if_due(struct core *core);
/* Ends the transaction in flight and frees what it owns. Answers to it are ignored from then on. */
void transaction_clear(struct core *core);
/*
 * Ends the transaction in flight as not committed: its writes return to the head of their queues,
 * but writes that delete records are given up.
 */
void transaction_requeue(struct core *core);
/* Ends the transaction in flight as committed at the revision: applies its writes and, if it renews
 * the token, the new token. */
void transaction_apply_commit(struct core *core, uint64_t revision);
/* Applies the job's final record, which is committed. May free the job. */
void transaction_apply_final(struct core *core, struct job *job);
/*
 * Resolves a conflict: a guard of the transaction failed, as `answer` says. Depending on which
 * guards failed, and on the present values of the keys, which are read, the transaction in flight
 * is ended as committed or requeued, or the term ends.
 */
void transaction_resolve_conflict(struct core *core, json_t *answer);

#endif
