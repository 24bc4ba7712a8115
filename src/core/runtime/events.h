/*
 * Events: how a folder notifies the folders above it. A folder calls only functions of its own and
 * of the folders below it (see .ci/layers.conf). Where a higher folder has to react, it calls a
 * member of this table, which core.c sets up. The handler has returned when the call of the member
 * returns. All members are set.
 */
#ifndef PLOVERLOFT_EVENTS_H
#define PLOVERLOFT_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/wire.h"

struct core;
struct job;
struct machine;

/* The comment of each event begins with the folders that raise it. */
struct core_events {
	/* election: this controller now holds the leader's key; the records must be read */
	void (*leadership_won)(struct core *core);
	/* election: this controller's term has ended; the leader's state must be dropped */
	void (*leadership_lost)(struct core *core);
	/* model: the task's record changed and must be written within `delay_s` seconds */
	void (*task_record_changed)(struct core *core, struct job *job, uint32_t task,
				    double delay_s);
	/* model: the job has ended; its final record must be written */
	void (*job_ended)(struct core *core, struct job *job);
	/* records: a new fencing token was committed */
	void (*token_renewed)(struct core *core);
	/* records: the final record of the job was committed */
	void (*final_record_committed)(struct core *core, const char *id, enum job_state state,
				       uint32_t task_count);
	/* model, records, agents: a change may allow tasks to be placed */
	void (*placement_needed)(struct core *core);
	/* model, records: the agent must be sent a start or stop for a binding of the machine */
	void (*commands_due)(struct core *core, struct machine *machine);
	/* model: the number of replicas on the machine has changed */
	void (*replicas_changed)(struct core *core, struct machine *machine);
	/* model: the machine is about to be freed */
	void (*machine_removed)(struct core *core, struct machine *machine);
	/* model: the job is about to be freed */
	void (*job_removed)(struct core *core, struct job *job);
	/* agents: a machine was given up and must be deleted at once */
	void (*machine_given_up)(struct core *core);
	/*
	 * runtime: an answer is about to be queued. If another controller forwarded the request,
	 * the handler puts the answer into a message to that controller, replaces *status, *body
	 * and *len by those of the message, and returns true; otherwise it returns false. The
	 * caller owns *body before and after.
	 */
	bool (*wrap_forwarded_answer)(struct core *core, uint64_t connection, int *status,
				      int retry_after, char **body, size_t *len);
};

#endif
