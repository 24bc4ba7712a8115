/*
 * Messages between controllers about cancellations. A leader must learn of each cancellation early
 * enough to end the job within `cancel_s` of its confirmation, even while the leader can't read the
 * records. So a committed cancellation is announced to all controllers at once. In addition, a
 * controller to which the state service is unavailable requests from all other controllers the
 * cancellations that they have confirmed to users.
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
	char id[ID_MAX]; /* id of the job */
	/* Version of the job's open record that is marked as cancelled; 0: not known. */
	uint64_t version;
	/* Steady time at which a user was first answered that the job is cancelled. */
	double confirmed_at;
	UT_hash_handle hh;
};

/* The state of the exchange of cancellations. */
struct cancellations {
	/* Confirmed cancellations: hash table by job id, oldest first; owned. */
	struct confirmed_cancel *confirmed;
	/* Steady seconds; earliest time of the next requests for the other controllers' confirmed
	 * cancellations. */
	double next_request_at;
};

/* Announces a committed cancellation to all other controllers. `version` is the version of the
 * job's open record that is marked as cancelled. */
void cancellations_announce(struct core *core, const char *id, uint64_t version);
/* Records that a user is answered that the job is cancelled. `version` is the version of the job's
 * open record that is marked as cancelled; 0: not known. */
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
