/*
 * Leadership: one key under a lease. Its revision is the token; every deciding transaction guards
 * on it, so an early take-over wastes work but breaks nothing.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"
#include "util/xalloc.h"

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

enum leadership_role election_role(const struct core *core)
{
	return core->election.role;
}

bool election_is_leader(const struct core *core)
{
	return core->election.role == ROLE_LEADER;
}

const char *election_leader(const struct core *core)
{
	return core->election.leader;
}

uint64_t election_token(const struct core *core)
{
	return core->election.token;
}

uint64_t election_first_token(const struct core *core)
{
	return core->election.first_token;
}

uint64_t election_lease(const struct core *core)
{
	return core->election.lease;
}

int election_format(const struct core *core)
{
	return core->election.format;
}

double election_renewal_age(const struct core *core)
{
	return core->now - core->election.renewed_at;
}

void election_note_recovered(struct core *core)
{
	core->election.role = ROLE_LEADER;
}

void election_note_renewing(struct core *core, bool in_flight)
{
	core->election.token_renewing = in_flight;
}

void election_note_token(struct core *core, uint64_t token)
{
	core->election.token = core->election.key_revision = token;
}

void election_require_current_token(struct core *core)
{
	core->election.first_token = core->election.token;
}

void election_note_jobs_read(struct core *core, double at)
{
	core->election.jobs_read_at = at;
}

double election_jobs_read_at(const struct core *core)
{
	return core->election.jobs_read_at;
}

void election_note_peers_confirmed(struct core *core, double at)
{
	core->election.peers_confirmed_at = at;
}

bool election_call_is_stale(const struct core *core, const struct call *call)
{
	return !core_call_is_current(core, call) || core->election.role == ROLE_FOLLOWER;
}

void election_reread(struct core *core)
{
	core->election.key_known = false;
	if (core->election.retry_at < core->now)
		core->election.retry_at = core->now;
}

void election_step_down(struct core *core, const char *why)
{
	if (core->election.role == ROLE_FOLLOWER)
		return;
	log_info("step_down", "reason=%s", why);
	core->election.role = ROLE_FOLLOWER;
	core_begin_term(core);
	core->election.lease = 0;
	core->election.token = 0;
	core->election.renewal_in_flight = false;
	log_token(0);
	core->events->leadership_lost(core);
	election_reread(core);
}

void election_note_format(struct core *core, int format, uint64_t revision)
{
	core->election.format = format;
	core->election.gate_revision = revision;
}

static void on_nothing(struct core *core, struct call *call, const struct call_answer *answer)
{
	(void)core;
	(void)call;
	(void)answer;
}

static void lease_return(struct core *core)
{
	if (core->election.lease)
		core_call(
		    core, core->conf->state, "DELETE",
		    format_path(W_PATH_LEASES "/%llu", (unsigned long long)core->election.lease),
		    NULL, CALL_STATE_S, on_nothing, NULL);
	core->election.lease = 0;
}

/* Another controller leads, by its own word. Workers are sent there, though the key can't be read.
 */
void election_deposed(struct core *core, const char *leader)
{
	if (core->election.role == ROLE_FOLLOWER)
		return;
	election_step_down(core, "peer_leads");
	snprintf(core->election.leader, sizeof(core->election.leader), "%s", leader);
}

/* Gives the lease back, so that another controller need not wait for its end. */
void election_resign(struct core *core, const char *why)
{
	uint64_t lease = core->election.lease;

	core->election.no_claim_before = core->now + LEADER_RESIGN_S;
	election_step_down(core, why);
	core->election.lease = lease;
	lease_return(core);
}

/*
 * A cancellation that another controller acknowledges must be carried out in time though we don't
 * hear of it: from the last moment we answer, a worker lives on for its lease. What we do not know
 * of was committed after the last read of the jobs' changes that came back was sent; a renewal
 * alone shows that the key is held, not that the changes were read. In an outage the others, who
 * alone can have told users, say what they told.
 */
bool election_may_serve(const struct core *core)
{
	const struct conf *conf = core->conf;
	double rest = (conf->cancel_s - conf->lease_s * (1 + CLOCK_DRIFT)) * (1 - CLOCK_DRIFT);
	/* With less, a slow answer would end a term: if cancel_s leaves so little, all of it is
	 * used. */
	double span = fmax(rest - CANCEL_MARGIN_S, LEADER_TTL_MS / 1000.0);

	double known = fmax(fmin(core->election.renewed_at, core->election.jobs_read_at),
			    core->election.peers_confirmed_at);

	return core->election.role == ROLE_LEADER && core->now - known < span;
}

