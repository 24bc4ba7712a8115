/* Decodes the cloud's catalog and list of machines, and encodes requests to it. */
#include "wire/cloud_codec.h"

#include <stdlib.h>
#include <string.h>

#include "util/xalloc.h"
#include "wire/json_fields.h"
#include "wire/json_parser.h"
#include "wire/json_text.h"
#include "wire/names.h"

static const char *const listed_state_names[] = {[CLOUD_BOOTING] = W_CLOUD_BOOTING,
						 [CLOUD_RUNNING] = W_CLOUD_RUNNING,
						 [CLOUD_FAILED] = W_CLOUD_FAILED};

static const struct name_table listed_states = NAME_TABLE(listed_state_names);

/* Decodes the zones of a machine type. Returns -1 if there is no zone, or one with an invalid name.
 */
static int decode_zones(const json_t *object, struct machine_type *type)
{
	if (!names_decode(json_object_get(object, W_ZONES), &type->zones) && type->zones.count)
		return 0;
	name_list_free(&type->zones);
	return -1;
}

static int decode_type(const json_t *object, void *out)
{
	struct machine_type *type = out;

	if (field_text(object, W_TYPE_NAME, type->name, sizeof(type->name)) ||
	    field_number(object, W_CPUS, &type->cpus) ||
	    field_number(object, W_MEMORY, &type->mem_gb) ||
	    field_number(object, W_PRICE, &type->price))
		return -1;
	type->gpus = field_number_or(object, W_GPUS, 0);
	type->cache_gb = field_number_or(object, W_CACHE, 0);
	type->fetch_gb_per_s = field_number_or(object, W_FETCH_RATE, 0);
	type->spot_price = field_number_or(object, W_SPOT_PRICE, type->price);
	type->boot_s = field_number_or(object, W_BOOT_TIME, 0);
	return decode_zones(object, type);
}

int wire_machine_types_decode(json_t *object, struct machine_type **types, size_t *count)
{
	const json_t *array = json_object_get(object, W_MACHINE_TYPES);

	*count = 0;
	if (!json_is_array(array) || !json_array_size(array))
		return -1;
	*types = elements_decode(array, sizeof(**types), decode_type, count);
	if (*count)
		return 0;
	free(*types);
	return -1;
}

void wire_machine_types_free(struct machine_type *types, size_t count)
{
	for (size_t i = 0; i < count; i++)
		name_list_free(&types[i].zones);
	free(types);
}

static json_t *encode_type(const struct machine_type *type)
{
	json_t *object = json_object();

	json_object_set_new(object, W_TYPE_NAME, json_string(type->name));
	json_object_set_new(object, W_CPUS, json_real(type->cpus));
	json_object_set_new(object, W_GPUS, json_real(type->gpus));
	json_object_set_new(object, W_MEMORY, json_real(type->mem_gb));
	json_object_set_new(object, W_CACHE, json_real(type->cache_gb));
	json_object_set_new(object, W_FETCH_RATE, json_real(type->fetch_gb_per_s));
	json_object_set_new(object, W_PRICE, json_real(type->price));
	json_object_set_new(object, W_SPOT_PRICE, json_real(type->spot_price));
	json_object_set_new(object, W_BOOT_TIME, json_real(type->boot_s));
	json_object_set_new(object, W_ZONES, names_encode(&type->zones));
	return object;
}

json_t *wire_machine_types_encode(const struct machine_type *types, size_t count)
{
	json_t *object = json_object();
	json_t *array = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(array, encode_type(&types[i]));
	json_object_set_new(object, W_MACHINE_TYPES, array);
	return object;
}

static int decode_listed(const json_t *object, void *out)
{
	struct listed_machine *machine = out;
	int state = field_enum(object, W_STATE, &listed_states);

	if (field_nonempty_text(object, W_ID, machine->id, sizeof(machine->id)) || state < 0 ||
	    field_text(object, W_MACHINE_TYPE, machine->type, sizeof(machine->type)) ||
	    field_text(object, W_ZONE, machine->zone, sizeof(machine->zone)) ||
	    field_bool(object, W_SPOT, &machine->spot))
		return -1;
	if (field_text(object, W_ADDR, machine->addr, sizeof(machine->addr)))
		machine->addr[0] = 0;
	machine->age_s = field_number_or(object, W_AGE, 0);
	machine->state = (enum listed_state)state;
	return 0;
}

/*
 * Parses an answer of the cloud and returns its list of machines, or NULL if it has none. The list
 * belongs to `*answer`, which the caller releases with json_decref unless NULL is returned.
 */
static const json_t *parse_machine_list(const char *body, size_t len, json_t **answer)
{
	const json_t *list;

	*answer = wire_parse(body, len);
	list = json_object_get(*answer, W_MACHINES_LIST);
	if (json_is_array(list))
		return list;
	json_decref(*answer);
	return NULL;
}

int wire_machine_page_decode(const char *body, size_t len, struct listed_machine **machines,
			     size_t *count, bool *more)
{
	json_t *answer;
	const json_t *list = parse_machine_list(body, len, &answer);

	*count = 0;
	if (!list)
		return -1;
	*more = field_is_true(answer, W_MORE);
	*machines = elements_decode(list, sizeof(**machines), decode_listed, count);
	json_decref(answer);
	return 0;
}

char *wire_rental_request(const char *request, const char *type, const char *zone, bool spot,
			  int count)
{
	json_t *object = json_object();

	json_object_set_new(object, W_REQUEST_NAME, json_string(request));
	json_object_set_new(object, W_MACHINE_TYPE, json_string(type));
	json_object_set_new(object, W_ZONE, json_string(zone));
	json_object_set_new(object, W_SPOT, json_boolean(spot));
	json_object_set_new(object, W_MACHINE_COUNT, json_integer(count));
	return wire_serialize(object);
}

char *wire_delete_request(const char *const *ids, size_t count)
{
	json_t *object = json_object();
	json_t *array = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(array, json_string(ids[i]));
	json_object_set_new(object, W_MACHINES_LIST, array);
	return wire_serialize(object);
}

int wire_rental_answer_decode(const char *body, size_t len, char ***ids, size_t *count)
{
	json_t *answer;
	const json_t *list = parse_machine_list(body, len, &answer);
	const json_t *id;
	size_t i;

	*count = 0;
	if (!list)
		return -1;
	*ids = xcalloc(json_array_size(list), sizeof(**ids));
	json_array_foreach (list, i, id) {
		if (json_is_string(id) && json_string_length(id) < ID_MAX)
			(*ids)[(*count)++] = xstrdup(json_string_value(id));
	}
	json_decref(answer);
	return 0;
}
