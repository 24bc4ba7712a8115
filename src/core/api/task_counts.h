/*
 * How many tasks of each job are done and running. Only the leader knows these counts. While users
 * poll another controller, that controller requests the counts from the leader every
 * COUNTS_INTERVAL_S, and answers with them until they are older than COUNTS_MAX_AGE_S.
 */
#ifndef PLOVERLOFT_TASK_COUNTS_H
#define PLOVERLOFT_TASK_COUNTS_H

#include <stdbool.h>
#include <stdint.h>

struct core;

/* Path of the request for the task counts, answered by a TaskCounts message. */
#define COUNTS_PATH "/counts"

/* The state of the requests for task counts; the counts themselves are in the index of jobs. Times
 * are seconds on the steady clock. */
struct task_counts {
	double received_at;	/* when the newest counts came from the leader */
	double last_demand_at;	/* when a user was last answered with the counts of an open job */
	double next_request_at; /* earliest time of the next request to the leader for counts */
	uint64_t token;		/* fencing token of the leader that sent the newest counts */
	bool in_flight;		/* a request to the leader for counts has no answer yet */
};

/* Sets the initial state: no counts were received, and no user has polled. */
void task_counts_init(struct core *core);
/* Records that a user is answered with the counts of an open job. The counts are then requested
 * from the leader for COUNTS_DEMAND_WINDOW_S. */
void task_counts_record_demand(struct core *core);
/* True if the task counts in the index of jobs were received within COUNTS_MAX_AGE_S: only then are
 * users answered with these counts. */
bool task_counts_are_fresh(const struct core *core);
/* Answers another controller with the task counts of all jobs. Only the leader calls this
 * function. */
void task_counts_reply(struct core *core, uint64_t connection);
/* Requests the task counts from the leader, if a request is due. */
void task_counts_tick(struct core *core);

#endif
