/* The network between the hosts: latency, cuts, losses, and the delivery of due messages. */
#ifndef PLOVERLOFT_RUNNER_NETWORK_H
#define PLOVERLOFT_RUNNER_NETWORK_H

#include "world.h"

/* Returns the time at which a message that is sent now arrives; draws a random latency. */
double network_arrival_time(struct world *world);
/* Adds a cut with CUT_DROP and CUT_BOTH_WAYS, which the caller may change. The world owns it. */
struct network_cut *network_cut_add(struct world *world, int from, int to, double until_s);
/* Returns a cut that now stops all messages from one host to another; NULL if there is none. */
const struct network_cut *network_cut_between(const struct world *world, int from, int to);
/* Frees all cuts. */
void network_cuts_free(struct world *world);
/* Delivers, in order, all messages due by `until_s`, also those that result from them by then. */
void network_deliver_until(struct world *world, double until_s);

#endif
