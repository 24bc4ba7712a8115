/*
 * What waits to be written by the leader, in order of urgency.
 */
#ifndef PLOVERLOFT_WRITE_QUEUE_H
#define PLOVERLOFT_WRITE_QUEUE_H

#include "core/runtime/call.h"
#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/records/task_records.h"
#include "core/records/transaction.h"

enum pending_write_kind {
	WRITE_CHUNK, /* the record of a chunk; deletes it if it is obsolete */
	WRITE_FINAL, /* the final record of a job, in place of its open one */
	WRITE_DELETE /* deletes a record that is not needed any more */
};

/* A change that waits for a transaction, or is part of the one in flight. */
struct pending_write {
	enum pending_write_kind kind;
	struct job *job;	      /* NULL: WRITE_DELETE */
	uint32_t chunk_index;	      /* WRITE_CHUNK */
	double due_at;		      /* WRITE_CHUNK; steady; before, it goes only with others */
	double blocked_until;	      /* WRITE_CHUNK; steady; its value is too large until then */
	char key[KEY_MAX];	      /* WRITE_DELETE */
	uint64_t version;	      /* WRITE_DELETE: of the key */
	struct pending_write **queue; /* the queue that it waits in; NULL: none */
	struct pending_write *prev, *next;
};

/* The queues own their writes. */
struct write_queue {
	struct pending_write *finals;	  /* ends of jobs */
	struct pending_write *chunks;	  /* changed chunks */
	struct pending_write *migrations; /* chunks that are only in a record of an older format */
	struct pending_write *deletes;	  /* records that are not needed any more */
	struct transaction transaction;
	double retry_at;		 /* steady; no transaction before */
	struct rate_limiter put_limiter; /* changes; see limits_write_rps */
	bool new_token_wanted;		 /* the fencing token is to be renewed */
	double token_renewed_at;	 /* steady; when a renewal of it was last sent */
};

/* The chunk of the task is to be written, at the latest `delay_s` from now. */
void write_queue_add_chunk(struct core *core, struct job *job, uint32_t task, double delay_s);
/* The chunk, so far in a record of an older format, is written when there is room. */
void write_queue_add_migration(struct core *core, struct job *job, uint32_t chunk_index);
/* The key is to be deleted, if it still has the version. */
void write_queue_add_delete(struct core *core, const char *key, uint64_t version);
/* The job is over: its final record is to be written, and stands for its queued chunks. */
void write_queue_add_final(struct core *core, struct job *job);
/*
 * Frees all writes of chunks that wait, without a change to the chunks' `queued_write`: the caller
 * replaces the chunks.
 */
void write_queue_discard_chunks(struct core *core);
/* The leader's key is to be written anew, for a new fencing token. */
void write_queue_request_token(struct core *core);
/* Sends what is due, unless a transaction is in flight. */
void write_queue_tick(struct core *core);
/* Allows the first writes of a term. */
void write_queue_start(struct core *core);
/* Forgets all writes: the term is over. */
void write_queue_clear(struct core *core);
/* True once nothing about the task's chunk or its job's end waits to be written. */
bool write_queue_settled(const struct job *job, uint32_t task);

/* --- for the transactions --- */

/* Takes the write out of the queue that it waits in. The caller owns it. */
void write_queue_remove(struct pending_write *write);
/* Puts a write that is in no queue at the head of its kind's queue, which owns it from then on. */
void write_queue_put_back(struct core *core, struct pending_write *write);
/* Frees all writes of a list. */
void pending_writes_free(struct pending_write **list);
/* Adds what the rate has allowed since the last time. */
void write_queue_refill_limiter(struct core *core);

#endif
