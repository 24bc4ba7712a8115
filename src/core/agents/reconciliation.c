#include "core/agents/reconciliation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/agents/commands.h"
#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"

/* --- listed tasks --- */

static struct binding *binding_find(struct machine *machine, const struct report_task *listed)
{
	struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, machine_next)
		if (binding->task == listed->task && binding->attempt == listed->attempt &&
		    !strcmp(binding->job->spec.id, listed->job))
			return binding;
	return NULL;
}

static void note_first_running(struct core *core, struct binding *binding)
{
	binding->running_since = core->now;
	binding->job->running_count++;
	log_info("task_running", "job=%s task=%u attempt=%llu machine=%s after=%.2f",
		 binding->job->spec.id, binding->task, (unsigned long long)binding->attempt,
		 binding->machine->id, core->wall - binding->job->submitted_at);
}

static void note_listed(struct core *core, struct binding *binding, enum task_state state)
{
	bool running = state == TASK_RUNNING || state == TASK_SAVING;

	binding->observed = true;
	binding->listed_sequence = binding->machine->agent.sequence;
	if (state != TASK_FETCHING)
		machine_mark_image_used(binding->machine, binding->job->spec.image);
	if (running && binding->running_since <= 0)
		note_first_running(core, binding);
	binding->state = state;
}

static void leftovers_add(struct machine *machine, const struct report_task *listed)
{
	struct machine_agent *agent = &machine->agent;
	struct unbound_task *leftover;

	agent->unbound_tasks = xreallocarray(agent->unbound_tasks, agent->unbound_task_count + 1,
					     sizeof(*agent->unbound_tasks));
	leftover = &agent->unbound_tasks[agent->unbound_task_count++];
	snprintf(leftover->job, sizeof(leftover->job), "%s", listed->job);
	leftover->task = listed->task;
	leftover->attempt = listed->attempt;
	leftover->ended = listed->state == TASK_EXITED;
}

void leftovers_clear(struct machine *machine)
{
	free(machine->agent.unbound_tasks);
	machine->agent.unbound_tasks = NULL;
	machine->agent.unbound_task_count = 0;
}

static void reconcile_listed(struct core *core, struct machine *machine,
			     const struct report_task *listed)
{
	struct binding *binding = binding_find(machine, listed);
	bool done = listed->end_reason == END_DONE;

	if (binding && listed->state != TASK_EXITED) {
		note_listed(core, binding, listed->state);
		return;
	}
	leftovers_add(machine, listed);
	if (binding) {
		if (done)
			machine_mark_image_used(machine, binding->job->spec.image);
		binding_end(core, binding, listed->end_reason);
	} else if (listed->state == TASK_EXITED && done) {
		job_handle_unbound_task_done(core, listed->job, listed->task);
	}
}

/* --- absent tasks --- */

/* The incarnation that was sent the start is over, and its tasks with it. */
static bool incarnation_is_over(const struct machine *machine, const struct binding *binding)
{
	return binding->start_incarnation &&
	       machine->agent.incarnation > binding->start_incarnation;
}

/* No start can take effect any more that the heartbeat could not have shown. */
static bool absence_is_proof(const struct machine *machine, const struct binding *binding)
{
	return machine->agent.token >= binding->min_token && machine_fenced(machine) &&
	       machine->agent.sequence > binding->start_sequence;
}

/* The binding is to end, and only a new token can bring the proof. */
static bool needs_new_token(const struct machine *machine, const struct binding *binding)
{
	return !machine_fenced(machine) && !machine->commands.in_flight &&
	       (binding->stopping || binding->recovered);
}

static void reconcile_absent(struct core *core, struct machine *machine, struct binding *binding,
			     enum report_origin origin)
{
	if (!binding->committed || binding_start_never_sent(binding))
		return;
	if (incarnation_is_over(machine, binding)) {
		binding_end(core, binding, END_NONE);
		return;
	}
	if (origin != REPORT_HEARTBEAT)
		return;
	if (!absence_is_proof(machine, binding)) {
		if (needs_new_token(machine, binding))
			write_queue_request_token(core);
		return;
	}
	/* If it is none of these, the message with its start did not arrive: it is sent again. */
	if (binding->recovered || binding->observed || binding->stopping)
		binding_end(core, binding, END_NONE);
}

/* True if a binding ended: that may have ended others of its gang, so the list is another. */
static bool reconcile_first_absent(struct core *core, struct machine *machine,
				   enum report_origin origin)
{
	struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, machine_next) {
		int count = machine->binding_count;

		if (binding->listed_sequence == machine->agent.sequence)
			continue;
		reconcile_absent(core, machine, binding, origin);
		if (machine->binding_count != count)
			return true;
	}
	return false;
}

void reconcile(struct core *core, struct machine *machine, const struct report *report,
	       enum report_origin origin)
{
	leftovers_clear(machine);
	for (size_t i = 0; i < report->task_count; i++)
		reconcile_listed(core, machine, &report->tasks[i]);
	while (reconcile_first_absent(core, machine, origin))
		continue;
}
