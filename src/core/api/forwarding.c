/*
 * Forwarding of users' requests: a controller that the state service does not serve hands them to
 * one that it may serve, and passes the answer on.
 */
#include "core/api/forwarding.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "peer.pb-c.h"
#include "util/log.h"
#include "util/xalloc.h"
#include "wire/names.h"

/* The bytes of a message as a string of their own. */
static char *text_of(const ProtobufCBinaryData *d)
{
	char *s = d->len ? xstrndup((const char *)d->data, d->len) : xstrdup("");

	return s;
}

struct forward_context {
	uint64_t conn;
	size_t peer;
};

static void on_forwarded(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct forward_context *handed = call->arg;
	struct peer *peer = peer_get(core, handed->peer);
	Peer__Forwarded *in =
	    answer->status == STATUS_OK
		? peer__forwarded__unpack(NULL, answer->len, (const uint8_t *)answer->body)
		: NULL;

	peer_note_answer(core, handed->peer, answer);
	/* It can't serve either, or is not there: the outage is everybody's for now. */
	if (!in || in->status == STATUS_UNAVAILABLE)
		peer->no_forward_before = core->now + PEER_BACKOFF_S;
	if (in)
		core_reply(core, handed->conn, (int)in->status, (int)in->retry_after,
			   text_of(&in->body));
	else
		core_reply_error(core, handed->conn, STATUS_UNAVAILABLE, RETRY_AFTER_S, "state");
	if (in)
		peer__forwarded__free_unpacked(in, NULL);
	free(handed);
}

static void forward_to(struct core *core, size_t i, const struct user_request *request)
{
	Peer__Forward out = PEER__FORWARD__INIT;
	struct forward_context *handed = xcalloc(1, sizeof(*handed));
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

	HASH_FIND(hh, core->api.forwarded, &request->conn, sizeof(request->conn), wrapped);
	if (wrapped)
		return false; /* handed on once already */
	for (size_t i = 0; i < core->conf->npeers; i++)
		if (core->now >= peer_get(core, i)->no_forward_before &&
		    (best == core->conf->npeers ||
		     peer_get(core, i)->answered_at > peer_get(core, best)->answered_at))
			best = i;
	if (best == core->conf->npeers)
		return false;
	forward_to(core, best, request);
	return true;
}

void forward_take(struct core *core, const struct core_request *r)
{
	Peer__Forward *in = peer__forward__unpack(NULL, r->len, (const uint8_t *)r->body);
	struct core_request q = {r->conn, CORE_BACK, NULL, NULL, NULL, 0};
	struct forwarded_request *wrapped;
	char *body;

	if (!in) {
		core_reply_error(core, r->conn, STATUS_BAD_REQUEST, 0, "forward");
		return;
	}
	wrapped = xcalloc(1, sizeof(*wrapped));
	body = text_of(&in->body);
	wrapped->conn = r->conn;
	HASH_ADD(hh, core->api.forwarded, conn, sizeof(wrapped->conn), wrapped);
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

	HASH_FIND(hh, core->api.forwarded, &conn, sizeof(conn), wrapped);
	if (!wrapped)
		return false;
	HASH_DEL(core->api.forwarded, wrapped);
	free(wrapped);
	out.status = (uint32_t)*status;
	out.retry_after = (uint32_t)retry_after;
	out.body.data = (uint8_t *)*body;
	out.body.len = *len;
	buf = peers_pack(&out.base, len);
	free(*body);
	*body = (char *)buf;
	*status = STATUS_OK;
	return true;
}

void forwarding_clear(struct core *core)
{
	struct forwarded_request *forwarded, *next;

	HASH_ITER (hh, core->api.forwarded, forwarded, next) {
		HASH_DEL(core->api.forwarded, forwarded);
		free(forwarded);
	}
}
