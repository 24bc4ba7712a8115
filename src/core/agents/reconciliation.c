#include "core/agents/reconciliation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"

/* --- tasks that the report lists --- */

static void record_first_run(struct core *core, struct binding *binding)
{
	binding->running_since = core->now;
	binding->job->running_count++;
	log_info("task_running", "job=%s task=%u attempt=%llu machine=%s after=%.2f",
		 binding->job->spec.id, binding->task, (unsigned long long)binding->attempt,
		 binding->machine->id, core->wall - binding->job->submitted_at);
}

/* Updates a binding whose task the report lists as not ended. */
static void update_listed_binding(struct core *core, struct binding *binding, enum task_state state)
{
	bool running = state == TASK_RUNNING || state == TASK_SAVING;

	binding->observed = true;
	binding->listed_sequence = binding->machine->agent.sequence;
	if (state != TASK_FETCHING)
		machine_mark_image_used(binding->machine, binding->job->spec.image);
	if (running && binding->running_since <= 0)
		record_first_run(core, binding);
	binding->state = state;
}

/*
 * The unbound tasks of the report before. They are searched from the place after the last hit,
 * since agents list their tasks in much the same order each time.
 */
struct previous_unbound {
	struct unbound_task *tasks;
	size_t count;
	size_t next; /* index at which the next search begins */
};

static bool is_same_attempt(const struct unbound_task *unbound, const struct report_task *listed)
{
	return unbound->task == listed->task && unbound->attempt == listed->attempt &&
	       !strcmp(unbound->job, listed->job);
}

/* Returns the unbound task of the report before that is this attempt; NULL if there is none. */
static const struct unbound_task *previous_unbound_find(struct previous_unbound *previous,
							const struct report_task *listed)
{
	for (size_t i = 0; i < previous->count; i++) {
		size_t place = (previous->next + i) % previous->count;

		if (is_same_attempt(&previous->tasks[place], listed)) {
			previous->next = place + 1;
			return &previous->tasks[place];
		}
	}
	return NULL;
}

/* Records a listed task that is not bound, or whose binding is about to end. */
static struct unbound_task *add_unbound_task(struct machine *machine,
					     const struct report_task *listed)
{
	struct machine_agent *agent = &machine->agent;
	struct unbound_task *unbound;

	agent->unbound_tasks = xreallocarray(agent->unbound_tasks, agent->unbound_task_count + 1,
					     sizeof(*agent->unbound_tasks));
	unbound = &agent->unbound_tasks[agent->unbound_task_count++];
	snprintf(unbound->job, sizeof(unbound->job), "%s", listed->job);
	unbound->task = listed->task;
	unbound->attempt = listed->attempt;
	unbound->ended = listed->state == TASK_EXITED;
	return unbound;
}

void unbound_tasks_clear(struct machine *machine)
{
	free(machine->agent.unbound_tasks);
	machine->agent.unbound_tasks = NULL;
	machine->agent.unbound_task_count = 0;
}

/* Handles a bound task that the report lists as ended. */
static void reconcile_ended_binding(struct core *core, struct binding *binding,
				    const struct report_task *listed)
{
	struct machine *machine = binding->machine;

	add_unbound_task(machine, listed)->start_sequence = binding->start_sequence;
	if (listed->end_reason == END_DONE)
		machine_mark_image_used(machine, binding->job->spec.image);
	binding_end(core, binding, listed->end_reason);
}

/* Handles a task that the report lists but that is not bound. */
static void reconcile_unbound_task(struct core *core, struct machine *machine,
				   const struct report_task *listed,
				   struct previous_unbound *previous)
{
	const struct unbound_task *known = previous_unbound_find(previous, listed);
	struct unbound_task *unbound = add_unbound_task(machine, listed);

	/* The start of an attempt that is not known was sent by an earlier leader. */
	unbound->start_sequence = known ? known->start_sequence : 0;
	if (listed->state == TASK_EXITED && listed->end_reason == END_DONE)
		job_handle_unbound_task_done(core, listed->job, listed->task);
}

static void reconcile_listed_task(struct core *core, struct machine *machine,
				  const struct report_task *listed,
				  struct previous_unbound *previous)
{
	struct binding *binding = binding_find(machine, listed->job, listed->task, listed->attempt);

	if (!binding)
		reconcile_unbound_task(core, machine, listed, previous);
	else if (listed->state == TASK_EXITED)
		reconcile_ended_binding(core, binding, listed);
	else
		update_listed_binding(core, binding, listed->state);
}

static void reconcile_listed_tasks(struct core *core, struct machine *machine,
				   const struct report *report)
{
	struct machine_agent *agent = &machine->agent;
	struct previous_unbound previous = {
	    .tasks = agent->unbound_tasks,
	    .count = agent->unbound_task_count,
	};

	agent->unbound_tasks = NULL;
	agent->unbound_task_count = 0;
	for (size_t i = 0; i < report->task_count; i++)
		reconcile_listed_task(core, machine, &report->tasks[i], &previous);
	/* The machine may get more tasks now, see machine_listable_tasks. */
	if (previous.count >= MACHINE_UNBOUND_TASKS_MANY &&
	    agent->unbound_task_count < previous.count)
		core->events->placement_needed(core);
	free(previous.tasks);
}

/* --- bindings whose task the report does not list --- */

/*
 * True if the agent's incarnation that was sent the start has ended. An agent's tasks end with its
 * incarnation.
 */
static bool incarnation_has_ended(const struct machine *machine, const struct binding *binding)
{
	return binding->start_incarnation &&
	       machine->agent.incarnation > binding->start_incarnation;
}

/*
 * True if the binding is to end once a report proves that its task is not on the machine. In all
 * other cases the start did not arrive, and it is sent again.
 */
static bool absence_ends_binding(const struct binding *binding)
{
	return binding->recovered || binding->observed || binding_start_is_revoked(binding);
}

/* True if a report of this origin, which does not list the binding's task, proves the task's end.
 */
static bool absence_proves_end(const struct binding *binding, enum report_origin origin)
{
	if (incarnation_has_ended(binding->machine, binding))
		return true;
	return origin == REPORT_HEARTBEAT && absence_ends_binding(binding) &&
	       machine_start_is_void(binding->machine, binding->start_sequence);
}

/* Ends a binding whose task the report does not list, if the report proves its end. */
static void reconcile_unlisted_binding(struct core *core, struct binding *binding,
				       enum report_origin origin)
{
	if (!binding->committed || binding_start_never_sent(binding))
		return;
	if (absence_proves_end(binding, origin))
		binding_end(core, binding, END_NONE);
}

/*
 * Ends the first binding that the report does not list and whose end it proves. Returns true if
 * there was such a binding. The caller then starts again from the head of the list. The end of a
 * binding ends no other one, but the end of a gang's task requests stops of the gang's other tasks.
 * So a binding earlier in the list, which was kept because its start was to be sent again, may now
 * have to end.
 */
static bool end_first_unlisted_binding(struct core *core, struct machine *machine,
				       enum report_origin origin)
{
	struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, machine_next) {
		int count = machine->binding_count;

		if (binding->listed_sequence == machine->agent.sequence)
			continue;
		reconcile_unlisted_binding(core, binding, origin);
		if (machine->binding_count != count)
			return true;
	}
	return false;
}

void reconcile_report(struct core *core, struct machine *machine, const struct report *report,
		      enum report_origin origin)
{
	reconcile_listed_tasks(core, machine, report);
	while (end_first_unlisted_binding(core, machine, origin))
		continue;
}
