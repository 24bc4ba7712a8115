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

/* Formats after the first have a key of their own beside the one that older versions know. */
#define LEADER_KEY_PIECES LEADER_KEY "/2"

const char *election_key(int format)
{
	return format >= FORMAT_PIECES ? LEADER_KEY_PIECES : LEADER_KEY;
}

json_t *election_gate_value(int format)
{
	return json_pack("{s:o,s:i}", "name", json_sprintf("format-%d", format), "format", format);
}

json_t *election_value(const struct core *c)
{
	return json_pack("{s:s}", "name", c->conf->name);
}

bool election_stale(const struct core *c, const struct call *call)
{
	return call->term != c->el.term || c->el.role == ROLE_FOLLOW;
}

void election_reread(struct core *c)
{
	c->el.known = false;
	if (c->el.next_try < c->now)
		c->el.next_try = c->now;
}

void election_step_down(struct core *c, const char *why)
{
	if (c->el.role == ROLE_FOLLOW)
		return;
	log_info("step_down", "reason=%s", why);
	c->el.role = ROLE_FOLLOW;
	c->el.term++;
	c->el.lease = 0;
	c->el.token = 0;
	c->el.renew_out = false;
	log_token(0);
	leader_clear(c);
	election_reread(c);
}

void election_raised(struct core *c, int format, uint64_t revision)
{
	c->el.format = format;
	c->el.gate_revision = revision;
}

static void on_nothing(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	(void)c;
	(void)call;
	(void)status;
	(void)body;
	(void)len;
}

static void lease_return(struct core *c)
{
	if (c->el.lease)
		core_call(c, c->conf->state, "DELETE",
			  fmt_path(W_PATH_LEASES "/%llu", (unsigned long long)c->el.lease), NULL,
			  CALL_STATE_S, on_nothing, NULL);
	c->el.lease = 0;
}

/* Another controller leads, by its own word. Workers are sent there, though the key can't be read.
 */
void election_deposed(struct core *c, const char *leader)
{
	if (c->el.role == ROLE_FOLLOW)
		return;
	election_step_down(c, "peer_leads");
	snprintf(c->el.leader, sizeof(c->el.leader), "%s", leader);
}

/* Gives the lease back, so that another controller need not wait for its end. */
void election_yield(struct core *c, const char *why)
{
	uint64_t lease = c->el.lease;

	c->el.stand_back = c->now + LEADER_YIELD_S;
	election_step_down(c, why);
	c->el.lease = lease;
	lease_return(c);
}

/*
 * A cancellation that another controller acknowledges must be carried out in time though we don't
 * hear of it: from the last moment we answer, a worker lives on for its lease. What we do not know
 * of was committed after the last read of the jobs' changes that came back was sent; a renewal
 * alone shows that the key is held, not that the changes were read. In an outage the others, who
 * alone can have told users, say what they told.
 */
bool election_may_serve(const struct core *c)
{
	const struct conf *f = c->conf;
	double rest = (f->cancel_s - f->lease_s * (1 + CLOCK_DRIFT)) * (1 - CLOCK_DRIFT);
	/* With less, a slow answer would end a term: if cancel_s leaves so little, all of it is
	 * used. */
	double span = fmax(rest - CANCEL_MARGIN_S, LEADER_TTL_MS / 1000.0);

	double known = fmax(fmin(c->el.renewed, c->jobs_read), peers_heard(c));

	return c->el.role == ROLE_LEAD && c->now - known < span;
}

/* Looked at before anything is answered: a process that was frozen wakes with questions waiting. */
void election_look(struct core *c)
{
	if (c->el.role == ROLE_LEAD && !election_may_serve(c))
		election_step_down(c, "state_unreachable");
}

/* A term's own new token is on its way: what the key tells meanwhile is for its answer to judge. */
static bool token_changes(const struct core *c)
{
	return c->el.role != ROLE_FOLLOW && c->flying && c->flight.fence;
}

