/* Serializes JSON values. */
#include "wire/json_text.h"

#include "util/xalloc.h"

char *wire_serialize(json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	json_decref(value);
	return xalloc_checked(text);
}

size_t wire_value_bytes(const json_t *value)
{
	return json_dumpb(value, NULL, 0, JSON_COMPACT);
}
