#include "core/autoscale/autoscale.h"

#include "core/autoscale/scale_in.h"
#include "core/autoscale/scale_out.h"
#include "core/state.h"

bool cloud_request_allowed(struct core *core)
{
	struct rate_limiter *limiter = &core->autoscale.request_limiter;

	rate_limiter_refill(core, limiter, core->conf->cloud_rps * CLOUD_SHARE);
	if (limiter->tokens < 1)
		return false;
	limiter->tokens -= 1;
	return true;
}

void cloud_note_answer(struct core *core, const struct call_answer *answer)
{
	if (answer->status != STATUS_OK)
		core->autoscale.retry_at = core->now + CLOUD_BACKOFF_S;
}

/*
 * A guarantee is a standing promise of room, so room is kept standing for it. Without one, or
 * with an objective in money, machines are had for work and deleted after it.
 */
bool autoscale_minimises_cost(const struct core *core)
{
	return !conf_has(core->conf, OBJECTIVE_GUARANTEE) ||
	       conf_has(core->conf, OBJECTIVE_PRICE) || conf_has(core->conf, OBJECTIVE_USEFUL);
}

void autoscale_request_scan(struct core *core)
{
	core->autoscale.next_scan_at = core->now;
}

/* The order is that in which the parts are served from the cloud's rate. */
void autoscale_tick(struct core *core)
{
	if (core->now < core->autoscale.next_scan_at)
		return;
	core->autoscale.next_scan_at = core->now + AUTOSCALE_EVERY_S;
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