/* An answer from before the term's own write: versions of a key only grow. */
static bool older_than_term(const struct core *c, const struct kv_item *it)
{
	return c->el.role != ROLE_FOLLOW && it->version && it->version < c->el.token;
}

static void heard_leader(struct core *c, const struct kv_item *it)
{
	const char *name = it->value ? json_string_value(json_object_get(it->value, "name")) : NULL;

	c->el.revision = it->value ? it->version : 0;
	snprintf(c->el.leader, sizeof(c->el.leader), "%s", name ? name : "");
	/* Our own name while we do not lead: a process that is no more, or a term given up. */
	if (c->el.role == ROLE_FOLLOW && !c->el.claiming && !strcmp(c->el.leader, c->conf->name))
		c->el.leader[0] = 0;
	log_debug("leader", "name=%s revision=%llu", c->el.leader,
		  (unsigned long long)c->el.revision);
	if (c->el.role != ROLE_FOLLOW && c->el.revision != c->el.token)
		election_step_down(c, "key_taken");
}

/*
 * LEADER_KEY tells the records' format as well. A format that this version does not know leaves it
 * a follower: the key then names a leader that it can't find, and is never free.
 */
static void heard_format(struct core *c, const struct kv_item *it)
{
	json_t *format = it->value ? json_object_get(it->value, "format") : NULL;
	int known = format ? (int)json_integer_value(format) : FORMAT_CHUNKS;

	if (known == c->el.format)
		return;
	log_info("format", "old=%d new=%d", c->el.format, known);
	c->el.format = known;
	c->el.gate_revision = it->value ? it->version : 0;
	/* The key of the new format may be free, or be told of next. */
	c->el.leader[0] = 0;
	c->el.revision = 0;
	if (c->el.role != ROLE_FOLLOW)
		election_step_down(c, "format_raised");
}

/* The two keys of one read, or of one answer of the watch. */
struct leader_keys {
	struct core *c;
	bool found; /* the key whose holder leads */
};

static void read_format(void *ctx, const struct kv_item *it)
{
	struct leader_keys *keys = ctx;

	if (!strcmp(it->key, LEADER_KEY) && !older_than_term(keys->c, it))
		heard_format(keys->c, it);
}

static void read_leader(void *ctx, const struct kv_item *it)
{
	struct leader_keys *keys = ctx;

	if (strcmp(it->key, election_key(keys->c->el.format)))
		return;
	keys->found = true;
	if (!older_than_term(keys->c, it))
		heard_leader(keys->c, it);
}

static void on_read(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	struct leader_keys keys = {c, false};
	const struct kv_item absent = {0};
	json_t *o;

	(void)call;
	c->el.reading = false;
	store_heard(c, status);
	c->el.next_try = c->now + LEADER_REREAD_S;
	if (status != 200 || token_changes(c))
		return;
	o = wire_parse(body, len);
	c->el.watched = wire_revision(o);
	c->el.known = true;
	wire_items(o, read_format, &keys);
	wire_items(o, read_leader, &keys);
	if (!keys.found)
		heard_leader(c, &absent);
	json_decref(o);
}

/* News from before our own write: the watch may lag behind the answers. */
static bool leader_news(const struct core *c, const struct kv_item *it)
{
	return !token_changes(c) && (c->el.role == ROLE_FOLLOW || it->version > c->el.token);
}

static void watch_format(void *ctx, const struct kv_item *it)
{
	struct leader_keys *keys = ctx;

	if (leader_news(keys->c, it))
		read_format(ctx, it);
}

static void watch_leader(void *ctx, const struct kv_item *it)
{
	struct leader_keys *keys = ctx;

	if (leader_news(keys->c, it))
		read_leader(ctx, it);
}

