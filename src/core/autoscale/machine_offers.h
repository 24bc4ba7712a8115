/*
 * Offers: selects the machine to rent for a job, from all types, zones and purchase kinds that the
 * catalog offers.
 */
#ifndef PLOVERLOFT_MACHINE_OFFERS_H
#define PLOVERLOFT_MACHINE_OFFERS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/autoscale/capacity_refusals.h"
#include "wire/wire.h"

struct core;

/* The purchase kinds that are considered for a demand. */
enum purchase_choice { ANY_KIND, SPOT_ONLY };

/* The tasks that a machine is to be rented for. */
struct machine_demand {
	const struct job_spec *spec; /* description of the tasks' job */
	uint32_t tasks;		     /* number of tasks for which capacity is still missing */
	const char *zone;	     /* required zone; NULL: any */
	enum purchase_choice choice;
};

/* A machine that the catalog offers. The catalog owns the type and the zone. */
struct machine_offer {
	const struct machine_type *type;
	const char *zone;
	enum purchase_kind kind;
	/* Where low cost is an aim, the price per hour for each task; otherwise seconds of waiting.
	 * Includes a random share of up to SCALE_OUT_JITTER. */
	double cost;
};

/*
 * Finds the cheapest offer that meets the demand and whose capacity pool (see capacity_refusals.h)
 * has no backoff after a refusal. Returns false if there is none. One of several offers with nearly
 * equal costs is chosen at random.
 */
bool machine_offer_find_cheapest(struct core *core, const struct machine_demand *demand,
				 struct machine_offer *cheapest);

#endif
