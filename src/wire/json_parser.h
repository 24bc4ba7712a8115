/*
 * Parses the JSON text of a message that came from outside: from users, agents, the cloud or the
 * state service. The text must be JSON by RFC 8259. A value that can't be kept, though it is legal,
 * is no reason to refuse the message: the receiver must ignore the fields that it does not know,
 * whatever they hold. Such a value is replaced by the unreadable value, an empty object, which
 * the functions of json_fields.h refuse, except that those with a fallback take it for a missing
 * field:
 * - numbers too large for a double;
 * - texts that UTF-8 or a C string can't hold: an escaped lone surrogate or NUL;
 * - values nested deeper than JSON_NESTING_MAX;
 * - values of a name that an object has more than once.
 * Members whose names can't be kept are left out.
 */
#ifndef PLOVERLOFT_JSON_PARSER_H
#define PLOVERLOFT_JSON_PARSER_H

#include <stddef.h>

#include <jansson.h>

/*
 * Parses `len` bytes of text. Returns NULL if the text is not exactly one JSON object or array. The
 * caller releases the value with json_decref. An integer from 0 to 2^64 - 1 without a sign is
 * a json_integer of the same 64 bits; any other number is a json_real.
 */
json_t *wire_parse(const char *body, size_t len);

/* Like wire_parse. After NULL, `*failed_at` is the offset in the text at which parsing failed, at
 * most `len`; else it is 0. */
json_t *wire_parse_at(const char *body, size_t len, size_t *failed_at);

#endif
