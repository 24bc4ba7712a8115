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
static void peer_answered(struct core *core, size_t i, int status)
{
	if (status > 0)
		core->peers.list[i].answered_at = core->now;
}

/* --- counts of tasks --- */

static void counts_reply(struct core *core, uint64_t conn)
{
	size_t n = HASH_COUNT(core->jobs), len;
	Peer__Count *all = calloc(n + 1, sizeof(*all)), **list = calloc(n + 1, sizeof(*list));
	Peer__Counts out = PEER__COUNTS__INIT;
	struct job *job, *tmp;
	uint8_t *buf;

	if (!all || !list)
		abort();
	HASH_ITER (hh, core->jobs, job, tmp) {
		Peer__Count *x = &all[out.n_counts];

		if (job->orphan || (!job->done_count && !job->running_count))
			continue;
		peer__count__init(x);
		x->job = job->spec.id;
		x->done = job->done_count;
		x->running = job->running_count;
		list[out.n_counts++] = x;
	}
	out.token = core->election.token;
	out.counts = list;
	buf = peers_pack(&out.base, &len);
	core_reply_packed(core, conn, buf, len);
	free(all);
	free(list);
}

static void counts_take(struct core *core, const uint8_t *data, size_t len)
{
	Peer__Counts *in = peer__counts__unpack(NULL, len, data);
	struct indexed_job *known, *tmp;

	/* What a deposed leader still believes is no news. */
	if (in && in->token >= core->api.counts_token) {
		core->api.counts_token = in->token;
		core->api.counts_received_at = core->now;
		HASH_ITER (hh, core->api.index, known, tmp)
			if (!known->final)
				known->done_count = known->running_count = 0;
		for (size_t i = 0; i < in->n_counts; i++) {
			HASH_FIND_STR(core->api.index, in->counts[i]->job, known);
			if (!known || known->final)
				continue;
			known->done_count = in->counts[i]->done;
			known->running_count = in->counts[i]->running;
		}
	}
	if (in)
		peer__counts__free_unpacked(in, NULL);
}

static void on_counts(struct core *core, struct call *call, int status, const char *body,
		      size_t len)
{
	size_t i = (size_t)(uintptr_t)call->arg;

	core->api.counts_in_flight = false;
	peer_answered(core, i, status);
	if (status == 200)
		counts_take(core, (const uint8_t *)body, len);
}

/* The message is empty: its path says all. */
static void counts_ask(struct core *core, size_t i)
{
	core_call(core, core->conf->peers[i].addr, "POST", format_path(COUNTS_PATH), strdup(""),
		  CALL_PEER_S, on_counts, (void *)(uintptr_t)i);
}

