/*
 * Capacity refusals: the capacity pools in which the cloud recently had fewer machines than were
 * requested. No more machines of such a pool are requested until its backoff has ended.
 */
#ifndef PLOVERLOFT_CAPACITY_REFUSALS_H
#define PLOVERLOFT_CAPACITY_REFUSALS_H

#include <stdbool.h>

#include <uthash.h>

#include "core/model/machine.h"
#include "wire/wire.h"

struct core;

/* How a machine is rented. A spot machine is cheaper, but the cloud may take it back, after a
 * preemption notice. */
enum purchase_kind { ON_DEMAND, SPOT };

/* Returns how the machine was rented. */
static inline enum purchase_kind purchase_kind_of(const struct machine *machine)
{
	return machine->spot ? SPOT : ON_DEMAND;
}

/* A capacity pool: the machines of one type, zone and purchase kind. The cloud may run out of each
 * pool separately. The struct does not own its strings. */
struct capacity_pool {
	const char *type_name;
	const char *zone;
	enum purchase_kind kind;
};

/* The backoff of one pool after refusals. */
struct capacity_refusal {
	char key[3 * NAME_MAX_LEN]; /* the pool's type, zone and kind as one string */
	double retry_at;	    /* steady seconds; when the backoff ends */
	double backoff_s;	    /* length of the latest backoff; 0: none since the last reset */
	UT_hash_handle hh;	    /* in autoscale.refusals, by key */
};

/* Returns true if the pool's backoff has not ended yet. */
bool capacity_pool_is_in_backoff(const struct core *core, struct capacity_pool pool);
/*
 * Records that the cloud granted fewer machines of the pool than were requested. The pool's backoff
 * starts again from now: with SCALE_OUT_REFUSED_BACKOFF_S first, then twice the last one, up to
 * SCALE_OUT_REFUSED_BACKOFF_MAX_S.
 */
void capacity_refusal_record(struct core *core, struct capacity_pool pool);
/* Records that the pool has machines again: ends the pool's backoff, and resets the length of the
 * next backoff. */
void capacity_refusal_reset(struct core *core, struct capacity_pool pool);
/* Removes the refusals of all pools. Called when leadership has ended. */
void capacity_refusals_clear(struct core *core);

#endif
