#include "core/autoscale/cost_policy.h"

#include "core/state.h"

/*
 * A guarantee is a standing promise of room, so room is kept standing for it. Without one, or
 * with an objective in money, machines are had for work and deleted after it.
 */
bool autoscale_minimises_cost(const struct core *core)
{
	return !conf_has_objective(core->conf, OBJECTIVE_GUARANTEE) ||
	       conf_has_objective(core->conf, OBJECTIVE_PRICE) ||
	       conf_has_objective(core->conf, OBJECTIVE_USEFUL);
}
