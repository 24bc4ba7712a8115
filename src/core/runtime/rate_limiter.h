/* Rate limiters: token buckets whose capacity is what the rate allows in one second. */
#ifndef PLOVERLOFT_RATE_LIMITER_H
#define PLOVERLOFT_RATE_LIMITER_H

struct core;

/*
 * A zero-initialised limiter is empty. Its first refill counts the time since 0 of the steady
 * clock.
 */
struct rate_limiter {
	double tokens;	    /* operations allowed now; the caller subtracts what it performs */
	double refilled_at; /* steady time of the last refill */
};

/*
 * Adds the tokens for the time since the last refill: `rate` per second, up to `rate` tokens in
 * all.
 */
void rate_limiter_refill(const struct core *core, struct rate_limiter *limiter, double rate);

#endif
