/*
 * The checker of the protocol's rules, and of those that users added. It sees all that the machines
 * do and all that users are answered. A broken rule is counted and printed once; what follows from
 * it is up to the test.
 */
#ifndef PLOVERLOFT_STANDINS_RULES_H
#define PLOVERLOFT_STANDINS_RULES_H

#include "standins/jobs.h"

struct standin;

enum rule {
	RULE_RAN_TWICE,	    /* a task on two machines at once */
	RULE_QUOTA,	    /* a team beyond its limit */
	RULE_WRONG_PLACE,   /* a task on a machine that its job does not allow */
	RULE_RAN_CANCELLED, /* a task that runs on after its user was told of the cancellation */
	RULE_FORGOTTEN,	    /* an accepted job that is not known, or gets no answers */
	RULE_INVENTED,	    /* a job that nobody submitted */
	RULE_NOT_DONE,	    /* shown as done with tasks that are not */
	RULE_WENT_BACK,	    /* a final state that changed */
	RULE_NOTHING_RAN,   /* no start in a whole scenario */
	RULE_UNSERVED,	    /* less than half of a class, a team or the largest jobs begun */
	RULE_LATE_LARGE,    /* a largest job that began late */
	RULE_IDLE_ROOM,	    /* a job that waits beside room for it */
	RULE_WRONG_JOB,	    /* accepted though it can never run */
	RULE_COUNT
};

/* As scenarios name them. */
extern const char *const rule_names[RULE_COUNT];

/* Counts a broken rule; the first time its message is kept, and printed if standin->verbose. */
void standin_rule_broken(struct standin *standin, enum rule rule, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* --- on machines: rule_starts.c --- */

/* Counts a task's start, and checks the rules about it. */
void check_start(struct standin *standin, const struct standin_task *task);

/* Checks that tasks of cancelled jobs have ended in time. */
void check_cancelled_tasks(struct standin *standin);

/* --- what users are answered: rule_answers.c --- */

/* A user was answered; `sent_at` is when the request was, `status` as HTTP has it. */
void standin_submission_answered(struct standin *standin, const char *id, int status);
void standin_lookup_answered(struct standin *standin, const char *id, int status, const char *body,
			     double sent_at);
void standin_cancellation_answered(struct standin *standin, const char *id, int status,
				   const char *body, double sent_at);

/* Checks that no user waits too long for answers; faults ended at `quiet_since`. */
void standin_check_answers(struct standin *standin, double quiet_since);

/* --- over a whole scenario --- */

/* Checks for jobs that wait beside room for them; faults ended at `quiet_since`. */
void standin_check_room(struct standin *standin, double quiet_since);

/* Checks, at the end of a scenario, that enough of all kinds of jobs began in time. */
void standin_check_served(struct standin *standin);

#endif
