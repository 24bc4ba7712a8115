/*
 * The index of jobs: the states of all open jobs, and the latest final states. Reads of the changes
 * of jobs' records keep it current. One read serves all lookups that wait for it.
 */
#ifndef PLOVERLOFT_JOB_INDEX_H
#define PLOVERLOFT_JOB_INDEX_H

#include <stdbool.h>

#include <uthash.h>

#include "core/runtime/call.h"
#include "wire/wire.h"

/* The part of a job's state that answers to users show. */
struct job_status {
	enum job_state state;
	uint32_t done_count, running_count; /* numbers of done tasks and of running tasks */
};

/* The entry of a job in the index. */
struct indexed_job {
	char id[ID_MAX];
	/* In an open job's entry the state is JOB_STATE_QUEUED or JOB_STATE_CANCELLED, and the task
	 * counts are the last ones that the leader sent, see task_counts.h. */
	struct job_status status;
	bool final; /* the job's final record is committed */
	/* Links of the index's list of final entries, oldest first. */
	struct indexed_job *prev, *next;
	UT_hash_handle hh;
};

/* The index of jobs, and the state of the reads that keep it current. Times are seconds on the
 * steady clock. */
struct job_index {
	struct indexed_job *entries; /* the index: hash table by job id; owned */
	struct indexed_job *finals;  /* list of the entries that are final, oldest first */
	size_t final_count;
	/* True: all open jobs are in the index, and reads of changes keep it current. False: all
	 * open records are read first, page by page. */
	bool valid;
	bool read_in_flight;
	/* If `valid`: all changes up to this revision are applied to the index. */
	uint64_t revision;
	/* Last key of the pages of open records read so far; empty: no page was read. */
	char cursor[KEY_MAX];
	double next_read_at;	/* no read for the index is sent before this time */
	double changes_sent_at; /* when the newest read of changes of jobs' records was sent */
	/* When the newest read of changes that succeeded, or the read of the first page, was sent.
	 * Later changes may be missing in the index. */
	double current_as_of;
};

/* Returns the job's entry, which the index owns; NULL if the index has no entry of the job. */
struct indexed_job *job_index_find(const struct core *core, const char *id);
/* Records in the index the final state of a job whose final record is committed. */
void job_index_set_final(struct core *core, const char *id, enum job_state state,
			 uint32_t task_count);
/* Applies a record of a job that was read, or a change of such a record, to the index. */
void job_index_apply(struct core *core, const struct kv_item *item);
/*
 * Removes the open jobs from the index, so that all open records are read again page by page.
 * Called when the changes since the last read are too many for one answer, or are no longer kept by
 * the state service.
 */
void job_index_invalidate(struct core *core);
/* Frees all entries of the index. */
void job_index_clear(struct core *core);

/* Reads changes, or a page of the open records, if lookups wait for such a read or an idle read is
 * due. Defined in job_index_reads.c. */
void job_index_tick(struct core *core);

#endif
