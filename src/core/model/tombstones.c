#include "core/model/tombstones.h"

#include <math.h>
#include <stdio.h>

#include "core/state.h"
#include "util/xalloc.h"

bool machine_has_tombstone(struct core *core, const char *id)
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

/* No list still names a machine that was deleted before this moment. */
static double lists_name_since(const struct core *core)
{
	return core->now - TOMBSTONE_LISTS_S - 2 * core->conf->list_lag_s;
}

bool tombstones_need_new_token(const struct core *core)
{
	const struct tombstone *oldest = core->tombstones.list; /* in the order of their adding */

	return HASH_COUNT(core->tombstones.list) > TOMBSTONES_MAX &&
	       core->now - core->tombstones.trimmed_at > TOMBSTONE_LISTS_S &&
	       oldest->deleted_at < lists_name_since(core);
}

void tombstones_trim(struct core *core, double fenced_at)
{
	double before = fmin(fenced_at, lists_name_since(core));
	struct tombstone *tombstone, *tmp;

	core->tombstones.trimmed_at = core->now;
	HASH_ITER (hh, core->tombstones.list, tombstone, tmp) {
		if (tombstone->deleted_at >= before)
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
