/* Service-level objectives of waiting jobs: how long they may wait, and their deadlines. */
#ifndef PLOVERLOFT_OBJECTIVES_H
#define PLOVERLOFT_OBJECTIVES_H

#include <stdint.h>

struct core;
struct job;

/*
 * The tightest wait objective of the job's class that it can still meet: seconds from submission
 * within which its tasks should start; 0: there is none.
 */
double wait_objective_s(const struct core *core, const struct job *job);
/* The tightest wait objective of the job's class, met or not; 0: there is none. */
double tightest_wait_objective_s(const struct core *core, const struct job *job);

/* What an array needs to be done in time. */
struct array_need {
	struct job *job;
	double deadline_factor; /* times its deadline: the soonest end that it can still meet */
	uint32_t slots;		/* at once, from now on, by the job's estimate; 0: none */
};

/* By the soonest of the times at which a deadline objective of its class counts. */
struct array_need array_need(const struct core *core, struct job *job);

#endif
