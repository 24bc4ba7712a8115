/* Which tasks may be stopped to make room for a job, and what stopping them costs. */
#ifndef PLOVERLOFT_PREEMPTION_VICTIMS_H
#define PLOVERLOFT_PREEMPTION_VICTIMS_H

#include <stdbool.h>
#include <stdint.h>

struct binding;
struct core;
struct job;

enum victim_scope {
	VICTIMS_OF_ANY_TEAM,
	VICTIMS_OF_OWN_TEAM /* the team is at its limit: it makes room among its own tasks only */
};

/* The job that room is made for. */
struct preemption_demand {
	struct core *core;
	struct job *job;
	enum victim_scope scope;
	uint32_t tasks; /* that it is made for */
};

/*
 * Tasks that room is made for: all of a gang, the first of an array that has none, and of a service
 * those that do not run.
 */
uint32_t preemption_task_count(const struct job *job);
/* Whether the binding's room falls to the job: it is stopping already, or may be stopped. */
bool preemption_frees(const struct preemption_demand *demand, const struct binding *binding);
/* Seconds of work lost or delayed by stopping the task. */
double stop_cost_s(const struct core *core, const struct binding *binding);
/* Seconds that the task is given to save its work. */
double stop_grace_s(const struct binding *binding);

#endif
