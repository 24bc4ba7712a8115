/*
 * Reads and checks the fields of JSON objects; used by the codecs of src/wire only. Unless stated
 * otherwise, a function that reads a field returns 0, or -1 if the field is missing, of another
 * type or out of range. After -1 the value of `*out` is not valid.
 */
#ifndef PLOVERLOFT_JSON_FIELDS_H
#define PLOVERLOFT_JSON_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "wire/name_list.h"

/* The number of elements of an array. The result is wrong for a pointer. */
#define ARRAY_LENGTH(array) (sizeof(array) / sizeof((array)[0]))

/* The names on the wire of an enum's values, indexed by value. */
struct name_table {
	const char *const *names;
	size_t count;
};

/* Initializer of a name_table for an array of names. */
#define NAME_TABLE(array)                                                                          \
	{                                                                                          \
		(array), ARRAY_LENGTH(array)                                                       \
	}

/* Copies the field's text, which must fit into `capacity` bytes with its NUL. After -1 `out` is
 * unchanged. */
int field_text(const json_t *object, const char *key, char *out, size_t capacity);

/* Like field_text, but the text must not be empty. */
int field_nonempty_text(const json_t *object, const char *key, char *out, size_t capacity);

/* Reads a text that must not be empty. One that is too long is shortened, see short_name.h. */
int field_name(const json_t *object, const char *key, char out[NAME_MAX_LEN]);

/* Reads a number of any sign. */
int field_finite_number(const json_t *object, const char *key, double *out);

/* Reads a number of at least 0. A number that is not below WIRE_NUMBER_MAX is read as
 * WIRE_NUMBER_LARGEST. */
int field_amount(const json_t *object, const char *key, double *out);

/* Reads a number from 0 to below WIRE_NUMBER_MAX. */
int field_number(const json_t *object, const char *key, double *out);

/* Returns the number that field_number would read, or `fallback` if the field is missing or
 * invalid. */
double field_number_or(const json_t *object, const char *key, double fallback);

/* Reads an integer from 0 to 2^64 - 1, or below EXACT_INTEGER_MAX if it is spelled with a fraction
 * or an exponent, such as 2.0. */
int field_count(const json_t *object, const char *key, uint64_t *out);

/* Returns the integer that field_count would read, or 0 if the field is missing or invalid. */
uint64_t field_count_or_zero(const json_t *object, const char *key);

/* Reads true or false. */
int field_bool(const json_t *object, const char *key, bool *out);

/* Whether the field is present and true. */
bool field_is_true(const json_t *object, const char *key);

/* Returns the field's text, which belongs to the object; NULL if the field is missing or not a
 * text. */
const char *field_string(const json_t *object, const char *key);

/* Returns the enum value that the field names; -1 if the field or the name is not valid. */
int field_enum(const json_t *object, const char *key, const struct name_table *table);

/* Whether the field is missing or null. */
bool field_is_absent(const json_t *object, const char *key);

/* Appends the names of a JSON array to the list. Returns 0, or -1 at the first invalid name: the
 * names before the invalid one are in the list. */
int names_decode(const json_t *array, struct name_list *list);

/* Encodes the names as a JSON array, which the caller releases with json_decref. */
json_t *names_encode(const struct name_list *list);

/* Decodes one element of an array into a zeroed struct. Returns 0, or -1 if the element is invalid.
 * A decoder that fails must free what it allocated. */
typedef int element_decoder(const json_t *element, void *out);

/*
 * Decodes the elements of a JSON array into a new array of structs of `size` bytes, without the
 * invalid elements. `*count` is the number of structs. The caller frees the array.
 */
void *elements_decode(const json_t *array, size_t size, element_decoder *decode, size_t *count);

#endif
