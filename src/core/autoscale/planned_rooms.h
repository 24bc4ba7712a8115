/*
 * Planned rooms: the room for tasks that a plan to scale out counts on. It is what running machines
 * have free, what machines that boot or were requested will have, and what the plan adds.
 */
#ifndef PLOVERLOFT_PLANNED_ROOMS_H
#define PLOVERLOFT_PLANNED_ROOMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "constants.h"
#include "core/autoscale/machine_offers.h"

/* One machine's room. Type and zone are owned by others. */
struct planned_room {
	const struct machine_type *type;
	const char *zone;
	enum purchase_kind kind;
	bool to_request; /* the plan adds it: it is to be requested from the cloud */
	bool running;
	double cpus, gpus, mem_gb; /* free */
};

/* The rooms that a search goes through. */
enum room_scope {
	ROOMS_TO_COME, /* not those of running machines: what waits fits on none of them */
	ALL_ROOMS
};

/* A search that is continued where it ended: while a plan is made, rooms only shrink. */
struct room_search {
	const struct job_spec *spec;
	const char *zone; /* NULL: anywhere */
	enum room_scope scope;
	size_t index; /* rooms before it are too small for the job */
};

struct planned_rooms {
	struct planned_room *list; /* owned */
	size_t count, capacity;
	size_t to_request_count;
	struct room_search searches[SCALE_OUT_SEARCHES_MAX];
	size_t search_count;
};

/* All rooms that there are or that were requested already. */
void planned_rooms_init(const struct core *core, struct planned_rooms *rooms);
/* Frees the list; it is empty afterwards. */
void planned_rooms_clear(struct planned_rooms *rooms);
/* Adds the room of a machine that is to be requested. */
void planned_rooms_request(struct planned_rooms *rooms, const struct machine_offer *offer);
/* Takes room for one task, in the zone or, if that is NULL, anywhere; false if there is none. */
bool planned_rooms_take(struct planned_rooms *rooms, const struct job_spec *spec,
			enum room_scope scope, const char *zone);
/* Tasks of the job that the rooms to come of the zone would take, up to `most`. */
uint32_t planned_rooms_slots_to_come(struct planned_rooms *rooms, const struct job_spec *spec,
				     const char *zone, uint32_t most);

#endif
