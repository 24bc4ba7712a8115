/*
 * Cancellations between controllers. Whoever leads has to learn of each in time, also while it
 * can't read the records: a committed one is announced to all controllers at once, and while the
 * state service is silent, each requests from the others the cancellations that they have confirmed
 * to users.
 */
#ifndef PLOVERLOFT_CANCELLATIONS_H
#define PLOVERLOFT_CANCELLATIONS_H

#include <stdint.h>

#include "wire/wire.h"

#include <uthash.h>

#define CANCELLED_PATH "/cancelled"
#define CONFIRMED_PATH "/heard"

struct core;
struct core_request;

/* A cancellation that this controller has confirmed to a user. */
struct confirmed_cancel {
	char id[ID_MAX];     /* of the job */
	uint64_t version;    /* of the job's record; 0: not known */
	double confirmed_at; /* steady; when first */
	UT_hash_handle hh;
};

struct cancellations {
	struct confirmed_cancel *confirmed; /* by job, oldest first; owned */
	double next_request_at;		    /* steady; no request to the others before */
};

/* Announces a committed cancellation to all others; `version` is that of the job's record. */
void cancellations_announce(struct core *core, const char *id, uint64_t version);
/* A user is answered that the job is cancelled. `version` 0: not known. */
void cancellations_note_confirmed(struct core *core, const char *id, uint64_t version);
/* Another controller announces a cancellation. */
void cancellations_receive(struct core *core, const struct core_request *request);
/* Answers another controller with all cancellations confirmed here. */
void cancellations_reply_confirmed(struct core *core, uint64_t connection);
/* Requests the others' confirmed cancellations, while the state service is silent. */
void cancellations_tick(struct core *core);
/* Frees the list of confirmed cancellations. */
void cancellations_clear(struct core *core);

#endif
