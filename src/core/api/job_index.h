/*
 * The index of jobs: all that are open, and the latest final states. It is kept current by reads of
 * the changes of jobs' records, one of which answers all the requests that wait for it.
 */
#ifndef PLOVERLOFT_JOB_INDEX_H
#define PLOVERLOFT_JOB_INDEX_H

#include <stdbool.h>

#include <uthash.h>

#include "core/runtime/call.h"
#include "wire/wire.h"

/* What a user is answered about a job. */
struct job_status {
	enum job_state state;
	uint32_t done_count, running_count; /* tasks */
};

struct indexed_job {
	char id[ID_MAX];
	struct job_status status; /* of an open job, the state is queued or cancelled */
	bool final;
	struct indexed_job *prev, *next; /* among the final ones, oldest first */
	UT_hash_handle hh;
};

struct job_index {
	struct indexed_job *entries; /* by id; owned */
	struct indexed_job *finals;  /* of the entries */
	size_t final_count;
	bool valid; /* all open jobs are in it; otherwise their records are read page by page */
	bool read_in_flight;
	uint64_t revision;    /* the changes up to it are in the index */
	char cursor[KEY_MAX]; /* the last key of the pages read so far; empty: none */
	double retry_at;      /* steady; no read before */
	double sent_at;	      /* steady; when the newest read of changes was sent */
	double read_at;	      /* steady; when the newest read that was answered was sent */
};

/* The job's entry, owned by the index; NULL if it has none. */
struct indexed_job *job_index_find(const struct core *core, const char *id);
/* The job's final record is committed. */
void job_index_note_final(struct core *core, const char *id, enum job_state state,
			  uint32_t task_count);
/* Takes a record, or its change, into the index. */
void job_index_apply(struct core *core, const struct kv_item *item);
/* The open jobs are to be read again, page by page: too much has changed since the last read. */
void job_index_invalidate(struct core *core);
/* Frees all entries. */
void job_index_clear(struct core *core);

/* job_index_reads.c: reads pages or changes, when requests wait for them or it is due. */
void job_index_tick(struct core *core);

#endif
