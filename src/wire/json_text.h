/* Parses JSON text and serializes JSON values. */
#ifndef PLOVERLOFT_JSON_TEXT_H
#define PLOVERLOFT_JSON_TEXT_H

#include <stddef.h>

#include <jansson.h>

/*
 * Parses `len` bytes of text. Returns NULL if the text is not exactly one JSON object or array, or
 * if an object has a key twice. The caller releases the value with json_decref.
 */
json_t *wire_parse(const char *body, size_t len);

/* Like wire_parse. After NULL, `*failed_at` is the offset in the text at which parsing failed, at
 * most `len`; else it is 0. */
json_t *wire_parse_at(const char *body, size_t len, size_t *failed_at);

/* Returns the compact text of an object or array, which the caller frees, and releases the value.
 */
char *wire_serialize(json_t *value);

/* Returns the length in bytes of the compact text of an object or array. */
size_t wire_value_bytes(const json_t *value);

#endif
