/*
 * The room of usable machines as one cycle of decisions sees it: a compact copy, so that looking
 * for room does not touch every machine's own memory. Built when a cycle begins, kept true by
 * cycle_take_room; nothing else binds or frees while a cycle lasts.
 */
#ifndef PLOVERLOFT_CYCLE_H
#define PLOVERLOFT_CYCLE_H

#include "core/state.h"

/* Machines alike to a job's demands: one type, zone and kind. */
struct pool {
	const struct machine_type *type;
	const char *zone;
	bool spot;
	bool allowed;	      /* for the job last given to cycle_mark_allowed */
	uint32_t gang_shapes; /* a bit for each of the cycle's wanted shapes that may use it */
	double pool_cost;     /* seconds, of what all machines of the pool share */
};

struct machine_room {
	double cpus, gpus, mem_gb;
	struct machine *machine;
	uint16_t pool;
};

struct candidate {
	struct machine_room *room;
	uint32_t slots;
	double cost;
};

/* A shape and size that found no room in this cycle; room only shrinks while it lasts. */
struct no_fit {
	const struct job_spec *spec;
	uint32_t tasks;
};

struct scheduling_cycle {
	struct core *core;
	uint64_t attempt; /* of the starts of this cycle, gangs aside; 0: none yet */
	struct machine_room *rooms;
	size_t room_count;
	uint32_t *open_rooms; /* of them, those that a waiting task may fit in, in order */
	size_t open_count;
	double least_cpus, least_mem_gb; /* of the waiting tasks */
	double visit_budget;		 /* of rooms that single tasks may still cost */
	bool budget_exhausted;		 /* they were used up: the rest follows in another cycle */
	struct pool *pools;
	size_t pool_count;
	struct candidate *candidates;
	size_t candidate_count;
	struct no_fit no_fits[CYCLE_NO_FITS_MAX];
	size_t no_fit_count;
	/* Shapes of gangs that wait in this cycle: they could use more room. */
	const struct job_spec *gang_shapes[CYCLE_GANG_SHAPES_MAX];
	size_t gang_shape_count;
	bool on_demand_wanted; /* some job may not use spot machines */
};

/* For these jobs; none: any room may be of use. */
void cycle_begin(struct core *core, struct scheduling_cycle *cycle, struct job **jobs,
		 size_t njobs);
void cycle_end(struct scheduling_cycle *cycle);
void cycle_take_room(struct scheduling_cycle *cycle, const struct machine *machine,
		     const struct job_spec *spec);
/* Marks the pools that the job may use. */
void cycle_mark_allowed(struct scheduling_cycle *cycle, const struct job_spec *spec);
/* Whether what suits one suits the other. */
bool same_shape(const struct job_spec *a, const struct job_spec *b);
uint32_t room_slots(double cpus, double gpus, double mem_gb, const struct job_spec *spec);
/* Seconds that placing here costs, as far as can be told. */
double placement_cost(const struct machine *machine, const struct job *job);
const char *job_held_zone(const struct job *job);
/* How many more tasks of the job the zone may hold. */
uint32_t job_zone_rest(const struct job *job, const char *zone);

/* Seconds within which a job's tasks should start, by the first aim that it can still meet; 0:
 * none. */
double wait_objective_s(const struct core *core, const struct job *job);
/* Slots that an array needs at once for the soonest of its deadlines that it can still meet. */
uint32_t array_slots_needed(const struct core *core, struct job *job);

/* plan.c: room for gangs that find none */
bool preemption_make_room(struct scheduling_cycle *cycle, struct job *job);
void reservation_release(struct core *core, struct job *job);

#endif
