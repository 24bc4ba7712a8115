/*
 * The leader's transactions, and the records of jobs' tasks.
 */
#ifndef PLOVERLOFT_WRITE_QUEUE_H
#define PLOVERLOFT_WRITE_QUEUE_H

#include "core/runtime/call.h"
#include "core/model/job.h"
#include "core/model/machine.h"

enum pending_write_kind { WRITE_CHUNK, WRITE_FINAL, WRITE_DELETE };

/* A change that waits for a transaction. */
struct pending_write {
	enum pending_write_kind kind;
	struct job *job;
	uint32_t chunk;
	double due_at;		      /* a chunk: ends alone can wait for the next placement */
	double blocked_until;	      /* its value is too large for now */
	char key[KEY_MAX];	      /* WRITE_DELETE: of a record that is left over */
	uint64_t version;	      /* WRITE_DELETE: of the key */
	struct pending_write **queue; /* the queue that it waits in; NULL: none */
	struct pending_write *prev, *next;
};

/* The transaction without an answer. */
struct transaction {
	struct pending_write *writes;
	char *body;
	int op_count;
	size_t largest_value; /* bytes of its largest value */
	bool renews_token;    /* writes the leader's key: its revision is the new token */
	bool raises_format;   /* a fence that raises the records' format too */
	bool awaits_retry;    /* to be sent again, unchanged */
	int reads_in_flight;
};

/* What waits to be written, in order of urgency, and the transaction under way. */
struct write_queue {
	struct pending_write *finals;	  /* ends of jobs */
	struct pending_write *chunks;	  /* chunks */
	struct pending_write *migrations; /* chunks that only an older format holds */
	struct pending_write *deletes;	  /* records that are left over */
	struct transaction transaction;
	bool in_flight;
	double retry_at; /* steady; no transaction before */
	struct rate_limiter put_limiter;
	bool new_token_wanted;	 /* a new token is to be taken */
	double token_renewed_at; /* steady; when one was taken */
};

/* The chunk that holds the task is to be written, at the latest after `delay_s`. */
void write_queue_add_chunk(struct core *core, struct job *job, uint32_t task, double delay_s);
/* The chunk is written when there is room: so far a record of an older format holds it. */
void write_queue_add_migration(struct core *core, struct job *job, uint32_t chunk);
void write_queue_add_delete(struct core *core, const char *key, uint64_t version);
/* No chunk waits to be written any more: the caller knows which are to be queued anew. */
void write_queue_discard_chunks(struct core *core);
void write_queue_add_final(struct core *core, struct job *job);
/* The leader's key is to be written anew, for a new fencing token. */
void write_queue_request_token(struct core *core);
void write_queue_tick(struct core *core);
void write_queue_clear(struct core *core);
/* True once nothing about the task's chunk or its job's end waits to be written. */
bool write_queue_settled(const struct job *job, uint32_t task);

/* task_records.c: the records of what is done and bound of a job's tasks */
#define KEY_LARGE_CHUNKS "b/" /* of LARGE_CHUNK_TASKS tasks */
#define KEY_SMALL_CHUNKS "t/" /* of SMALL_CHUNK_TASKS tasks, from FORMAT_SMALL_CHUNKS on */
void task_record_key(char key[KEY_MAX], const struct job *job, uint32_t chunk);
/* The caller owns the value. */
json_t *task_record_value(const struct job *job, uint32_t chunk);
/* The record of the task would grow beyond what one value may hold. */
bool task_record_is_full(const struct core *core, const struct job *job, uint32_t task);
/* Takes a record into the job's books, which are made if nothing else is known of the job. */
void task_record_load(struct core *core, const struct kv_item *item);
/* The chunk's newer record is written, or needless: the older one may go. */
void task_record_note_superseded(struct core *core, struct job *job, uint32_t chunk);
/* All that is known is from now on written in the newest format. */
void task_records_raise(struct core *core);
/* The job's records in the newest format are to stand for those of the one before. */
void task_records_migrate(struct core *core, struct job *job);

#endif
