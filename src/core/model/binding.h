/*
 * Bindings: one attempt of a task, placed on a machine. A binding is on record before the start is
 * sent, and ends by proof only: the agent reports the end, or a report that counts lacks it, or its
 * incarnation is newer, or the machine is deleted. One whose start was never sent ends at once.
 * docs/failure-model.md has the proofs.
 */
#ifndef PLOVERLOFT_BINDING_H
#define PLOVERLOFT_BINDING_H

#include <stdbool.h>
#include <stdint.h>

#include "wire/wire.h"

struct core;
struct job;
struct machine;

struct binding {
	struct machine *machine;
	struct job *job;
	uint32_t task;
	uint64_t attempt;
	uint64_t min_token;	    /* a report proves absence only if its agent saw this token */
	uint64_t start_incarnation; /* of the agent when the newest start of this term was sent; 0:
				       none sent */
	uint64_t start_sequence;    /* report whose answer carried the newest start */
	uint64_t listed_sequence;   /* newest message that lists it */
	double start_sent_at;	    /* steady */
	double stop_sent_at;	    /* steady; when the newest stop was sent; 0: none */
	double grace_s;		    /* of the stop: seconds in which to save its work */
	double running_since;	    /* steady; 0: not running */
	uint32_t record_bytes;	    /* in its chunk's record, at most */
	bool committed, in_flight;
	bool recovered; /* made by an earlier leader */
	bool observed;	/* listed by its agent under this leader */
	bool stopping;
	char switched_to[ID_MAX]; /* the array that its slot serves next; empty: none */
	enum task_state state;
	struct binding *machine_prev, *machine_next; /* on its machine */
	struct binding *job_prev, *job_next;	     /* of its job */
	struct binding *chunk_prev, *chunk_next;     /* in its chunk of the job */
};

/* Binds the task; the machine and the job own the binding, which binding_end frees. */
struct binding *binding_add(struct core *core, struct machine *machine, struct job *job,
			    uint32_t task, uint64_t attempt);
/*
 * Wants the task stopped, with so many seconds to save its work. A stop already wanted is only
 * replaced by one with a shorter grace.
 */
void binding_stop(struct core *core, struct binding *binding, double grace_s);
/* No start was sent, neither by this leader nor, as far as it can know, by an earlier one. */
bool binding_start_never_sent(const struct binding *binding);
/*
 * The end of the binding is proved: notes what it means for the job and the machine, and frees the
 * binding, and the job too if it is over. The record follows in the next transaction.
 */
void binding_end(struct core *core, struct binding *binding, enum task_end_reason reason);

#endif
