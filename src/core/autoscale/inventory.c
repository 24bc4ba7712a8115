/* The cloud's list of machines, and tombstones of those that are deleted though it still names
 * them. */
#include "core/state.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/log.h"
#include "wire/names.h"

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

	MACHINES_FOR_EACH (core, machine, tmp)
		if (machine->cloud.listed &&
		    machine->cloud.inventory_number != core->autoscale.inventory_number)
			machine->cloud.missed_inventories++;
	core->autoscale.inventory_cursor[0] = 0;
	core->autoscale.next_inventory_at = core->now + INVENTORY_EVERY_S;
}

static void ask_list(struct core *core);

static void on_list(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct listed_machine *list;
	size_t n;
	int more;

	if (election_call_is_stale(core, call))
		return;
	core->autoscale.inventory_in_flight = false;
	cloud_note_answer(core, answer);
	if (answer->status != STATUS_OK ||
	    wire_list_decode(answer->body, answer->len, &list, &n, &more))
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