/* Looked at before anything is answered: a process that was frozen wakes with questions waiting. */
void election_check_deadline(struct core *core)
{
	if (core->election.role == ROLE_LEADER && !election_may_serve(core))
		election_step_down(core, "state_unreachable");
}

/* What the key tells meanwhile is for the answer to that write to judge. */
bool election_is_renewing_token(const struct core *core)
{
	return core->election.role != ROLE_FOLLOWER && core->election.token_renewing;
}

/* An answer from before the term's own write: versions of a key only grow. */
static bool older_than_term(const struct core *core, const struct kv_item *it)
{
	return core->election.role != ROLE_FOLLOWER && it->version &&
	       it->version < core->election.token;
}

static void take_leader_key(struct core *core, const struct kv_item *it)
{
	const char *name = it->value ? json_string_value(json_object_get(it->value, "name")) : NULL;

	core->election.key_revision = it->value ? it->version : 0;
	snprintf(core->election.leader, sizeof(core->election.leader), "%s", name ? name : "");
	/* Our own name while we do not lead: a process that is no more, or a term given up. */
	if (core->election.role == ROLE_FOLLOWER && !core->election.claim_in_flight &&
	    !strcmp(core->election.leader, core->conf->name))
		core->election.leader[0] = 0;
	log_debug("leader_key", "name=%s revision=%llu", core->election.leader,
		  (unsigned long long)core->election.key_revision);
	if (core->election.role != ROLE_FOLLOWER &&
	    core->election.key_revision != core->election.token)
		election_step_down(core, "key_taken");
}

/*
 * LEADER_KEY tells the records' format as well. A format that this version does not know leaves it
 * a follower: the key then names a leader that it can't find, and is never free.
 */
static void take_format_key(struct core *core, const struct kv_item *it)
{
	json_t *format = it->value ? json_object_get(it->value, "format") : NULL;
	int known = format ? (int)json_integer_value(format) : FORMAT_LARGE_CHUNKS;

	if (known == core->election.format)
		return;
	log_info("format", "old=%d new=%d", core->election.format, known);
	core->election.format = known;
	core->election.gate_revision = it->value ? it->version : 0;
	/* The key of the new format may be free, or be told of next. */
	core->election.leader[0] = 0;
	core->election.key_revision = 0;
	if (core->election.role != ROLE_FOLLOWER)
		election_step_down(core, "format_raised");
}

/* The two keys of one read, or of one answer of the watch. */
struct leader_keys {
	struct core *core;
	bool found; /* the key whose holder leads */
};

static void read_format(void *ctx, const struct kv_item *it)
{
	struct leader_keys *keys = ctx;

	if (!strcmp(it->key, LEADER_KEY) && !older_than_term(keys->core, it))
		take_format_key(keys->core, it);
}

static void read_leader(void *ctx, const struct kv_item *it)
{
	struct leader_keys *keys = ctx;

	if (strcmp(it->key, election_key(keys->core->election.format)))
		return;
	keys->found = true;
	if (!older_than_term(keys->core, it))
		take_leader_key(keys->core, it);
}

static void on_read(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct leader_keys keys = {core, false};
	const struct kv_item absent = {0};
	json_t *o;

	(void)call;
	core->election.read_in_flight = false;
	store_note_answer(core, answer);
	core->election.retry_at = core->now + LEADER_REREAD_S;
	if (answer->status != STATUS_OK || election_is_renewing_token(core))
		return;
	o = wire_parse(answer->body, answer->len);
	core->election.watch_revision = wire_revision(o);
	core->election.key_known = true;
	wire_items(o, read_format, &keys);
	wire_items(o, read_leader, &keys);
	if (!keys.found)
		take_leader_key(core, &absent);
	json_decref(o);
}

/* News from before our own write: the watch may lag behind the answers. */
static bool leader_news(const struct core *core, const struct kv_item *it)
{
	return !election_is_renewing_token(core) &&
	       (core->election.role == ROLE_FOLLOWER || it->version > core->election.token);
}

static void watch_format(void *ctx, const struct kv_item *it)
{
	struct leader_keys *keys = ctx;

	if (leader_news(keys->core, it))
		read_format(ctx, it);
}

static void watch_leader(void *ctx, const struct kv_item *it)
{
	struct leader_keys *keys = ctx;

	if (leader_news(keys->core, it))
		read_leader(ctx, it);
}

