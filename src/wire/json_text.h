/* JSON values from and to text. */
#ifndef PLOVERLOFT_JSON_TEXT_H
#define PLOVERLOFT_JSON_TEXT_H

#include <stddef.h>

#include <jansson.h>

/*
 * The value of `len` bytes of text, which the caller releases with json_decref; NULL if they are
 * not one JSON object or array, or if an object has a key twice.
 */
json_t *wire_parse(const char *body, size_t len);

/* The text of an object or array as it is sent, which the caller frees. Takes over the value. */
char *wire_serialize(json_t *value);

/* The bytes of a value's text as it would be sent. */
size_t wire_value_bytes(const json_t *value);

#endif
