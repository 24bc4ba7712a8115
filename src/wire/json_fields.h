/*
 * Typed reading and writing of the fields of JSON objects. Internal to src/wire. Readers return 0,
 * or -1 if the field is missing, of another type or out of its bounds, unless they say otherwise;
 * after -1 what they were to fill in is of no use.
 */
#ifndef PLOVERLOFT_JSON_FIELDS_H
#define PLOVERLOFT_JSON_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "wire/name_list.h"

/* The number of elements of an array, not of a pointer to one. */
#define ARRAY_LENGTH(array) (sizeof(array) / sizeof((array)[0]))

/* The names of an enum's values on the wire, in the order of the values. */
struct name_table {
	const char *const *names;
	size_t count;
};

/* The initializer of a table from an array of names. */
#define NAME_TABLE(array)                                                                          \
	{                                                                                          \
		(array), ARRAY_LENGTH(array)                                                       \
	}

/* Copies a text of less than `capacity` bytes; after -1 `out` is as it was. */
int field_text(const json_t *object, const char *key, char *out, size_t capacity);

/* The same for a text that may not be empty. */
int field_nonempty_text(const json_t *object, const char *key, char *out, size_t capacity);

/* An amount of at least 0 and below WIRE_NUMBER_MAX. */
int field_number(const json_t *object, const char *key, double *out);

/* The same amount, or `fallback` if the field is missing or invalid. */
double field_number_or(const json_t *object, const char *key, double fallback);

/* A whole number of at least 0. */
int field_count(const json_t *object, const char *key, uint64_t *out);

/* The same number, or 0 if the field is missing or invalid. */
uint64_t field_count_or_zero(const json_t *object, const char *key);

/* 1 or 0 for true or false. */
int field_bool(const json_t *object, const char *key, bool *out);

/* True only if the field is there and true. */
bool field_is_true(const json_t *object, const char *key);

/* The text of a field, which belongs to the object; NULL if it is missing or no text. */
const char *field_string(const json_t *object, const char *key);

/* The enum's value whose name the field holds, or -1. */
int field_enum(const json_t *object, const char *key, const struct name_table *table);

/* True if the field is missing or null. */
bool field_is_absent(const json_t *object, const char *key);

/* Appends the names of a JSON array to the list; -1 at the first that is no valid name. */
int names_decode(const json_t *array, struct name_list *list);

/* The names as a JSON array, which the caller releases. */
json_t *names_encode(const struct name_list *list);

/* Decodes one element of an array into a struct that is all zero. 0, or -1 if it is invalid. */
typedef int element_decoder(const json_t *element, void *out);

/*
 * Decodes the elements of a JSON array into a new array of structs of `size` bytes, and leaves out
 * those that are invalid. Sets the number of those decoded; the caller frees the array.
 */
void *elements_decode(const json_t *array, size_t size, element_decoder *decode, size_t *count);

#endif
