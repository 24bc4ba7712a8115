/*
 * What the tests with controllers of several versions share: jobs of known numbers, and waiting for
 * what is to come.
 */
#ifndef PLOVERLOFT_ROLLOUT_H
#define PLOVERLOFT_ROLLOUT_H

#include "loopback/loopback.h"

/* The jobs of each test, by their numbers; rollout_init adds them. */
enum { ARRAY = 1, SERVICE, GANG, CANCELLED_ARRAY, LATE_ARRAY, LATE_GANG, LAST_ARRAY };

/* Something that a test waits for. */
typedef bool (*rollout_condition)(struct loopback *loopback);

/* 0, or -1 if no directory or port is to be had. */
int rollout_init(struct loopback *loopback);

/*
 * Ends the test and its controllers. 0, or 1 if `ok` is false, a rule is broken, or a transaction
 * was beyond the state service's limits.
 */
int rollout_end(struct loopback *loopback, bool ok);

/* Plays until the condition holds. False, with `what` printed, if it does not within LIMIT_S. */
bool rollout_wait(struct loopback *loopback, rollout_condition holds, const char *what);

/* Tasks of the job that run. */
uint32_t rollout_running(struct loopback *loopback, int job);

/* Submits until it is accepted, at one controller after the other; gives up after some tries. */
void rollout_submit(struct loopback *loopback, int job);

/* Cancels until it is confirmed, at one controller after the other; gives up after some tries. */
void rollout_cancel(struct loopback *loopback, int job);

/* Kills the controller and starts it as the given program. */
void rollout_replace(struct loopback *loopback, int controller, const char *program);

/* The state service's limits fall to those announced. */
void rollout_lower_limits(struct loopback *loopback);

/*
 * The controller comes back as a version that does not read the newest format, all others end: it
 * may serve users, and never leads. The others return as the new version, and all work is done.
 * False if not.
 */
bool rollout_one_back(struct loopback *loopback, int controller, const char *old_program,
		      const char *new_program);

/* Prints which jobs are done and how many of their tasks run. */
void rollout_report(struct loopback *loopback);

/* --- conditions; the format is that of the records, see docs/design.md --- */

/* The first array, the service and the gang run in full. */
bool rollout_first_work_runs(struct loopback *loopback);

bool rollout_cancelled_runs(struct loopback *loopback);
bool rollout_cancelled_gone(struct loopback *loopback);

/* The late array and the late gang run in full. */
bool rollout_late_work_runs(struct loopback *loopback);

/* All but the service, which runs, and the cancelled array. Polls for it, and plays a while. */
bool rollout_all_done(struct loopback *loopback);

bool rollout_newest_format_led(struct loopback *loopback);
bool rollout_newest_format_leaderless(struct loopback *loopback);

#endif
