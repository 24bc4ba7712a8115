/*
 * The leader's transactions, and the records of jobs' tasks.
 */
#ifndef PLOVERLOFT_COMMIT_H
#define PLOVERLOFT_COMMIT_H

#include "core/call.h"
#include "core/job.h"
#include "core/machine.h"

enum write_kind { WR_CHUNK, WR_FINAL, WR_DROP };

/* A change that waits for a transaction. */
struct write {
	enum write_kind kind;
	struct job *job;
	uint32_t chunk;
	double due;	     /* a chunk: ends alone can wait for the next placement */
	double held_until;   /* its value is too large for now */
	char key[KEY_MAX];   /* WR_DROP: of a record that is left over */
	uint64_t version;    /* WR_DROP: of the key */
	struct write **list; /* the queue that it waits in; NULL: none */
	struct write *prev, *next;
};

/* The transaction without an answer. */
struct transaction {
	struct write *items;
	char *body;
	int nops;
	size_t largest; /* bytes of its largest value */
	bool fence;	/* writes the leader's key: its revision is the new token */
	bool raises;	/* a fence that raises the records' format too */
	bool waiting;	/* to be sent again, unchanged */
	int reads_out;
};

/* What waits to be written, in order of urgency, and the transaction under way. */
struct commits {
	struct write *finals;	  /* ends of jobs */
	struct write *writes;	  /* chunks */
	struct write *migrations; /* chunks that only an older format holds */
	struct write *drops;	  /* records that are left over */
	struct transaction transaction;
	bool in_flight;
	double again; /* steady; no transaction before */
	struct allowance puts;
	bool fence_wanted; /* a new token is to be taken */
	double fence_at;   /* steady; when one was taken */
};

/* The chunk that holds the task is to be written, at the latest after `delay_s`. */
void commit_chunk(struct core *core, struct job *job, uint32_t task, double delay_s);
/* The chunk is written when there is room: so far a record of an older format holds it. */
void commit_migrate(struct core *core, struct job *job, uint32_t chunk);
void commit_drop(struct core *core, const char *key, uint64_t version);
/* No chunk waits to be written any more: the caller knows which are to be queued anew. */
void commit_forget_chunks(struct core *core);
void commit_final(struct core *core, struct job *job);
void commit_tick(struct core *core);
void commit_clear(struct core *core);
/* True once nothing about the task's chunk or its job's end waits to be written. */
bool commit_settled(const struct job *job, uint32_t task);

/* task_records.c: the records of what is done and bound of a job's tasks */
#define JOBS_BOUND "b/"	 /* of CHUNK_TASKS tasks */
#define JOBS_PIECES "t/" /* of PIECE_TASKS tasks, from FORMAT_PIECES on */
void task_record_key(char key[KEY_MAX], const struct job *job, uint32_t chunk);
/* The caller owns the value. */
json_t *task_record_value(const struct job *job, uint32_t chunk);
/* Bytes that the binding takes in its record at most. */
uint32_t task_record_bytes(const struct binding *binding);
/* Takes a record into the job's books, which are made if nothing else is known of the job. */
void task_record_load(struct core *core, const struct kv_item *item);
/* The chunk's newer record is written, or needless: the older one may go. */
void task_record_superseded(struct core *core, struct job *job, uint32_t chunk);
/* All that is known is from now on written in the newest format. */
void task_records_raise(struct core *core);
/* The job's records in the newest format are to stand for those of the one before. */
void task_records_migrate(struct core *core, struct job *job);

#endif
