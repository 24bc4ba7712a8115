/* The rate limit of requests to the cloud, and the backoff after an error of the cloud. */
#ifndef PLOVERLOFT_CLOUD_LINK_H
#define PLOVERLOFT_CLOUD_LINK_H

#include <stdbool.h>

struct call_answer;
struct core;

/*
 * Returns true if the rate limit allows a request to the cloud now. That request then counts as
 * sent, so the caller must send it. All requests to the cloud share this limit, except reads of the
 * catalog.
 */
bool cloud_rate_limit_acquire(struct core *core);
/*
 * Starts a backoff of CLOUD_BACKOFF_S for all requests to the cloud, except reads of the catalog,
 * if the answer is not a success or did not come at all. Has no effect after a success.
 */
void cloud_update_backoff(struct core *core, const struct call_answer *answer);

#endif
