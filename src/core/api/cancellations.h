/* Cancellations that users were told of, and their way to all controllers. */
#ifndef PLOVERLOFT_CANCELLATIONS_H
#define PLOVERLOFT_CANCELLATIONS_H

#include "core/core.h"
#include "wire/wire.h"

#include <uthash.h>

#define CANCELLED_PATH "/cancelled"
#define CONFIRMED_PATH "/heard"

struct core;

/* A cancellation that users were told of by this controller. */
struct confirmed_cancel {
	char id[ID_MAX];
	uint64_t version;    /* of the job's record; 0: not known */
	double confirmed_at; /* steady; when first */
	UT_hash_handle hh;
};

/* Tells the others of a committed cancellation: whoever leads may not read of it for a while. */
void peers_announce_cancelled(struct core *core, const char *id, uint64_t version);
/* A user is told that the job is cancelled. */
void peers_note_confirmed(struct core *core, const char *id, uint64_t version);
/* Another controller announces a cancellation. */
void cancelled_take(struct core *core, const struct core_request *request);
/* Answers another controller's question for all cancellations that users were told of here. */
void confirmed_reply(struct core *core, uint64_t conn);
/* Asks the others while the state service is silent. */
void cancellations_tick(struct core *core);
void cancellations_clear(struct core *core);

#endif
