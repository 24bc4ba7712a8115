/* The catalog: the types of machines that the cloud offers. */
#ifndef PLOVERLOFT_CATALOG_H
#define PLOVERLOFT_CATALOG_H

#include <stdbool.h>
#include <stddef.h>

#include "wire/wire.h"

struct core;

struct catalog {
	struct machine_type *types; /* owned; NULL: not read yet */
	size_t type_count;
};

/* Whether it was read, from the cloud or from its copy on record. */
bool catalog_is_known(const struct core *core);
/* 0 while the catalog is not known. */
size_t catalog_type_count(const struct core *core);
/* The types in the order of the catalog; `index` is below their count. */
const struct machine_type *catalog_type(const struct core *core, size_t index);
/* NULL if the catalog has no type of this name. */
const struct machine_type *catalog_find(const struct core *core, const char *name);
/*
 * Replaces the catalog, which owns the types from then on. Machines still refer to the old ones:
 * machines_apply_catalog is to follow.
 */
void catalog_set(struct core *core, struct machine_type *types, size_t count);
/* Frees the types; the catalog is not to be used afterwards, except by catalog_set. */
void catalog_free(struct core *core);

#endif