static void counts_tick(struct core *core)
{
	if (core->election.role == ROLE_LEADER || core->api.counts_in_flight ||
	    core->now < core->api.next_counts_at ||
	    core->now - core->api.counts_wanted_at > COUNTS_DEMAND_S)
		return;
	for (size_t i = 0; i < core->conf->npeers; i++) {
		if (strcmp(core->conf->peers[i].name, core->election.leader))
			continue;
		core->api.counts_in_flight = true;
		core->api.next_counts_at = core->now + COUNTS_EVERY_S;
		counts_ask(core, i);
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

struct forward_context {
	uint64_t conn;
	size_t peer;
};

static void on_forwarded(struct core *core, struct call *call, int status, const char *body,
			 size_t len)
{
	struct forward_context *handed = call->arg;
	struct peer *peer = &core->peers.list[handed->peer];
	Peer__Forwarded *in =
	    status == 200 ? peer__forwarded__unpack(NULL, len, (const uint8_t *)body) : NULL;

	peer_answered(core, handed->peer, status);
	/* It can't serve either, or is not there: the outage is everybody's for now. */
	if (!in || in->status == 503)
		peer->no_forward_before = core->now + PEER_BACKOFF_S;
	if (in)
		core_reply(core, handed->conn, (int)in->status, (int)in->retry_after,
			   text_of(&in->body));
	else
		core_reply_error(core, handed->conn, 503, RETRY_AFTER_S, "state");
	if (in)
		peer__forwarded__free_unpacked(in, NULL);
	free(handed);
}

static void forward_to(struct core *core, size_t i, const struct user_request *request)
{
	Peer__Forward out = PEER__FORWARD__INIT;
	struct forward_context *handed = calloc(1, sizeof(*handed));
	char path[HTTP_PATH_MAX];
	struct call *call;
	uint8_t *buf;
	size_t len;

	if (request->kind == USER_SUBMIT)
		snprintf(path, sizeof(path), W_PATH_JOBS);
	else
		snprintf(path, sizeof(path), W_PATH_JOBS "/%s%s", request->id,
			 request->kind == USER_CANCEL ? W_PATH_CANCEL : "");
	out.method = request->kind == USER_POLL ? "GET" : "POST";
	out.path = path;
	out.body.data = (uint8_t *)request->body;
	out.body.len = request->body ? strlen(request->body) : 0;
	if (!handed)
		abort();
	buf = peers_pack(&out.base, &len);
	handed->conn = request->conn;
	handed->peer = i;
	call = core_call_packed(core, core->conf->peers[i].addr, FORWARD_PATH, buf, len,
				on_forwarded, handed);
	call->free_arg = free;
}

/* Hands the request to a controller that the state service may serve; false if there is none. */
bool forward_user_request(struct core *core, struct user_request *request)
{
	size_t best = core->conf->npeers;
	struct forwarded_request *wrapped;

	HASH_FIND(hh, core->peers.forwarded, &request->conn, sizeof(request->conn), wrapped);
	if (wrapped)
		return false; /* handed on once already */
	for (size_t i = 0; i < core->conf->npeers; i++)
		if (core->now >= core->peers.list[i].no_forward_before &&
		    (best == core->conf->npeers ||
		     core->peers.list[i].answered_at > core->peers.list[best].answered_at))
			best = i;
	if (best == core->conf->npeers)
		return false;
	forward_to(core, best, request);
	return true;
}

static void forward_take(struct core *core, const struct core_request *r)
{
	Peer__Forward *in = peer__forward__unpack(NULL, r->len, (const uint8_t *)r->body);
	struct core_request q = {r->conn, CORE_BACK, NULL, NULL, NULL, 0};
	struct forwarded_request *wrapped;
	char *body;

	if (!in) {
		core_reply_error(core, r->conn, 400, 0, "forward");
		return;
	}
	wrapped = calloc(1, sizeof(*wrapped));
	body = text_of(&in->body);
	if (!wrapped)
		abort();
	wrapped->conn = r->conn;
	HASH_ADD(hh, core->peers.forwarded, conn, sizeof(wrapped->conn), wrapped);
	q.method = in->method;
	q.path = in->path;
	q.body = body;
	q.len = strlen(body);
	api_request(core, &q);
	free(body);
	peer__forward__free_unpacked(in, NULL);
}

bool peers_wrap_answer(struct core *core, uint64_t conn, int *status, int retry_after, char **body,
		       size_t *len)
{
	Peer__Forwarded out = PEER__FORWARDED__INIT;
	struct forwarded_request *wrapped;
	uint8_t *buf;

	HASH_FIND(hh, core->peers.forwarded, &conn, sizeof(conn), wrapped);
	if (!wrapped)
		return false;
	HASH_DEL(core->peers.forwarded, wrapped);
	free(wrapped);
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

static void on_cancelled_answer(struct core *core, struct call *call, int status, const char *body,
				size_t len)
{
	(void)body;
	(void)len;
	peer_answered(core, (size_t)(uintptr_t)call->arg, status);
}

/*
 * The leader may be refused by the state service alone, or be cut from it and deposed without
 * knowing, while workers still report to it: a cancellation goes to all, whoever leads.
 */
void peers_announce_cancelled(struct core *core, const char *id, uint64_t version)
{
	for (size_t i = 0; i < core->conf->npeers; i++) {
		Peer__Cancelled out = PEER__CANCELLED__INIT;
		uint8_t *buf;
		size_t len;

		out.job = (char *)id;
		out.version = version;
		buf = peers_pack(&out.base, &len);
		core_call_packed(core, core->conf->peers[i].addr, CANCELLED_PATH, buf, len,
				 on_cancelled_answer, (void *)(uintptr_t)i);
	}
}

static void cancelled_take(struct core *core, const struct core_request *request)
{
	Peer__Cancelled *in =
	    peer__cancelled__unpack(NULL, request->len, (const uint8_t *)request->body);

	if (!in) {
		core_reply_error(core, request->conn, 400, 0, "cancelled");
		return;
	}
	job_cancel_committed(core, in->job, in->version);
	peer__cancelled__free_unpacked(in, NULL);
	core_reply(core, request->conn, 200, 0, strdup("{}"));
}

/* --- what users were told of cancellations, while the state service is silent --- */

void peers_note_confirmed(struct core *core, const char *id, uint64_t version)
{
	struct confirmed_cancel *told, *tmp;

	HASH_ITER (hh, core->peers.confirmed, told, tmp) {
		bool old =
		    core->now - told->confirmed_at > CONFIRMED_KEEP_CANCELS * core->conf->cancel_s;

		if (!old && HASH_COUNT(core->peers.confirmed) < CONFIRMED_MAX)
			break; /* oldest first */
		/* What is forgotten before its time must not pass for never told. */
		core->peers.incarnation += !old;
		HASH_DEL(core->peers.confirmed, told);
		free(told);
	}
	HASH_FIND_STR(core->peers.confirmed, id, told);
	if (told)
		return;
	told = calloc(1, sizeof(*told));
	if (!told)
		abort();
	snprintf(told->id, sizeof(told->id), "%s", id);
	told->version = version;
	told->confirmed_at = core->now;
	HASH_ADD_STR(core->peers.confirmed, id, told);
}

static void confirmed_reply(struct core *core, uint64_t conn)
{
	size_t n = HASH_COUNT(core->peers.confirmed), len;
	Peer__Cancelled *all = calloc(n + 1, sizeof(*all)), **list = calloc(n + 1, sizeof(*list));
	Peer__Confirmed out = PEER__CONFIRMED__INIT;
	struct confirmed_cancel *told, *tmp;
	uint8_t *buf;

	if (!all || !list)
		abort();
	HASH_ITER (hh, core->peers.confirmed, told, tmp) {
		Peer__Cancelled *x = &all[out.n_cancelled];

		peer__cancelled__init(x);
		x->job = told->id;
		x->version = told->version;
		list[out.n_cancelled++] = x;
	}
	out.incarnation = core->peers.incarnation;
	out.token = core->election.role == ROLE_LEADER ? core->election.token : 0;
	out.cancelled = list;
	buf = peers_pack(&out.base, &len);
	core_reply_packed(core, conn, buf, len);
	free(all);
	free(list);
}

void peers_note_incarnation(struct core *core, size_t peer, uint64_t incarnation)
{
	struct peer *p = &core->peers.list[peer];

	if (p->incarnation == incarnation && p->incarnation_since > 0)
		return;
	p->incarnation = incarnation;
	p->incarnation_since = core->now;
}

/*
 * All that the peer told users before the question left is in its answer, or it was told by a
 * process before this one, that is before we first heard of this one. If the jobs' changes were
 * read after that, we know of those too; if not, the answer proves nothing.
 */
static void confirmed_take(struct core *core, size_t i, double asked, const Peer__Confirmed *in)
{
	struct peer *peer = &core->peers.list[i];

	peers_note_incarnation(core, i, in->incarnation);
	if (in->token > core->election.token)
		election_deposed(core, core->conf->peers[i].name);
	for (size_t k = 0; k < in->n_cancelled; k++)
		job_cancel_committed(core, in->cancelled[k]->job, in->cancelled[k]->version);
	if (core->election.role == ROLE_LEADER &&
	    peer->incarnation_since <= core->jobs_watch.read_at)
		peer->confirmed_until = asked;
}

static void on_confirmed(struct core *core, struct call *call, int status, const char *body,
			 size_t len)
{
	size_t i = (size_t)(uintptr_t)call->arg;
	Peer__Confirmed *in =
	    status == 200 ? peer__confirmed__unpack(NULL, len, (const uint8_t *)body) : NULL;

	peer_answered(core, i, status);
	if (!in)
		return;
	confirmed_take(core, i, call->sent_at, in);
	peer__confirmed__free_unpacked(in, NULL);
}

double peers_confirmed_until(const struct core *core)
{
	double least = core->now;

	for (size_t i = 0; i < core->conf->npeers; i++)
		least = fmin(least, core->peers.list[i].confirmed_until);
	return core->conf->npeers ? least : -1;
}

/* --- the back link --- */

void peers_request(struct core *core, const struct core_request *request)
{
	if (strcmp(request->method, "POST"))
		core_reply_error(core, request->conn, 405, 0, "method");
	else if (!strcmp(request->path, FORWARD_PATH))
		forward_take(core, request);
	else if (!strcmp(request->path, CANCELLED_PATH))
		cancelled_take(core, request);
	else if (!strcmp(request->path, CONFIRMED_PATH))
		confirmed_reply(core, request->conn);
	else if (strcmp(request->path, COUNTS_PATH))
		core_reply_error(core, request->conn, 404, 0, "no such path");
	else if (core->election.role == ROLE_LEADER)
		counts_reply(core, request->conn);
	else
		core_reply_error(core, request->conn, 421, 0, "not leading");
}

/* While the state service is silent, the others are asked what they told users; it is a sign of
 * life too. */
static void ping_tick(struct core *core)
{
	if (!core->store_unavailable || core->now < core->peers.next_ping_at)
		return;
	core->peers.next_ping_at = core->now + PEER_PING_S;
	for (size_t i = 0; i < core->conf->npeers; i++)
		core_call(core, core->conf->peers[i].addr, "POST", format_path(CONFIRMED_PATH),
			  strdup(""), CALL_PEER_S, on_confirmed, (void *)(uintptr_t)i);
}

void peers_tick(struct core *core)
{
	counts_tick(core);
	ping_tick(core);
}

/*
 * An outage of the state service is everybody's: turning users away would only make them come back
 * later. A controller that hears neither the state service nor any other controller is of no use to
 * them, while others may be.
 */
bool peers_ready(const struct core *core)
{
	if (!core->conf->npeers || core->now - core->store_answered_at < PEER_ALONE_S)
		return true;
	for (size_t i = 0; i < core->conf->npeers; i++)
		if (core->now - core->peers.list[i].answered_at < PEER_ALONE_S)
			return true;
	return false;
}

void peers_clear(struct core *core)
{
	struct forwarded_request *wrapped, *tmp;
	struct confirmed_cancel *told, *ttmp;

	HASH_ITER (hh, core->peers.forwarded, wrapped, tmp) {
		HASH_DEL(core->peers.forwarded, wrapped);
		free(wrapped);
	}
	HASH_ITER (hh, core->peers.confirmed, told, ttmp) {
		HASH_DEL(core->peers.confirmed, told);
		free(told);
	}
}
