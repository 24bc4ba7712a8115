/* The link to the other controllers, and what is known of each of them. */
#ifndef PLOVERLOFT_PEER_LINK_H
#define PLOVERLOFT_PEER_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/runtime/call.h"

struct ProtobufCMessage;

/* Another controller. Times are steady. */
struct peer {
	double answered_at;	  /* its last answer */
	double no_forward_before; /* no request is forwarded to it before */
	uint64_t incarnation;	  /* of its process */
	double incarnation_since; /* when its first answer under this incarnation came */
	double confirmed_until;	  /* all cancellations it had confirmed by then are known here */
};

struct peers {
	struct peer *list;    /* in the order of the settings; owned */
	uint64_t incarnation; /* of this process */
};

/* `incarnation` is to differ from that of any earlier process of this controller. */
void peer_link_init(struct core *core, uint64_t incarnation);
/* Frees what peer_link_init has made. */
void peer_link_clear(struct core *core);

/* The peer of this index in the settings; it stays owned by the link. */
struct peer *peer_get(const struct core *core, size_t index);
/* The message's bytes, which the caller owns; *len is their number. */
uint8_t *peers_pack(const struct ProtobufCMessage *message, size_t *len);
/* Posts a packed message to the peer; the call owns `packed` from then on. */
void peer_send(struct core *core, size_t peer, const char *path, uint8_t *packed, size_t len,
	       answer_fn on_answer);
/* Posts an empty message to the peer. */
void peer_send_empty(struct core *core, size_t peer, const char *path, answer_fn on_answer);
/* The peer that a call of peer_send or peer_send_empty went to. */
size_t peer_of_call(const struct call *call);

/* A call to the peer has ended: any answer shows that it is alive. */
void peer_note_answer(struct core *core, size_t peer, const struct call_answer *answer);
/* An answer of the peer names the incarnation of its process. */
void peers_note_incarnation(struct core *core, size_t peer, uint64_t incarnation);
/* The incarnation of this process, as the others know it. */
uint64_t peers_incarnation(const struct core *core);
/*
 * Something that the others rely on was dropped early: they are to take this process for a new one,
 * which has no memory of it.
 */
void peers_renew_incarnation(struct core *core);
/* Whether users should come here: false if neither the state service nor a peer answers. */
bool peers_ready(const struct core *core);

#endif
