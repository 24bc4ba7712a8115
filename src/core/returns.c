/* Machines that go back: idle, faulty or lost ones, and what is done on a notice. */
#include "core/state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/round.h"
#include "util/log.h"
#include "wire/names.h"

static double patience(const struct core *core, const struct machine *machine)
{
	if (core->conf->idle_patience_s >= 0)
		return core->conf->idle_patience_s;
	if (!rent_thrifty(core))
		return IDLE_LAVISH_S;
	return machine->type && machine->type->gpus > 0 ? IDLE_DEAR_S : IDLE_THRIFTY_S;
}

static void notice_look(struct core *core, struct machine *machine)
{
	double left = machine->notice_s - (core->now - machine->notice_heard);
	struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, mnext) {
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

	if (!machine->type || !core->jobs)
		return true;
	HASH_ITER (hh, core->jobs, job, tmp)
		if (!job->orphan && job->spec.cpus <= machine->type->cpus &&
		    job->spec.gpus <= machine->type->gpus &&
		    job->spec.mem_gb <= machine->type->mem_gb &&
		    machine_allowed(machine->type, machine->zone, machine->spot, &job->spec))
			return true;
	return false;
}

void returns_look(struct core *core)
{
	struct machine *machine, *tmp;
	double idle;

	HASH_ITER (hh, core->fleet.machines, machine, tmp) {
		if (machine->deleting)
			continue;
		if (machine->notice_s >= 0)
			notice_look(core, machine);
		/* Room held for a gang is not idle, and a machine lost to it would undo the hold.
		 */
		if (machine->bindings || machine->last_word < 0 || machine->hold_job)
			continue;
		idle = core->now - machine->idle_since;
		/* Its reports cost the leader as much as those of a machine that works. */
		if (machine->draining || idle > patience(core, machine) ||
		    (idle > IDLE_USELESS_S && !type_of_use(core, machine))) {
			log_info("machine_return", "machine=%s type=%s idle=%.1f", machine->id,
				 machine->type_name, core->now - machine->idle_since);
			machine->deleting = true;
		}
	}
}

struct delete_req {
	char ids[DELETE_BATCH_MAX][ID_MAX];
	size_t n;
};

static void on_delete(struct core *core, struct call *call, int status, const char *body,
		      size_t len)
{
	struct delete_req *batch = call->arg;

	(void)body;
	(void)len;
	if (!election_stale(core, call)) {
		cloud_trouble(core, status);
		for (size_t i = 0; i < batch->n; i++) {
			struct machine *machine = machine_find(core, batch->ids[i]);

			if (!machine)
				continue;
			machine->delete_out = false;
			if (status != 200)
				continue;
			tombstone_add(core, machine->id);
			refusal_lift(core, machine);
			machine_gone(core, machine);
		}
	}
	free(batch);
}

static bool delete_due(const struct machine *machine)
{
	return machine->deleting && !machine->delete_out && !machine->gone;
}

static bool deletes_due(const struct core *core)
{
	const struct machine *machine, *tmp;

	HASH_ITER (hh, core->fleet.machines, machine, tmp)
		if (delete_due(machine))
			return true;
	return false;
}

static void send_deletes(struct core *core)
{
	struct delete_req *batch = calloc(1, sizeof(*batch));
	const char *ids[DELETE_BATCH_MAX];
	struct machine *machine, *tmp;

	if (!batch)
		abort();
	HASH_ITER (hh, core->fleet.machines, machine, tmp) {
		if (!delete_due(machine) || batch->n == DELETE_BATCH_MAX)
			continue;
		machine->delete_out = true;
		snprintf(batch->ids[batch->n], ID_MAX, "%s", machine->id);
		ids[batch->n] = batch->ids[batch->n];
		batch->n++;
	}
	core_call(core, core->conf->cloud, "POST", fmt_path(W_PATH_DELETE),
		  wire_delete(ids, batch->n), CALL_CLOUD_S, on_delete, batch)
	    ->drop = free;
}

void returns_send(struct core *core)
{
	while (deletes_due(core) && cloud_take(core))
		send_deletes(core);
}