static void on_watch(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct leader_keys keys = {core, false};
	json_t *o;

	(void)call;
	core->election.watch_in_flight = false;
	if (answer->status != STATUS_OK) {
		if (answer->status != STATUS_GONE)
			store_note_answer(core, answer);
		core->election.key_known = false;
		core->election.retry_at = core->now + LEADER_REREAD_S;
		return;
	}
	store_note_answer(core, answer);
	o = wire_parse(answer->body, answer->len);
	if (wire_revision(o) > core->election.watch_revision)
		core->election.watch_revision = wire_revision(o);
	wire_items(o, watch_format, &keys);
	wire_items(o, watch_leader, &keys);
	json_decref(o);
}

static void on_claim(struct core *core, struct call *call, const struct call_answer *answer)
{
	json_t *o;

	core->election.claim_in_flight = false;
	store_note_answer(core, answer);
	if (answer->status != STATUS_OK || !core_call_is_current(core, call)) {
		log_debug("claim_failed", "status=%d", answer->status);
		core->election.lease = 0;
		core->election.key_known = false;
		core->election.retry_at = core->now + LEADER_REREAD_S;
		return;
	}
	o = wire_parse(answer->body, answer->len);
	core->election.token = wire_revision(o);
	json_decref(o);
	core->election.key_revision = core->election.first_token = core->election.token;
	snprintf(core->election.leader, sizeof(core->election.leader), "%s", core->conf->name);
	core->election.role = ROLE_RECOVERING;
	core_begin_term(core);
	log_token(core->election.token);
	log_info("leader", "state=recovering");
	core->events->leadership_won(core);
}

static void on_lease(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct txn txn;
	json_t *o;

	store_note_answer(core, answer);
	if (answer->status != STATUS_OK || !core_call_is_current(core, call)) {
		core->election.claim_in_flight = false;
		core->election.retry_at = core->now + LEADER_REREAD_S;
		return;
	}
	o = wire_parse(answer->body, answer->len);
	core->election.lease = wire_lease(o);
	json_decref(o);
	/* Another took the key while the lease was asked for: it must not be put down again. */
	if (*core->election.leader) {
		core->election.claim_in_flight = false;
		lease_return(core);
		return;
	}
	core->election.renewed_at = call->sent_at;
	core->election.next_renewal_at = call->sent_at + LEADER_RENEW_S;
	txn_begin(&txn);
	txn_guard(&txn, election_key(core->election.format), core->election.key_revision);
	if (core->election.format >= FORMAT_SMALL_CHUNKS)
		txn_guard(&txn, LEADER_KEY, core->election.gate_revision);
	txn_put(&txn, election_key(core->election.format), election_leader_value(core),
		core->election.lease);
	store_commit(core, txn_finish(&txn), on_claim, NULL);
}

static void on_renew(struct core *core, struct call *call, const struct call_answer *answer)
{
	if (!core_call_is_current(core, call))
		return;
	core->election.renewal_in_flight = false;
	store_note_answer(core, answer);
	if (answer->status == STATUS_OK) {
		core->election.renewed_at = call->sent_at;
		core->election.next_renewal_at = call->sent_at + LEADER_RENEW_S;
	} else if (answer->status == STATUS_NOT_FOUND) {
		election_step_down(core, "lease_ended");
	} else {
		core->election.next_renewal_at = core->now + LEADER_RETRY_S;
	}
}

static void renew(struct core *core)
{
	if (core->election.renewal_in_flight || core->now < core->election.next_renewal_at ||
	    !core->election.lease)
		return;
	core->election.renewal_in_flight = true;
	core_call(core, core->conf->state, "POST",
		  format_path(W_PATH_LEASES "/%llu" W_PATH_RENEW,
			      (unsigned long long)core->election.lease),
		  xstrdup("{}"), CALL_STATE_S, on_renew, NULL);
}

static void claim(struct core *core)
{
	core->election.claim_in_flight = true;
	core_call(core, core->conf->state, "POST", format_path(W_PATH_LEASES),
		  wire_lease_body(LEADER_TTL_MS), CALL_STATE_S, on_lease, NULL);
}

void election_tick(struct core *core)
{
	struct election *election = &core->election;

	if (!election->key_known) {
		if (!election->read_in_flight && core->now >= election->retry_at) {
			election->read_in_flight = true;
			store_range(core, LEADER_KEY, "", on_read, NULL);
		}
	} else if (!election->watch_in_flight) {
		election->watch_in_flight = true;
		store_watch(core, LEADER_KEY, election->watch_revision, LEADER_WATCH_MS, on_watch,
			    NULL);
	}
	if (election->role != ROLE_FOLLOWER) {
		renew(core);
		election_check_deadline(core);
		return;
	}
	if (election->key_known && !*election->leader && !election->claim_in_flight &&
	    core->now >= election->retry_at && core->now >= election->no_claim_before &&
	    election->format <= FORMAT_NEWEST)
		claim(core);
}
