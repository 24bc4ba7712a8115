/* The link to the other controllers: messages in protobuf, and what their answers tell of them. */
#include "core/peers/peer_link.h"

#include <stdlib.h>

#include "core/state.h"
#include "peer.pb-c.h"
#include "util/xalloc.h"

struct peer *peer_get(const struct core *core, size_t index)
{
	return &core->peers.list[index];
}

uint8_t *peers_pack(const struct ProtobufCMessage *m, size_t *len)
{
	uint8_t *buf;

	*len = protobuf_c_message_get_packed_size(m);
	buf = xmalloc(*len + 1);
	protobuf_c_message_pack(m, buf);
	return buf;
}

/* Whatever it says, it is there. */
void peer_note_answer(struct core *core, size_t peer, const struct call_answer *answer)
{
	if (answer->outcome == CALL_ANSWERED)
		core->peers.list[peer].answered_at = core->now;
}

void peers_note_incarnation(struct core *core, size_t peer, uint64_t incarnation)
{
	struct peer *p = &core->peers.list[peer];

	if (p->incarnation == incarnation && p->incarnation_since > 0)
		return;
	p->incarnation = incarnation;
	p->incarnation_since = core->now;
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
 * An outage of the state service is everybody's: turning users away would only make them come back
 * later. A controller that hears neither the state service nor any other controller is of no use to
 * them, while others may be.
 */
bool peers_ready(const struct core *core)
{
	if (!core->conf->npeers || store_silence_s(core) < PEER_ALONE_S)
		return true;
	for (size_t i = 0; i < core->conf->npeers; i++)
		if (core->now - core->peers.list[i].answered_at < PEER_ALONE_S)
			return true;
	return false;
}
