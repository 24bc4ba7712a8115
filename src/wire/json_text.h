/* Serializes JSON values. */
#ifndef PLOVERLOFT_JSON_TEXT_H
#define PLOVERLOFT_JSON_TEXT_H

#include <stddef.h>

#include <jansson.h>

/* Returns the compact text of an object or array, which the caller frees, and releases the value.
 */
char *wire_serialize(json_t *value);

/* Returns the length in bytes of the compact text of an object or array. */
size_t wire_value_bytes(const json_t *value);

#endif
