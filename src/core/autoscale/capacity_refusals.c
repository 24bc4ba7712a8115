#include "core/autoscale/capacity_refusals.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/state.h"
#include "util/xalloc.h"

/* Formats the key of the pool's entry in the hash table. */
static void format_key(char *key, size_t size, struct capacity_pool pool)
{
	snprintf(key, size, "%s %s %d", pool.type_name, pool.zone, pool.kind);
}

/* Returns the pool's entry; NULL if the cloud has refused no machines of it in this term. */
static struct capacity_refusal *refusal_find(const struct core *core, struct capacity_pool pool)
{
	struct capacity_refusal *refusal;
	char key[sizeof(refusal->key)];

	format_key(key, sizeof(key), pool);
	HASH_FIND_STR(core->autoscale.refusals, key, refusal);
	return refusal;
}

/* Adds an entry without a backoff for the pool, which must not have one yet. */
static struct capacity_refusal *refusal_add(struct core *core, struct capacity_pool pool)
{
	struct capacity_refusal *refusal = xcalloc(1, sizeof(*refusal));

	format_key(refusal->key, sizeof(refusal->key), pool);
	HASH_ADD_STR(core->autoscale.refusals, key, refusal);
	return refusal;
}

bool capacity_pool_is_in_backoff(const struct core *core, struct capacity_pool pool)
{
	const struct capacity_refusal *refusal = refusal_find(core, pool);

	return refusal && core->now < refusal->retry_at;
}

void capacity_refusal_record(struct core *core, struct capacity_pool pool)
{
	struct capacity_refusal *refusal = refusal_find(core, pool);

	if (!refusal)
		refusal = refusal_add(core, pool);
	refusal->backoff_s =
	    refusal->backoff_s ? refusal->backoff_s * 2 : SCALE_OUT_REFUSED_BACKOFF_S;
	refusal->backoff_s = fmin(refusal->backoff_s, SCALE_OUT_REFUSED_BACKOFF_MAX_S);
	refusal->retry_at = core->now + refusal->backoff_s;
}

void capacity_refusal_reset(struct core *core, struct capacity_pool pool)
{
	struct capacity_refusal *refusal = refusal_find(core, pool);

	if (!refusal)
		return;
	refusal->retry_at = 0;
	refusal->backoff_s = 0;
}

void capacity_refusals_clear(struct core *core)
{
	struct capacity_refusal *refusal, *next;

	HASH_ITER (hh, core->autoscale.refusals, refusal, next) {
		HASH_DEL(core->autoscale.refusals, refusal);
		free(refusal);
	}
}
