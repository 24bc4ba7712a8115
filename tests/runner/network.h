/* The network between the hosts: latency, cuts, losses, and the delivery of what is due. */
#ifndef PLOVERLOFT_RUNNER_NETWORK_H
#define PLOVERLOFT_RUNNER_NETWORK_H

#include "world.h"

/* When a message that is sent now arrives; draws a random latency. */
double network_arrival_time(struct world *world);
/* Adds a cut with CUT_DROP and CUT_BOTH_WAYS, owned by the world; the caller may change both. */
struct network_cut *network_cut_add(struct world *world, int from, int to, double until_s);
/* The cut that stops messages from one host to another now; NULL if none does. */
const struct network_cut *network_cut_between(const struct world *world, int from, int to);
/* Frees all cuts. */
void network_cuts_free(struct world *world);
/* Delivers, in order, all messages due by `until_s`, and those that they cause by then. */
void network_deliver_until(struct world *world, double until_s);

#endif
