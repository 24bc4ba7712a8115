/* The scan that scales the fleet, and its end with leadership. */
#include "core/autoscale/autoscale.h"

#include "core/autoscale/scale_in.h"
#include "core/autoscale/scale_out.h"
#include "core/state.h"

void autoscale_request_scan(struct core *core)
{
	core->autoscale.next_scan_at = core->now;
}

/* The order is that in which the parts are served from the cloud's rate. */
void autoscale_tick(struct core *core)
{
	if (core->now < core->autoscale.next_scan_at)
		return;
	core->autoscale.next_scan_at = core->now + AUTOSCALE_INTERVAL_S;
	scale_in_scan(core);
	if (core->now < core->autoscale.retry_at || !catalog_is_known(core))
		return;
	inventory_tick(core);
	scale_in_send_deletes(core);
	rental_requests_retry(core);
	/* Before all agents have reported, room that is there would be missing in a plan. */
	if (core->now - core->leading_since > AUTOSCALE_SETTLE_S)
		scale_out_scan(core);
}

void autoscale_clear(struct core *core)
{
	rental_requests_clear(core);
	capacity_refusals_clear(core);
	inventory_clear(core);
	core->autoscale.next_scan_at = 0;
	core->autoscale.retry_at = 0;
	core->autoscale.request_limiter = (struct rate_limiter){.refilled_at = core->now};
}
