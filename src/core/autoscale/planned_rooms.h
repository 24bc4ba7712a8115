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
struct planned_machine {
	const struct machine_type *type;
	const char *zone;
	enum purchase_kind kind;
	bool to_request;	   /* added by the plan, and not requested from the cloud yet */
	bool running;		   /* false: pending */
	double cpus, gpus, mem_gb; /* free, less the demand of tasks that the plan added */
};

/* The machines whose capacity a search may use. */
enum plan_scope {
	/* Pending machines only. Waiting tasks do not fit on running ones: a scheduling cycle would
	 * have placed them there. */
	PLAN_PENDING_MACHINES,
	PLAN_ALL_MACHINES
};

/* The progress of the searches for jobs of one shape (see same_shape in
 * core/scheduling/free_room.h), with one scope and zone. The next search continues where the last
 * one ended, since machines that were too small stay too small. */
struct plan_search {
	const struct job_spec *spec; /* description of one job that has the shape */
	const char *zone;	     /* zone of the searches; NULL: all zones */
	enum plan_scope scope;
	size_t index; /* machines before this index are out of scope or lack capacity */
};

/* The capacity that a plan counts on, and the progress of the searches in it. */
struct capacity_plan {
	struct planned_machine *machines; /* owned */
	size_t count;			  /* elements used in `machines` */
	size_t allocated;		  /* elements allocated in `machines` */
	size_t to_request_count;	  /* machines with `to_request` set */
	struct plan_search searches[SCALE_OUT_SEARCHES_MAX];
	size_t search_count;
};

/* Begins a plan with the capacity of all machines that are running, booting or already requested.
 */
void capacity_plan_init(const struct core *core, struct capacity_plan *plan);
/* Frees the machines. The plan is empty afterwards. */
void capacity_plan_clear(struct capacity_plan *plan);
/* Adds the capacity of a machine that is to be requested. */
void capacity_plan_add_machine(struct capacity_plan *plan, const struct machine_offer *offer);
/*
 * Allocates capacity for one task of the job in the zone. If `zone` is NULL, any zone may be used.
 * Returns false if there is not enough capacity.
 */
bool capacity_plan_allocate_task(struct capacity_plan *plan, const struct job_spec *spec,
				 enum plan_scope scope, const char *zone);
/*
 * Returns how many tasks of the job fit on the zone's pending machines (on those of all zones if
 * `zone` is NULL), but at most `max_slots`. Allocates nothing.
 */
uint32_t capacity_plan_count_pending_slots(struct capacity_plan *plan, const struct job_spec *spec,
					   const char *zone, uint32_t max_slots);

#endif
