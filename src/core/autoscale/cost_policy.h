/* Whether cost decides how the fleet is scaled. */
#ifndef PLOVERLOFT_COST_POLICY_H
#define PLOVERLOFT_COST_POLICY_H

#include <stdbool.h>

struct core;

/* Whether money is among the objectives, so that machines are had for work and deleted after it. */
bool autoscale_minimises_cost(const struct core *core);

#endif
