/* Runs the periodic scan, which calls scale-in and scale-out, and clears the state after a term. */
#include "core/autoscale/autoscale.h"

#include "core/autoscale/scale_in.h"
#include "core/autoscale/scale_out.h"
#include "core/state.h"

void autoscale_request_scan(struct core *core)
{
	core->autoscale.next_scan_at = core->now;
}

/*
 * The order of the steps is their priority when the rate limit does not allow all requests: the
 * inventory first, then deletes, repeated rental requests and new rental requests.
 */
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
	/* Agents report to a new leader only after a while. Before that, the plan would lack the
	 * free capacity of their machines, and too many machines would be rented. */
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
