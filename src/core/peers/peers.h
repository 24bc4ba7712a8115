/*
 * What controllers ask each other, and pairing.
 */
#ifndef PLOVERLOFT_PEERS_H
#define PLOVERLOFT_PEERS_H

#include "core/runtime/call.h"
#include "core/api/api.h"

/* Another controller, as this one has found it. */
struct peer {
	double answered_at;	  /* steady; its last answer */
	double no_forward_before; /* steady; nothing is handed to it before */
	uint64_t incarnation;
	double incarnation_since; /* steady; when its first answer under this incarnation came */
	double confirmed_until;	  /* steady; all that it had told users of cancellations by then is
				     known here */
};

/* A cancellation that users were told of by this controller. */
struct confirmed_cancel {
	char id[ID_MAX];
	uint64_t version;    /* of the job's record; 0: not known */
	double confirmed_at; /* steady; when first */
	UT_hash_handle hh;
};

/* A request that another controller handed on: its answer goes back wrapped. */
struct forwarded_request {
	uint64_t conn;
	UT_hash_handle hh;
};

struct peers {
	struct peer *list;		    /* as in the settings */
	uint64_t incarnation;		    /* of this process */
	struct confirmed_cancel *confirmed; /* oldest first */
	struct forwarded_request *forwarded;
	double next_ping_at;
};

/* Pairing: the state of this controller's quanta. */
struct share_switching {
	bool *peer_live;   /* by its last answer */
	double next_at;	   /* steady */
	uint64_t quantum;  /* counts the values that we wrote */
	uint64_t switches; /* made since this process began */
};

/* pair.c */
#define PAIR_PATH "/pair"
double share_switch_probability(double m_a, double m_b);
void share_switching_request(struct core *core, const struct core_request *request);
/* `peer`: whose answer it is; npeers: our own. */
void share_switching_take(struct core *core, size_t peer, const uint8_t *data, size_t len);
void share_switching_tick(struct core *core);

/* peers.c */
#define COUNTS_PATH "/counts"
#define FORWARD_PATH "/forward"
#define CANCELLED_PATH "/cancelled"
#define CONFIRMED_PATH "/heard"
void peers_request(struct core *core, const struct core_request *request);
/* The message as bytes of their own. */
struct ProtobufCMessage;
uint8_t *peers_pack(const struct ProtobufCMessage *m, size_t *len);
bool forward_user_request(struct core *core, struct user_request *request);
/* Tells the others of a committed cancellation: whoever leads may not read of it for a while. */
void peers_announce_cancelled(struct core *core, const char *id, uint64_t version);
void peers_tick(struct core *core);
/* Wraps the answer if the request was handed on by another controller. */
bool peers_wrap_answer(struct core *core, uint64_t conn, int *status, int retry_after, char **body,
		       size_t *len);
/* A user is told that the job is cancelled. */
void peers_note_confirmed(struct core *core, const char *id, uint64_t version);
/* An answer of the peer came: which process it is. */
void peers_note_incarnation(struct core *core, size_t peer, uint64_t incarnation);
/* The moment up to which all that the others told users of cancellations is known here; < 0: none.
 */
double peers_confirmed_until(const struct core *core);
bool peers_ready(const struct core *core);
void peers_clear(struct core *core);

#endif
