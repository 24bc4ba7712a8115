/*
 * Autoscaling: machines are requested from the cloud for what waits (scale out), and deleted when
 * they are of no use (scale in). Leader only, the catalog of machine types aside.
 */
#ifndef PLOVERLOFT_AUTOSCALE_H
#define PLOVERLOFT_AUTOSCALE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/autoscale/capacity_refusals.h"
#include "core/autoscale/catalog_reader.h"
#include "core/autoscale/cloud_link.h"
#include "core/autoscale/cost_policy.h"
#include "core/autoscale/inventory.h"
#include "core/autoscale/rental_requests.h"
#include "core/runtime/call.h"

struct core;

/* Times are steady seconds. */
struct autoscale {
	struct catalog_reader catalog_reader;
	struct inventory_reader inventory;
	struct rental_request *rental_requests; /* owned */
	uint32_t request_counter;		/* of the rental requests sent */
	struct capacity_refusal *refusals;	/* owned; by pool */
	struct rate_limiter request_limiter;	/* of all requests to the cloud but the catalog's */
	double next_scan_at;
	double retry_at; /* no request before: the last one failed */
};

/* Scans for idle and missing machines when it is due. Only the leader calls it. */
void autoscale_tick(struct core *core);
/* The next tick scans at once: machines are to be deleted. */
void autoscale_request_scan(struct core *core);
/* Leadership ended: all but the catalog reader's state is dropped. */
void autoscale_clear(struct core *core);

#endif
