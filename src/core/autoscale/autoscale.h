/*
 * Autoscaling: rents machines from the cloud for waiting tasks and headroom (scale-out), and
 * deletes machines that are not needed or not usable (scale-in). Only the leader does this. The
 * catalog of machine types is read by followers too.
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

/* The state of autoscaling. Times are seconds on the steady clock, as core->now. */
struct autoscale {
	struct catalog_reader catalog_reader;
	struct inventory_reader inventory;
	struct rental_request *rental_requests; /* requests without a final answer; owned list */
	/* Rental requests made since this process started. The counter is part of the requests'
	 * names. */
	uint32_t request_counter;
	struct capacity_refusal *refusals; /* refusals by capacity pool; owned hash table */
	/* Limits the rate of all requests to the cloud, except reads of the catalog. */
	struct rate_limiter request_limiter;
	double next_scan_at; /* when autoscale_tick does its work next */
	/* End of the backoff after an error of the cloud. Until then, only reads of the catalog are
	 * sent to the cloud. */
	double retry_at;
};

/*
 * Once in AUTOSCALE_INTERVAL_S, decides which machines to delete and which to rent, and sends the
 * requests for both to the cloud. Only the leader calls it.
 */
void autoscale_tick(struct core *core);
/* Makes the next tick scan at once, because machines are to be deleted. */
void autoscale_request_scan(struct core *core);
/* Drops the state of autoscaling, except the catalog reader's. Called when leadership has ended. */
void autoscale_clear(struct core *core);

#endif
