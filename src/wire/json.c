#include "wire/wire.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "constants.h"
#include "wire/names.h"

static const char *const listed_states[] = {W_MS_BOOTING, W_MS_RUNNING, W_MS_FAILED};

#define LEN(a) (sizeof(a) / sizeof((a)[0]))

static int name_index(const char *const *names, size_t n, const char *s)
{
	for (size_t i = 0; s && i < n; i++)
		if (!strcmp(names[i], s))
			return (int)i;
	return -1;
}

static int get_text(json_t *o, const char *key, char *out, size_t cap)
{
	const char *s = json_string_value(json_object_get(o, key));

	if (!s || strlen(s) >= cap)
		return -1;
	memcpy(out, s, strlen(s) + 1);
	return 0;
}

static int get_number(json_t *o, const char *key, double *out)
{
	json_t *v = json_object_get(o, key);

	if (!json_is_number(v))
		return -1;
	*out = json_number_value(v);
	return isfinite(*out) && *out >= 0 && *out < WIRE_NUMBER_MAX ? 0 : -1;
}

static int get_count(json_t *o, const char *key, uint64_t *out)
{
	json_t *v = json_object_get(o, key);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return -1;
	*out = (uint64_t)json_integer_value(v);
	return 0;
}

static int get_bool(json_t *o, const char *key, int *out)
{
	json_t *v = json_object_get(o, key);

	*out = json_is_true(v);
	return json_is_boolean(v) ? 0 : -1;
}

static int decode_type(json_t *o, struct machine_type *t)
{
	json_t *zones = json_object_get(o, W_ZONES), *e;
	size_t i;

	if (get_text(o, W_NAME, t->name, sizeof(t->name)) || get_number(o, W_CPUS, &t->cpus) ||
	    get_number(o, W_MEMORY, &t->mem_gb) || get_number(o, W_PRICE, &t->price))
		return -1;
	if (get_number(o, W_GPUS, &t->gpus))
		t->gpus = 0;
	if (get_number(o, W_CACHE, &t->cache_gb))
		t->cache_gb = 0;
	if (get_number(o, W_FETCH, &t->fetch_gb_per_s))
		t->fetch_gb_per_s = 0;
	if (get_number(o, W_SPOT_PRICE, &t->spot_price))
		t->spot_price = t->price;
	if (get_number(o, W_BOOT, &t->boot_s))
		t->boot_s = 0;
	json_array_foreach (zones, i, e) {
		if (name_list_add(&t->zones, json_string_value(e)))
			return -1;
	}
	return t->zones.count ? 0 : -1;
}

int wire_types_decode(json_t *o, struct machine_type **out, size_t *n)
{
	json_t *a = json_object_get(o, W_TYPES), *e;
	size_t i;

	*n = 0;
	if (!json_is_array(a) || !json_array_size(a))
		return -1;
	*out = calloc(json_array_size(a), sizeof(**out));
	if (!*out)
		abort();
	json_array_foreach (a, i, e) {
		struct machine_type *type = &(*out)[*n];

		if (decode_type(e, type)) {
			name_list_free(&type->zones);
			memset(type, 0, sizeof(*type));
		} else {
			(*n)++;
		}
	}
	if (*n)
		return 0;
	free(*out);
	return -1;
}

void wire_types_free(struct machine_type *types, size_t n)
{
	for (size_t i = 0; i < n; i++)
		name_list_free(&types[i].zones);
	free(types);
}

json_t *wire_types_encode(const struct machine_type *t, size_t n)
{
	json_t *a = json_array(), *o = json_object();

	for (size_t i = 0; i < n; i++) {
		json_t *e = json_object(), *z = json_array();

		for (int k = 0; k < t[i].zones.count; k++)
			json_array_append_new(z, json_string(t[i].zones.names[k]));
		json_object_set_new(e, W_NAME, json_string(t[i].name));
		json_object_set_new(e, W_CPUS, json_real(t[i].cpus));
		json_object_set_new(e, W_GPUS, json_real(t[i].gpus));
		json_object_set_new(e, W_MEMORY, json_real(t[i].mem_gb));
		json_object_set_new(e, W_CACHE, json_real(t[i].cache_gb));
		json_object_set_new(e, W_FETCH, json_real(t[i].fetch_gb_per_s));
		json_object_set_new(e, W_PRICE, json_real(t[i].price));
		json_object_set_new(e, W_SPOT_PRICE, json_real(t[i].spot_price));
		json_object_set_new(e, W_BOOT, json_real(t[i].boot_s));
		json_object_set_new(e, W_ZONES, z);
		json_array_append_new(a, e);
	}
	json_object_set_new(o, W_TYPES, a);
	return o;
}

