/*
 * What controllers ask each other beside pairing: how the tasks of open jobs stand, and requests
 * of users that the state service does not let one controller serve. Each is a protobuf message in
 * a request on the back link. A question is also a sign of life: who answers is there.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "peer.pb-c.h"
#include "util/log.h"
#include "wire/names.h"

uint8_t *peers_pack(const struct ProtobufCMessage *m, size_t *len)
{
	uint8_t *buf;

	*len = protobuf_c_message_get_packed_size(m);
	buf = malloc(*len + 1);
	if (!buf)
		abort();
	protobuf_c_message_pack(m, buf);
	return buf;
}

/* Whatever it says, it is there. */
static void peer_answered(struct core *c, size_t i, int status)
{
	if (status > 0)
		c->peers[i].answered = c->now;
}

/* --- counts of tasks --- */

static void counts_reply(struct core *c, uint64_t conn)
{
	size_t n = HASH_COUNT(c->jobs), len;
	Peer__Count *all = calloc(n + 1, sizeof(*all)), **list = calloc(n + 1, sizeof(*list));
	Peer__Counts out = PEER__COUNTS__INIT;
	struct job *j, *tmp;
	uint8_t *buf;

	if (!all || !list)
		abort();
	HASH_ITER (hh, c->jobs, j, tmp) {
		Peer__Count *x = &all[out.n_counts];

		if (j->orphan || (!j->ndone && !j->nrunning))
			continue;
		peer__count__init(x);
		x->job = j->spec.id;
		x->done = j->ndone;
		x->running = j->nrunning;
		list[out.n_counts++] = x;
	}
	out.token = c->el.token;
	out.counts = list;
	buf = peers_pack(&out.base, &len);
	core_reply_packed(c, conn, buf, len);
	free(all);
	free(list);
}

static void counts_take(struct core *c, const uint8_t *data, size_t len)
{
	Peer__Counts *in = peer__counts__unpack(NULL, len, data);
	struct known *k, *tmp;

	/* What a deposed leader still believes is no news. */
	if (in && in->token >= c->counts_token) {
		c->counts_token = in->token;
		c->counts_at = c->now;
		HASH_ITER (hh, c->known, k, tmp)
			if (!k->final)
				k->done = k->running = 0;
		for (size_t i = 0; i < in->n_counts; i++) {
			HASH_FIND_STR(c->known, in->counts[i]->job, k);
			if (!k || k->final)
				continue;
			k->done = in->counts[i]->done;
			k->running = in->counts[i]->running;
		}
	}
	if (in)
		peer__counts__free_unpacked(in, NULL);
}

static void on_counts(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	size_t i = (size_t)(uintptr_t)call->arg;

	c->counts_out = false;
	peer_answered(c, i, status);
	if (status == 200)
		counts_take(c, (const uint8_t *)body, len);
}

/* The message is empty: its path says all. */
static void counts_ask(struct core *c, size_t i)
{
	core_call(c, c->conf->peers[i].addr, "POST", fmt_path(COUNTS_PATH), strdup(""), CALL_PEER_S,
		  on_counts, (void *)(uintptr_t)i);
}

static void counts_tick(struct core *c)
{
	if (c->el.role == ROLE_LEAD || c->counts_out || c->now < c->counts_next ||
	    c->now - c->counts_wanted > COUNTS_ASKED_S)
		return;
	for (size_t i = 0; i < c->conf->npeers; i++) {
		if (strcmp(c->conf->peers[i].name, c->el.leader))
			continue;
		c->counts_out = true;
		c->counts_next = c->now + COUNTS_EVERY_S;
		counts_ask(c, i);
	}
}

/* --- requests handed on --- */

/* The bytes of a message as a string of their own. */
static char *text_of(const ProtobufCBinaryData *d)
{
	char *s = d->len ? strndup((const char *)d->data, d->len) : strdup("");

	if (!s)
		abort();
	return s;
}

struct handed {
	uint64_t conn;
	size_t peer;
};

static void on_forwarded(struct core *c, struct call *call, int status, const char *body,
			 size_t len)
{
	struct handed *h = call->arg;
	struct peer_view *p = &c->peers[h->peer];
	Peer__Forwarded *in =
	    status == 200 ? peer__forwarded__unpack(NULL, len, (const uint8_t *)body) : NULL;

	peer_answered(c, h->peer, status);
	/* It can't serve either, or is not there: the outage is everybody's for now. */
	if (!in || in->status == 503)
		p->no_forward = c->now + PEER_BACKOFF_S;
	if (in)
		core_reply(c, h->conn, (int)in->status, (int)in->retry_after, text_of(&in->body));
	else
		core_reply_error(c, h->conn, 503, RETRY_AFTER_S, "state");
	if (in)
		peer__forwarded__free_unpacked(in, NULL);
	free(h);
}

