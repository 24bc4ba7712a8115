/*
 * The free room of all usable machines as one scheduling cycle sees it: a compact copy, so that the
 * search for room does not touch every machine's own memory. Built when a cycle begins, kept up to
 * date by cycle_take_room; nothing else binds or frees while a cycle lasts, so room only shrinks.
 */
#ifndef PLOVERLOFT_CYCLE_H
#define PLOVERLOFT_CYCLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/scheduling/free_room.h"
#include "core/scheduling/job_list.h"
#include "core/state.h"

/* Machines that are alike to the demands of a job: of one type, one zone, and spot or not. */
struct pool {
	const struct machine_type *type;
	const char *zone;
	bool spot;
	bool allowed;	      /* for the job last given to cycle_mark_allowed */
	uint32_t gang_shapes; /* one bit for each of the cycle's gang shapes that may use it */
	double cost_s;	      /* the part of the placement cost that its machines share */
};

/* The room of one machine that is left in the cycle. */
struct machine_room {
	struct free_room free;
	struct machine *machine;
	uint16_t pool; /* index */
};

/* A machine that a job may be placed on. */
struct candidate {
	struct machine_room *room;
	uint32_t slots; /* tasks of the job that fit */
	double cost;	/* seconds; of the placement, or of the work that is stopped for it */
};

/* Tasks of one shape that found no room in this cycle. */
struct shape_without_room {
	const struct job_spec *spec;
	uint32_t tasks;
};

struct scheduling_cycle {
	struct core *core;
	uint64_t attempt; /* of the starts of arrays and services; 0: none yet */
	struct machine_room *rooms;
	size_t room_count;
	uint32_t *open_rooms; /* indices of those that a waiting task may fit in, ascending */
	size_t open_count;
	double least_cpus, least_mem_gb; /* of the waiting tasks */
	double visit_budget;   /* rooms that the search for single tasks may still visit */
	bool budget_exhausted; /* what is left follows in another cycle */
	struct pool *pools;
	size_t pool_count;
	struct candidate *candidates; /* for the job that is being placed */
	size_t candidate_count;
	struct shape_without_room shapes_without_room[CYCLE_NO_ROOM_SHAPES_MAX];
	size_t shape_without_room_count;
	const struct job_spec *gang_shapes[CYCLE_GANG_SHAPES_MAX]; /* of gangs that wait */
	size_t gang_shape_count;
	bool on_demand_needed; /* some job may not use spot machines */
};

/*
 * Copies the free room of all usable machines. Rooms too small for any of the jobs are left out of
 * the open ones; with an empty list, all rooms are open. cycle_end frees what the cycle owns.
 */
void cycle_begin(struct core *core, struct scheduling_cycle *cycle, const struct job_list *jobs);
/* Frees what cycle_begin has made. */
void cycle_end(struct scheduling_cycle *cycle);
/* A task of the job was bound to the machine, or is to be. */
void cycle_take_room(struct scheduling_cycle *cycle, const struct machine *machine,
		     const struct job_spec *spec);
/* Marks the pools that the job may use, and sets what their machines cost it. */
void cycle_mark_allowed(struct scheduling_cycle *cycle, const struct job_spec *spec);

#endif
