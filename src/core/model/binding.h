/*
 * Bindings. A binding places one attempt of a task on a machine; its resources count as used on the
 * machine and by the job's team.
 *
 * A binding is on record, that is, written in the state service, before the command to start its
 * task (the start) is sent. Once the start may have been sent, the binding ends only when it is
 * proved that the attempt does not run and cannot start any more: the agent reports its end, a
 * heartbeat proves its end by not listing it (see reconciliation.h), the agent has begun a newer
 * incarnation, or the machine is deleted. A binding whose start was never sent may end at once.
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

/* One attempt of a task on a machine. Times are seconds on the steady clock, as core->now. */
struct binding {
	struct machine *machine;
	struct job *job;
	uint32_t task; /* index of the task in the job */
	/* The number of the attempt: the low ATTEMPT_COUNTER_BITS bits are a counter, the bits
	 * above are the fencing token under which the attempt was made. Tasks that are placed
	 * together may share the number. */
	uint64_t attempt;
	/* The agent's incarnation when the start was last sent; 0: no start was sent since this
	 * term began or the agent was restarted. */
	uint64_t start_incarnation;
	/* The sequence number of the heartbeat whose answer last carried the start; 0: no answer
	 * has carried it since this term began or the agent was restarted. */
	uint64_t start_sequence;
	/* The sequence number of the newest report that lists the task; 0: no report has listed the
	 * task since this term began or the agent was restarted. */
	uint64_t listed_sequence;
	/* When a stop command with the present `grace_s` was last sent; 0: never. */
	double stop_sent_at;
	double grace_s;	      /* seconds that the task has to save its work when stopped */
	double running_since; /* when a report first showed the task running; 0: no report has */
	/* Largest size in bytes that the binding takes in the record of the task's chunk, see
	 * chunk.h. */
	uint32_t record_bytes;
	bool committed; /* the binding is on record */
	bool in_flight; /* the transaction in flight writes the binding */
	/* The start may have been sent by an earlier leader, or before the agent was restarted. */
	bool recovered;
	/* The agent has listed the task since this term began or the agent was restarted. */
	bool observed;
	bool stopping; /* a stop of the task is requested */
	/* Id of the array to which share switching gives the task's slot, the capacity that the
	 * task uses, once the binding has ended (see scheduling/share_switching.h); empty: the slot
	 * stays with the task's own job. */
	char switched_to[ID_MAX];
	enum task_state state; /* state of the task in the newest report that lists the task */
	struct binding *machine_prev, *machine_next; /* links of the machine's list of bindings */
	struct binding *job_prev, *job_next;	     /* links of the job's list of bindings */
	/* Links of the list of bindings of the task's chunk. */
	struct binding *chunk_prev, *chunk_next;
};

/*
 * Adds a binding of the task to the machine. The caller requests the write of the record of the
 * task's chunk. The binding is in the lists of its machine, job and chunk until binding_end frees
 * the binding.
 */
struct binding *binding_add(struct core *core, struct machine *machine, struct job *job,
			    uint32_t task, uint64_t attempt);
/* The machine's binding of this attempt of a task; NULL if there is none. */
struct binding *binding_find(const struct machine *machine, const char *job, uint32_t task,
			     uint64_t attempt);
/*
 * Requests that the task is stopped, with `grace_s` seconds to save its work. An earlier request is
 * replaced only if its grace period was longer.
 */
void binding_stop(struct core *core, struct binding *binding, double grace_s);
/* True if no start of the binding's task was sent in this term, and an earlier leader can't have
 * sent one either. */
bool binding_start_never_sent(const struct binding *binding);
/* True if the binding's task is not to be started any more: its stop is requested, or its machine
 * is to be deleted. */
bool binding_start_is_revoked(const struct binding *binding);
/*
 * Ends the binding, whose attempt is proved to have ended or was never started. `reason` decides on
 * backoffs and on whether the task is done. Returns the task's resources to the machine and the
 * team, requests a write of the record of the task's chunk, and frees the binding. Also frees an
 * orphaned job that nothing needs any more, see job_free_if_unused. If a task of a gang ends for
 * another reason than END_DONE, requests stops of the gang's other tasks, unless the gang is done
 * or cancelled. Ends no other binding.
 */
void binding_end(struct core *core, struct binding *binding, enum task_end_reason reason);

#endif
