#include "core/autoscale/cloud_link.h"

#include "core/state.h"

bool cloud_rate_limit_acquire(struct core *core)
{
	struct rate_limiter *limiter = &core->autoscale.request_limiter;

	rate_limiter_refill(core, limiter, core->conf->cloud_rps * CLOUD_RATE_SHARE);
	if (limiter->tokens < 1)
		return false;
	limiter->tokens -= 1;
	return true;
}

void cloud_update_backoff(struct core *core, const struct call_answer *answer)
{
	if (answer->status != STATUS_OK)
		core->autoscale.retry_at = core->now + CLOUD_BACKOFF_S;
}
