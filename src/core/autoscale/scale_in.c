#include "core/autoscale/scale_in.h"

#include <stdio.h>
#include <stdlib.h>

#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"
#include "wire/names.h"

/* Returns the seconds that the machine may be idle before it is deleted: the operators' setting or,
 * without one, a value that follows from the objectives. */
static double idle_patience_s(const struct core *core, const struct machine *machine)
{
	if (core->conf->idle_patience_s >= 0)
		return core->conf->idle_patience_s;
	if (!autoscale_minimises_cost(core))
		return IDLE_MAX_GUARANTEE_S;
	return machine->type && machine->type->gpus > 0 ? IDLE_MAX_GPU_S : IDLE_MAX_S;
}

/*
 * Stops each task that makes checkpoints at the last moment at which it can still save its work. A
 * task that has too little time left for that is not stopped.
 */
static void stop_before_preemption(struct core *core, struct machine *machine)
{
	double since_notice_s = core->now - machine->agent.notice_received_at;
	double remaining_s = machine->agent.notice_s - since_notice_s;
	struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, machine_next) {
		const struct job_spec *spec = &binding->job->spec;

		if (binding->stopping || spec->checkpoint_s <= 0 || remaining_s < spec->save_s)
			continue;
		if (remaining_s < spec->save_s + NOTICE_MARGIN_S)
			binding_stop(core, binding, spec->save_s + 1);
	}
}

/* Whether a task of the job would fit on the machine if it were empty, and the job allows it. */
static bool job_fits_machine(const struct job *job, const struct machine *machine)
{
	const struct machine_type *type = machine->type;
	const struct job_spec *spec = &job->spec;

	return spec->cpus <= type->cpus && spec->gpus <= type->gpus &&
	       spec->mem_gb <= type->mem_gb &&
	       machine_type_allowed(type, machine->zone, machine->spot, spec);
}

/* Whether an open job could use the machine if it were empty. Also true if its type is not known,
 * or if there are no jobs, since a job that can use it may be submitted. */
static bool is_type_useful(const struct core *core, const struct machine *machine)
{
	const struct job *job, *next;

	if (!machine->type || !job_count(core))
		return true;
	JOBS_FOR_EACH (core, job, next)
		if (!job->orphan && job_fits_machine(job, machine))
			return true;
	return false;
}

/* Whether the machine's agent has sent a message in this term, no task is bound to the machine and
 * no capacity is reserved on it. */
static bool is_idle(const struct machine *machine)
{
	/* Reserved capacity does not count as idle: to delete the machine would undo the
	 * reservation. */
	return !machine->bindings && machine->agent.last_message_at >= 0 &&
	       !machine->scheduling.reserved_for;
}

/* Whether an idle machine is to be deleted now. */
static bool should_delete(const struct core *core, const struct machine *machine)
{
	double idle_s = core->now - machine->cloud.idle_since;

	if (machine->cloud.draining || idle_s > idle_patience_s(core, machine))
		return true;
	/* A machine that no job can use is deleted even if idle ones are kept longer: its reports
	 * cost the leader as much as those of a machine with tasks. */
	return idle_s > IDLE_MAX_UNUSABLE_S && !is_type_useful(core, machine);
}

void scale_in_scan(struct core *core)
{
	struct machine *machine, *next;

	MACHINES_FOR_EACH (core, machine, next) {
		if (machine->cloud.deleting)
			continue;
		if (machine->agent.notice_s >= 0)
			stop_before_preemption(core, machine);
		if (!is_idle(machine) || !should_delete(core, machine))
			continue;
		log_info("scale_in", "machine=%s type=%s idle=%.1f", machine->id,
			 machine->type_name, core->now - machine->cloud.idle_since);
		machine_begin_deletion(core, machine);
	}
}

/* The machines of one request to delete machines. */
struct delete_batch {
	char ids[DELETE_BATCH_MAX][ID_MAX];
	size_t count;
};

/*
 * Handles a machine that the cloud has deleted. Its capacity can be rented again at once, so the
 * backoff of its pool ends. Otherwise, when many machines of a pool in backoff are deleted
 * together, the tasks that ran on them would have no capacity until the backoff ends.
 */
static void on_machine_deleted(struct core *core, struct machine *machine)
{
	struct capacity_pool pool = {machine->type_name, machine->zone, purchase_kind_of(machine)};

	tombstone_add(core, machine->id);
	capacity_refusal_reset(core, pool);
	machine_handle_deleted(core, machine);
}

/* True if the answer says that the cloud has not carried out the request. */
static bool is_refusal(const struct call_answer *answer)
{
	return answer->status == STATUS_UNAVAILABLE || answer->status == STATUS_TOO_MANY_REQUESTS;
}

/* After an answer other than a success, the deletes are due again. */
static void apply_delete_answer(struct core *core, const struct delete_batch *batch,
				const struct call_answer *answer)
{
	cloud_update_backoff(core, answer);
	for (size_t i = 0; i < batch->count; i++) {
		struct machine *machine = machine_find(core, batch->ids[i]);

		if (!machine)
			continue;
		machine->cloud.delete_in_flight = false;
		machine->cloud.delete_may_be_late |= !is_refusal(answer);
		if (answer->status == STATUS_OK)
			on_machine_deleted(core, machine);
	}
}

static void on_delete_answer(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct delete_batch *batch = call->arg;

	if (!election_call_is_stale(core, call))
		apply_delete_answer(core, batch, answer);
	free(batch);
}

/* Whether a delete is to be sent for the machine. */
static bool is_delete_due(const struct machine *machine)
{
	return machine->cloud.deleting && !machine->cloud.delete_in_flight &&
	       !machine->cloud.deleted;
}

static bool deletes_are_due(const struct core *core)
{
	const struct machine *machine, *next;

	MACHINES_FOR_EACH (core, machine, next)
		if (is_delete_due(machine))
			return true;
	return false;
}

/* Sends one request to delete as many due machines as it can name. */
static void send_delete_batch(struct core *core)
{
	struct delete_batch *batch = xcalloc(1, sizeof(*batch));
	const char *ids[DELETE_BATCH_MAX];
	struct machine *machine, *next;
	struct call *call;

	MACHINES_FOR_EACH (core, machine, next) {
		if (batch->count == DELETE_BATCH_MAX)
			break;
		if (!is_delete_due(machine))
			continue;
		machine->cloud.delete_in_flight = true;
		snprintf(batch->ids[batch->count], ID_MAX, "%s", machine->id);
		ids[batch->count] = batch->ids[batch->count];
		batch->count++;
	}
	call = core_call(core, core->conf->cloud_addr, "POST", format_path(W_PATH_DELETE),
			 wire_delete_request(ids, batch->count), CALL_CLOUD_TIMEOUT_S,
			 on_delete_answer, batch);
	call->free_arg = free;
}

void scale_in_send_deletes(struct core *core)
{
	while (deletes_are_due(core) && cloud_rate_limit_acquire(core))
		send_delete_batch(core);
}
