/*
 * The leader's queues of writes to the state service, in order of urgency.
 */
#ifndef PLOVERLOFT_WRITE_QUEUE_H
#define PLOVERLOFT_WRITE_QUEUE_H

#include "core/runtime/call.h"
#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/records/task_records.h"
#include "core/records/transaction.h"

enum pending_write_kind {
	/* Writes the record of a chunk, or deletes an obsolete one (task_record_is_obsolete). */
	WRITE_CHUNK,
	WRITE_FINAL, /* writes the final record of a job and deletes the open one */
	WRITE_DELETE /* deletes a record that is not needed any more */
};

/* A write that is queued or part of the transaction in flight. */
struct pending_write {
	enum pending_write_kind kind;
	struct job *job;      /* job whose record is written; NULL for WRITE_DELETE */
	uint32_t chunk_index; /* WRITE_CHUNK: index of the chunk in the job */
	/* WRITE_CHUNK: steady seconds; the write is sent before this time only along with due
	 * writes. */
	double due_at;
	/* WRITE_CHUNK: steady seconds; the write is not sent before this time, since the value was
	 * too large. */
	double blocked_until;
	char key[KEY_MAX];	      /* WRITE_DELETE: key of the record to delete */
	uint64_t version;	      /* WRITE_DELETE: version that the key must still have */
	struct pending_write **queue; /* the queue that holds the write; NULL: none */
	struct pending_write *prev, *next;
};

/* The queues own their writes. */
struct write_queue {
	struct pending_write *final_records; /* final records of jobs that are over */
	struct pending_write *chunks;	     /* records of changed chunks */
	/* Records of chunks that only a record of the older format covers. */
	struct pending_write *migrations;
	struct pending_write *deletes; /* deletes of records that are not needed any more */
	struct transaction transaction;
	double retry_at; /* steady seconds; no transaction is sent before this time */
	/* Limits the rate of changes, deletes included; see limits_write_rps. */
	struct rate_limiter write_limiter;
	bool token_renewal_requested; /* a new fencing token is requested */
	/* Steady seconds; when a renewal of the token was last sent. */
	double token_renewal_sent_at;
};

/*
 * Queues a write of the record of the task's chunk. The write is due `delay_s` from now, or when a
 * write of the chunk that is queued already is due, whichever is earlier. Does nothing if the job's
 * queued final record covers the chunk.
 */
void write_queue_add_chunk(struct core *core, struct job *job, uint32_t task, double delay_s);
/* Queues a write of the record of a chunk that only a record of the older format covers. The write
 * has no deadline. */
void write_queue_add_migration(struct core *core, struct job *job, uint32_t chunk_index);
/* Queues a delete of the key, which takes effect only if the key still has this version. */
void write_queue_add_delete(struct core *core, const char *key, uint64_t version);
/* Queues the final record of a job that is over, in place of queued writes of its chunks. */
void write_queue_add_final(struct core *core, struct job *job);
/*
 * Frees all queued writes of chunks. `queued_write` of the chunks is left as it is, since the
 * caller frees or replaces the chunks.
 */
void write_queue_discard_chunks(struct core *core);
/* Requests a new fencing token, for which the leader's key is written again. */
void write_queue_request_token(struct core *core);
/* Sends the next transaction if one is due, or sends the transaction in flight again if its retry
 * is due. */
void write_queue_tick(struct core *core);
/* Fills the rate limiter at the start of a term, so that writes are allowed at once. */
void write_queue_start(struct core *core);
/* Drops all queued writes and the transaction in flight at the end of a term. */
void write_queue_clear(struct core *core);
/* Returns true if the task's state is on record: no write of its chunk is queued or in flight. Once
 * the job's final record has been queued, returns whether the final record is committed. */
bool write_queue_is_flushed(const struct job *job, uint32_t task);

/* --- used by the transaction files only --- */

/* Removes the write from its queue. The caller owns the write from then on. */
void write_queue_remove(struct pending_write *write);
/* Inserts a write that is in no queue at the head of the queue for its kind; the queue owns the
 * write from then on. */
void write_queue_requeue(struct core *core, struct pending_write *write);
/* Frees all writes of a list. */
void pending_writes_free(struct pending_write **list);
/*
 * Refills the write limiter with the number of changes that the allowed rate permits for the time
 * since the last refill.
 */
void write_queue_refill_limiter(struct core *core);

#endif
