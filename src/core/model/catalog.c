#include "core/model/catalog.h"

#include <string.h>

#include "core/state.h"

bool catalog_is_known(const struct core *core)
{
	return core->catalog.types != NULL;
}

size_t catalog_type_count(const struct core *core)
{
	return core->catalog.type_count;
}

const struct machine_type *catalog_type(const struct core *core, size_t index)
{
	return &core->catalog.types[index];
}

const struct machine_type *catalog_find(const struct core *core, const char *name)
{
	for (size_t i = 0; i < core->catalog.type_count; i++)
		if (!strcmp(core->catalog.types[i].name, name))
			return &core->catalog.types[i];
	return NULL;
}

void catalog_set(struct core *core, struct machine_type *types, size_t count)
{
	catalog_free(core);
	core->catalog.types = types;
	core->catalog.type_count = count;
}

void catalog_free(struct core *core)
{
	wire_machine_types_free(core->catalog.types, core->catalog.type_count);
}
