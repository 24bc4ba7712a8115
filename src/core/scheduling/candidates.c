/* Sorts the candidates of a cycle, counts their slots, and chooses a zone among them. */
#include "core/scheduling/candidates.h"

#include <math.h>
#include <stdlib.h>

#include "core/scheduling/compare.h"
#include "core/scheduling/zones.h"

static int compare_cost(const void *a, const void *b)
{
	const struct candidate *left = a, *right = b;

	return compare_numbers(left->cost, right->cost);
}

static int compare_cost_per_slot(const void *a, const void *b)
{
	const struct candidate *left = a, *right = b;

	return compare_numbers(left->cost / left->slots, right->cost / right->slots);
}

void candidates_sort_by_cost(struct scheduling_cycle *cycle)
{
	qsort(cycle->candidates, cycle->candidate_count, sizeof(*cycle->candidates), compare_cost);
}

void candidates_sort_by_cost_per_slot(struct scheduling_cycle *cycle)
{
	qsort(cycle->candidates, cycle->candidate_count, sizeof(*cycle->candidates),
	      compare_cost_per_slot);
}

uint32_t candidates_count_slots(const struct scheduling_cycle *cycle, const char *zone,
				uint32_t needed)
{
	uint32_t slots = 0;

	for (size_t i = 0; i < cycle->candidate_count && slots < needed; i++)
		if (zone_matches(zone, cycle->candidates[i].room->machine->zone))
			slots += cycle->candidates[i].slots;
	return slots;
}

/* Returns the cost of placing so many tasks on the first candidates of the zone (NULL: of all
 * zones); INFINITY if they do not fit. */
static double zone_cost(const struct scheduling_cycle *cycle, const char *zone, uint32_t tasks,
			enum cost_rule rule)
{
	uint32_t slots = 0;
	double cost = 0;

	for (size_t i = 0; i < cycle->candidate_count && slots < tasks; i++) {
		const struct candidate *candidate = &cycle->candidates[i];

		if (!zone_matches(zone, candidate->room->machine->zone))
			continue;
		slots += candidate->slots;
		cost = rule == COST_RULE_SUM ? cost + candidate->cost : fmax(cost, candidate->cost);
	}
	return slots >= tasks ? cost : INFINITY;
}

struct zone_choice candidates_choose_zone(const struct scheduling_cycle *cycle,
					  const struct job_spec *spec, uint32_t tasks,
					  enum cost_rule rule)
{
	struct zone_choice best = {.cost = INFINITY};

	if (!spec->one_zone || tasks == 1) {
		best.cost = zone_cost(cycle, NULL, tasks, rule);
		return best;
	}
	for (size_t i = 0; i < cycle->pool_count; i++) {
		const struct pool *pool = &cycle->pools[i];
		double cost = pool->allowed ? zone_cost(cycle, pool->zone, tasks, rule) : INFINITY;

		if (cost < best.cost) {
			best.cost = cost;
			best.zone = pool->zone;
		}
	}
	return best;
}
