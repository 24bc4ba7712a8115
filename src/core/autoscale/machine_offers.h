/* Offers: which type of machine, in which zone, on demand or spot, is best had for a job. */
#ifndef PLOVERLOFT_MACHINE_OFFERS_H
#define PLOVERLOFT_MACHINE_OFFERS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/autoscale/capacity_refusals.h"
#include "wire/wire.h"

struct core;

enum purchase_choice { ANY_KIND, SPOT_ONLY };

/* What a machine is wanted for. */
struct machine_demand {
	const struct job_spec *spec;
	uint32_t tasks;	  /* that still lack room */
	const char *zone; /* NULL: any */
	enum purchase_choice choice;
};

/* A machine that the catalog offers; type and zone are the catalog's. */
struct machine_offer {
	const struct machine_type *type;
	const char *zone;
	enum purchase_kind kind;
	double cost; /* of one task: price per hour where money counts, else seconds */
};

/*
 * Finds the cheapest offer that meets the demand and whose pool is not refused; false if there is
 * none. Offers whose costs are about equal are chosen from at random.
 */
bool machine_offer_cheapest(struct core *core, const struct machine_demand *demand,
			    struct machine_offer *cheapest);

#endif
