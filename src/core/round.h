/*
 * The room of usable machines as one round of decisions sees it: a compact copy, so that looking
 * for room does not touch every machine's own memory. Built when a round begins, kept true by
 * round_take; nothing else binds or frees while a round lasts.
 */
#ifndef PLOVERLOFT_ROUND_H
#define PLOVERLOFT_ROUND_H

#include "core/state.h"

/* Machines alike to a job's demands: one type, zone and kind. */
struct pool {
	const struct machine_type *type;
	const char *zone;
	bool spot;
	bool allowed;	  /* for the job last given to round_allow */
	uint32_t wanted;  /* a bit for each of the round's wanted shapes that may use it */
	double pool_cost; /* seconds, of what all machines of the pool share */
};

struct spot_room {
	double cpus, gpus, mem_gb;
	struct machine *machine;
	uint16_t pool;
};

struct candidate {
	struct spot_room *room;
	uint32_t slots;
	double cost;
};

/* A shape and size that found no room in this round; room only shrinks while it lasts. */
struct no_room {
	const struct job_spec *spec;
	uint32_t tasks;
};

struct round {
	struct core *core;
	uint64_t attempt; /* of the starts of this round, gangs aside; 0: none yet */
	struct spot_room *rooms;
	size_t nrooms;
	uint32_t *open; /* of them, those that a waiting task may fit in, in order */
	size_t nopen;
	double least_cpus, least_mem_gb; /* of the waiting tasks */
	double visits;			 /* of rooms that single tasks may still cost */
	bool cut;			 /* they were used up: the rest follows in another round */
	struct pool *pools;
	size_t npools;
	struct candidate *cands;
	size_t ncands;
	struct no_room no[ROUND_NO_MAX];
	size_t nno;
	/* Shapes of gangs that wait in this round: they could use more room. */
	const struct job_spec *wanted[ROUND_WANTED_MAX];
	size_t nwanted;
	bool ordinary_wanted; /* some job may not use spot machines */
};

/* For these jobs; none: any room may be of use. */
void round_begin(struct core *core, struct round *round, struct job **jobs, size_t njobs);
void round_end(struct round *round);
void round_take(struct round *round, const struct machine *machine, const struct job_spec *spec);
/* Marks the pools that the job may use. */
void round_allow(struct round *round, const struct job_spec *spec);
/* Whether what suits one suits the other. */
bool same_shape(const struct job_spec *a, const struct job_spec *b);
uint32_t room_slots(double cpus, double gpus, double mem_gb, const struct job_spec *spec);
/* Seconds that placing here costs, as far as can be told. */
double place_cost(const struct machine *machine, const struct job *job);
const char *job_held_zone(const struct job *job);
/* How many more tasks of the job the zone may hold. */
uint32_t job_zone_rest(const struct job *job, const char *zone);

/* Seconds within which a job's tasks should start, by the first aim that it can still meet; 0:
 * none. */
double wait_aim(const struct core *core, const struct job *job);
/* Slots that an array needs at once for the soonest of its deadlines that it can still meet. */
uint32_t array_need(const struct core *core, struct job *job);

/* plan.c: room for gangs that find none */
bool plan_room(struct round *round, struct job *job);
void plan_release(struct core *core, struct job *job);

#endif
