/* Decides by the objectives whether the fleet is scaled for low cost. */
#ifndef PLOVERLOFT_COST_POLICY_H
#define PLOVERLOFT_COST_POLICY_H

#include <stdbool.h>

struct core;

/*
 * Returns true if low cost is an aim: machines are then rented only for waiting tasks and are
 * deleted soon after they become idle. Returns false if capacity is to be kept ready instead.
 */
bool autoscale_minimises_cost(const struct core *core);

#endif
