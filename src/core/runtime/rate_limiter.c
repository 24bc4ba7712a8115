/* Rate limiters: token buckets. */
#include "core/runtime/rate_limiter.h"

#include <math.h>

#include "core/state.h"

void rate_limiter_refill(const struct core *core, struct rate_limiter *limiter, double rate)
{
	double elapsed_s = core->now - limiter->refilled_at;

	limiter->tokens = fmin(rate, limiter->tokens + elapsed_s * rate);
	limiter->refilled_at = core->now;
}
