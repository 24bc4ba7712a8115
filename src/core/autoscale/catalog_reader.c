/* The catalog of machine types: from the cloud, else from the copy that a controller left on
 * record. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"

#define CATALOG_KEY "k/catalog"

static bool take_catalog(struct core *core, json_t *o)
{
	struct machine_type *types;
	size_t n;

	if (wire_types_decode(o, &types, &n))
		return false;
	catalog_set(core, types, n);
	return true;
}

static void on_nothing(struct core *core, struct call *call, const struct call_answer *answer)
{
	(void)call;
	store_note_answer(core, answer);
}

static void store_catalog_value(struct core *core, const char *key, json_t *value)
{
	struct txn txn;

	txn_begin(&txn);
	txn_guard(&txn, key, 0);
	txn_put(&txn, key, value, 0);
	store_commit(core, txn_finish(&txn), on_nothing, NULL);
}

/* One value, or where that would be too large one for each type of machine. */
static void store_catalog(struct core *core)
{
	json_t *all = wire_types_encode(catalog_type(core, 0), catalog_type_count(core));

	core->autoscale.catalog_reader.stored = true;
	if (wire_value_bytes(all) <= limits_job_record_bytes(core)) {
		store_catalog_value(core, CATALOG_KEY, all);
		return;
	}
	json_decref(all);
	for (size_t i = 0; i < catalog_type_count(core); i++) {
		char key[KEY_MAX];

		snprintf(key, sizeof(key), CATALOG_KEY "/%s", catalog_type(core, i)->name);
		store_catalog_value(core, key, wire_types_encode(catalog_type(core, i), 1));
	}
}

/* All types of all values, in the form of the cloud's answer. */
static void merge_types(void *ctx, const struct kv_item *it)
{
	if (it->value)
		json_array_extend(ctx, json_object_get(it->value, W_TYPES));
}

static void on_stored_catalog(struct core *core, struct call *call,
			      const struct call_answer *answer)
{
	json_t *object, *types, *all;

	(void)call;
	if (answer->status != STATUS_OK || catalog_is_known(core))
		return;
	object = wire_parse(answer->body, answer->len);
	types = json_array();
	wire_items(object, merge_types, types);
	all = json_pack("{s:o}", W_TYPES, types);
	if (take_catalog(core, all)) {
		core->autoscale.catalog_reader.stored = true;
		log_info("catalog", "from=state types=%zu", catalog_type_count(core));
	}
	json_decref(all);
	json_decref(object);
}

static void on_catalog(struct core *core, struct call *call, const struct call_answer *answer)
{
	bool first = !catalog_is_known(core);
	json_t *o;

	(void)call;
	core->autoscale.catalog_reader.in_flight = false;
	core->autoscale.catalog_reader.next_read_at = core->now + CLOUD_BACKOFF_S;
	if (answer->status != STATUS_OK) {
		if (first)
			store_range(core, CATALOG_KEY, "", on_stored_catalog, NULL);
		return;
	}
	o = wire_parse(answer->body, answer->len);
	if (take_catalog(core, o)) {
		core->autoscale.catalog_reader.next_read_at = core->now + CATALOG_EVERY_S;
		if (first)
			log_info("catalog", "from=cloud types=%zu", catalog_type_count(core));
		if (!core->autoscale.catalog_reader.stored)
			store_catalog(core);
	}
	json_decref(o);
}

void catalog_tick(struct core *core)
{
	if (core->autoscale.catalog_reader.in_flight ||
	    core->now < core->autoscale.catalog_reader.next_read_at ||
	    (catalog_is_known(core) && !election_is_leader(core)))
		return;
	core->autoscale.catalog_reader.in_flight = true;
	core_call(core, core->conf->cloud, "GET", format_path(W_PATH_TYPES), NULL, CALL_CLOUD_S,
		  on_catalog, NULL);
}
