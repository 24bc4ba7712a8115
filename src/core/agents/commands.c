#include "core/agents/commands.h"

#include <stdio.h>
#include <string.h>

#include "core/state.h"

bool machine_fenced(const struct machine *machine)
{
	return !machine->commands.in_flight &&
	       machine->agent.token > machine->commands.unanswered_token;
}

static void add_command(struct command_list *list, enum command_op op, const char *job,
			uint32_t task, uint64_t attempt, double grace_s)
{
	struct command *cmd;

	if (list->count == COMMANDS_MAX)
		return;
	cmd = &list->items[list->count++];
	cmd->op = op;
	snprintf(cmd->job, sizeof(cmd->job), "%s", job);
	cmd->task = task;
	cmd->attempt = attempt;
	cmd->grace_s = grace_s;
	list->has_start |= op == OP_START;
}

/* A gang starts only when the whole attempt is committed: a part alone would wait in vain. */
static bool may_start(const struct binding *binding)
{
	const struct job *job = binding->job;

	if (!binding->committed || binding->observed || binding->stopping || job->cancelled ||
	    job->orphan || job->gang_stopping || binding->recovered)
		return false;
	return job->spec.kind != JOB_GANG || !job->uncommitted_count;
}

static void command_binding(struct core *core, struct machine *machine, struct binding *binding,
			    struct command_list *list, bool beat)
{
	/* Sent by /do and answered, but not yet on a report: not sent again at once. */
	if (may_start(binding) && (beat || binding->start_sent_at <= 0 ||
				   core->now - binding->start_sent_at > START_RESEND_S)) {
		add_command(list, OP_START, binding->job->spec.id, binding->task, binding->attempt,
			    0);
		binding->start_sent_at = core->now;
		binding->start_incarnation = machine->agent.incarnation;
		if (beat)
			binding->start_sequence = machine->agent.sequence;
	} else if (binding->stopping && binding->state != TASK_EXITED &&
		   (beat || binding->stop_sent_at <= 0 ||
		    core->now - binding->stop_sent_at > START_RESEND_S)) {
		/* A second stop with less grace would end a save: it is repeated unchanged. */
		add_command(list, OP_STOP, binding->job->spec.id, binding->task, binding->attempt,
			    binding->grace_s);
		binding->stop_sent_at = core->now;
	}
}

static bool may_forget(struct core *core, const struct machine *machine,
		       const struct unbound_task *leftover)
{
	struct job *job = job_find(core, leftover->job);

	/* Its end must be on record first: until then this list is the only proof. */
	if (!machine_fenced(machine) || machine->agent.token < election_token(core))
		return false;
	return !job || leftover->task >= job->spec.task_count ||
	       write_queue_settled(job, leftover->task);
}

void commands_collect(struct core *core, struct machine *machine, struct command_list *list,
		      bool beat)
{
	struct binding *binding;

	list->count = 0;
	list->has_start = false;
	for (size_t i = 0; i < machine->agent.leftover_count; i++) {
		const struct unbound_task *leftover = &machine->agent.leftovers[i];

		if (!leftover->ended)
			add_command(list, OP_STOP, leftover->job, leftover->task, leftover->attempt,
				    0);
		else if (may_forget(core, machine, leftover))
			add_command(list, OP_FORGET, leftover->job, leftover->task,
				    leftover->attempt, 0);
		else if (!machine_fenced(machine) && !machine->commands.in_flight)
			write_queue_request_token(core);
	}
	if (machine->cloud.deleting)
		return;
	DL_FOREACH2 (machine->bindings, binding, machine_next)
		command_binding(core, machine, binding, list, beat);
}
