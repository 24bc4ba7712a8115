/*
 * Jobs: their descriptions, which of their tasks are done or bound, their cancellation and their
 * end.
 *
 * A task is waiting while it is neither done nor bound. A job is over when all of its tasks are
 * done or its cancellation is carried out; a job is open until its final record is committed.
 */
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

/*
 * State that the scheduler keeps about a job, to place its waiting tasks. Times are seconds on the
 * steady clock, as core->now.
 */
struct job_scheduling {
	double retry_at;      /* end of a backoff: no task of the job is placed before this time */
	double waiting_since; /* when the job was added or one of its bindings last ended */
	/* Sort key among the waiting jobs of equal priority, computed in the newest scheduling
	 * cycle that considered the job; the job with the lowest key is placed first. */
	double order_key;
	/* Number of failures of the job's tasks since a task last succeeded or a replica last ran
	 * for REPLICA_MIN_UPTIME_S. */
	int consecutive_failures;
	/* Ids of the machines on which the job's tasks failed last, as a ring buffer. */
	char failed_machines[JOB_FAILED_MACHINES_MAX][ID_MAX];
	/* Number of failures of the job's tasks in this term; modulo JOB_FAILED_MACHINES_MAX, the
	 * next index in `failed_machines`. */
	int failed_machine_count;
	/* End of the job's reservation of capacity; 0: the job has no reservation. */
	double reserved_until;
	/* The job's reservation is a growing one: each scheduling cycle adds capacity that has
	 * fallen free (see scheduling/reservation.h). */
	bool has_growing_reservation;
	/* The zone to which a growing reservation is limited; empty: all zones. */
	char reserved_zone[NAME_MAX_LEN];
	/* No tasks of other jobs are stopped for this job before this time. */
	double next_preemption_at;
};

/* A job whose open record was read, or of which only records of tasks are left. */
struct job {
	/* The job's description; only `id` and `task_count` if the open record was not read. */
	struct job_spec spec;
	uint64_t record_version; /* newest known version of the key of the job's open record */
	double submitted_at; /* time of the submission, in seconds since 1970 on the wall clock */
	bool cancelled;	     /* the job's cancellation is on record */
	/* An orphaned job: it has no open record any more, and is kept only until its last bindings
	 * have ended and the records of their chunks are written. */
	bool orphan;
	/* The job's final record is queued for writing, in flight or committed. */
	bool final_queued;
	bool final_committed;		  /* the job's final record is committed */
	uint8_t *done;			  /* bitmap of the tasks that are done */
	uint8_t *bound;			  /* bitmap of the tasks that have a binding */
	uint32_t done_count, bound_count; /* number of set bits in `done` and in `bound` */
	uint32_t running_count;	     /* number of bindings whose task a report has shown running */
	uint32_t first_waiting_hint; /* no task with an index below this one is waiting */
	uint64_t gang_attempt;	     /* number of a gang's newest attempt */
	/* The gang's tasks are being stopped: no task is started until all bindings of the gang
	 * have ended. */
	bool gang_stopping;
	/* Steady seconds; when all of the job's tasks were found done; 0: not yet. */
	double all_done_at;
	uint32_t uncommitted_count; /* number of the job's bindings that are not on record yet */
	struct binding *bindings; /* list of the job's bindings, linked by job_prev and job_next */
	struct job_scheduling scheduling;
	struct job_records records;
	UT_hash_handle hh; /* links of the hash table core->jobs, by spec.id */
};

/* Iterates over all jobs. `next` is a second cursor, so that the body may free `job`. */
#define JOBS_FOR_EACH(core, job, next) HASH_ITER (hh, (core)->jobs, job, next)

/* The number of known jobs, including orphaned ones (see `orphan` in struct job). */
unsigned job_count(const struct core *core);
/* The job with this id; NULL if there is none. */
struct job *job_find(const struct core *core, const char *id);
/* Adds a job with a copy of the description. The job then owns the memory that the description
 * refers to. */
struct job *job_add(struct core *core, const struct job_spec *spec);
/*
 * Raises the number of tasks of a job whose description was not read to `task_count`, and enlarges
 * the bitmaps and the array of chunks to match. Never lowers the number.
 */
void job_grow(struct job *job, uint32_t task_count);
/* Removes the job and frees it. The job must have no bindings, unless leadership has ended. */
void job_free(struct core *core, struct job *job);
/* Frees the job if it is orphaned and has no bindings and no write of a chunk queued or in
 * flight. */
void job_free_if_unused(struct core *core, struct job *job);

/* The number of waiting tasks; 0 if none of the job's tasks may be started any more. */
uint32_t job_waiting_count(const struct job *job);
/* The lowest index of a waiting task; the job's task count if there is none. */
uint32_t job_first_waiting(struct job *job);
/* Marks the task as bound. A task beyond the job's task count is ignored. */
void job_mark_task_bound(struct job *job, uint32_t task);
/* Marks the task as not bound, so that the task waits again unless it is done. */
void job_mark_task_unbound(struct job *job, uint32_t task);
/* Marks a task that succeeded as done; in a gang, all tasks, which succeed together. */
void job_complete_task(struct core *core, struct job *job, uint32_t task);
/*
 * Handles a task that an agent lists as done although the task is not bound to the agent's machine
 * any more: the previous leader recorded the end of the binding, but the leader's term ended before
 * the task's success was on record. Marks the task as done, and requests stops of the task's other
 * attempts, which are not needed.
 */
void job_handle_unbound_task_done(struct core *core, const char *id, uint32_t task);

/*
 * Requests the final record of a job that is over. To be called whenever a task is done, a binding
 * has ended or the job is cancelled. If all tasks are done but bindings are left, the final record
 * waits for the ends of these bindings, up to FINAL_RECORD_DELAY_S. Once a gang has no bindings, it
 * may also be started again.
 */
void job_check_end(struct core *core, struct job *job);
/*
 * Calls job_check_end for the jobs whose tasks are all done, once in JOB_SCAN_INTERVAL_S. Only the
 * leader calls it.
 */
void job_tick(struct core *core);
/*
 * Marks the job as cancelled and stops its tasks. The final record is requested once the ends of
 * all tasks are proved.
 */
void job_cancel(struct core *core, struct job *job);
/*
 * Handles a cancellation that is on record: cancels the job if this controller leads. `version` is
 * the version of the key of the job's open record that marks the job as cancelled.
 */
void job_on_cancel_committed(struct core *core, const char *id, uint64_t version);

#endif
