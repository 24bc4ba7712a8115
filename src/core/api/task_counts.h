/*
 * How many tasks of each job are done and running. Only the leader knows; the other controllers
 * request the counts from it while users poll, and answer with them for some seconds.
 */
#ifndef PLOVERLOFT_TASK_COUNTS_H
#define PLOVERLOFT_TASK_COUNTS_H

#include <stdbool.h>
#include <stdint.h>

struct core;

#define COUNTS_PATH "/counts"

/* Times are steady. */
struct task_counts {
	double received_at;  /* the newest counts */
	double wanted_at;    /* the newest answer that needed counts */
	double next_read_at; /* no request to the leader before */
	uint64_t token;	     /* the leader's, under which it sent the newest counts */
	bool in_flight;
};

/* No counts are known, and none are wanted. */
void task_counts_init(struct core *core);
/* A user is answered with counts: they are to be kept current for some seconds. */
void task_counts_note_demand(struct core *core);
/* The counts in the index were received so recently that users may be answered with them. */
bool task_counts_are_fresh(const struct core *core);
/* Answers another controller with the counts of all jobs. Only the leader calls it. */
void task_counts_reply(struct core *core, uint64_t connection);
/* Requests the counts from the leader, when it is due. */
void task_counts_tick(struct core *core);

#endif
