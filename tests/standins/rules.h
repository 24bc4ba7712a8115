/*
 * The checker of the rules that the controllers must keep: those of the protocol, and those that
 * users asked for. It sees everything that the machines do and every answer to a user. It counts
 * how often each rule was broken, and reports the first time. The test decides what follows.
 */
#ifndef PLOVERLOFT_STANDINS_RULES_H
#define PLOVERLOFT_STANDINS_RULES_H

#include "standins/jobs.h"

struct standin;

enum rule {
	RULE_RAN_TWICE,	    /* two attempts of a task ran at the same time */
	RULE_QUOTA,	    /* a team's tasks used more than its quota */
	RULE_WRONG_PLACE,   /* a task ran on a machine or in a zone that its job does not allow */
	RULE_RAN_CANCELLED, /* a task ran conf->cancel_s after its job was shown as cancelled */
	RULE_FORGOTTEN,	    /* an accepted job is unknown or refused, or polls get no answer */
	RULE_INVENTED,	    /* a user got an answer about a job that nobody submitted */
	RULE_NOT_DONE,	    /* a job was shown as done before all its tasks had completed */
	RULE_WENT_BACK,	    /* a job left a final state, or was cancelled without a request */
	RULE_NOTHING_RAN,   /* no task started in a whole scenario */
	RULE_UNSERVED,	    /* fewer than half of a class, a team or the largest jobs began */
	RULE_LATE_LARGE,    /* one of the largest jobs of its class began late */
	RULE_IDLE_ROOM,	    /* a job waited though there was free capacity for it */
	RULE_WRONG_JOB,	    /* a job was accepted though it can never run */
	RULE_COUNT
};

/* The names of the rules in scenarios. */
extern const char *const rule_names[RULE_COUNT];

/*
 * Records that a rule was broken. The first time for each rule, the message is kept with the rule's
 * name in standin->broken_rule_message, and printed to stderr if standin->verbose.
 */
void standin_record_broken_rule(struct standin *standin, enum rule rule, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* --- tasks on machines: rule_starts.c --- */

/* Counts the start of a task, and checks the rules on which tasks may run where. */
void check_task_start(struct standin *standin, const struct standin_task *task);

/* Checks that the tasks of cancelled jobs have ended in time (rule ran_cancelled). */
void check_cancelled_tasks(struct standin *standin);

/* --- answers to users: rule_answers.c --- */

/* Checks the answer to a submission, and records the acceptance. `status` is the HTTP status. */
void standin_submission_answered(struct standin *standin, const char *id, int status);
/*
 * Checks the answer to a poll, and records the state that it shows. `status` is the HTTP status,
 * `sent_at` is when the poll was sent.
 */
void standin_poll_answered(struct standin *standin, const char *id, int status, const char *body,
			   double sent_at);
/* The same for the answer to a cancellation. Only one with status 200 shows a state and is checked.
 */
void standin_cancellation_answered(struct standin *standin, const char *id, int status,
				   const char *body, double sent_at);

/*
 * Checks that users get answers about their jobs (rule forgotten). The scenario's faults end at
 * `faults_end_at`; time before that does not count.
 */
void standin_check_answers(struct standin *standin, double faults_end_at);

/* --- waiting jobs: rule_idle_room.c, rule_served.c --- */

/*
 * Checks that no job waits though there is free capacity for it (rule idle_room). The scenario's
 * faults end at `faults_end_at`; nothing is checked before that.
 */
void standin_check_idle_room(struct standin *standin, double faults_end_at);

/*
 * Checks, at the end of a scenario, that enough jobs of each class and team and of the largest ones
 * began, and the largest in time (rules unserved and late_large).
 */
void standin_check_served(struct standin *standin);

#endif
