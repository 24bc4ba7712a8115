/*
 * Tombstones: the names of machines that were deleted in this term, which lagging lists and late
 * copies of their reports may still name.
 */
#ifndef PLOVERLOFT_TOMBSTONES_H
#define PLOVERLOFT_TOMBSTONES_H

#include <stdbool.h>

#include <uthash.h>

#include "wire/wire.h"

struct core;

/* A deleted machine that lagging lists may still name. */
struct tombstone {
	char id[ID_MAX];
	double deleted_at;
	UT_hash_handle hh;
};

struct tombstones {
	struct tombstone *list; /* oldest first */
	double trimmed_at;	/* steady */
};

bool machine_has_tombstone(struct core *core, const char *id);
/* The machine is deleted: lists and copies of its reports that still name it are void. */
void tombstone_add(struct core *core, const char *id);
/* Enough tombstones are old enough that a new token is worth it, under which they are needless. */
bool tombstones_need_new_token(const struct core *core);
/*
 * A new token is held, taken at that moment: copies of reports of machines deleted before it are
 * void under it, and so are tombstones that no list needs any more.
 */
void tombstones_trim(struct core *core, double fenced_at);
void tombstones_clear(struct core *core);

#endif
