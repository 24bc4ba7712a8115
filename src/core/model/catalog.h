/* The catalog: the machine types that the cloud offers, with their sizes and prices. */
#ifndef PLOVERLOFT_CATALOG_H
#define PLOVERLOFT_CATALOG_H

#include <stdbool.h>
#include <stddef.h>

#include "wire/wire.h"

struct core;

/* The newest catalog that was read. Followers have one too. */
struct catalog {
	struct machine_type *types; /* owned, in the cloud's order; NULL: no catalog was read yet */
	size_t type_count;
};

/* True if a catalog was read, from the cloud or from its copy in the state service. */
bool catalog_is_known(const struct core *core);
/* The number of types in the catalog; 0 while it is not known. */
size_t catalog_type_count(const struct core *core);
/* The type at `index`, in the order of the catalog. `index` must be below the number of types. */
const struct machine_type *catalog_type(const struct core *core, size_t index);
/* The type with this name; NULL if the catalog has none. */
const struct machine_type *catalog_find(const struct core *core, const char *name);
/*
 * Replaces the types of the catalog, which owns the new ones from then on. Machines still point to
 * the old ones, which are freed: call machines_apply_catalog next.
 */
void catalog_set(struct core *core, struct machine_type *types, size_t count);
/* Frees the types. Afterwards the catalog must not be used until catalog_set has set new ones. */
void catalog_free(struct core *core);

#endif
