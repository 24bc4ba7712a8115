#include "core/agents/commands.h"

#include <stdio.h>

#include "core/state.h"

bool machine_fenced(const struct machine *machine)
{
	return !machine->commands.in_flight &&
	       machine->agent.token > machine->commands.unanswered_token;
}

/* NULL if the message is full. The caller notes the command as sent all the same. */
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

/* A gang starts only when the whole attempt is committed: a part of it would wait in vain. */
static bool may_start(const struct binding *binding)
{
	const struct job *job = binding->job;

	if (!binding->committed || binding->observed || binding->stopping || binding->recovered)
		return false;
	if (job->cancelled || job->orphan || job->gang_stopping)
		return false;
	return job->spec.kind != JOB_GANG || !job->uncommitted_count;
}

static bool may_stop(const struct binding *binding)
{
	return binding->stopping && binding->state != TASK_EXITED;
}

/* What was sent directly may be carried out before a report shows it: it is not repeated at once.
 */
static bool may_send(const struct core *core, enum command_channel channel, double sent_at)
{
	return channel == CHANNEL_HEARTBEAT || sent_at <= 0 ||
	       core->now - sent_at > COMMAND_RESEND_S;
}

static void add_start(struct core *core, struct binding *binding, enum command_channel channel,
		      struct command_list *list)
{
	const struct machine_agent *agent = &binding->machine->agent;

	if (add_command(list, OP_START, binding->job->spec.id, binding->task, binding->attempt))
		list->has_start = true;
	binding->start_sent_at = core->now;
	binding->start_incarnation = agent->incarnation;
	if (channel == CHANNEL_HEARTBEAT)
		binding->start_sequence = agent->sequence;
}

/* A second stop with less grace would end a save early: it is repeated unchanged. */
static void add_stop(struct core *core, struct binding *binding, struct command_list *list)
{
	struct command *command =
	    add_command(list, OP_STOP, binding->job->spec.id, binding->task, binding->attempt);

	if (command)
		command->grace_s = binding->grace_s;
	binding->stop_sent_at = core->now;
}

static void command_binding(struct core *core, struct binding *binding,
			    enum command_channel channel, struct command_list *list)
{
	if (may_start(binding) && may_send(core, channel, binding->start_sent_at))
		add_start(core, binding, channel, list);
	else if (may_stop(binding) && may_send(core, channel, binding->stop_sent_at))
		add_stop(core, binding, list);
}

/* The end must be on record before the agent forgets it: until then its list is the only proof. */
static bool may_forget(struct core *core, const struct machine *machine,
		       const struct unbound_task *leftover)
{
	const struct job *job = job_find(core, leftover->job);

	if (!machine_fenced(machine) || machine->agent.token < election_token(core))
		return false;
	return !job || leftover->task >= job->spec.task_count ||
	       write_queue_settled(job, leftover->task);
}

static void command_leftover(struct core *core, const struct machine *machine,
			     const struct unbound_task *leftover, struct command_list *list)
{
	if (!leftover->ended)
		add_command(list, OP_STOP, leftover->job, leftover->task, leftover->attempt);
	else if (may_forget(core, machine, leftover))
		add_command(list, OP_FORGET, leftover->job, leftover->task, leftover->attempt);
	else if (!machine_fenced(machine) && !machine->commands.in_flight)
		write_queue_request_token(core);
}

void commands_collect(struct core *core, struct machine *machine, enum command_channel channel,
		      struct command_list *list)
{
	struct binding *binding;

	list->count = 0;
	list->has_start = false;
	for (size_t i = 0; i < machine->agent.unbound_task_count; i++)
		command_leftover(core, machine, &machine->agent.unbound_tasks[i], list);
	if (machine->cloud.deleting)
		return;
	DL_FOREACH2 (machine->bindings, binding, machine_next)
		command_binding(core, binding, channel, list);
}
