/* Service-level objectives of jobs: wait objectives, and deadlines of arrays. */
#ifndef PLOVERLOFT_OBJECTIVES_H
#define PLOVERLOFT_OBJECTIVES_H

#include <stdint.h>

struct core;
struct job;

/*
 * Returns the tightest wait objective of the job's class that the job can still meet, in seconds
 * from its submission to the start of its tasks; 0: there is none.
 */
double wait_objective_s(const struct core *core, const struct job *job);
/* Returns the tightest wait objective of the job's class, also if the job has already missed it;
 * 0: there is none. */
double tightest_wait_objective_s(const struct core *core, const struct job *job);

/* The slots that an array needs to be done by its deadline. */
struct deadline_demand {
	struct job *job;
	double deadline_factor; /* the deadline that counts, divided by the job's deadline */
	uint32_t slots;		/* needed at the same time, by the job's estimate; 0: none */
};

/*
 * Returns the slots that the array needs for the earliest deadline that it can still meet: the
 * job's own deadline, or the job's deadline times a factor that a deadline objective of its class
 * names. `slots` is 0 if the array has no deadline, or can meet none.
 */
struct deadline_demand deadline_demand(const struct core *core, struct job *job);

#endif
