/*
 * Shared parts of the tests in which controllers of several versions run together: the jobs, the
 * steps of a rollout, and the conditions that the tests wait for.
 */
#ifndef PLOVERLOFT_ROLLOUT_H
#define PLOVERLOFT_ROLLOUT_H

#include "loopback/loopback.h"

/* Numbers of the jobs that rollout_init adds. */
enum { ARRAY = 1, SERVICE, GANG, CANCELLED_ARRAY, LATE_ARRAY, LATE_GANG, LAST_ARRAY };

/* A condition that a test waits for: returns whether it is met. */
typedef bool (*rollout_condition)(struct loopback *loopback);

/* Initializes `loopback` and adds the jobs. Returns 0, or -1 if loopback_init fails. */
int rollout_init(struct loopback *loopback);

/*
 * Kills the controllers and frees `loopback`. Returns the test's exit status: 0, or 1 if `ok` is
 * false, a rule is broken, or a transaction exceeded the limits of the state service or named an
 * unknown lease.
 */
int rollout_end(struct loopback *loopback, bool ok);

/*
 * Runs until the condition is met. If it is not met within LOOPBACK_TIMEOUT_S, prints `what`, a
 * sentence that says what is waited for, and returns false.
 */
bool rollout_wait(struct loopback *loopback, rollout_condition is_met, const char *what);

/* Returns the number of the job's tasks that run. */
uint32_t rollout_running(struct loopback *loopback, int job);

/*
 * Submits the job to one controller after the other until it is accepted or the tries are used up.
 */
void rollout_submit(struct loopback *loopback, int job);

/*
 * Sends a cancellation of the job to one controller after the other until it is confirmed or the
 * tries are used up.
 */
void rollout_cancel(struct loopback *loopback, int job);

/* Kills the controller and starts it again as the given program. */
void rollout_replace(struct loopback *loopback, int controller, const char *program);

/* Lowers the limits of the state service to those that the settings announce. */
void rollout_lower_limits(struct loopback *loopback);

/*
 * Starts the controller as an old version that cannot read the newest format of the records, and
 * kills the others. The old version may serve users, but must not lead. Then starts the others as
 * the new version and waits until all jobs are done. Returns false if one of these steps fails.
 */
bool rollout_downgrade_one(struct loopback *loopback, int controller, const char *old_program,
			   const char *new_program);

/* Prints for each job whether it is done and how many of its tasks run. */
void rollout_print_jobs(struct loopback *loopback);

/* --- conditions; "format" is that of the records, see docs/design.md --- */

/* All tasks of ARRAY, SERVICE and GANG run. */
bool rollout_first_jobs_run(struct loopback *loopback);

/* Some task of CANCELLED_ARRAY runs. */
bool rollout_cancelled_array_runs(struct loopback *loopback);
/* No task of CANCELLED_ARRAY runs. */
bool rollout_cancelled_array_ended(struct loopback *loopback);

/* All tasks of LATE_ARRAY and LATE_GANG run. */
bool rollout_late_jobs_run(struct loopback *loopback);

/*
 * Users saw all jobs but SERVICE and CANCELLED_ARRAY as done, and all tasks of SERVICE run. Polls
 * the jobs that are not known as done, and runs for a moment to receive the answers.
 */
bool rollout_all_done(struct loopback *loopback);

/* A controller leads with the newest format. */
bool rollout_newest_format_has_leader(struct loopback *loopback);
/* No controller leads with the newest format. */
bool rollout_newest_format_has_no_leader(struct loopback *loopback);

#endif
