/* The catalog: the machine types that the cloud offers, with their sizes and prices. */
#ifndef PLOVERLOFT_CATALOG_H
#define PLOVERLOFT_CATALOG_H

#include <stdbool.h>
#include <stddef.h>

#include "wire/wire.h"

struct core;

/* The newest catalog that was read. Followers keep a catalog too. */
struct catalog {
	/* Owned array, in the order in which the cloud lists the types; NULL: no catalog was read
	 * yet. */
	struct machine_type *types;
	size_t type_count;
};

/* True if a catalog was read, from the cloud or from its copy in the state service. */
bool catalog_is_known(const struct core *core);
/* The number of machine types in the catalog; 0 while no catalog was read. */
size_t catalog_type_count(const struct core *core);
/* The machine type at `index` in the catalog. `index` must be below catalog_type_count. */
const struct machine_type *catalog_type(const struct core *core, size_t index);
/* The machine type with this name; NULL if the catalog has no such type. */
const struct machine_type *catalog_find(const struct core *core, const char *name);
/*
 * Frees the machine types of the catalog and replaces them by `types`, an array that the catalog
 * owns from then on. Machines still point to the freed types: call machines_apply_catalog next.
 */
void catalog_set(struct core *core, struct machine_type *types, size_t count);
/* Frees the machine types of the catalog. Afterwards the catalog must not be used until catalog_set
 * has set new types. */
void catalog_free(struct core *core);

#endif
