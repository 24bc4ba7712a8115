/*
 * Jobs as their users know them, and their tasks on machines. Times are seconds of the stand-ins'
 * clock.
 */
#ifndef PLOVERLOFT_STANDINS_JOBS_H
#define PLOVERLOFT_STANDINS_JOBS_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "wire/wire.h"

struct standin;
struct standin_machine;

/* A job. Who adds one allocates it and `done`, and fills in what is of the scenario. */
struct standin_job {
	/* Of the scenario. */
	struct job_spec spec;
	double run_s; /* that each task takes */
	bool bad;     /* submitted with a mistake: its tasks fail everywhere */
	/* A service: why its tasks end once run_s is over; END_NONE: they go on. */
	enum task_end_reason ends;

	/* What its user did and was answered. */
	bool submitted;
	bool accepted;
	bool cancel_requested;
	bool known_cancelled;
	bool known_done;
	double accepted_at;   /* < 0: not yet */
	double answered_at;   /* of the newest answer to a lookup; < 0: none */
	double cancelled_at;  /* a user first learned of the cancellation */
	double done_at;	      /* a user first learned of the end */
	int answered_running; /* tasks that run, by the newest answer */

	/* Its tasks. */
	struct standin_task
	    *tasks;    /* on all machines, in any state; in the order of their starts */
	uint8_t *done; /* one bit for each task that has completed; owned */
	uint32_t done_count;
	uint32_t starts;
	uint32_t starts_seen; /* until it began */
	double began_at;      /* first start, of a gang's all tasks; < 0: not yet */

	/* A service: replica time from STANDIN_SERVED_AFTER_S after its acceptance; of it, run. */
	double replica_s;
	double served_s;

	/* Of the check for idle room. */
	uint32_t bound_tasks; /* tasks on machines, at the last check */
	double room_since;    /* it waits though there is room; < 0: it does not */

	UT_hash_handle hh;
};

/* One attempt of a task on a machine. */
struct standin_task {
	char job_id[ID_MAX];
	uint32_t index; /* in its job */
	uint64_t attempt;
	enum task_state state;
	enum task_end_reason end_reason;
	bool saved;	   /* a checkpoint was written when it was stopped */
	double fetched_at; /* its image is there */
	double since;	   /* its creation, then its start */
	double progress;   /* seconds that it has run */
	double save_until;
	double peers_missed_at;	   /* the other tasks of its gang were first missed; 0: never */
	struct standin_task *next; /* on its machine */
	struct standin_job *job;
	struct standin_machine *machine;
	struct standin_task *job_prev, *job_next; /* of its job, on all machines */
};

#define AMOUNT_TOLERANCE 1e-6	   /* CPUs, GPUs, GB: sums of decimal amounts */
#define STANDIN_SERVED_AFTER_S 5.0 /* seconds from a service's acceptance until its time counts */

/* NULL if no job has this id. */
struct standin_job *standin_job_find(struct standin *standin, const char *id);

/* Frees all jobs; their tasks are gone by then. */
void jobs_free(struct standin *standin);

/* Counts replica time that services should have had in `elapsed_s` seconds, and what ran of it. */
void jobs_count_served(struct standin *standin, double elapsed_s);

/* Whether the task of this index has completed, on whatever machine. */
bool job_task_is_done(const struct standin_job *job, uint32_t index);

/* Notes that it has; nothing changes if it had before. */
void job_mark_done(struct standin_job *job, uint32_t index);

/* Tasks that start together: all of a gang or a service, one of an array. */
uint32_t job_unit_tasks(const struct standin_job *job);

/* Whether a user was told of the cancellation longer ago than a task may run on. */
bool job_cancel_overdue(const struct standin *standin, const struct standin_job *job);

/* Whether the task takes room on its machine as one that was started, and not yet ended. */
bool task_holds_room(const struct standin_task *task);

/* Takes the task off its job's list and frees it; the machine's list is the caller's. */
void task_free(struct standin_task *task);

#endif
