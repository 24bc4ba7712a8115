#include "core/model/binding.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"

struct binding *binding_add(struct core *core, struct machine *machine, struct job *job,
			    uint32_t task, uint64_t attempt)
{
	struct binding *binding = xcalloc(1, sizeof(*binding));

	binding->machine = machine;
	binding->job = job;
	binding->task = task;
	binding->attempt = attempt;
	DL_APPEND2(job->bindings, binding, job_prev, job_next);
	machine_add_binding(core, binding);
	job_mark_task_bound(job, task);
	chunk_add_binding(binding);
	job->uncommitted_count++;
	team_charge(core, &job->spec);
	return binding;
}

struct binding *binding_find(const struct machine *machine, const char *job, uint32_t task,
			     uint64_t attempt)
{
	struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, machine_next)
		if (binding->task == task && binding->attempt == attempt &&
		    !strcmp(binding->job->spec.id, job))
			return binding;
	return NULL;
}

bool binding_start_never_sent(const struct binding *binding)
{
	return !binding->recovered && !binding->start_sequence;
}

bool binding_start_is_revoked(const struct binding *binding)
{
	return binding->stopping || binding->machine->cloud.deleting;
}

void binding_stop(struct core *core, struct binding *binding, double grace_s)
{
	if (binding->stopping && grace_s >= binding->grace_s)
		return;
	binding->stopping = true;
	binding->grace_s = grace_s;
	binding->stop_sent_at = 0;
	core->events->commands_due(core, binding->machine);
}

/*
 * If the binding was that of an array's task, keeps the freed slot, the capacity that the task
 * used, for FREED_SLOT_HOLD_S. It is kept for the same array, or for the array to which share
 * switching gave the slot. Other kinds of jobs have no slots.
 */
static void keep_freed_slot(const struct core *core, const struct binding *binding)
{
	struct machine_scheduling *scheduling = &binding->machine->scheduling;
	const struct job *job = binding->job;

	if (job->spec.kind != JOB_ARRAY || job->orphan)
		return;
	snprintf(scheduling->freed_slot_job, sizeof(scheduling->freed_slot_job), "%s",
		 *binding->switched_to ? binding->switched_to : job->spec.id);
	scheduling->freed_slot_until = core->now + FREED_SLOT_HOLD_S;
}

/* Removes the binding from its machine, job, chunk and team, and frees it. */
static void remove_binding(struct core *core, struct binding *binding)
{
	struct job *job = binding->job;

	if (binding->running_since > 0)
		job->running_count--;
	/* Records of an earlier leader may bind a task twice: the task waits again only when both
	 * bindings have ended. */
	if (!chunk_has_other_binding(binding))
		job_mark_task_unbound(job, binding->task);
	chunk_remove_binding(binding);
	job->uncommitted_count -= !binding->committed;
	team_release(core, &job->spec);
	DL_DELETE2(job->bindings, binding, job_prev, job_next);
	machine_remove_binding(core, binding);
	keep_freed_slot(core, binding);
	core->events->task_record_changed(core, job, binding->task, TASK_END_WRITE_DELAY_S);
	free(binding);
}

/*
 * Requests stops of all tasks of a gang after one of them ended before it was done. Without these
 * stops, the other tasks would find out by themselves that a task of the gang has ended, but later.
 * If the gang is done, no stops are requested.
 */
static void stop_gang(struct core *core, struct job *job, enum task_end_reason reason)
{
	struct binding *binding;

	if (job->done_count)
		return;
	job->gang_stopping = true;
	DL_FOREACH2 (job->bindings, binding, job_next) {
		/* If the task ended because it was stopped, the other tasks that are being stopped
		 * may be saving their work: their grace periods must not be cut short. */
		if (reason != END_STOPPED || !binding->stopping)
			binding_stop(core, binding, 0);
	}
}

/*
 * Handles a replica that exited by itself, although it is to run until its job is cancelled. A
 * replica that exits soon after its start, whether in success or failure, is started again after a
 * backoff that grows, so that its restarts don't displace the starts of other tasks. A replica that
 * has run for REPLICA_MIN_UPTIME_S is started again at once.
 */
static void handle_replica_exit(struct core *core, const struct binding *binding,
				enum task_end_reason reason)
{
	struct job *job = binding->job;
	bool ran_long_enough = binding->running_since > 0 &&
			       core->now - binding->running_since >= REPLICA_MIN_UPTIME_S;

	if (ran_long_enough)
		job_reset_failures(job);
	job_handle_task_failure(core, job, binding->machine);
	if (reason == END_ERROR)
		machine_add_failed_job(binding->machine, job);
}

/* Applies the reason of the binding's end to the job and to the machine. */
static void apply_end_reason(struct core *core, const struct binding *binding,
			     enum task_end_reason reason)
{
	struct machine *machine = binding->machine;
	struct job *job = binding->job;
	bool ended_by_itself = reason == END_DONE || reason == END_ERROR;

	if (job->spec.kind == JOB_SERVICE && ended_by_itself) {
		handle_replica_exit(core, binding, reason);
		return;
	}
	switch (reason) {
	case END_DONE:
		machine_reset_failed_jobs(machine);
		job_reset_failures(job);
		job_complete_task(core, job, binding->task);
		break;
	case END_ERROR:
		job_handle_task_failure(core, job, machine);
		machine_add_failed_job(machine, job);
		break;
	case END_NO_ROOM:
	case END_BUSY:
		job_handle_refused_start(core, job);
		machine_handle_refused_start(core, machine);
		break;
	case END_UNKNOWN_JOB: /* the agent has not received the job's description yet */
		job_handle_refused_start(core, job);
		break;
	case END_NONE:
	case END_STOPPED:
	case END_PEERS_LOST:
	case END_GANG_TIMEOUT:
		break;
	}
}

void binding_end(struct core *core, struct binding *binding, enum task_end_reason reason)
{
	struct job *job = binding->job;

	log_info("binding_ended", "job=%s task=%u attempt=%llu machine=%s end_reason=%d",
		 job->spec.id, binding->task, (unsigned long long)binding->attempt,
		 binding->machine->id, reason);
	apply_end_reason(core, binding, reason);
	remove_binding(core, binding);
	if (job->spec.kind == JOB_GANG && reason != END_DONE && !job->cancelled)
		stop_gang(core, job, reason);
	job->scheduling.waiting_since = core->now;
	job_check_end(core, job);
	job_free_if_unused(core, job);
	core->events->placement_needed(core);
}
