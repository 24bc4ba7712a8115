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

	HASH_FIND_STR(core->autoscale.tombstones, id, tombstone);
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
	tombstone->deleted_at = core->now;
	HASH_ADD_STR(core->autoscale.tombstones, id, tombstone);
}

/* No list still names a machine that was deleted before this moment. */
static double lists_name_since(const struct core *core)
{
	return core->now - TOMBSTONE_LISTS_S - 2 * core->conf->list_lag_s;
}

bool tombstones_need_new_token(const struct core *core)
{
	const struct tombstone *oldest =
	    core->autoscale.tombstones; /* in the order of their adding */

	return HASH_COUNT(core->autoscale.tombstones) > TOMBSTONES_MAX &&
	       core->now - core->autoscale.tombstones_trimmed_at > TOMBSTONE_LISTS_S &&
	       oldest->deleted_at < lists_name_since(core);
}

void tombstones_trim(struct core *core, double fenced_at)
{
	double before = fmin(fenced_at, lists_name_since(core));
	struct tombstone *tombstone, *tmp;

	core->autoscale.tombstones_trimmed_at = core->now;
	HASH_ITER (hh, core->autoscale.tombstones, tombstone, tmp) {
		if (tombstone->deleted_at >= before)
			break;
		HASH_DEL(core->autoscale.tombstones, tombstone);
		free(tombstone);
	}
}

static void take_listed(struct core *core, const struct listed_machine *listed)
{
	struct machine *machine = machine_find(core, listed->id);

	/* A lagging list still names what was deleted: it must not come back to life. */
	if (!machine && (machine_has_tombstone(core, listed->id) || listed->state == CLOUD_FAILED))
		return;
	if (!machine) {
		machine = machine_find_or_add(core, listed->id);
		machine->cloud.rented_at = core->now - listed->age_s;
		log_info("machine_listed", "machine=%s type=%s state=%d age=%.1f", listed->id,
			 listed->type, listed->state, listed->age_s);
	}
	machine_set_identity(core, machine, listed->addr, listed->type, listed->zone, listed->spot);
	machine->cloud.listed = machine->cloud.expected = true;
	machine->cloud.missed_inventories = 0;
	machine->cloud.inventory_number = core->autoscale.inventory_number;
	if (listed->state == CLOUD_FAILED)
		machine->cloud.failed = true;
	if (listed->state == CLOUD_RUNNING)
		probe_unseen_machine(core, machine);
}

static void list_ended(struct core *core)
{
	struct machine *machine, *tmp;

	HASH_ITER (hh, core->fleet.machines, machine, tmp)
		if (machine->cloud.listed &&
		    machine->cloud.inventory_number != core->autoscale.inventory_number)
			machine->cloud.missed_inventories++;
	core->autoscale.inventory_cursor[0] = 0;
	core->autoscale.next_inventory_at = core->now + INVENTORY_EVERY_S;
}

static void ask_list(struct core *core);

static void on_list(struct core *core, struct call *call, int status, const char *body, size_t len)
{
	struct listed_machine *list;
	size_t n;
	int more;

	if (election_call_is_stale(core, call))
		return;
	core->autoscale.inventory_in_flight = false;
	cloud_note_answer(core, status);
	if (status != 200 || wire_list_decode(body, len, &list, &n, &more))
		return;
	for (size_t i = 0; i < n; i++)
		take_listed(core, &list[i]);
	if (more && n) {
		snprintf(core->autoscale.inventory_cursor, sizeof(core->autoscale.inventory_cursor),
			 "%s", list[n - 1].id);
		/* A fleet's list has several pages: they are one list only if read together. */
		if (cloud_request_allowed(core))
			ask_list(core);
	} else {
		list_ended(core);
	}
	free(list);
}

static void ask_list(struct core *core)
{
	char *path;

	core->autoscale.inventory_in_flight = true;
	if (!*core->autoscale.inventory_cursor)
		core->autoscale.inventory_number++;
	if (*core->autoscale.inventory_cursor)
		path = format_path(W_PATH_MACHINES "?" W_AFTER "=%s&" W_LIMIT "=%d",
				   core->autoscale.inventory_cursor, RANGE_LIMIT);
	else
		path = format_path(W_PATH_MACHINES "?" W_LIMIT "=%d", RANGE_LIMIT);
	core_call(core, core->conf->cloud, "GET", path, NULL, CALL_CLOUD_S, on_list, NULL);
}

void inventory_tick(struct core *core)
{
	if (!core->autoscale.inventory_in_flight &&
	    core->now >= core->autoscale.next_inventory_at && cloud_request_allowed(core))
		ask_list(core);
}
