#include "core/model/tombstones.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/state.h"
#include "util/xalloc.h"

bool machine_has_tombstone(const struct core *core, const char *id)
{
	struct tombstone *tombstone;

	HASH_FIND_STR(core->tombstones.list, id, tombstone);
	return tombstone != NULL;
}

void tombstone_add(struct core *core, const char *id)
{
	struct tombstone *tombstone;

	if (machine_has_tombstone(core, id))
		return;
	tombstone = xcalloc(1, sizeof(*tombstone));
	snprintf(tombstone->id, sizeof(tombstone->id), "%s", id);
	tombstone->deleted_at = core->now;
	HASH_ADD_STR(core->tombstones.list, id, tombstone);
}

/* Returns a steady time: a machine that was deleted before this time is not named by inventories
 * any more. */
static double inventory_cutoff(const struct core *core)
{
	return core->now - TOMBSTONE_INVENTORY_MARGIN_S - 2 * core->conf->inventory_lag_s;
}

bool tombstones_need_new_token(const struct core *core)
{
	/* The list is in the order of additions, so its first tombstone is the oldest. */
	const struct tombstone *oldest = core->tombstones.list;

	return HASH_COUNT(core->tombstones.list) > TOMBSTONES_MAX &&
	       core->now - core->tombstones.trimmed_at > TOMBSTONE_INVENTORY_MARGIN_S &&
	       oldest->deleted_at < inventory_cutoff(core);
}

void tombstones_trim(struct core *core, double fenced_at)
{
	double cutoff = fmin(fenced_at, inventory_cutoff(core));
	struct tombstone *tombstone, *next;

	core->tombstones.trimmed_at = core->now;
	HASH_ITER (hh, core->tombstones.list, tombstone, next) {
		if (tombstone->deleted_at >= cutoff)
			break;
		HASH_DEL(core->tombstones.list, tombstone);
		free(tombstone);
	}
}

void tombstones_clear(struct core *core)
{
	struct tombstone *tombstone, *next;

	HASH_ITER (hh, core->tombstones.list, tombstone, next) {
		HASH_DEL(core->tombstones.list, tombstone);
		free(tombstone);
	}
}
