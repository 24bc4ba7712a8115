/* Jobs: their descriptions, which of their tasks are done or bound, and when they are over. */
#ifndef PLOVERLOFT_JOB_H
#define PLOVERLOFT_JOB_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "constants.h"
#include "core/model/chunk.h"
#include "wire/wire.h"

struct binding;
struct core;

/* How the scheduler treats a job that waits. Times are steady seconds. */
struct job_scheduling {
	double retry_at; /* backoff after failures: no placement before */
	double waiting_since;
	double order_key; /* its place in the order of a scheduling cycle */
	int failures;	  /* in a row */
	char failed_machines[JOB_FAILED_MACHINES_MAX][ID_MAX]; /* a ring of the latest */
	int failed_machine_count;			       /* ever */
	double reserved_until;		  /* room is reserved for it; 0: none */
	bool reserving;			  /* more is reserved as it falls free */
	char reserved_zone[NAME_MAX_LEN]; /* empty: any */
	double next_preemption_at;	  /* no preemption for it before */
};

struct job {
	struct job_spec spec;
	uint64_t record_version;
	double submitted_at; /* wall */
	bool cancelled;
	bool orphan; /* it is final, and stands only for its bindings */
	bool final_queued, final_committed;
	uint8_t *done; /* one bit per task */
	uint8_t *bound;
	uint32_t done_count, bound_count, running_count;
	uint32_t first_waiting_hint; /* no waiting task lies before it */
	uint64_t gang_attempt;	     /* the attempt under way */
	bool gang_stopping;
	double all_done_at; /* steady; when its last task was learned to be done; 0: not yet */
	uint32_t uncommitted_count; /* bindings not on record yet */
	struct binding *bindings;
	struct job_scheduling scheduling;
	struct job_records records;
	UT_hash_handle hh;
};

/* All jobs; `next` is a second cursor, so that `job` may be freed. */
#define JOBS_FOR_EACH(core, job, next) HASH_ITER (hh, (core)->jobs, job, next)

/* How many jobs are known, orphans included. */
unsigned job_count(const struct core *core);
/* NULL if there is none of this id. */
struct job *job_find(const struct core *core, const char *id);
/* The job owns what the description refers to. */
struct job *job_add(struct core *core, const struct job_spec *spec);
/* Makes room for so many tasks of a job whose description was not read. */
void job_grow(struct job *job, uint32_t task_count);
/* Forgets the job and frees it; it has no bindings any more, or leadership has ended. */
void job_free(struct core *core, struct job *job);
/* Frees a job that is over once nothing of it is bound or being written. */
void job_release_if_over(struct core *core, struct job *job);

/* Tasks that are neither done nor bound; 0 if the job may start none any more. */
uint32_t job_waiting_count(const struct job *job);
/* The first of them; the job's task count if there is none. */
uint32_t job_first_waiting(struct job *job);
/* A task beyond the job's task count is ignored. */
void job_mark_task_bound(struct job *job, uint32_t task);
/* The task waits again. */
void job_mark_task_unbound(struct job *job, uint32_t task);
/* The task ended with success, and if it is of a gang, all tasks of the gang did. */
void job_note_task_done(struct core *core, struct job *job, uint32_t task);
/*
 * An agent lists a task as done that is not bound to it any more: the leader before recorded the
 * end of its binding, and ended before its result was on record. Any other attempt is needless.
 */
void job_note_done_unbound(struct core *core, const char *id, uint32_t task);

/* Checks whether the job is over; to be called after anything that ends a task or a binding. */
void job_check_end(struct core *core, struct job *job);
/* Ends jobs whose last tasks are done, when it is due. Only the leader calls it. */
void job_tick(struct core *core);
/* Stops all tasks of the job; its final record follows once their ends are proved. */
void job_cancel(struct core *core, struct job *job);
/* A cancellation is on record, with this version of the job's key: the leader stops its tasks. */
void job_cancel_committed(struct core *core, const char *id, uint64_t version);

#endif
