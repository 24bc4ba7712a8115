/* The link to the other controllers, and what is known of each of them. */
#ifndef PLOVERLOFT_PEER_LINK_H
#define PLOVERLOFT_PEER_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct call_answer;
struct core;
struct ProtobufCMessage;

/* Another controller, as this one has found it. Times are steady. */
struct peer {
	double answered_at;	  /* its last answer */
	double no_forward_before; /* no request is forwarded to it before */
	uint64_t incarnation;	  /* of its process */
	double incarnation_since; /* when its first answer under this incarnation came */
	double confirmed_until;	  /* all that it had told users of cancellations by then is known */
};

struct peers {
	struct peer *list;    /* as in the settings */
	uint64_t incarnation; /* of this process */
};

/* The peer of this index in the settings; it stays owned by the link. */
struct peer *peer_get(const struct core *core, size_t index);
/* The message's bytes, which the caller owns; *len is their number. */
uint8_t *peers_pack(const struct ProtobufCMessage *m, size_t *len);
/* A call to the peer has ended: any answer shows that it is there. */
void peer_note_answer(struct core *core, size_t peer, const struct call_answer *answer);
/* An answer of the peer came: which process it is. */
void peers_note_incarnation(struct core *core, size_t peer, uint64_t incarnation);
/* The incarnation of this process, which the others are told. */
uint64_t peers_incarnation(const struct core *core);
/* What this process was asked for is forgotten early: the others are to take it for a new one. */
void peers_renew_incarnation(struct core *core);
/* Whether users should come here: false if neither the state service nor a peer answers. */
bool peers_ready(const struct core *core);

#endif
