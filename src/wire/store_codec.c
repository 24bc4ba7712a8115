/* Decodes answers of the state service, and encodes requests for leases. */
#include "wire/store_codec.h"

#include <string.h>

#include "wire/json_fields.h"
#include "wire/json_text.h"
#include "wire/names.h"

uint64_t wire_revision(json_t *object)
{
	return field_count_or_zero(object, W_REVISION);
}

uint64_t wire_lease(json_t *object)
{
	return field_count_or_zero(object, W_LEASE);
}

char *wire_lease_request(int ttl_ms)
{
	json_t *object = json_object();

	json_object_set_new(object, W_TTL, json_integer(ttl_ms));
	return wire_serialize(object);
}

/* An item has its key in W_KEY; an event has it in W_PUT or W_DROP. */
int wire_item_decode(json_t *object, struct kv_item *item)
{
	item->key = field_string(object, W_KEY);
	item->value = json_object_get(object, W_VALUE);
	item->version = field_count_or_zero(object, W_VERSION);
	if (!item->key)
		item->key = field_string(object, W_PUT);
	if (!item->key) {
		item->key = field_string(object, W_DROP);
		item->value = NULL;
	}
	return item->key ? 0 : -1;
}

void wire_items_for_each(json_t *object, void (*each)(void *ctx, const struct kv_item *item),
			 void *ctx)
{
	const json_t *list = json_object_get(object, W_ITEMS);
	struct kv_item item;
	json_t *element;
	size_t i;

	if (!list)
		list = json_object_get(object, W_EVENTS);
	json_array_foreach (list, i, element) {
		if (!wire_item_decode(element, &item))
			each(ctx, &item);
	}
}

bool wire_has_next_page(json_t *object)
{
	return field_is_true(object, W_MORE);
}

bool wire_guard_failed(json_t *object, const char *key)
{
	const json_t *failed = json_object_get(object, W_FAILED);
	const json_t *name;
	size_t i;

	json_array_foreach (failed, i, name) {
		if (json_is_string(name) && !strcmp(json_string_value(name), key))
			return true;
	}
	return false;
}
