/*
 * The working state of one scheduling cycle: above all a compact copy of the free capacity of all
 * usable machines, so that a search for capacity does not access each machine's own memory. The
 * copy is made when the cycle begins, and cycle_subtract_demand keeps it up to date. No binding
 * ends during a cycle, so the free capacity only shrinks.
 */
#ifndef PLOVERLOFT_CYCLE_H
#define PLOVERLOFT_CYCLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/scheduling/free_room.h"
#include "core/scheduling/job_list.h"
#include "core/state.h"

/* The usable machines of one type and zone that are all spot, or all on-demand. The rules of a job
 * on types, zones and spot machines allow all machines of a pool or none. The cloud's supply of
 * machines of one pool is a struct capacity_pool. */
struct pool {
	const struct machine_type *type;
	const char *zone;
	bool spot;
	/* The job that cycle_evaluate_pools was last called for may use the machines, and one of
	 * its tasks fits on an empty one. */
	bool allowed;
	uint32_t gang_shapes; /* bit i: gangs of the cycle's `gang_shapes[i]` may use the pool */
	double cost_s;	      /* part of the placement cost that is equal for the pool's machines */
};

/* A room of the cycle: one usable machine and its free capacity, less what this cycle has placed on
 * it. */
struct machine_room {
	struct free_room free;
	struct machine *machine;
	uint16_t pool; /* index of the machine's pool */
};

/* A machine on which tasks of a job may be placed. */
struct candidate {
	struct machine_room *room;
	uint32_t slots; /* tasks of the job that fit, in preemption after others have stopped */
	double cost;	/* seconds: the placement cost, or the cost of the tasks to be stopped */
};

/* A shape (see same_shape in free_room.h) for which the cycle has found no capacity. */
struct shape_without_room {
	const struct job_spec *spec; /* description of one job that has the shape */
	uint32_t tasks;		     /* this number of tasks of the shape, or more, does not fit */
};

struct scheduling_cycle {
	struct core *core;
	uint64_t attempt;	    /* number of the attempt, see cycle_attempt; 0: none yet */
	struct machine_room *rooms; /* one for each usable machine */
	size_t room_count;
	uint32_t *open_rooms; /* ascending indices of the rooms that a waiting task may fit in */
	size_t open_count;
	double least_cpus, least_mem_gb; /* smallest demands of the waiting tasks */
	double visit_budget;		 /* rooms that searches for single tasks may still visit */
	bool budget_exhausted;		 /* no more single tasks are placed until the next cycle */
	struct pool *pools;
	size_t pool_count;
	struct candidate *candidates; /* machines for the job that is being placed */
	size_t candidate_count;
	struct shape_without_room shapes_without_room[CYCLE_NO_ROOM_SHAPES_MAX];
	size_t shape_without_room_count;
	const struct job_spec *gang_shapes[CYCLE_GANG_SHAPES_MAX]; /* shapes of the waiting gangs */
	size_t gang_shape_count;
	bool on_demand_needed; /* there is a job that may not use spot machines */
};

/*
 * Initializes the cycle with the free capacity of all usable machines. `open_rooms` leaves out the
 * rooms that are too small for all of `jobs`; if `jobs` is empty, `open_rooms` holds all rooms.
 * cycle_end frees what the cycle owns.
 */
void cycle_begin(struct core *core, struct scheduling_cycle *cycle, const struct job_list *jobs);
/* Frees what the cycle owns, but not the cycle itself. */
void cycle_end(struct scheduling_cycle *cycle);
/* Subtracts the demand of one task from the free capacity of the machine's room: the task was bound
 * to the machine, or a replica is about to move there. */
void cycle_subtract_demand(struct scheduling_cycle *cycle, const struct machine *machine,
			   const struct job_spec *spec);
/* Whether a pool with a lower index than `pool` is in the zone of `pool`. */
bool zone_is_in_earlier_pool(const struct scheduling_cycle *cycle, size_t pool);
/* Sets the fields `allowed` and `cost_s` of all pools for the job. */
void cycle_evaluate_pools(struct scheduling_cycle *cycle, const struct job_spec *spec);

#endif
