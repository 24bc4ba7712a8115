/* The cloud's list of machines, and tombstones of those that are deleted though it still names
 * them. */
#include "core/state.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/log.h"
#include "wire/names.h"

bool machine_has_tombstone(struct core *core, const char *id)
{
	struct tombstone *tombstone;

	HASH_FIND_STR(core->rentals.tombstones, id, tombstone);
	return tombstone != NULL;
}

void tombstone_add(struct core *core, const char *id)
{
	struct tombstone *tombstone;

	if (machine_has_tombstone(core, id))
		return;
	tombstone = calloc(1, sizeof(*tombstone));
	if (!tombstone)
		abort();
	snprintf(tombstone->id, sizeof(tombstone->id), "%s", id);
	tombstone->at = core->now;
	HASH_ADD_STR(core->rentals.tombstones, id, tombstone);
}

/* No list still names a machine that was deleted before this moment. */
static double lists_name_since(const struct core *core)
{
	return core->now - TOMBSTONE_LISTS_S - 2 * core->conf->list_lag_s;
}

bool tombstones_many(const struct core *core)
{
	const struct tombstone *oldest =
	    core->rentals.tombstones; /* in the order of their adding */

	return HASH_COUNT(core->rentals.tombstones) > TOMBSTONES_MANY &&
	       core->now - core->rentals.tombstones_dropped > TOMBSTONE_LISTS_S &&
	       oldest->at < lists_name_since(core);
}

void tombstones_drop(struct core *core, double fenced_at)
{
	double before = fmin(fenced_at, lists_name_since(core));
	struct tombstone *tombstone, *tmp;

	core->rentals.tombstones_dropped = core->now;
	HASH_ITER (hh, core->rentals.tombstones, tombstone, tmp) {
		if (tombstone->at >= before)
			break;
		HASH_DEL(core->rentals.tombstones, tombstone);
		free(tombstone);
	}
}

static void take_listed(struct core *core, const struct listed_machine *listed)
{
	struct machine *machine = machine_find(core, listed->id);

	/* A lagging list still names what was deleted: it must not come back to life. */
	if (!machine && (machine_has_tombstone(core, listed->id) || listed->state == LS_FAILED))
		return;
	if (!machine) {
		machine = machine_get(core, listed->id);
		machine->rented_at = core->now - listed->age_s;
		log_info("machine_listed", "machine=%s type=%s state=%d age=%.1f", listed->id,
			 listed->type, listed->state, listed->age_s);
	}
	machine_describe(core, machine, listed->addr, listed->type, listed->zone, listed->spot);
	machine->listed = machine->expected = true;
	machine->missing = 0;
	machine->list_round = core->rentals.list_round;
	if (listed->state == LS_FAILED)
		machine->failed = true;
	if (listed->state == LS_RUNNING)
		machine_show(core, machine);
}

static void list_ended(struct core *core)
{
	struct machine *machine, *tmp;

	HASH_ITER (hh, core->fleet.machines, machine, tmp)
		if (machine->listed && machine->list_round != core->rentals.list_round)
			machine->missing++;
	core->rentals.list_after[0] = 0;
	core->rentals.next_list = core->now + LISTED_EVERY_S;
}

static void ask_list(struct core *core);

static void on_list(struct core *core, struct call *call, int status, const char *body, size_t len)
{
	struct listed_machine *list;
	size_t n;
	int more;

	if (election_stale(core, call))
		return;
	core->rentals.list_out = false;
	cloud_trouble(core, status);
	if (status != 200 || wire_list_decode(body, len, &list, &n, &more))
		return;
	for (size_t i = 0; i < n; i++)
		take_listed(core, &list[i]);
	if (more && n) {
		snprintf(core->rentals.list_after, sizeof(core->rentals.list_after), "%s",
			 list[n - 1].id);
		/* A fleet's list has several pages: they are one list only if read together. */
		if (cloud_take(core))
			ask_list(core);
	} else {
		list_ended(core);
	}
	free(list);
}

static void ask_list(struct core *core)
{
	char *path;

	core->rentals.list_out = true;
	if (!*core->rentals.list_after)
		core->rentals.list_round++;
	if (*core->rentals.list_after)
		path = fmt_path(W_PATH_MACHINES "?" W_AFTER "=%s&" W_LIMIT "=%d",
				core->rentals.list_after, RANGE_LIMIT);
	else
		path = fmt_path(W_PATH_MACHINES "?" W_LIMIT "=%d", RANGE_LIMIT);
	core_call(core, core->conf->cloud, "GET", path, NULL, CALL_CLOUD_S, on_list, NULL);
}

void list_tick(struct core *core)
{
	if (!core->rentals.list_out && core->now >= core->rentals.next_list && cloud_take(core))
		ask_list(core);
}
