/*
 * Tombstones: the ids of machines that were deleted in this term. Inventories lag behind the cloud,
 * and copies of reports may arrive late. Without a tombstone, either could add a machine again that
 * no longer exists.
 */
#ifndef PLOVERLOFT_TOMBSTONES_H
#define PLOVERLOFT_TOMBSTONES_H

#include <stdbool.h>

#include <uthash.h>

#include "wire/wire.h"

struct core;

/* A machine that was deleted. */
struct tombstone {
	char id[ID_MAX];
	double deleted_at; /* steady seconds; when the cloud's answer to the delete came */
	UT_hash_handle hh; /* links of the hash table tombstones.list, by id */
};

/* All tombstones of the term. */
struct tombstones {
	struct tombstone *list; /* hash table by id, in the order of additions, oldest first */
	double trimmed_at;	/* steady seconds; when tombstones_trim was last called; 0: never */
};

/* True if the machine with this id was deleted in this term and its tombstone is still kept. */
bool machine_has_tombstone(const struct core *core, const char *id);
/* Adds a tombstone for a machine that was deleted now. */
void tombstone_add(struct core *core, const char *id);
/*
 * True if a new fencing token is to be requested so that tombstones can be removed: there are more
 * than TOMBSTONES_MAX tombstones, at least the oldest is not needed under a new token, and
 * tombstones_trim was not called within the last TOMBSTONE_INVENTORY_MARGIN_S.
 */
bool tombstones_need_new_token(const struct core *core);
/*
 * Removes the tombstones that are not needed under a new fencing token, whose write was sent at
 * `fenced_at` (steady seconds). Late copies of reports of machines that were deleted before then
 * show an older token and are stale (see reports.h). The tombstone of such a machine is needed only
 * while an inventory may still name the machine.
 */
void tombstones_trim(struct core *core, double fenced_at);
/* Frees all tombstones. Called when leadership has ended. */
void tombstones_clear(struct core *core);

#endif
