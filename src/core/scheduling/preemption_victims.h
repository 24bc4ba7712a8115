/* Which tasks preemption may stop to free capacity for a job, and the cost of stopping them. */
#ifndef PLOVERLOFT_PREEMPTION_VICTIMS_H
#define PLOVERLOFT_PREEMPTION_VICTIMS_H

#include <stdbool.h>
#include <stdint.h>

struct binding;
struct core;
struct job;

/* Whose tasks may be stopped. */
enum victim_scope {
	VICTIMS_OF_ANY_TEAM,
	VICTIMS_OF_OWN_TEAM /* the job's team is at its quota: only tasks of this team may be
			     * stopped */
};

/* The job for which capacity is to be freed. */
struct preemption_demand {
	struct core *core;
	struct job *job;
	enum victim_scope scope;
	uint32_t tasks; /* number of the job's tasks for which capacity is to be freed */
};

/*
 * Returns the number of tasks for which capacity is to be freed: all tasks of a gang, one task of
 * an array, the waiting replicas of a service.
 */
uint32_t preemption_task_count(const struct job *job);
/* Whether the binding's capacity can become free for the job: its task is stopping already, or may
 * be stopped. */
bool preemption_may_reclaim(const struct preemption_demand *demand, const struct binding *binding);
/* Returns the seconds of work that are lost or delayed if the task is stopped. */
double stop_cost_s(const struct core *core, const struct binding *binding);
/* Returns the seconds that the task gets to save its work when it is stopped. */
double stop_grace_s(const struct binding *binding);

#endif