static void forward_to(struct core *c, size_t i, const struct user_req *u)
{
	Peer__Forward out = PEER__FORWARD__INIT;
	struct handed *h = calloc(1, sizeof(*h));
	char path[HTTP_PATH_MAX];
	struct call *call;
	uint8_t *buf;
	size_t len;

	if (u->kind == USER_SUBMIT)
		snprintf(path, sizeof(path), W_PATH_JOBS);
	else
		snprintf(path, sizeof(path), W_PATH_JOBS "/%s%s", u->id,
			 u->kind == USER_CANCEL ? W_PATH_CANCEL : "");
	out.method = u->kind == USER_POLL ? "GET" : "POST";
	out.path = path;
	out.body.data = (uint8_t *)u->body;
	out.body.len = u->body ? strlen(u->body) : 0;
	if (!h)
		abort();
	buf = peers_pack(&out.base, &len);
	h->conn = u->conn;
	h->peer = i;
	call = core_call_packed(c, c->conf->peers[i].addr, FORWARD_PATH, buf, len, on_forwarded, h);
	call->drop = free;
}

/* Hands the request to a controller that the state service may serve; false if there is none. */
bool forward_user(struct core *c, struct user_req *u)
{
	size_t best = c->conf->npeers;
	struct wrapped *w;

	HASH_FIND(hh, c->wrapped, &u->conn, sizeof(u->conn), w);
	if (w)
		return false; /* handed on once already */
	for (size_t i = 0; i < c->conf->npeers; i++)
		if (c->now >= c->peers[i].no_forward &&
		    (best == c->conf->npeers || c->peers[i].answered > c->peers[best].answered))
			best = i;
	if (best == c->conf->npeers)
		return false;
	forward_to(c, best, u);
	return true;
}

static void forward_take(struct core *c, const struct core_request *r)
{
	Peer__Forward *in = peer__forward__unpack(NULL, r->len, (const uint8_t *)r->body);
	struct core_request q = {r->conn, CORE_BACK, NULL, NULL, NULL, 0};
	struct wrapped *w;
	char *body;

	if (!in) {
		core_reply_error(c, r->conn, 400, 0, "forward");
		return;
	}
	w = calloc(1, sizeof(*w));
	body = text_of(&in->body);
	if (!w)
		abort();
	w->conn = r->conn;
	HASH_ADD(hh, c->wrapped, conn, sizeof(w->conn), w);
	q.method = in->method;
	q.path = in->path;
	q.body = body;
	q.len = strlen(body);
	users_request(c, &q);
	free(body);
	peer__forward__free_unpacked(in, NULL);
}

bool peers_wrap(struct core *c, uint64_t conn, int *status, int retry_after, char **body,
		size_t *len)
{
	Peer__Forwarded out = PEER__FORWARDED__INIT;
	struct wrapped *w;
	uint8_t *buf;

	HASH_FIND(hh, c->wrapped, &conn, sizeof(conn), w);
	if (!w)
		return false;
	HASH_DEL(c->wrapped, w);
	free(w);
	out.status = (uint32_t)*status;
	out.retry_after = (uint32_t)retry_after;
	out.body.data = (uint8_t *)*body;
	out.body.len = *len;
	buf = peers_pack(&out.base, len);
	free(*body);
	*body = (char *)buf;
	*status = 200;
	return true;
}

/* --- cancellations --- */

static void on_told(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	(void)body;
	(void)len;
	peer_answered(c, (size_t)(uintptr_t)call->arg, status);
}

/*
 * The leader may be refused by the state service alone, or be cut from it and deposed without
 * knowing, while workers still report to it: a cancellation goes to all, whoever leads.
 */
void peers_cancelled(struct core *c, const char *id, uint64_t version)
{
	for (size_t i = 0; i < c->conf->npeers; i++) {
		Peer__Cancelled out = PEER__CANCELLED__INIT;
		uint8_t *buf;
		size_t len;

		out.job = (char *)id;
		out.version = version;
		buf = peers_pack(&out.base, &len);
		core_call_packed(c, c->conf->peers[i].addr, CANCELLED_PATH, buf, len, on_told,
				 (void *)(uintptr_t)i);
	}
}

static void cancelled_take(struct core *c, const struct core_request *r)
{
	Peer__Cancelled *in = peer__cancelled__unpack(NULL, r->len, (const uint8_t *)r->body);

	if (!in) {
		core_reply_error(c, r->conn, 400, 0, "cancelled");
		return;
	}
	job_cancel_told(c, in->job, in->version);
	peer__cancelled__free_unpacked(in, NULL);
	core_reply(c, r->conn, 200, 0, strdup("{}"));
}

/* --- what users were told of cancellations, while the state service is silent --- */

void peers_note_told(struct core *c, const char *id, uint64_t version)
{
	struct told *t, *tmp;

	HASH_ITER (hh, c->told, t, tmp) {
		bool old = c->now - t->at > TOLD_KEEP_CANCELS * c->conf->cancel_s;

		if (!old && HASH_COUNT(c->told) < TOLD_MAX)
			break; /* oldest first */
		/* What is forgotten before its time must not pass for never told. */
		c->incarnation += !old;
		HASH_DEL(c->told, t);
		free(t);
	}
	HASH_FIND_STR(c->told, id, t);
	if (t)
		return;
	t = calloc(1, sizeof(*t));
	if (!t)
		abort();
	snprintf(t->id, sizeof(t->id), "%s", id);
	t->version = version;
	t->at = c->now;
	HASH_ADD_STR(c->told, id, t);
}

