/*
 * The cluster's format version. Each controller commits the newest format that it reads under a key
 * of its own. Once all have, the leader raises the format of the records with one transaction
 * (commit.c); until then it writes only what every version reads. No controller has to be up for
 * it.
 */
#include <stdio.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"

#define VERSIONS "v/"

/* --- our own version --- */

static void on_registered(struct core *core, struct call *call, const struct call_answer *answer)
{
	(void)call;
	store_note_answer(core, answer);
	core->format.register_in_flight = false;
	core->format.registered = answer->status == STATUS_OK;
	core->format.next_register_at = core->now + FORMAT_REGISTER_S;
}

static void register_version(struct core *core)
{
	char key[CONF_NAME_MAX + sizeof(VERSIONS)];
	struct txn txn;

	snprintf(key, sizeof(key), VERSIONS "%s", core->conf->name);
	txn_begin(&txn);
	txn_put(&txn, key,
		json_pack("{s:i}", "format",
			  core->conf->hold_format ? FORMAT_LARGE_CHUNKS : FORMAT_NEWEST),
		0);
	core->format.register_in_flight = true;
	store_commit(core, txn_finish(&txn), on_registered, NULL);
}

/* --- the leader's look at all versions --- */

struct version_count {
	struct core *core;
	size_t newest; /* controllers of this cluster that read the newest format */
};

static bool is_member(const struct core *core, const char *name)
{
	if (!strcmp(name, core->conf->name))
		return true;
	for (size_t i = 0; i < core->conf->npeers; i++)
		if (!strcmp(name, core->conf->peers[i].name))
			return true;
	return false;
}

static void count_version(void *ctx, const struct kv_item *item)
{
	struct version_count *count = ctx;
	json_int_t format = json_integer_value(json_object_get(item->value, "format"));

	if (format >= FORMAT_NEWEST && is_member(count->core, item->key + strlen(VERSIONS)))
		count->newest++;
}

static void on_versions(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct version_count count = {core, 0};
	json_t *object;

	store_note_answer(core, answer);
	if (election_call_is_stale(core, call))
		return;
	core->format.scan_in_flight = false;
	if (answer->status != STATUS_OK)
		return;
	object = wire_parse(answer->body, answer->len);
	wire_items(object, count_version, &count);
	json_decref(object);
	core->format.all_read_newest = count.newest == core->conf->npeers + 1;
}

bool format_raise_due(const struct core *core)
{
	return core->election.format < FORMAT_NEWEST && core->format.all_read_newest;
}

void format_tick(struct core *core)
{
	struct format_gate *format = &core->format;

	if (!format->registered && !format->register_in_flight &&
	    core->now >= format->next_register_at)
		register_version(core);
	if (core->election.role != ROLE_LEADER || core->election.format >= FORMAT_NEWEST ||
	    format->all_read_newest || format->scan_in_flight || core->now < format->next_scan_at)
		return;
	format->scan_in_flight = true;
	format->next_scan_at = core->now + FORMAT_LOOK_S;
	store_range(core, VERSIONS, "", on_versions, NULL);
}

void format_clear(struct core *core)
{
	core->format.scan_in_flight = false;
	core->format.all_read_newest = false;
}
