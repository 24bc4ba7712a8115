/* Reads and checks the fields of JSON objects. */
#include "wire/json_fields.h"

#include <math.h>
#include <string.h>

#include "constants.h"
#include "util/xalloc.h"
#include "wire/short_name.h"

int field_text(const json_t *object, const char *key, char *out, size_t capacity)
{
	const char *text = field_string(object, key);

	if (!text || strlen(text) >= capacity)
		return -1;
	memcpy(out, text, strlen(text) + 1);
	return 0;
}

int field_nonempty_text(const json_t *object, const char *key, char *out, size_t capacity)
{
	if (field_text(object, key, out, capacity))
		return -1;
	return *out ? 0 : -1;
}

int field_name(const json_t *object, const char *key, char out[NAME_MAX_LEN])
{
	const char *name = field_string(object, key);

	if (!name || !*name)
		return -1;
	short_name_copy(out, name);
	return 0;
}

int field_finite_number(const json_t *object, const char *key, double *out)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_integer(value))
		*out = (double)(uint64_t)json_integer_value(value);
	else
		*out = json_real_value(value);
	return json_is_number(value) && isfinite(*out) ? 0 : -1;
}

int field_amount(const json_t *object, const char *key, double *out)
{
	if (field_finite_number(object, key, out))
		return -1;
	if (*out >= WIRE_NUMBER_MAX)
		*out = WIRE_NUMBER_LARGEST;
	return *out >= 0 ? 0 : -1;
}

int field_number(const json_t *object, const char *key, double *out)
{
	if (field_finite_number(object, key, out))
		return -1;
	return *out >= 0 && *out < WIRE_NUMBER_MAX ? 0 : -1;
}

double field_number_or(const json_t *object, const char *key, double fallback)
{
	double number;

	return field_number(object, key, &number) ? fallback : number;
}

int field_count(const json_t *object, const char *key, uint64_t *out)
{
	const json_t *value = json_object_get(object, key);
	double real = json_real_value(value);

	if (json_is_integer(value)) {
		*out = (uint64_t)json_integer_value(value);
		return 0;
	}
	if (!json_is_real(value) || real < 0 || real >= EXACT_INTEGER_MAX || real != floor(real))
		return -1;
	*out = (uint64_t)real;
	return 0;
}

uint64_t field_count_or_zero(const json_t *object, const char *key)
{
	uint64_t count;

	return field_count(object, key, &count) ? 0 : count;
}

int field_bool(const json_t *object, const char *key, bool *out)
{
	const json_t *value = json_object_get(object, key);

	*out = json_is_true(value);
	return json_is_boolean(value) ? 0 : -1;
}

bool field_is_true(const json_t *object, const char *key)
{
	return json_is_true(json_object_get(object, key));
}

const char *field_string(const json_t *object, const char *key)
{
	return json_string_value(json_object_get(object, key));
}

int field_enum(const json_t *object, const char *key, const struct name_table *table)
{
	const char *name = field_string(object, key);

	for (size_t i = 0; name && i < table->count; i++)
		if (!strcmp(table->names[i], name))
			return (int)i;
	return -1;
}

bool field_is_absent(const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);

	return !value || json_is_null(value);
}

int names_decode(const json_t *array, struct name_list *list)
{
	const json_t *name;
	size_t i;

	json_array_foreach (array, i, name) {
		if (name_list_add(list, json_string_value(name)))
			return -1;
	}
	return 0;
}

json_t *names_encode(const struct name_list *list)
{
	json_t *array = json_array();

	for (int i = 0; i < list->count; i++)
		json_array_append_new(array, json_string(list->names[i]));
	return array;
}

void *elements_decode(const json_t *array, size_t size, element_decoder *decode, size_t *count)
{
	char *elements = xcalloc(json_array_size(array), size);
	const json_t *element;
	size_t i;

	*count = 0;
	json_array_foreach (array, i, element) {
		char *out = elements + *count * size;

		if (decode(element, out))
			memset(out, 0, size);
		else
			(*count)++;
	}
	return elements;
}
