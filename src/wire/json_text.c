/* Parses JSON text and serializes JSON values. */
#include "wire/json_text.h"

#include "util/xalloc.h"

json_t *wire_parse(const char *body, size_t len)
{
	size_t failed_at;

	return wire_parse_at(body, len, &failed_at);
}

json_t *wire_parse_at(const char *body, size_t len, size_t *failed_at)
{
	json_error_t error = {.position = 0};
	json_t *value = json_loadb(body, len, JSON_REJECT_DUPLICATES, &error);
	size_t position = error.position > 0 ? (size_t)error.position : 0;

	*failed_at = position < len ? position : len;
	return value;
}

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
