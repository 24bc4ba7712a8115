/* Adds a machine for a demand to the plan of the machines to request. */
#include "core/autoscale/scale_out.h"

#include "core/state.h"

bool scale_out_plan_machine(struct core *core, struct capacity_plan *plan,
			    const struct machine_demand *demand)
{
	struct machine_offer offer;

	/* A job may have 100,000 tasks. There is no need to plan more machines now than can be
	 * requested in a second. */
	if ((double)plan->to_request_count >= SCALE_OUT_BATCH_MAX * core->conf->cloud_rps)
		return false;
	if (!machine_offer_find_cheapest(core, demand, &offer))
		return false;
	capacity_plan_add_machine(plan, &offer);
	return capacity_plan_allocate_task(plan, demand->spec, PLAN_PENDING_MACHINES, demand->zone);
}
