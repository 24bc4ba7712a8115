/*
 * What the plays of several versions side by side share: work of known numbers, and waiting for
 * what is to come.
 */
#ifndef PLOVERLOFT_ROLLOUT_H
#define PLOVERLOFT_ROLLOUT_H

#include "loopback.h"

/* The jobs of each play; rollout_init declares them. */
enum { ARRAY = 1, SERVICE, GANG, CANCELLED_ARRAY, LATE_ARRAY, LATE_GANG, LAST_ARRAY };

/* Something that a play waits for. */
typedef bool (*rollout_condition)(struct loopback *s);

/* 0, or -1 if no place or port is to be had. */
int rollout_init(struct loopback *s);
/* Ends the play; 0, or 1 if `ok` is false, a rule is broken or a value was over a limit. */
int rollout_end(struct loopback *s, bool ok);
/* Plays until the condition holds; false, with a word, if it does not in time. */
bool rollout_wait(struct loopback *s, rollout_condition met, const char *what);
/* Tasks of the job that run. */
uint32_t rollout_running(struct loopback *s, int job);
/* Submits until it is taken, at one controller after the other. */
void rollout_submit(struct loopback *s, int job);
/* Cancels until it is confirmed, at one controller after the other. */
void rollout_cancel(struct loopback *s, int job);
/* Kills the controller and starts it as the given program. */
void rollout_replace(struct loopback *s, int node, const char *program);
/* The state service's limits fall to those announced. */
void rollout_lower_limits(struct loopback *s);
/*
 * The node comes back as a version that does not read the newest format, all others end: it may
 * serve users, and never leads. The others return as the new version, and all work is done. False
 * if not.
 */
bool rollout_one_back(struct loopback *s, int node, const char *old_program,
		      const char *new_program);
/* Prints which jobs are done and how many of their tasks run. */
void rollout_report(struct loopback *s);

/* Conditions. The format is that of the records: see docs/design.md. */
bool rollout_first_work_runs(struct loopback *s);
bool rollout_cancelled_runs(struct loopback *s);
bool rollout_cancelled_gone(struct loopback *s);
bool rollout_late_work_runs(struct loopback *s);
/* All but the service, which runs, and the cancelled array. */
bool rollout_all_done(struct loopback *s);
bool rollout_newest_format_led(struct loopback *s);
bool rollout_newest_format_leaderless(struct loopback *s);

#endif