static void on_watch(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	struct leader_keys keys = {c, false};
	json_t *o;

	(void)call;
	c->el.watching = false;
	if (status != 200) {
		if (status != 410)
			store_heard(c, status);
		c->el.known = false;
		c->el.next_try = c->now + LEADER_REREAD_S;
		return;
	}
	store_heard(c, status);
	o = wire_parse(body, len);
	if (wire_revision(o) > c->el.watched)
		c->el.watched = wire_revision(o);
	wire_items(o, watch_format, &keys);
	wire_items(o, watch_leader, &keys);
	json_decref(o);
}

static void on_claim(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	json_t *o;

	c->el.claiming = false;
	store_heard(c, status);
	if (status != 200 || call->term != c->el.term) {
		log_debug("claim_failed", "status=%d", status);
		c->el.lease = 0;
		c->el.known = false;
		c->el.next_try = c->now + LEADER_REREAD_S;
		return;
	}
	o = wire_parse(body, len);
	c->el.token = wire_revision(o);
	json_decref(o);
	c->el.revision = c->el.first_token = c->el.token;
	snprintf(c->el.leader, sizeof(c->el.leader), "%s", c->conf->name);
	c->el.role = ROLE_LOADING;
	c->el.term++;
	log_token(c->el.token);
	log_info("lead", "state=loading");
	load_start(c);
}

static void on_lease(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	struct txn t;
	json_t *o;

	store_heard(c, status);
	if (status != 200 || call->term != c->el.term) {
		c->el.claiming = false;
		c->el.next_try = c->now + LEADER_REREAD_S;
		return;
	}
	o = wire_parse(body, len);
	c->el.lease = wire_lease(o);
	json_decref(o);
	/* Another took the key while the lease was asked for: it must not be put down again. */
	if (*c->el.leader) {
		c->el.claiming = false;
		lease_return(c);
		return;
	}
	c->el.renewed = call->sent;
	c->el.next_renew = call->sent + LEADER_RENEW_S;
	txn_begin(&t);
	txn_guard(&t, election_key(c->el.format), c->el.revision);
	if (c->el.format >= FORMAT_PIECES)
		txn_guard(&t, LEADER_KEY, c->el.gate_revision);
	txn_put(&t, election_key(c->el.format), election_value(c), c->el.lease);
	store_commit(c, txn_finish(&t), on_claim, NULL);
}

static void on_renew(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	(void)body;
	(void)len;
	if (call->term != c->el.term)
		return;
	c->el.renew_out = false;
	store_heard(c, status);
	if (status == 200) {
		c->el.renewed = call->sent;
		c->el.next_renew = call->sent + LEADER_RENEW_S;
	} else if (status == 404) {
		election_step_down(c, "lease_ended");
	} else {
		c->el.next_renew = c->now + LEADER_RETRY_S;
	}
}

static void renew(struct core *c)
{
	if (c->el.renew_out || c->now < c->el.next_renew || !c->el.lease)
		return;
	c->el.renew_out = true;
	core_call(c, c->conf->state, "POST",
		  fmt_path(W_PATH_LEASES "/%llu" W_PATH_RENEW, (unsigned long long)c->el.lease),
		  strdup("{}"), CALL_STATE_S, on_renew, NULL);
}

static void claim(struct core *c)
{
	c->el.claiming = true;
	core_call(c, c->conf->state, "POST", fmt_path(W_PATH_LEASES),
		  wire_lease_body(LEADER_TTL_MS), CALL_STATE_S, on_lease, NULL);
}

void election_tick(struct core *c)
{
	struct election *e = &c->el;

	if (!e->known) {
		if (!e->reading && c->now >= e->next_try) {
			e->reading = true;
			store_range(c, LEADER_KEY, "", on_read, NULL);
		}
	} else if (!e->watching) {
		e->watching = true;
		store_watch(c, LEADER_KEY, e->watched, LEADER_WATCH_MS, on_watch, NULL);
	}
	if (e->role != ROLE_FOLLOW) {
		renew(c);
		election_look(c);
		return;
	}
	if (e->known && !*e->leader && !e->claiming && c->now >= e->next_try &&
	    c->now >= e->stand_back && e->format <= FORMAT_NEWEST)
		claim(c);
}
