/* Operations on the candidates (struct candidate) of a scheduling cycle: sorting, counting slots
 * (see free_room.h), and the choice of a zone. */
#ifndef PLOVERLOFT_CANDIDATES_H
#define PLOVERLOFT_CANDIDATES_H

#include "core/scheduling/cycle.h"

/* How the costs of several candidates are combined. */
enum cost_rule {
	COST_RULE_MAX, /* the maximum of the costs: all tasks begin when the last one can */
	COST_RULE_SUM  /* the sum of the costs */
};

/* The zone that is chosen for a job, and what placing the job there costs. */
struct zone_choice {
	const char *zone; /* owned by a machine; NULL: machines of all zones may be used */
	double cost;	  /* cost in the zone, in seconds; INFINITY: not enough capacity */
};

/* Sorts the candidates by their cost, the cheapest first. */
void candidates_sort_by_cost(struct scheduling_cycle *cycle);
/* Sorts the candidates by their cost for each slot, the cheapest first. */
void candidates_sort_by_cost_per_slot(struct scheduling_cycle *cycle);
/* Counts the candidates' slots in the zone, or in all zones if it is NULL. Counting ends when
 * `needed` slots are found, so that the result may be below the total. */
uint32_t candidates_count_slots(const struct scheduling_cycle *cycle, const char *zone,
				uint32_t needed);
/*
 * Returns the cheapest zone in which so many tasks of the job fit. A job that need not run in one
 * zone, or a single task, may use machines of all zones. The candidates must be sorted, by cost or
 * by cost per slot, and the pools must be evaluated for the job with cycle_evaluate_pools.
 */
struct zone_choice candidates_choose_zone(const struct scheduling_cycle *cycle,
					  const struct job_spec *spec, uint32_t tasks,
					  enum cost_rule rule);

#endif
