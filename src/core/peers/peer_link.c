/*
 * The link to the other controllers (peers): calls, incarnations, and readiness for users.
 */
#include "core/peers/peer_link.h"

#include <stdlib.h>

#include "core/state.h"
#include "peer.pb-c.h"
#include "util/xalloc.h"

void peer_link_init(struct core *core, uint64_t incarnation)
{
	core->peers.incarnation = incarnation;
	core->peers.list = xcalloc(core->conf->peer_count + 1, sizeof(*core->peers.list));
	for (size_t i = 0; i < core->conf->peer_count; i++)
		core->peers.list[i].confirmed_until = -1;
}

void peer_link_clear(struct core *core)
{
	free(core->peers.list);
	core->peers.list = NULL;
}

struct peer *peer_get(const struct core *core, size_t index)
{
	return &core->peers.list[index];
}

uint8_t *peers_pack(const struct ProtobufCMessage *message, size_t *len)
{
	uint8_t *packed;

	*len = protobuf_c_message_get_packed_size(message);
	packed = xmalloc(*len + 1);
	protobuf_c_message_pack(message, packed);
	return packed;
}

void peer_send(struct core *core, size_t peer, const char *path, uint8_t *packed, size_t len,
	       answer_fn on_answer)
{
	core_call_packed(core, core->conf->peers[peer].addr, path, packed, len, on_answer,
			 (void *)(uintptr_t)peer);
}

void peer_send_empty(struct core *core, size_t peer, const char *path, answer_fn on_answer)
{
	peer_send(core, peer, path, (uint8_t *)xstrdup(""), 0, on_answer);
}

size_t peer_of_call(const struct call *call)
{
	return (size_t)(uintptr_t)call->arg;
}

void peer_record_answer(struct core *core, size_t peer, const struct call_answer *answer)
{
	if (answer->outcome == CALL_ANSWERED)
		core->peers.list[peer].answered_at = core->now;
}

void peer_record_incarnation(struct core *core, size_t peer, uint64_t incarnation)
{
	struct peer *entry = &core->peers.list[peer];

	if (entry->incarnation == incarnation && entry->incarnation_since > 0)
		return;
	entry->incarnation = incarnation;
	entry->incarnation_since = core->now;
}

void peers_renew_incarnation(struct core *core)
{
	core->peers.incarnation++;
}

uint64_t peers_incarnation(const struct core *core)
{
	return core->peers.incarnation;
}

/*
 * While a peer answers, this controller stays ready without the state service: in an outage for all
 * controllers, users who are turned away would only come back later. A controller that reaches
 * neither the state service nor any peer can't serve users, while another controller may be able
 * to.
 */
bool peers_ready(const struct core *core)
{
	if (!core->conf->peer_count || store_silence_s(core) < READY_SILENCE_MAX_S)
		return true;
	for (size_t i = 0; i < core->conf->peer_count; i++)
		if (core->now - core->peers.list[i].answered_at < READY_SILENCE_MAX_S)
			return true;
	return false;
}
