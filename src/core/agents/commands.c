#include "core/agents/commands.h"

#include <stdio.h>

#include "core/state.h"

/*
 * Adds a command to the message. Returns NULL if the message is full. The caller records the
 * command as sent even then: the command is due again later, like one that was lost on the way.
 */
static struct command *add_command(struct command_list *list, enum command_op op, const char *job,
				   uint32_t task, uint64_t attempt)
{
	struct command *command;

	if (list->count == COMMANDS_MAX)
		return NULL;
	command = &list->items[list->count++];
	command->op = op;
	snprintf(command->job, sizeof(command->job), "%s", job);
	command->task = task;
	command->attempt = attempt;
	command->grace_s = 0;
	return command;
}

/*
 * A gang is started only when the bindings of all its tasks are committed: tasks that start earlier
 * would wait in vain for the others.
 */
static bool may_start(const struct binding *binding)
{
	const struct job *job = binding->job;

	if (!binding->committed || binding->observed || binding->recovered ||
	    binding_start_is_revoked(binding))
		return false;
	if (job->cancelled || job->orphan || job->gang_stopping)
		return false;
	return job->spec.kind != JOB_GANG || !job->uncommitted_count;
}

static bool may_stop(const struct binding *binding)
{
	return binding->stopping && binding->state != TASK_EXITED;
}

/*
 * A stop that was sent directly may have been carried out before any report shows it, so the stop
 * is not sent directly again within COMMAND_RESEND_S.
 */
static bool may_send_stop(const struct core *core, enum command_channel channel, double sent_at)
{
	return channel == CHANNEL_HEARTBEAT || sent_at <= 0 ||
	       core->now - sent_at > COMMAND_RESEND_S;
}

static void add_start(struct binding *binding, struct command_list *list)
{
	const struct machine_agent *agent = &binding->machine->agent;

	add_command(list, OP_START, binding->job->spec.id, binding->task, binding->attempt);
	binding->start_incarnation = agent->incarnation;
	binding->start_sequence = agent->heartbeat_sequence;
}

/*
 * A stop is repeated with the same grace period: a shorter period would interrupt a task that is
 * saving its state.
 */
static void add_stop(struct core *core, struct binding *binding, struct command_list *list)
{
	struct command *command =
	    add_command(list, OP_STOP, binding->job->spec.id, binding->task, binding->attempt);

	if (command)
		command->grace_s = binding->grace_s;
	binding->stop_sent_at = core->now;
}

/* Adds the start or stop command that is due for the binding to the message, if one is due. */
static void add_binding_command(struct core *core, struct binding *binding,
				enum command_channel channel, struct command_list *list)
{
	if (channel == CHANNEL_HEARTBEAT && may_start(binding))
		add_start(binding, list);
	else if (may_stop(binding) && may_send_stop(core, channel, binding->stop_sent_at))
		add_stop(core, binding, list);
}

/*
 * The agent may forget an ended task only once the task's end is recorded in the state service:
 * until then the agent's report is the only proof of it. Nor may the agent forget the task while a
 * message that carried its start can still arrive: the agent would start the task again.
 */
static bool may_forget(struct core *core, const struct machine *machine,
		       const struct unbound_task *unbound)
{
	const struct job *job = job_find(core, unbound->job);

	if (!machine_start_is_void(machine, unbound->start_sequence))
		return false;
	return !job || unbound->task >= job->spec.task_count ||
	       write_queue_is_flushed(job, unbound->task);
}

/* Adds the stops of tasks that are reported but not bound. */
static void add_unbound_stops(const struct machine *machine, struct command_list *list)
{
	for (size_t i = 0; i < machine->agent.unbound_task_count; i++) {
		const struct unbound_task *unbound = &machine->agent.unbound_tasks[i];

		if (!unbound->ended)
			add_command(list, OP_STOP, unbound->job, unbound->task, unbound->attempt);
	}
}

/* Adds the forgets of ended tasks. */
static void add_forgets(struct core *core, const struct machine *machine, struct command_list *list)
{
	for (size_t i = 0; i < machine->agent.unbound_task_count; i++) {
		const struct unbound_task *unbound = &machine->agent.unbound_tasks[i];

		if (unbound->ended && may_forget(core, machine, unbound))
			add_command(list, OP_FORGET, unbound->job, unbound->task, unbound->attempt);
	}
}

bool commands_start_is_due(const struct machine *machine)
{
	const struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, machine_next)
		if (may_start(binding) &&
		    binding->start_sequence != machine->agent.heartbeat_sequence)
			return true;
	return false;
}

/*
 * Unbound tasks are stopped first, since they use capacity that the starts need. Forgets come last:
 * nothing waits for them, and many of them must not displace starts and stops.
 */
void commands_collect(struct core *core, struct machine *machine, enum command_channel channel,
		      struct command_list *list)
{
	struct binding *binding;

	list->count = 0;
	add_unbound_stops(machine, list);
	DL_FOREACH2 (machine->bindings, binding, machine_next)
		add_binding_command(core, binding, channel, list);
	add_forgets(core, machine, list);
}

/* Adds the stop of a task that a report lists, if the task is not bound or is to be stopped. */
static void add_listed_stop(const struct machine *machine, const struct report_task *listed,
			    struct command_list *list)
{
	const struct binding *binding =
	    binding_find(machine, listed->job, listed->task, listed->attempt);
	struct command *command;

	if (listed->state == TASK_EXITED || (binding && !binding->stopping))
		return;
	command = add_command(list, OP_STOP, listed->job, listed->task, listed->attempt);
	if (command && binding)
		command->grace_s = binding->grace_s;
}

void commands_collect_stops(const struct machine *machine, const struct report *report,
			    struct command_list *list)
{
	list->count = 0;
	for (size_t i = 0; i < report->task_count; i++)
		add_listed_stop(machine, &report->tasks[i], list);
}
