/* Placement of single tasks: the search for a machine, and the binding to it. */
#ifndef PLOVERLOFT_PLACEMENT_H
#define PLOVERLOFT_PLACEMENT_H

#include "core/scheduling/cycle.h"

/* The room that a task may take. */
enum room_scope {
	ROOM_ANY,
	ROOM_SPARE /* only what no waiting gang of higher priority could use */
};

/* Tasks of the job that fit in the room; what is reserved there for another job is left out. */
uint32_t machine_room_slots(const struct machine_room *room, const struct job *job);
/* The machine where a task of the job costs least; NULL: there is no room. */
struct machine *find_machine(struct scheduling_cycle *cycle, const struct job *job,
			     enum room_scope scope);
/* The next waiting task whose record has room for one more binding; the task count if none. */
uint32_t next_placeable_task(const struct core *core, struct job *job);

/* A number that no other start of a task of the job has had. */
uint64_t new_attempt(struct core *core);
/*
 * Starts of tasks of arrays and services are distinguished by it. None starts twice in a cycle, so
 * that all of them share the cycle's attempt and a record names it once.
 */
uint64_t cycle_attempt(struct scheduling_cycle *cycle);
/* Binds the task to the machine, takes the room in the cycle, and has the record written. */
void bind_task(struct scheduling_cycle *cycle, struct job *job, struct machine *machine,
	       uint32_t task, uint64_t attempt);

/* Places one task of an array or a service; false if none waits or there is no room. */
bool place_next_task(struct scheduling_cycle *cycle, struct job *job, enum room_scope scope);

#endif
