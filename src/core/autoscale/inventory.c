#include "core/autoscale/inventory.h"

#include <stdio.h>
#include <stdlib.h>

#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"

/* The machine of an entry, added if it is new; NULL if the entry is to be ignored. */
static struct machine *machine_of_entry(struct core *core, const struct listed_machine *entry)
{
	struct machine *machine = machine_find(core, entry->id);

	if (machine)
		return machine;
	/* A lagging inventory still names what was deleted: it must not come back to life. */
	if (machine_has_tombstone(core, entry->id) || entry->state == CLOUD_FAILED)
		return NULL;
	machine = machine_find_or_add(core, entry->id);
	machine->cloud.rented_at = core->now - entry->age_s;
	log_info("machine_listed", "machine=%s type=%s state=%d age=%.1f", entry->id, entry->type,
		 entry->state, entry->age_s);
	return machine;
}

static void take_entry(struct core *core, const struct listed_machine *entry)
{
	struct machine *machine = machine_of_entry(core, entry);

	if (!machine)
		return;
	machine_set_identity(core, machine, entry->addr, entry->type, entry->zone, entry->spot);
	machine->cloud.listed = true;
	machine->cloud.expected = true;
	machine->cloud.missed_inventories = 0;
	machine->cloud.inventory_number = core->autoscale.inventory.number;
	if (entry->state == CLOUD_FAILED)
		machine->cloud.failed = true;
	if (entry->state == CLOUD_RUNNING)
		probe_unseen_machine(core, machine);
}

/* All pages are read: counts the machines that were listed before and are not any more. */
static void finish_inventory(struct core *core)
{
	struct inventory_reader *inventory = &core->autoscale.inventory;
	struct machine *machine, *next;

	MACHINES_FOR_EACH (core, machine, next)
		if (machine->cloud.listed && machine->cloud.inventory_number != inventory->number)
			machine->cloud.missed_inventories++;
	inventory->cursor[0] = 0;
	inventory->next_read_at = core->now + INVENTORY_INTERVAL_S;
}

static void read_page(struct core *core);

static void on_page(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct inventory_reader *inventory = &core->autoscale.inventory;
	struct listed_machine *entries;
	size_t count;
	bool more;

	if (election_call_is_stale(core, call))
		return;
	inventory->in_flight = false;
	cloud_note_answer(core, answer);
	if (answer->status != STATUS_OK ||
	    wire_machine_page_decode(answer->body, answer->len, &entries, &count, &more))
		return;
	for (size_t i = 0; i < count; i++)
		take_entry(core, &entries[i]);
	if (more && count) {
		snprintf(inventory->cursor, sizeof(inventory->cursor), "%s", entries[count - 1].id);
		/* A fleet's list has several pages: they are one list only if read together. */
		if (cloud_request_allowed(core))
			read_page(core);
	} else {
		finish_inventory(core);
	}
	free(entries);
}

static char *page_path(const char *cursor)
{
	if (!*cursor)
		return format_path(W_PATH_MACHINES "?" W_LIMIT "=%d", PAGE_ITEMS_MAX);
	return format_path(W_PATH_MACHINES "?" W_AFTER "=%s&" W_LIMIT "=%d", cursor,
			   PAGE_ITEMS_MAX);
}

static void read_page(struct core *core)
{
	struct inventory_reader *inventory = &core->autoscale.inventory;

	inventory->in_flight = true;
	if (!*inventory->cursor)
		inventory->number++;
	core_call(core, core->conf->cloud_addr, "GET", page_path(inventory->cursor), NULL,
		  CALL_CLOUD_TIMEOUT_S, on_page, NULL);
}

void inventory_tick(struct core *core)
{
	const struct inventory_reader *inventory = &core->autoscale.inventory;

	if (!inventory->in_flight && core->now >= inventory->next_read_at &&
	    cloud_request_allowed(core))
		read_page(core);
}

/* The number is kept: it only rises. */
void inventory_clear(struct core *core)
{
	struct inventory_reader *inventory = &core->autoscale.inventory;

	inventory->in_flight = false;
	inventory->cursor[0] = 0;
	inventory->next_read_at = 0;
}
