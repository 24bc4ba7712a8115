/*
 * Capacity refusals: the capacity pools in which the cloud had too few machines of late. Nothing is
 * requested of such a pool until its backoff is over.
 */
#ifndef PLOVERLOFT_CAPACITY_REFUSALS_H
#define PLOVERLOFT_CAPACITY_REFUSALS_H

#include <stdbool.h>

#include <uthash.h>

#include "core/model/machine.h"
#include "wire/wire.h"

struct core;

/* How a machine is paid for; a spot machine is cheaper, and may be taken back after a notice. */
enum purchase_kind { ON_DEMAND, SPOT };

static inline enum purchase_kind purchase_kind_of(const struct machine *machine)
{
	return machine->spot ? SPOT : ON_DEMAND;
}

/* The machines that the cloud treats as one supply. The names are owned by others. */
struct capacity_pool {
	const char *type_name;
	const char *zone;
	enum purchase_kind kind;
};

/* The refusals of one pool. */
struct capacity_refusal {
	char key[3 * NAME_MAX_LEN]; /* the pool as text */
	double retry_at;	    /* steady */
	double backoff_s;	    /* the latest; 0: the next refusal counts as the first */
	UT_hash_handle hh;
};

/* Whether the pool's backoff is still under way. */
bool capacity_is_refused(const struct core *core, struct capacity_pool pool);
/* The cloud granted fewer machines of the pool than were requested: its backoff doubles. */
void capacity_refusal_note(struct core *core, struct capacity_pool pool);
/* The pool has machines again: they may be requested at once. */
void capacity_refusal_lift(struct core *core, struct capacity_pool pool);
/* Forgets all refusals. */
void capacity_refusals_clear(struct core *core);

#endif
