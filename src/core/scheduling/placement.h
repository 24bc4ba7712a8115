/* Placement of single tasks: searches for a machine and binds the task to it. */
#ifndef PLOVERLOFT_PLACEMENT_H
#define PLOVERLOFT_PLACEMENT_H

#include "core/scheduling/cycle.h"

/* The free capacity that a search may use. */
enum room_scope {
	ROOM_ANY,  /* all that is not reserved for another job */
	ROOM_SPARE /* all that neither is reserved for another job nor suits a waiting gang of
		    * higher priority */
};

/* How many tasks of the job fit in the room without what is reserved for another job on the room's
 * machine. */
uint32_t machine_room_slots(const struct machine_room *room, const struct job *job);
/* Returns the machine with the least placement cost for a task of the job; NULL: none fits. */
struct machine *find_machine(struct scheduling_cycle *cycle, const struct job *job,
			     enum room_scope scope);
/* Returns the next waiting task whose record can hold one more binding; the job's task count if
 * there is none. */
uint32_t next_placeable_task(const struct core *core, struct job *job);

/* Returns a number that no earlier attempt of any task has: the fencing token, followed by a
 * counter of ATTEMPT_COUNTER_BITS. */
uint64_t new_attempt(struct core *core);
/*
 * Returns the number of the attempt of all array tasks and replicas that the cycle places. A task
 * starts at most once in a cycle, so one number is enough, and a record names it only once.
 */
uint64_t cycle_attempt(struct scheduling_cycle *cycle);
/* Binds the task to the machine, updates the free capacity in the cycle, and queues the write of
 * the task's record. Ends the job's reservation if the job is a gang or an array. If it is a
 * service, its reservation on this machine is reduced by one task. */
void bind_task(struct scheduling_cycle *cycle, struct job *job, struct machine *machine,
	       uint32_t task, uint64_t attempt);

/* Places one task of an array or a service. False: none can be placed now, because none waits, the
 * team is at its quota, no machine fits, the records of the waiting tasks are full, or the cycle's
 * budget is exhausted. */
bool place_next_task(struct scheduling_cycle *cycle, struct job *job, enum room_scope scope);

#endif
