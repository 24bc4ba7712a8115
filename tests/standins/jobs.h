/*
 * Jobs: what their users have sent and been answered, and the attempts of their tasks on machines.
 * Times are seconds of the stand-ins' clock.
 */
#ifndef PLOVERLOFT_STANDINS_JOBS_H
#define PLOVERLOFT_STANDINS_JOBS_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "wire/wire.h"

struct standin;
struct standin_machine;

/*
 * A job. The test that adds it to standin->jobs allocates it and its `done`, sets the fields of the
 * scenario, and sets every time that may be < 0 to -1.
 */
struct standin_job {
	/* Set by the scenario. */
	struct job_spec spec;
	double run_s;	   /* seconds that each task runs */
	bool always_fails; /* its description has a mistake: its tasks fail on every machine */
	/* Why the tasks of a service end after run_s seconds; END_NONE: they run on. */
	enum task_end_reason run_end_reason;

	/* What its users have done and been answered. */
	bool submitted; /* a user has sent its description */
	bool accepted;
	bool cancel_requested;
	bool known_cancelled;	   /* an answer has shown it as cancelled */
	bool known_done;	   /* an answer has shown it as done */
	double accepted_at;	   /* < 0: not yet */
	double answered_at;	   /* when a poll was last answered; < 0: never */
	double known_cancelled_at; /* when an answer first showed it as cancelled */
	double known_done_at;	   /* when an answer first showed it as done */
	int known_running;	   /* running tasks that the newest answer shows */

	/* Its tasks and their attempts. */
	struct standin_task *tasks;  /* attempts on all machines, in any state, the oldest first */
	uint8_t *done;		     /* owned; one bit for each task, set when it has completed */
	uint32_t done_count;	     /* completed tasks */
	uint32_t starts;	     /* started attempts */
	uint32_t starts_until_begin; /* started attempts up to the one with which it began */
	double began_at;	     /* when it began, see update_began_at; < 0: not yet */

	/* Replica time of a service: seconds, added up over its replicas, from
	 * STANDIN_SERVICE_GRACE_S after its acceptance. */
	double required_replica_s; /* that the replicas should have run */
	double running_replica_s;  /* that they have run */

	/* State of the rule idle_room, as of its last check. */
	uint32_t tasks_on_machines; /* attempts on all machines, in any state */
	double idle_room_since; /* since when it waits though it could start; < 0: it does not */

	UT_hash_handle hh;
};

/* One attempt of a task on a machine. */
struct standin_task {
	char job_id[ID_MAX];
	uint32_t index; /* of the task in its job */
	uint64_t attempt;
	enum task_state state;
	enum task_end_reason end_reason;
	bool saved;	       /* its state was saved when it was stopped */
	double image_ready_at; /* when the fetch of its image ends */
	double started_at;     /* when its image was fetched; before that, when it was added */
	double progress;       /* seconds that it has run */
	double save_until;     /* when the save of its state ends */
	/* When another task of its gang was first found missing; 0: never. */
	double gang_incomplete_since;
	struct standin_task *next; /* on its machine */
	struct standin_job *job;
	struct standin_machine *machine;
	struct standin_task *job_prev, *job_next; /* in the list of its job */
};

#define AMOUNT_TOLERANCE 1e-6	    /* in CPUs, GPUs or GB, for sums of decimal amounts */
#define STANDIN_SERVICE_GRACE_S 5.0 /* seconds after a service's acceptance that do not count */

/* The job with this id, or NULL. */
struct standin_job *standin_job_find(struct standin *standin, const char *id);

/* Frees all jobs. The caller has freed their tasks before. */
void jobs_free(struct standin *standin);

/*
 * Adds to each service's replica time what its replicas should have run, and what they have run, in
 * the last `elapsed_s` seconds.
 */
void jobs_count_replica_time(struct standin *standin, double elapsed_s);

/* True if the task with this index has completed on any machine. */
bool job_task_is_done(const struct standin_job *job, uint32_t index);

/* Records that the task has completed. A second call for a task has no effect. */
void job_mark_task_done(struct standin_job *job, uint32_t index);

/* Number of tasks that start together: all of a gang or a service, one of an array. */
uint32_t job_tasks_started_together(const struct standin_job *job);

/*
 * True if an answer first showed the job as cancelled more than conf->cancel_s ago: no task may run
 * any more.
 */
bool job_cancel_overdue(const struct standin *standin, const struct standin_job *job);

/*
 * True if the rules count the task as running: it has started, which is when its image has been
 * fetched, and has not exited, on a machine that is up.
 */
bool task_counts_as_running(const struct standin_task *task);

/* Removes the task from its job's list, not from its machine's, and frees it. */
void task_free(struct standin_task *task);

#endif
