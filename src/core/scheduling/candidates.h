/* The machines that a job may be placed on in a cycle, and the choice of a zone among them. */
#ifndef PLOVERLOFT_CANDIDATES_H
#define PLOVERLOFT_CANDIDATES_H

#include "core/scheduling/cycle.h"

/* What several candidates cost together. */
enum cost_rule {
	COST_OF_DEAREST, /* all begin when the last of them can */
	COST_OF_ALL	 /* the sum */
};

struct zone_choice {
	const char *zone; /* NULL: the candidates of all zones count; the text is borrowed */
	double cost;	  /* seconds; INFINITY: there is not enough room */
};

/* Cheapest first. */
void candidates_sort_by_cost(struct scheduling_cycle *cycle);
/* Cheapest for each slot first. */
void candidates_sort_by_cost_per_slot(struct scheduling_cycle *cycle);
/* The slots of the zone, or of all if it is NULL; not counted on once there are `enough`. */
uint32_t candidates_slots(const struct scheduling_cycle *cycle, const char *zone, uint32_t enough);
/*
 * The cheapest zone that has room for so many tasks, or all zones if the job has no rule. The
 * candidates must be sorted, and the job's pools be marked.
 */
struct zone_choice candidates_choose_zone(const struct scheduling_cycle *cycle,
					  const struct job_spec *spec, uint32_t tasks,
					  enum cost_rule rule);

#endif