static int decode_listed(json_t *o, struct listed_machine *m)
{
	int st = name_index(listed_states, LEN(listed_states),
			    json_string_value(json_object_get(o, W_STATE)));

	if (get_text(o, W_ID, m->id, sizeof(m->id)) || !*m->id || st < 0 ||
	    get_text(o, W_TYPE, m->type, sizeof(m->type)) ||
	    get_text(o, W_ZONE, m->zone, sizeof(m->zone)) || get_bool(o, W_SPOT, &m->spot))
		return -1;
	if (get_text(o, W_ADDR, m->addr, sizeof(m->addr)))
		m->addr[0] = 0;
	if (get_number(o, W_AGE, &m->age_s))
		m->age_s = 0;
	m->state = (enum listed_state)st;
	return 0;
}

int wire_list_decode(const char *body, size_t len, struct listed_machine **out, size_t *n,
		     int *more)
{
	json_t *o = wire_parse(body, len), *a = json_object_get(o, W_MACHINES_LIST), *e;
	size_t i;

	*n = 0;
	if (!json_is_array(a)) {
		json_decref(o);
		return -1;
	}
	*more = json_is_true(json_object_get(o, W_MORE));
	*out = calloc(json_array_size(a) + 1, sizeof(**out));
	if (!*out)
		abort();
	json_array_foreach (a, i, e) {
		if (!decode_listed(e, &(*out)[*n]))
			(*n)++;
	}
	json_decref(o);
	return 0;
}

char *wire_rental(const char *request, const char *type, const char *zone, int spot, int count)
{
	json_t *o = json_object();

	json_object_set_new(o, W_REQUEST, json_string(request));
	json_object_set_new(o, W_TYPE, json_string(type));
	json_object_set_new(o, W_ZONE, json_string(zone));
	json_object_set_new(o, W_SPOT, json_boolean(spot));
	json_object_set_new(o, W_COUNT, json_integer(count));
	return wire_serialize(o);
}

char *wire_delete(const char *const *ids, size_t n)
{
	json_t *o = json_object(), *a = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(a, json_string(ids[i]));
	json_object_set_new(o, W_MACHINES_LIST, a);
	return wire_serialize(o);
}

int wire_rented(const char *body, size_t len, char ***ids, size_t *n)
{
	json_t *o = wire_parse(body, len), *a = json_object_get(o, W_MACHINES_LIST), *e;
	size_t i;

	*n = 0;
	if (!json_is_array(a)) {
		json_decref(o);
		return -1;
	}
	*ids = calloc(json_array_size(a) + 1, sizeof(**ids));
	if (!*ids)
		abort();
	json_array_foreach (a, i, e) {
		if (json_is_string(e) && strlen(json_string_value(e)) < ID_MAX)
			(*ids)[(*n)++] = strdup(json_string_value(e));
	}
	json_decref(o);
	return 0;
}

static uint64_t count_of(json_t *o, const char *key)
{
	uint64_t v = 0;

	return get_count(o, key, &v) ? 0 : v;
}

uint64_t wire_revision(json_t *o)
{
	return count_of(o, W_REVISION);
}

uint64_t wire_lease(json_t *o)
{
	return count_of(o, W_LEASE);
}

char *wire_lease_body(int ttl_ms)
{
	json_t *o = json_object();

	json_object_set_new(o, W_TTL, json_integer(ttl_ms));
	return wire_serialize(o);
}

int wire_kv(json_t *o, struct kv_item *out)
{
	const char *key = json_string_value(json_object_get(o, W_KEY));

	out->value = json_object_get(o, W_VALUE);
	out->version = count_of(o, W_VERSION);
	if (!key)
		key = json_string_value(json_object_get(o, W_PUT));
	if (!key) {
		key = json_string_value(json_object_get(o, W_DROP));
		out->value = NULL;
	}
	out->key = key;
	return key ? 0 : -1;
}

void wire_items(json_t *o, void (*each)(void *ctx, const struct kv_item *it), void *ctx)
{
	json_t *a = json_object_get(o, W_ITEMS), *e;
	struct kv_item it;
	size_t i;

	if (!a)
		a = json_object_get(o, W_EVENTS);
	json_array_foreach (a, i, e) {
		if (!wire_kv(e, &it))
			each(ctx, &it);
	}
}

int wire_more(json_t *o)
{
	return json_is_true(json_object_get(o, W_MORE));
}

int wire_failed_has(json_t *o, const char *key)
{
	json_t *e;
	size_t i;

	json_array_foreach (json_object_get(o, W_FAILED), i, e) {
		if (json_is_string(e) && !strcmp(json_string_value(e), key))
			return 1;
	}
	return 0;
}