static void heard_reply(struct core *c, uint64_t conn)
{
	size_t n = HASH_COUNT(c->told), len;
	Peer__Cancelled *all = calloc(n + 1, sizeof(*all)), **list = calloc(n + 1, sizeof(*list));
	Peer__Heard out = PEER__HEARD__INIT;
	struct told *t, *tmp;
	uint8_t *buf;

	if (!all || !list)
		abort();
	HASH_ITER (hh, c->told, t, tmp) {
		Peer__Cancelled *x = &all[out.n_cancelled];

		peer__cancelled__init(x);
		x->job = t->id;
		x->version = t->version;
		list[out.n_cancelled++] = x;
	}
	out.incarnation = c->incarnation;
	out.token = c->el.role == ROLE_LEAD ? c->el.token : 0;
	out.cancelled = list;
	buf = peers_pack(&out.base, &len);
	core_reply_packed(c, conn, buf, len);
	free(all);
	free(list);
}

void peers_note_incarnation(struct core *c, size_t peer, uint64_t incarnation)
{
	struct peer_view *p = &c->peers[peer];

	if (p->incarnation == incarnation && p->since > 0)
		return;
	p->incarnation = incarnation;
	p->since = c->now;
}

/*
 * All that the peer told users before the question left is in its answer, or it was told by a
 * process before this one, that is before we first heard of this one. If the jobs' changes were
 * read after that, we know of those too; if not, the answer proves nothing.
 */
static void heard_take(struct core *c, size_t i, double asked, const Peer__Heard *in)
{
	struct peer_view *p = &c->peers[i];

	peers_note_incarnation(c, i, in->incarnation);
	if (in->token > c->el.token)
		election_deposed(c, c->conf->peers[i].name);
	for (size_t k = 0; k < in->n_cancelled; k++)
		job_cancel_told(c, in->cancelled[k]->job, in->cancelled[k]->version);
	if (c->el.role == ROLE_LEAD && p->since <= c->jobs_read)
		p->heard = asked;
}

static void on_heard(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	size_t i = (size_t)(uintptr_t)call->arg;
	Peer__Heard *in =
	    status == 200 ? peer__heard__unpack(NULL, len, (const uint8_t *)body) : NULL;

	peer_answered(c, i, status);
	if (!in)
		return;
	heard_take(c, i, call->sent, in);
	peer__heard__free_unpacked(in, NULL);
}

double peers_heard(const struct core *c)
{
	double least = c->now;

	for (size_t i = 0; i < c->conf->npeers; i++)
		least = fmin(least, c->peers[i].heard);
	return c->conf->npeers ? least : -1;
}

/* --- the back link --- */

void peers_request(struct core *c, const struct core_request *r)
{
	if (strcmp(r->method, "POST"))
		core_reply_error(c, r->conn, 405, 0, "method");
	else if (!strcmp(r->path, FORWARD_PATH))
		forward_take(c, r);
	else if (!strcmp(r->path, CANCELLED_PATH))
		cancelled_take(c, r);
	else if (!strcmp(r->path, HEARD_PATH))
		heard_reply(c, r->conn);
	else if (strcmp(r->path, COUNTS_PATH))
		core_reply_error(c, r->conn, 404, 0, "no such path");
	else if (c->el.role == ROLE_LEAD)
		counts_reply(c, r->conn);
	else
		core_reply_error(c, r->conn, 421, 0, "not leading");
}

/* While the state service is silent, the others are asked what they told users; it is a sign of
 * life too. */
static void ping_tick(struct core *c)
{
	if (!c->state_down || c->now < c->ping_next)
		return;
	c->ping_next = c->now + PEER_PING_S;
	for (size_t i = 0; i < c->conf->npeers; i++)
		core_call(c, c->conf->peers[i].addr, "POST", fmt_path(HEARD_PATH), strdup(""),
			  CALL_PEER_S, on_heard, (void *)(uintptr_t)i);
}

void peers_tick(struct core *c)
{
	counts_tick(c);
	ping_tick(c);
}

/*
 * An outage of the state service is everybody's: turning users away would only make them come back
 * later. A controller that hears neither the state service nor any other controller is of no use to
 * them, while others may be.
 */
bool peers_ready(const struct core *c)
{
	if (!c->conf->npeers || c->now - c->state_heard < PEER_ALONE_S)
		return true;
	for (size_t i = 0; i < c->conf->npeers; i++)
		if (c->now - c->peers[i].answered < PEER_ALONE_S)
			return true;
	return false;
}

void peers_clear(struct core *c)
{
	struct wrapped *w, *tmp;
	struct told *t, *ttmp;

	HASH_ITER (hh, c->wrapped, w, tmp) {
		HASH_DEL(c->wrapped, w);
		free(w);
	}
	HASH_ITER (hh, c->told, t, ttmp) {
		HASH_DEL(c->told, t);
		free(t);
	}
}
