#include "core/autoscale/scale_in.h"

#include <stdio.h>
#include <stdlib.h>

#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"
#include "wire/names.h"

/* Seconds that the machine may be idle before it is deleted. */
static double idle_patience_s(const struct core *core, const struct machine *machine)
{
	if (core->conf->idle_patience_s >= 0)
		return core->conf->idle_patience_s;
	if (!autoscale_minimises_cost(core))
		return IDLE_MAX_GUARANTEE_S;
	return machine->type && machine->type->gpus > 0 ? IDLE_MAX_GPU_S : IDLE_MAX_S;
}

/* Stops each task with checkpoints at the last moment at which it can still save its work. */
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

static bool job_fits_machine(const struct job *job, const struct machine *machine)
{
	const struct machine_type *type = machine->type;
	const struct job_spec *spec = &job->spec;

	return spec->cpus <= type->cpus && spec->gpus <= type->gpus &&
	       spec->mem_gb <= type->mem_gb &&
	       machine_type_allowed(type, machine->zone, machine->spot, spec);
}

/* Whether any open job could use the machine's type; with none open, any might come. */
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

/* Whether nothing runs on the machine, and no room there is reserved. */
static bool is_idle(const struct machine *machine)
{
	/* Room reserved for a gang is not idle: a delete would undo the reservation. */
	return !machine->bindings && machine->agent.last_message_at >= 0 &&
	       !machine->scheduling.reserved_for;
}

static bool should_delete(const struct core *core, const struct machine *machine)
{
	double idle_s = core->now - machine->cloud.idle_since;

	if (machine->cloud.draining || idle_s > idle_patience_s(core, machine))
		return true;
	/* Its reports cost the leader as much as those of a machine that works. */
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
		machine->cloud.deleting = true;
	}
}

/* The machines of one request to delete. */
struct delete_batch {
	char ids[DELETE_BATCH_MAX][ID_MAX];
	size_t count;
};

/*
 * What was deleted can be had again at once. When many machines of a pool that was refused are
 * deleted together, waiting for the refusal's end would leave their work without room meanwhile.
 */
static void note_deleted(struct core *core, struct machine *machine)
{
	struct capacity_pool pool = {machine->type_name, machine->zone, purchase_kind_of(machine)};

	tombstone_add(core, machine->id);
	capacity_refusal_lift(core, pool);
	machine_handle_deleted(core, machine);
}

static void take_delete_answer(struct core *core, const struct delete_batch *batch,
			       const struct call_answer *answer)
{
	cloud_note_answer(core, answer);
	for (size_t i = 0; i < batch->count; i++) {
		struct machine *machine = machine_find(core, batch->ids[i]);

		if (!machine)
			continue;
		machine->cloud.delete_in_flight = false;
		if (answer->status == STATUS_OK)
			note_deleted(core, machine);
	}
}

static void on_delete_answer(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct delete_batch *batch = call->arg;

	if (!election_call_is_stale(core, call))
		take_delete_answer(core, batch, answer);
	free(batch);
}

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
	while (deletes_are_due(core) && cloud_request_allowed(core))
		send_delete_batch(core);
}
