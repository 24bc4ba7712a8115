/*
 * The format version gate. Each controller registers the newest format that it reads: it commits
 * the format's number under a key of its own. Once all controllers have registered the newest
 * format, the leader raises the format of the records with one transaction, which renews its token
 * as well. Until then the leader writes only records that every controller reads. The other
 * controllers need not be running when the format is raised, since what they registered is stored.
 */
#include "core/election/format_gate.h"

#include <stdio.h>
#include <string.h>

#include "core/state.h"

/* Prefix of the keys under which the controllers register: one key for each controller, with the
 * controller's name. */
#define KEY_VERSIONS "v/"

/* --- registration of this controller's version --- */

static void on_registration_answer(struct core *core, struct call *call,
				   const struct call_answer *answer)
{
	struct format_gate *gate = &core->format;

	(void)call;
	store_update_availability(core, answer);
	gate->register_in_flight = false;
	gate->registered = answer->status == STATUS_OK;
	gate->next_register_at = core->now + FORMAT_REGISTER_RETRY_S;
}

/* Registers the newest format that this controller reads. With the setting `hold_format`, only the
 * first format is registered, so that the records' format is not raised. */
static void register_version(struct core *core)
{
	int format = core->conf->hold_format ? FORMAT_LARGE_CHUNKS : FORMAT_NEWEST;
	char key[CONF_NAME_MAX + sizeof(KEY_VERSIONS)];
	struct txn txn;

	snprintf(key, sizeof(key), KEY_VERSIONS "%s", core->conf->name);
	txn_begin(&txn);
	txn_put(&txn, key, json_pack("{s:i}", "format", format), 0);
	core->format.register_in_flight = true;
	store_commit(core, txn_finish(&txn), on_registration_answer, NULL);
}

/* --- the leader's scan of all registered versions --- */

/* Context of a pass over the registered versions. */
struct version_scan {
	const struct core *core;
	/* Number of controllers of this cluster that have registered the newest format. */
	size_t newest_count;
};

static bool is_member(const struct core *core, const char *name)
{
	if (!strcmp(name, core->conf->name))
		return true;
	for (size_t i = 0; i < core->conf->peer_count; i++)
		if (!strcmp(name, core->conf->peers[i].name))
			return true;
	return false;
}

/* Counts the controllers that have registered the newest format; a controller that is not in the
 * settings does not count. */
static void count_version(void *context, const struct kv_item *entry)
{
	struct version_scan *scan = context;
	const char *name = entry->key + strlen(KEY_VERSIONS);
	json_int_t format = json_integer_value(json_object_get(entry->value, "format"));

	if (format >= FORMAT_NEWEST && is_member(scan->core, name))
		scan->newest_count++;
}

static void on_versions(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct version_scan scan = {core, 0};
	const size_t controller_count = core->conf->peer_count + 1;
	json_t *answer_json;

	store_update_availability(core, answer);
	if (election_call_is_stale(core, call))
		return;
	core->format.scan_in_flight = false;
	if (answer->status != STATUS_OK)
		return;
	answer_json = wire_parse(answer->body, answer->len);
	wire_items_for_each(answer_json, count_version, &scan);
	json_decref(answer_json);
	core->format.all_read_newest = scan.newest_count == controller_count;
}

bool format_raise_due(const struct core *core)
{
	return election_format(core) < FORMAT_NEWEST && core->format.all_read_newest;
}

static bool registration_is_due(const struct core *core)
{
	const struct format_gate *gate = &core->format;

	return !gate->registered && !gate->register_in_flight &&
	       core->now >= gate->next_register_at;
}

static bool scan_is_due(const struct core *core)
{
	const struct format_gate *gate = &core->format;

	return election_is_leader(core) && election_format(core) < FORMAT_NEWEST &&
	       !gate->all_read_newest && !gate->scan_in_flight && core->now >= gate->next_scan_at;
}

void format_tick(struct core *core)
{
	struct format_gate *gate = &core->format;

	if (registration_is_due(core))
		register_version(core);
	if (!scan_is_due(core))
		return;
	gate->scan_in_flight = true;
	gate->next_scan_at = core->now + FORMAT_SCAN_INTERVAL_S;
	store_range(core, KEY_VERSIONS, "", on_versions, NULL);
}

void format_clear(struct core *core)
{
	core->format.scan_in_flight = false;
	core->format.all_read_newest = false;
}
