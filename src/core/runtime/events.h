/*
 * Events: how a folder notifies the folders above it. Calls go downwards only; where something
 * happens that concerns a higher folder, a member of this table is called, which core.c fills in
 * once. Each handler has run when the call returns. All members are set.
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

struct core_events {
	/* election: this controller holds the leader's key, and is to read the records */
	void (*leadership_won)(struct core *core);
	/* election: all state that only a leader has is to be dropped */
	void (*leadership_lost)(struct core *core);
	/* model: the record that holds the task is to be written, `delay_s` from now at the latest
	 */
	void (*task_record_changed)(struct core *core, struct job *job, uint32_t task,
				    double delay_s);
	/* model: the job is over, and its final record is to be written */
	void (*job_over)(struct core *core, struct job *job);
	/* records: a new fencing token is committed */
	void (*token_renewed)(struct core *core);
	/* records: the final record of a job is committed */
	void (*job_finished)(struct core *core, const char *id, enum job_state state,
			     uint32_t task_count);
	/* model, records, agents: something changed that may allow a placement */
	void (*placement_needed)(struct core *core);
	/* model, records: a binding of the machine is to be started or stopped */
	void (*commands_due)(struct core *core, struct machine *machine);
	/* model: the number of replicas on the machine has changed */
	void (*replicas_changed)(struct core *core, struct machine *machine);
	/* model: the machine is about to be freed */
	void (*machine_forgotten)(struct core *core, struct machine *machine);
	/* model: the job is about to be freed */
	void (*job_forgotten)(struct core *core, struct job *job);
	/* agents: a machine is given up, and is to be deleted at once */
	void (*machine_given_up)(struct core *core);
	/*
	 * runtime: an answer is about to be queued. If another controller forwarded the request,
	 * *status, *body and *len are replaced by those of a message to it that holds the answer;
	 * true if so. *body stays owned by the caller.
	 */
	bool (*wrap_forwarded_answer)(struct core *core, uint64_t connection, int *status,
				      int retry_after, char **body, size_t *len);
};

#endif
