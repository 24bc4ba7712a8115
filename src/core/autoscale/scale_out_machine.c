/* One machine more for a demand, in a plan for scaling out. */
#include "core/autoscale/scale_out.h"

#include "core/state.h"

bool scale_out_plan_machine(struct core *core, struct planned_rooms *rooms,
			    const struct machine_demand *demand)
{
	struct machine_offer offer;

	/* A job may have a hundred thousand tasks: not all of them need to be planned for now. */
	if ((double)rooms->to_request_count >= SCALE_OUT_BATCH_MAX * core->conf->cloud_rps)
		return false;
	if (!machine_offer_cheapest(core, demand, &offer))
		return false;
	planned_rooms_request(rooms, &offer);
	return planned_rooms_take(rooms, demand->spec, ROOMS_TO_COME, demand->zone);
}
