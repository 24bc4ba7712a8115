#include "core/autoscale/catalog_reader.h"

#include <stdio.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"

/* Key of the catalog's copy in the state service. If the copy is too large for one value, it is
 * instead the prefix of one key for each type. */
#define CATALOG_KEY "k/catalog"

/* Replaces the catalog by the machine types of a message. Returns false if the message is
 * malformed. */
static bool apply_catalog(struct core *core, json_t *message)
{
	struct machine_type *types;
	size_t count;

	if (wire_machine_types_decode(message, &types, &count))
		return false;
	catalog_set(core, types, count);
	machines_apply_catalog(core);
	return true;
}

/* Handles the end of a write of the catalog's copy. A write that failed is not repeated. */
static void on_catalog_stored(struct core *core, struct call *call,
			      const struct call_answer *answer)
{
	(void)call;
	store_update_availability(core, answer);
}

/* Writes a value unless the key exists: an earlier copy, of another controller, is kept. */
static void store_catalog_value(struct core *core, const char *key, json_t *value)
{
	struct txn txn;

	txn_begin(&txn);
	txn_guard(&txn, key, 0);
	txn_put(&txn, key, value, 0);
	store_commit(core, txn_finish(&txn), on_catalog_stored, NULL);
}

/*
 * Writes the catalog to the state service: as one value, or as one value for each type if a single
 * value would be too large.
 */
static void store_catalog(struct core *core)
{
	json_t *all = wire_machine_types_encode(catalog_type(core, 0), catalog_type_count(core));

	core->autoscale.catalog_reader.stored = true;
	if (wire_value_bytes(all) <= limits_job_record_bytes(core)) {
		store_catalog_value(core, CATALOG_KEY, all);
		return;
	}
	json_decref(all);
	for (size_t i = 0; i < catalog_type_count(core); i++) {
		const struct machine_type *type = catalog_type(core, i);
		char key[KEY_MAX];

		snprintf(key, sizeof(key), CATALOG_KEY "/%s", type->name);
		store_catalog_value(core, key, wire_machine_types_encode(type, 1));
	}
}

/* Adds the types of a stored value to the JSON array `all_types`. */
static void add_stored_types(void *all_types, const struct kv_item *item)
{
	if (item->value)
		json_array_extend(all_types, json_object_get(item->value, W_MACHINE_TYPES));
}

/* Returns the types of all stored values, in the form of the cloud's answer. The caller owns it. */
static json_t *merge_stored_types(const struct call_answer *answer)
{
	json_t *range = wire_parse(answer->body, answer->len);
	json_t *types = json_array();

	wire_items_for_each(range, add_stored_types, types);
	json_decref(range);
	return json_pack("{s:o}", W_MACHINE_TYPES, types);
}

/* Handles the catalog's copy read from the state service, unless a catalog is known meanwhile. */
static void on_stored_catalog_read(struct core *core, struct call *call,
				   const struct call_answer *answer)
{
	json_t *message;

	(void)call;
	if (answer->status != STATUS_OK || catalog_is_known(core))
		return;
	message = merge_stored_types(answer);
	if (apply_catalog(core, message)) {
		core->autoscale.catalog_reader.stored = true;
		log_info("catalog", "from=state types=%zu", catalog_type_count(core));
	}
	json_decref(message);
}

/* Applies the catalog of the cloud's answer, and writes a copy to the state service unless one was
 * read from there or written. */
static void apply_cloud_catalog(struct core *core, const struct call_answer *answer)
{
	struct catalog_reader *reader = &core->autoscale.catalog_reader;
	bool is_first = !catalog_is_known(core);
	json_t *message = wire_parse(answer->body, answer->len);

	if (apply_catalog(core, message)) {
		reader->next_read_at = core->now + CATALOG_INTERVAL_S;
		if (is_first)
			log_info("catalog", "from=cloud types=%zu", catalog_type_count(core));
		if (!reader->stored)
			store_catalog(core);
	}
	json_decref(message);
}

/* Handles the end of a read from the cloud. While no catalog is known, a failed read is followed by
 * a read of the copy in the state service. */
static void on_cloud_catalog_read(struct core *core, struct call *call,
				  const struct call_answer *answer)
{
	struct catalog_reader *reader = &core->autoscale.catalog_reader;

	(void)call;
	reader->in_flight = false;
	reader->next_read_at = core->now + CLOUD_BACKOFF_S;
	if (answer->status == STATUS_OK)
		apply_cloud_catalog(core, answer);
	else if (!catalog_is_known(core))
		store_range(core, CATALOG_KEY, "", on_stored_catalog_read, NULL);
}

void catalog_tick(struct core *core)
{
	struct catalog_reader *reader = &core->autoscale.catalog_reader;

	if (reader->in_flight || core->now < reader->next_read_at ||
	    (catalog_is_known(core) && !election_is_leader(core)))
		return;
	reader->in_flight = true;
	core_call(core, core->conf->cloud_addr, "GET", format_path(W_PATH_CATALOG), NULL,
		  CALL_CLOUD_TIMEOUT_S, on_cloud_catalog_read, NULL);
}
