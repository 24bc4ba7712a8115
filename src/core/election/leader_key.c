/*
 * Reads and watches the leader's key and the key that holds the version of the records' format, and
 * applies the contents of both keys to the state of the election.
 */
#include "core/election/leader_key.h"

#include <stdio.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"

/*
 * The leader's key in formats after the first. Program versions that know only the first format use
 * LEADER_KEY. Both keys have the prefix LEADER_KEY, so that one read or watch covers them.
 */
#define LEADER_KEY_SMALL_CHUNKS LEADER_KEY "/2"

const char *election_leader_key(int format)
{
	return format >= FORMAT_SMALL_CHUNKS ? LEADER_KEY_SMALL_CHUNKS : LEADER_KEY;
}

json_t *election_format_key_value(int format)
{
	return json_pack("{s:o,s:i}", "name", json_sprintf("format-%d", format), "format", format);
}

json_t *election_leader_key_value(const struct core *core)
{
	return json_pack("{s:s}", "name", core->conf->name);
}

/* --- applying the entries of the keys --- */

/*
 * Updates the leader from the entry of the leader's key. An entry without a value means that there
 * is no leader. A controller that holds the key steps down if the key's revision differs from its
 * token, which is the revision of its own last write of the key.
 */
static void apply_leader_key(struct core *core, const struct kv_item *entry)
{
	struct election *election = &core->election;
	const char *name = json_string_value(json_object_get(entry->value, "name"));

	election->key_revision = entry->value ? entry->version : 0;
	snprintf(election->leader, sizeof(election->leader), "%s", name ? name : "");
	/*
	 * If the key names this controller, but this controller does not lead, the key was written
	 * by an earlier process of this controller or in a term that has ended: there is no leader.
	 * While a claim is in flight this can't be concluded, since the claim may have written the
	 * key.
	 */
	if (election->role == ROLE_FOLLOWER && !election->claim_in_flight &&
	    !strcmp(election->leader, core->conf->name))
		election->leader[0] = 0;
	log_debug("leader_key", "name=%s revision=%llu", election->leader,
		  (unsigned long long)election->key_revision);
	if (election->role != ROLE_FOLLOWER && election->key_revision != election->token)
		election_step_down(core, STEP_DOWN_KEY_TAKEN);
}

/*
 * Updates the format from the entry of LEADER_KEY. An entry without a number means the first
 * format.
 *
 * A controller whose program version does not support the format stays a follower. In this program
 * version claim_is_due checks this. Program versions that know only the first format take
 * LEADER_KEY for the leader's key. In later formats LEADER_KEY always holds the name of a leader,
 * which is the name of no controller, so these program versions never claim it.
 */
static void apply_format_key(struct core *core, const struct kv_item *entry)
{
	struct election *election = &core->election;
	const json_t *format_value = json_object_get(entry->value, "format");
	int format = format_value ? (int)json_integer_value(format_value) : FORMAT_LARGE_CHUNKS;

	if (format == election->format)
		return;
	log_info("format", "old=%d new=%d", election->format, format);
	election->format = format;
	election->format_key_revision = entry->value ? entry->version : 0;
	/*
	 * The leader under the new format is not known yet. If the leader's key of that format has
	 * an entry, scan_keys applies that entry after this one.
	 */
	election->leader[0] = 0;
	election->key_revision = 0;
	if (election->role != ROLE_FOLLOWER)
		election_step_down(core, STEP_DOWN_FORMAT_RAISED);
}

/* Context of a pass over the entries in the answer to a read or a watch. */
struct key_scan {
	struct core *core;
	/*
	 * Returns false for an entry that must be ignored, since it may be older than this leader's
	 * own last write of the leader's key.
	 */
	bool (*is_current)(const struct core *core, const struct kv_item *entry);
	bool leader_found;
};

static void scan_format_key(void *context, const struct kv_item *entry)
{
	const struct key_scan *scan = context;

	if (!strcmp(entry->key, LEADER_KEY) && scan->is_current(scan->core, entry))
		apply_format_key(scan->core, entry);
}

static void scan_leader_key(void *context, const struct kv_item *entry)
{
	struct key_scan *scan = context;

	if (strcmp(entry->key, election_leader_key(scan->core->election.format)))
		return;
	scan->leader_found = true;
	if (scan->is_current(scan->core, entry))
		apply_leader_key(scan->core, entry);
}

/* Applies the entries of both keys. The format comes first, since it determines which key is the
 * leader's. */
static void scan_keys(struct key_scan *scan, json_t *answer_json)
{
	wire_items_for_each(answer_json, scan_format_key, scan);
	wire_items_for_each(answer_json, scan_leader_key, scan);
}

/* --- reading the keys --- */

/*
 * The version of a key is the revision of the key's last write, and the token is the revision of
 * this leader's own last write of the leader's key. So an entry of the leader's key with a version
 * below the token was read before that write. An entry of LEADER_KEY with a version below the token
 * is already known to this leader: its claim required that LEADER_KEY had the revision last read,
 * and only a leader changes LEADER_KEY.
 */
static bool read_entry_is_current(const struct core *core, const struct kv_item *entry)
{
	return core->election.role == ROLE_FOLLOWER || !entry->version ||
	       entry->version >= core->election.token;
}

static void on_read(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct key_scan scan = {.core = core, .is_current = read_entry_is_current};
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
	core->election.keys_are_current = true;
	scan_keys(&scan, answer_json);
	if (!scan.leader_found)
		apply_leader_key(core, &absent);
	json_decref(answer_json);
}

/* --- watching the keys --- */

/*
 * A watch may deliver a change after this leader has the answer to a later write of its own. The
 * token is the revision of this leader's own last write of the leader's key, so changes up to that
 * revision are ignored. While this leader writes the key again, the revision of that write is not
 * known yet, and all changes are ignored: the answer to the write shows who leads.
 */
static bool watched_entry_is_current(const struct core *core, const struct kv_item *entry)
{
	return !election_is_renewing_token(core) &&
	       (core->election.role == ROLE_FOLLOWER || entry->version > core->election.token);
}

static void on_watch(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct key_scan scan = {.core = core, .is_current = watched_entry_is_current};
	struct election *election = &core->election;
	json_t *answer_json;

	(void)call;
	election->watch_in_flight = false;
	if (answer->status != STATUS_GONE)
		store_update_availability(core, answer);
	if (answer->status != STATUS_OK) {
		election->keys_are_current = false;
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

	if (!election->keys_are_current) {
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
