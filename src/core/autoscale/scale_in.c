/* Machines that go back: idle, faulty or lost ones, and what is done on a notice. */
#include "core/state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/scheduling/cycle.h"
#include "util/log.h"
#include "wire/names.h"
#include "util/xalloc.h"

static double patience(const struct core *core, const struct machine *machine)
{
	if (core->conf->idle_patience_s >= 0)
		return core->conf->idle_patience_s;
	if (!autoscale_minimises_cost(core))
		return IDLE_GUARANTEE_S;
	return machine->type && machine->type->gpus > 0 ? IDLE_GPU_S : IDLE_COST_S;
}

static void notice_look(struct core *core, struct machine *machine)
{
	double left = machine->agent.notice_s - (core->now - machine->agent.notice_received_at);
	struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, machine_next) {
		double save = binding->job->spec.save_s;

		if (binding->stopping || binding->job->spec.checkpoint_s <= 0 || left < save)
			continue;
		if (left < save + NOTICE_MARGIN_S)
			binding_stop(core, binding, save + 1);
	}
}

/* Whether any open job could use the machine's type; with none open, any might come. */
static bool type_of_use(const struct core *core, const struct machine *machine)
{
	const struct job *job, *tmp;

	if (!machine->type || !job_count(core))
		return true;
	JOBS_FOR_EACH (core, job, tmp)
		if (!job->orphan && job->spec.cpus <= machine->type->cpus &&
		    job->spec.gpus <= machine->type->gpus &&
		    job->spec.mem_gb <= machine->type->mem_gb &&
		    machine_type_allowed(machine->type, machine->zone, machine->spot, &job->spec))
			return true;
	return false;
}

void scale_in_scan(struct core *core)
{
	struct machine *machine, *tmp;
	double idle;

	MACHINES_FOR_EACH (core, machine, tmp) {
		if (machine->cloud.deleting)
			continue;
		if (machine->agent.notice_s >= 0)
			notice_look(core, machine);
		/* Room held for a gang is not idle, and a machine lost to it would undo the hold.
		 */
		if (machine->bindings || machine->agent.last_message_at < 0 ||
		    machine->scheduling.reserved_for)
			continue;
		idle = core->now - machine->cloud.idle_since;
		/* Its reports cost the leader as much as those of a machine that works. */
		if (machine->cloud.draining || idle > patience(core, machine) ||
		    (idle > IDLE_UNUSABLE_S && !type_of_use(core, machine))) {
			log_info("scale_in", "machine=%s type=%s idle=%.1f", machine->id,
				 machine->type_name, core->now - machine->cloud.idle_since);
			machine->cloud.deleting = true;
		}
	}
}

struct delete_req {
	char ids[DELETE_BATCH_MAX][ID_MAX];
	size_t count;
};

static void on_delete(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct delete_req *batch = call->arg;

	if (!election_call_is_stale(core, call)) {
		cloud_note_answer(core, answer);
		for (size_t i = 0; i < batch->count; i++) {
			struct machine *machine = machine_find(core, batch->ids[i]);

			if (!machine)
				continue;
			machine->cloud.delete_in_flight = false;
			if (answer->status != STATUS_OK)
				continue;
			tombstone_add(core, machine->id);
			capacity_refusal_lift(core, machine);
			machine_note_deleted(core, machine);
		}
	}
	free(batch);
}

static bool delete_due(const struct machine *machine)
{
	return machine->cloud.deleting && !machine->cloud.delete_in_flight &&
	       !machine->cloud.deleted;
}

static bool deletes_due(const struct core *core)
{
	const struct machine *machine, *tmp;

	MACHINES_FOR_EACH (core, machine, tmp)
		if (delete_due(machine))
			return true;
	return false;
}

static void send_deletes(struct core *core)
{
	struct delete_req *batch = xcalloc(1, sizeof(*batch));
	const char *ids[DELETE_BATCH_MAX];
	struct machine *machine, *tmp;

	MACHINES_FOR_EACH (core, machine, tmp) {
		if (!delete_due(machine) || batch->count == DELETE_BATCH_MAX)
			continue;
		machine->cloud.delete_in_flight = true;
		snprintf(batch->ids[batch->count], ID_MAX, "%s", machine->id);
		ids[batch->count] = batch->ids[batch->count];
		batch->count++;
	}
	core_call(core, core->conf->cloud, "POST", format_path(W_PATH_DELETE),
		  wire_delete(ids, batch->count), CALL_CLOUD_S, on_delete, batch)
	    ->free_arg = free;
}

void scale_in_send_deletes(struct core *core)
{
	while (deletes_due(core) && cloud_request_allowed(core))
		send_deletes(core);
}
