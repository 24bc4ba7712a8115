/* Rate limiters: token buckets that hold a second's worth at most. */
#ifndef PLOVERLOFT_RATE_LIMITER_H
#define PLOVERLOFT_RATE_LIMITER_H

struct core;

/* A limiter that is all zero is empty, and fills from the first refill on. */
struct rate_limiter {
	double tokens;	    /* what may be done now; whoever does it takes them off */
	double refilled_at; /* steady */
};

/* Adds what `rate` (per second) has allowed since the last refill. */
void rate_limiter_refill(const struct core *core, struct rate_limiter *limiter, double rate);

#endif
