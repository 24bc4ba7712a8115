/*
 * Tombstones: the ids of machines that were deleted in this term. Inventories lag, and copies of
 * reports may arrive late; neither may bring a deleted machine back to life.
 */
#ifndef PLOVERLOFT_TOMBSTONES_H
#define PLOVERLOFT_TOMBSTONES_H

#include <stdbool.h>

#include <uthash.h>

#include "wire/wire.h"

struct core;

struct tombstone {
	char id[ID_MAX];
	double deleted_at; /* steady */
	UT_hash_handle hh;
};

struct tombstones {
	struct tombstone *list; /* oldest first */
	double trimmed_at;	/* steady; when a new token last allowed it */
};

/* Whether a machine of this name was deleted in this term. */
bool machine_has_tombstone(const struct core *core, const char *id);
/* The machine is deleted: inventories and copies of its reports that still name it are void. */
void tombstone_add(struct core *core, const char *id);
/* Whether enough tombstones are old enough that a new token, under which they are needless, is
 * worth its write. */
bool tombstones_need_new_token(const struct core *core);
/*
 * A new token is held, taken at that moment: copies of reports of machines deleted before it are
 * void under it, and so are tombstones that no inventory needs any more.
 */
void tombstones_trim(struct core *core, double fenced_at);
/* Frees all tombstones. Leadership has ended. */
void tombstones_clear(struct core *core);

#endif
