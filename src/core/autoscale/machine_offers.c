#include "core/autoscale/machine_offers.h"

#include <math.h>
#include <string.h>

#include "core/state.h"

/* Tasks per machine of a job whose tasks demand no resources. */
#define UNBOUNDED_TASKS 1e9
/* Added to a quotient, in tasks, before it is rounded down: quotients of decimal amounts may come
 * out slightly too low in binary floating point. */
#define DIVISION_SLACK 1e-9

/* Returns how many tasks of the job fit on an empty machine of the type. */
static uint32_t tasks_per_machine(const struct machine_type *type, const struct job_spec *spec)
{
	double tasks = UNBOUNDED_TASKS;

	if (spec->cpus > 0)
		tasks = fmin(tasks, type->cpus / spec->cpus);
	if (spec->gpus > 0)
		tasks = fmin(tasks, type->gpus / spec->gpus);
	if (spec->mem_gb > 0)
		tasks = fmin(tasks, type->mem_gb / spec->mem_gb);
	return (uint32_t)floor(tasks + DIVISION_SLACK);
}

/* Returns the price per hour for each of `tasks` tasks that share the machine. */
static double price_per_task(const struct machine_offer *offer, uint32_t tasks)
{
	double price = offer->kind == SPOT ? offer->type->spot_price : offer->type->price;

	return price / tasks;
}

/*
 * Returns the cost in seconds of waiting: the time to boot the machine, and costs of the risk that
 * a spot machine is taken back and of GPUs that the job does not use.
 */
static double waiting_cost_s(const struct machine_offer *offer, const struct job_spec *spec)
{
	double spot_risk_s = offer->kind == SPOT ? SCALE_OUT_SPOT_COST_S : 0;
	double gpu_waste_s =
	    spec->gpus <= 0 && offer->type->gpus > 0 ? SCALE_OUT_GPU_WASTE_COST_S : 0;

	return offer->type->boot_s + spot_risk_s + gpu_waste_s;
}

/*
 * Returns the cost of an offer: the price for each task where low cost is an aim, otherwise seconds
 * of waiting. INFINITY if no task fits on the machine.
 */
static double offer_cost(const struct core *core, const struct machine_offer *offer,
			 const struct machine_demand *demand)
{
	uint32_t fitting = tasks_per_machine(offer->type, demand->spec);

	if (!fitting)
		return INFINITY;
	if (autoscale_minimises_cost(core))
		return price_per_task(offer, demand->tasks < fitting ? demand->tasks : fitting);
	return waiting_cost_s(offer, demand->spec);
}

/* Whether the demand and the job allow the offer, and its pool has no backoff after a refusal. */
static bool is_acceptable(const struct core *core, const struct machine_offer *offer,
			  const struct machine_demand *demand)
{
	struct capacity_pool pool = {offer->type->name, offer->zone, offer->kind};

	if (demand->choice == SPOT_ONLY && offer->kind != SPOT)
		return false;
	if (demand->zone && strcmp(demand->zone, offer->zone))
		return false;
	return machine_type_allowed(offer->type, offer->zone, offer->kind == SPOT, demand->spec) &&
	       !capacity_pool_is_in_backoff(core, pool);
}

/* Sets the cost of `offer` if it is acceptable, and replaces `cheapest`, the cheapest offer so far,
 * if `offer` is cheaper. */
static void update_cheapest_offer(struct core *core, const struct machine_demand *demand,
				  struct machine_offer *offer, struct machine_offer *cheapest)
{
	if (!is_acceptable(core, offer, demand))
		return;
	offer->cost = offer_cost(core, offer, demand) * (1 + SCALE_OUT_JITTER * core_random(core));
	if (offer->cost < cheapest->cost)
		*cheapest = *offer;
}

bool machine_offer_find_cheapest(struct core *core, const struct machine_demand *demand,
				 struct machine_offer *cheapest)
{
	struct machine_offer offer;

	*cheapest = (struct machine_offer){.cost = INFINITY};
	for (size_t i = 0; i < catalog_type_count(core); i++) {
		offer.type = catalog_type(core, i);
		for (int zone = 0; zone < offer.type->zones.count; zone++) {
			offer.zone = offer.type->zones.names[zone];
			offer.kind = ON_DEMAND;
			update_cheapest_offer(core, demand, &offer, cheapest);
			offer.kind = SPOT;
			update_cheapest_offer(core, demand, &offer, cheapest);
		}
	}
	return cheapest->type != NULL;
}
