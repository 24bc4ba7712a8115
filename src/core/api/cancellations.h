/*
 * Messages between controllers about cancellations. A leader must learn of each cancellation early
 * enough to end the job within `cancel_s` of its confirmation, even while it can't read the
 * records. So a committed cancellation is announced to all controllers at once. In addition, while
 * the state service is unavailable to a controller, it requests from all others the cancellations
 * that they have confirmed to users.
 */
#ifndef PLOVERLOFT_CANCELLATIONS_H
#define PLOVERLOFT_CANCELLATIONS_H

#include <stdint.h>

#include "wire/wire.h"

#include <uthash.h>

/* Path of the announcement of a committed cancellation, a Cancellation message. */
#define CANCELLED_PATH "/cancelled"
/* Path of the request for the confirmed cancellations, answered by a ConfirmedCancellations
 * message. */
#define CONFIRMED_PATH "/heard"

struct core;
struct core_request;

/* A cancellation that this controller has confirmed to a user. */
struct confirmed_cancel {
	char id[ID_MAX];     /* id of the job */
	uint64_t version;    /* version of the job's open record; 0: not known */
	double confirmed_at; /* steady time of the first confirmation */
	UT_hash_handle hh;
};

/* The state of the exchange of cancellations. */
struct cancellations {
	struct confirmed_cancel *confirmed; /* hash table by job id, oldest first; owned */
	double next_request_at; /* steady; earliest time of the next requests to the others */
};

/* Announces a committed cancellation to all other controllers. `version` is that of the job's open
 * record. */
void cancellations_announce(struct core *core, const char *id, uint64_t version);
/* Records that the user is answered that the job is cancelled. `version` 0: not known. */
void cancellations_record_confirmed(struct core *core, const char *id, uint64_t version);
/* Handles another controller's announcement of a cancellation. */
void cancellations_receive(struct core *core, const struct core_request *request);
/* Answers another controller with the cancellations that this controller has confirmed. */
void cancellations_reply_confirmed(struct core *core, uint64_t connection);
/* Requests the other controllers' confirmed cancellations, every PEER_PING_INTERVAL_S while the
 * state service is unavailable. */
void cancellations_tick(struct core *core);
/* Frees the confirmed cancellations. */
void cancellations_clear(struct core *core);

#endif
