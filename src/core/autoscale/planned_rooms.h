/*
 * Planned capacity: the capacity for tasks that scale-out can count on. It consists of the free
 * capacity of running machines and the capacity of pending machines. A machine is pending while it
 * boots, while its rental request has no final answer, or if the plan adds it.
 *
 * While a plan is made, tasks are only added to it, so the free capacity of each machine only
 * shrinks.
 */
#ifndef PLOVERLOFT_PLANNED_ROOMS_H
#define PLOVERLOFT_PLANNED_ROOMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "constants.h"
#include "core/autoscale/machine_offers.h"

/* The planned capacity of one machine. The catalog, a machine or a request owns the strings. */
struct planned_room {
	const struct machine_type *type;
	const char *zone;
	enum purchase_kind kind;
	bool to_request;	   /* added by the plan, and not requested from the cloud yet */
	bool running;		   /* false: pending */
	double cpus, gpus, mem_gb; /* free, less the tasks that the plan has added */
};

/* The machines whose capacity a search may use. */
enum room_scope {
	/* Pending machines only. Waiting tasks do not fit on running ones: a scheduling cycle would
	 * have placed them there. */
	ROOMS_TO_COME,
	ALL_ROOMS
};

/* The progress of the searches for jobs of one shape (see same_shape). The next search continues
 * where the last one ended, since machines that were too small stay too small. */
struct room_search {
	const struct job_spec *spec; /* of a job of this shape */
	const char *zone;	     /* NULL: all zones */
	enum room_scope scope;
	size_t index; /* machines before this index have no capacity for a task */
};

/* The capacity that a plan counts on, and the progress of the searches in it. */
struct planned_rooms {
	struct planned_room *list; /* owned */
	size_t count;		   /* elements used in `list` */
	size_t capacity;	   /* elements allocated there */
	size_t to_request_count;   /* machines with `to_request` */
	struct room_search searches[SCALE_OUT_SEARCHES_MAX];
	size_t search_count;
};

/* Begins a plan with the capacity of all running machines, and of those that are booting or already
 * requested. */
void planned_rooms_init(const struct core *core, struct planned_rooms *rooms);
/* Frees the list. The plan is empty afterwards. */
void planned_rooms_clear(struct planned_rooms *rooms);
/* Adds the capacity of a machine that is to be requested. */
void planned_rooms_request(struct planned_rooms *rooms, const struct machine_offer *offer);
/*
 * Allocates capacity for one task of the job in the zone; NULL: in any zone. Returns false if there
 * is not enough.
 */
bool planned_rooms_take(struct planned_rooms *rooms, const struct job_spec *spec,
			enum room_scope scope, const char *zone);
/*
 * Returns how many tasks of the job fit on the zone's pending machines, but at most `most`. NULL:
 * in all zones. Allocates nothing.
 */
uint32_t planned_rooms_slots_to_come(struct planned_rooms *rooms, const struct job_spec *spec,
				     const char *zone, uint32_t most);

#endif
