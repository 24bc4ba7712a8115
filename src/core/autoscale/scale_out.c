/* The scan that plans the missing machines, and the rental requests for them. */
#include "core/autoscale/scale_out.h"

#include <string.h>

#include "core/state.h"

static bool is_same_pool(const struct planned_machine *a, const struct planned_machine *b)
{
	return a->type == b->type && a->kind == b->kind && !strcmp(a->zone, b->zone);
}

/* Sends one request for planned machines that are still to be requested: those of the first one's
 * capacity pool, as many as one request may name. */
static void request_first_pool(struct core *core, struct capacity_plan *plan)
{
	const struct planned_machine *first = NULL;
	struct capacity_pool pool;
	int count = 0;

	for (size_t i = 0; i < plan->count && count < SCALE_OUT_BATCH_MAX; i++) {
		struct planned_machine *planned = &plan->machines[i];

		if (!planned->to_request)
			continue;
		if (!first)
			first = planned;
		if (!is_same_pool(planned, first))
			continue;
		planned->to_request = false;
		plan->to_request_count--;
		count++;
	}
	if (!first)
		return;
	pool = (struct capacity_pool){first->type->name, first->zone, first->kind};
	rental_request_send(core, pool, count);
}

void scale_out_scan(struct core *core)
{
	struct capacity_plan plan;

	capacity_plan_init(core, &plan);
	scale_out_plan_jobs(core, &plan);
	scale_out_plan_headroom(core, &plan);
	while (plan.to_request_count && cloud_rate_limit_acquire(core))
		request_first_pool(core, &plan);
	capacity_plan_clear(&plan);
}
