/*
 * The link to the other controllers (peers): sends calls to them, and keeps what is known of each.
 */
#ifndef PLOVERLOFT_PEER_LINK_H
#define PLOVERLOFT_PEER_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/runtime/call.h"

struct ProtobufCMessage;

/* Another controller. All times are in seconds of the steady clock. */
struct peer {
	double answered_at;	  /* when the peer's last answer of any kind came */
	double no_forward_before; /* before this time no user's request is forwarded to the peer */
	uint64_t incarnation;	  /* incarnation of the peer's process, as last answered */
	double incarnation_since; /* when the peer's first answer with `incarnation` came */
	double confirmed_until;	  /* all cancellations that the peer confirmed to users before this
				   * time are known to this controller; < 0: none */
};

/* The other controllers, and what this process tells them of itself. */
struct peers {
	struct peer *list;    /* one for each peer, in the order of the settings; owned */
	uint64_t incarnation; /* incarnation of this process */
};

/* Initialises the link. `incarnation` must differ from that of each earlier process of this
 * controller. */
void peer_link_init(struct core *core, uint64_t incarnation);
/* Frees what peer_link_init allocated. */
void peer_link_clear(struct core *core);

/* The peer with this index in the settings. The link owns it. */
struct peer *peer_get(const struct core *core, size_t index);
/* Encodes the message. The caller owns the returned bytes; *len is set to their number. */
uint8_t *peers_pack(const struct ProtobufCMessage *message, size_t *len);
/* Sends the encoded message `packed` to the peer by POST and takes ownership of it. */
void peer_send(struct core *core, size_t peer, const char *path, uint8_t *packed, size_t len,
	       answer_fn on_answer);
/* Sends an empty message to the peer by POST. */
void peer_send_empty(struct core *core, size_t peer, const char *path, answer_fn on_answer);
/* The index of the peer to which peer_send or peer_send_empty made the call. */
size_t peer_of_call(const struct call *call);

/* Records the end of a call to the peer. An answer with any status shows that the peer is running.
 */
void peer_record_answer(struct core *core, size_t peer, const struct call_answer *answer);
/* Records the incarnation of the peer's process, which an answer of the peer contains. */
void peer_record_incarnation(struct core *core, size_t peer, uint64_t incarnation);
/* The incarnation of this process, as this controller's answers give it to the others. */
uint64_t peers_incarnation(const struct core *core);
/*
 * Gives this process a new incarnation, since data that the other controllers rely on was discarded
 * early. They then treat it as a new process, which does not have the data of the one before.
 */
void peers_renew_incarnation(struct core *core);
/*
 * True if users' requests should be sent to this controller: false if neither the state service nor
 * any peer has answered it for READY_SILENCE_MAX_S. Always true without peers.
 */
bool peers_ready(const struct core *core);

#endif
