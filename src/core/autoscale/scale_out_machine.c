/* Adds a machine for a demand to the plan of the machines to request. */
#include "core/autoscale/scale_out.h"

#include "core/state.h"

bool scale_out_plan_machine(struct core *core, struct planned_rooms *rooms,
			    const struct machine_demand *demand)
{
	struct machine_offer offer;

	/* A job may have 100,000 tasks. To plan more machines now than can be requested in a second
	 * would only take time. */
	if ((double)rooms->to_request_count >= SCALE_OUT_BATCH_MAX * core->conf->cloud_rps)
		return false;
	if (!machine_offer_cheapest(core, demand, &offer))
		return false;
	planned_rooms_request(rooms, &offer);
	return planned_rooms_take(rooms, demand->spec, ROOMS_TO_COME, demand->zone);
}
