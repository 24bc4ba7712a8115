/*
 * Forwards users' requests to other controllers, and handles the requests that other controllers
 * forward.
 */
#include "core/api/forwarding.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/api/user_requests.h"
#include "core/state.h"
#include "peer.pb-c.h"
#include "util/xalloc.h"
#include "wire/names.h"

/* Returns the bytes of a message's field as a NUL-terminated string, which the caller owns. */
static char *field_to_string(const ProtobufCBinaryData *field)
{
	return field->len ? xstrndup((const char *)field->data, field->len) : xstrdup("");
}

static struct forwarded_request *find_forwarded(const struct core *core, uint64_t connection)
{
	struct forwarded_request *forwarded;

	HASH_FIND(hh, core->api.forwarded, &connection, sizeof(connection), forwarded);
	return forwarded;
}

static void remove_forwarded(struct core *core, struct forwarded_request *forwarded)
{
	HASH_DEL(core->api.forwarded, forwarded);
	free(forwarded);
}

/* --- requests that this controller forwards --- */

/* The request that a call forwards. */
struct forward_context {
	uint64_t connection; /* id of the user's connection */
	size_t peer;	     /* index of the controller that the request was forwarded to */
};

/* Without a valid answer, the user gets 503 "state": the state service does not serve this
 * controller, and forwarding failed. */
static void on_forward_answer(struct core *core, struct call *call,
			      const struct call_answer *answer)
{
	struct forward_context *context = call->arg;
	struct peer *peer = peer_get(core, context->peer);
	Peer__ForwardedAnswer *message = NULL;

	if (answer->status == STATUS_OK)
		message = peer__forwarded_answer__unpack(NULL, answer->len,
							 (const uint8_t *)answer->body);
	peer_record_answer(core, context->peer, answer);
	/* The peer does not answer, or the state service does not serve it either. Requests
	 * aren't forwarded to this peer for a while, since the outage probably concerns the peer
	 * as well. */
	if (!message || message->status == STATUS_UNAVAILABLE)
		peer->no_forward_before = core->now + PEER_FORWARD_BACKOFF_S;
	if (message) {
		core_reply(core, context->connection, (int)message->status,
			   (int)message->retry_after, field_to_string(&message->body));
		peer__forwarded_answer__free_unpacked(message, NULL);
	} else {
		core_reply_error(core, context->connection, STATUS_UNAVAILABLE, RETRY_AFTER_S,
				 "state");
	}
	free(context);
}

/* Writes the path on which the user's request arrived. */
static void format_request_path(char path[HTTP_PATH_MAX], const struct user_request *request)
{
	if (request->kind == USER_SUBMIT)
		snprintf(path, HTTP_PATH_MAX, W_PATH_JOBS);
	else
		snprintf(path, HTTP_PATH_MAX, W_PATH_JOBS "/%s%s", request->id,
			 request->kind == USER_CANCEL ? W_PATH_CANCEL : "");
}

static uint8_t *pack_request(const struct user_request *request, size_t *len)
{
	Peer__ForwardedRequest message = PEER__FORWARDED_REQUEST__INIT;
	char path[HTTP_PATH_MAX];

	format_request_path(path, request);
	message.method = request->kind == USER_POLL ? "GET" : "POST";
	message.path = path;
	message.body.data = (uint8_t *)request->body;
	message.body.len = request->body ? strlen(request->body) : 0;
	return peers_pack(&message.base, len);
}

static void forward_to(struct core *core, size_t peer, const struct user_request *request)
{
	struct forward_context *context = xcalloc(1, sizeof(*context));
	struct call *call;
	uint8_t *packed;
	size_t len;

	context->connection = request->connection;
	context->peer = peer;
	packed = pack_request(request, &len);
	call = core_call_packed(core, core->conf->peers[peer].addr, FORWARD_PATH, packed, len,
				on_forward_answer, context);
	call->free_arg = free;
}

/* Returns the index of the peer that answered last, among the peers to which requests may be
 * forwarded now; the number of peers if there is no such peer. */
static size_t choose_peer(const struct core *core)
{
	size_t best = core->conf->peer_count;

	for (size_t i = 0; i < core->conf->peer_count; i++) {
		const struct peer *peer = peer_get(core, i);

		if (core->now < peer->no_forward_before)
			continue;
		if (best == core->conf->peer_count ||
		    peer->answered_at > peer_get(core, best)->answered_at)
			best = i;
	}
	return best;
}

bool forward_user_request(struct core *core, const struct user_request *request)
{
	size_t peer;

	if (find_forwarded(core, request->connection))
		return false;
	peer = choose_peer(core);
	if (peer == core->conf->peer_count)
		return false;
	forward_to(core, peer, request);
	return true;
}

/* --- requests that other controllers forward to this one --- */

static void mark_forwarded(struct core *core, uint64_t connection)
{
	struct forwarded_request *forwarded = xcalloc(1, sizeof(*forwarded));

	forwarded->connection = connection;
	HASH_ADD(hh, core->api.forwarded, connection, sizeof(forwarded->connection), forwarded);
}

static void handle_forwarded(struct core *core, uint64_t connection,
			     const Peer__ForwardedRequest *message)
{
	char *body = field_to_string(&message->body);
	struct core_request request = {
	    .connection = connection,
	    .side = CORE_BACK,
	    .method = message->method,
	    .path = message->path,
	    .body = body,
	    .len = strlen(body),
	};

	api_request(core, &request);
	free(body);
}

/* The answer "forward" means that the message can't be decoded. */
void forwarding_receive(struct core *core, const struct core_request *request)
{
	Peer__ForwardedRequest *message =
	    peer__forwarded_request__unpack(NULL, request->len, (const uint8_t *)request->body);

	if (!message) {
		core_reply_error(core, request->connection, STATUS_BAD_REQUEST, 0, "forward");
		return;
	}
	mark_forwarded(core, request->connection);
	handle_forwarded(core, request->connection, message);
	peer__forwarded_request__free_unpacked(message, NULL);
}

bool forwarding_wrap_answer(struct core *core, uint64_t connection, int *status, int retry_after,
			    char **body, size_t *len)
{
	struct forwarded_request *forwarded = find_forwarded(core, connection);
	Peer__ForwardedAnswer message = PEER__FORWARDED_ANSWER__INIT;
	uint8_t *packed;

	if (!forwarded)
		return false;
	remove_forwarded(core, forwarded);
	message.status = (uint32_t)*status;
	message.retry_after = (uint32_t)retry_after;
	message.body.data = (uint8_t *)*body;
	message.body.len = *len;
	packed = peers_pack(&message.base, len);
	free(*body);
	*body = (char *)packed;
	*status = STATUS_OK;
	return true;
}

void forwarding_clear(struct core *core)
{
	struct forwarded_request *forwarded, *next;

	HASH_ITER (hh, core->api.forwarded, forwarded, next)
		remove_forwarded(core, forwarded);
}
