#include "core/autoscale/cost_policy.h"

#include "core/state.h"

/*
 * A guarantee promises capacity at any time, so capacity is kept ready for it. If there is no such
 * objective, or if there also is one about money (price, useful), low cost is an aim.
 */
bool autoscale_minimises_cost(const struct core *core)
{
	return !conf_has_objective(core->conf, OBJECTIVE_GUARANTEE) ||
	       conf_has_objective(core->conf, OBJECTIVE_PRICE) ||
	       conf_has_objective(core->conf, OBJECTIVE_USEFUL);
}
