/*
 * The leader's key, and the key of the records' format beside it: reading and watching them.
 */
#include "core/election/leader_key.h"

#include <stdio.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"

/* Formats after the first have a key of their own beside the one that older versions know. */
#define LEADER_KEY_SMALL_CHUNKS LEADER_KEY "/2"

const char *election_key(int format)
{
	return format >= FORMAT_SMALL_CHUNKS ? LEADER_KEY_SMALL_CHUNKS : LEADER_KEY;
}

json_t *election_gate_value(int format)
{
	return json_pack("{s:o,s:i}", "name", json_sprintf("format-%d", format), "format", format);
}

json_t *election_leader_value(const struct core *core)
{
	return json_pack("{s:s}", "name", core->conf->name);
}

/* --- the two keys --- */

static void take_leader_key(struct core *core, const struct kv_item *entry)
{
	struct election *election = &core->election;
	const char *name = json_string_value(json_object_get(entry->value, "name"));

	election->key_revision = entry->value ? entry->version : 0;
	snprintf(election->leader, sizeof(election->leader), "%s", name ? name : "");
	/* Our own name while we do not lead: a process that has ended, or a term given up. */
	if (election->role == ROLE_FOLLOWER && !election->claim_in_flight &&
	    !strcmp(election->leader, core->conf->name))
		election->leader[0] = 0;
	log_debug("leader_key", "name=%s revision=%llu", election->leader,
		  (unsigned long long)election->key_revision);
	if (election->role != ROLE_FOLLOWER && election->key_revision != election->token)
		election_step_down(core, STEP_DOWN_KEY_TAKEN);
}

/*
 * A format that this version does not support leaves it a follower: LEADER_KEY then names a leader
 * that is no controller, and is never free.
 */
static void take_format_key(struct core *core, const struct kv_item *entry)
{
	struct election *election = &core->election;
	const json_t *format_value = json_object_get(entry->value, "format");
	int format = format_value ? (int)json_integer_value(format_value) : FORMAT_LARGE_CHUNKS;

	if (format == election->format)
		return;
	log_info("format", "old=%d new=%d", election->format, format);
	election->format = format;
	election->gate_revision = entry->value ? entry->version : 0;
	/* The key of the new format may be free, or its entry comes next. */
	election->leader[0] = 0;
	election->key_revision = 0;
	if (election->role != ROLE_FOLLOWER)
		election_step_down(core, STEP_DOWN_FORMAT_RAISED);
}

/* One pass over the entries of a read, or of an answer of the watch. */
struct key_scan {
	struct core *core;
	/* False for an entry from before the term's own write of the key. */
	bool (*is_current)(const struct core *core, const struct kv_item *entry);
	bool leader_found;
};

static void scan_format(void *context, const struct kv_item *entry)
{
	const struct key_scan *scan = context;

	if (!strcmp(entry->key, LEADER_KEY) && scan->is_current(scan->core, entry))
		take_format_key(scan->core, entry);
}

static void scan_leader(void *context, const struct kv_item *entry)
{
	struct key_scan *scan = context;

	if (strcmp(entry->key, election_key(scan->core->election.format)))
		return;
	scan->leader_found = true;
	if (scan->is_current(scan->core, entry))
		take_leader_key(scan->core, entry);
}

/* The format comes first: it says which of the keys is the leader's. */
static void scan_keys(struct key_scan *scan, json_t *answer_json)
{
	wire_items(answer_json, scan_format, scan);
	wire_items(answer_json, scan_leader, scan);
}

/* --- reading --- */

/* Versions of a key only grow: a smaller one is from before the term's own write. */
static bool read_is_current(const struct core *core, const struct kv_item *entry)
{
	return core->election.role == ROLE_FOLLOWER || !entry->version ||
	       entry->version >= core->election.token;
}

static void on_read(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct key_scan scan = {.core = core, .is_current = read_is_current};
	const struct kv_item absent = {0};
	json_t *answer_json;

	(void)call;
	core->election.read_in_flight = false;
	store_update_availability(core, answer);
	core->election.retry_at = core->now + STORE_READ_RETRY_S;
	if (answer->status != STATUS_OK || election_is_renewing_token(core))
		return;
	answer_json = wire_parse(answer->body, answer->len);
	core->election.watch_revision = wire_revision(answer_json);
	core->election.key_is_current = true;
	scan_keys(&scan, answer_json);
	if (!scan.leader_found)
		take_leader_key(core, &absent);
	json_decref(answer_json);
}

/* --- watching --- */

/* The watch may lag behind the answers to the term's own writes. */
static bool change_is_current(const struct core *core, const struct kv_item *entry)
{
	return !election_is_renewing_token(core) &&
	       (core->election.role == ROLE_FOLLOWER || entry->version > core->election.token);
}

static void on_watch(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct key_scan scan = {.core = core, .is_current = change_is_current};
	struct election *election = &core->election;
	json_t *answer_json;

	(void)call;
	election->watch_in_flight = false;
	if (answer->status != STATUS_GONE)
		store_update_availability(core, answer);
	if (answer->status != STATUS_OK) {
		election->key_is_current = false;
		election->retry_at = core->now + STORE_READ_RETRY_S;
		return;
	}
	answer_json = wire_parse(answer->body, answer->len);
	if (wire_revision(answer_json) > election->watch_revision)
		election->watch_revision = wire_revision(answer_json);
	scan_keys(&scan, answer_json);
	json_decref(answer_json);
}

void leader_key_tick(struct core *core)
{
	struct election *election = &core->election;

	if (!election->key_is_current) {
		if (election->read_in_flight || core->now < election->retry_at)
			return;
		election->read_in_flight = true;
		store_range(core, LEADER_KEY, "", on_read, NULL);
	} else if (!election->watch_in_flight) {
		election->watch_in_flight = true;
		store_watch(core, LEADER_KEY, election->watch_revision, LEADER_WATCH_MS, on_watch,
			    NULL);
	}
}
