#include "core/autoscale/inventory.h"

#include <stdio.h>
#include <stdlib.h>

#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"

/* Returns the machine that an entry names, and adds it if it is new; NULL: ignore the entry. */
static struct machine *find_or_add_listed_machine(struct core *core,
						  const struct listed_machine *entry)
{
	struct machine *machine = machine_find(core, entry->id);

	if (machine)
		return machine;
	/* The inventory lags behind and may still list a machine that was deleted, which must not
	 * be added again. A machine that is listed first as failed is not added either. */
	if (machine_has_tombstone(core, entry->id) || entry->state == CLOUD_FAILED)
		return NULL;
	machine = machine_find_or_add(core, entry->id);
	machine->cloud.rented_at = core->now - entry->age_s;
	log_info("machine_listed", "machine=%s type=%s state=%d age=%.1f", entry->id, entry->type,
		 entry->state, entry->age_s);
	return machine;
}

/* Applies what an entry says to its machine. */
static void apply_entry(struct core *core, const struct listed_machine *entry)
{
	struct machine *machine = find_or_add_listed_machine(core, entry);

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

/*
 * Ends an inventory whose pages have all been read: each machine that an earlier inventory listed
 * and this one lacks has one more missed inventory.
 */
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
	cloud_update_backoff(core, answer);
	if (answer->status != STATUS_OK ||
	    wire_machine_page_decode(answer->body, answer->len, &entries, &count, &more))
		return;
	for (size_t i = 0; i < count; i++)
		apply_entry(core, &entries[i]);
	if (more && count) {
		snprintf(inventory->cursor, sizeof(inventory->cursor), "%s", entries[count - 1].id);
		/* A large fleet's list has several pages. They are read one right after another,
		 * since pages of different times do not make up one consistent list. */
		if (cloud_rate_limit_acquire(core))
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
	    cloud_rate_limit_acquire(core))
		read_page(core);
}

/* Does not reset the number of the newest inventory, so that no two inventories of this process
 * have the same number. */
void inventory_clear(struct core *core)
{
	struct inventory_reader *inventory = &core->autoscale.inventory;

	inventory->in_flight = false;
	inventory->cursor[0] = 0;
	inventory->next_read_at = 0;
}
