#include "core/agents/direct_commands.h"

#include <stdbool.h>

#include "core/agents/agent_calls.h"
#include "core/agents/commands.h"
#include "core/agents/long_poll.h"
#include "core/agents/reports.h"
#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"

static void command_queue_add(struct core *core, struct machine *machine)
{
	if (machine->commands.queued)
		return;
	machine->commands.queued = true;
	DL_APPEND2(core->agents.command_queue, machine, commands.queue_prev, commands.queue_next);
}

static void command_queue_remove(struct core *core, struct machine *machine)
{
	if (!machine->commands.queued)
		return;
	machine->commands.queued = false;
	DL_DELETE2(core->agents.command_queue, machine, commands.queue_prev, commands.queue_next);
}

void commands_request(struct core *core, struct machine *machine)
{
	machine->commands.due = true;
	if (!machine->commands.in_flight)
		command_queue_add(core, machine);
	long_poll_check_starts(core, machine);
}

void commands_cancel_request(struct core *core, struct machine *machine)
{
	machine->commands.due = false;
	command_queue_remove(core, machine);
}

static void on_commands_answer(struct core *core, struct call *call,
			       const struct call_answer *answer)
{
	struct machine *machine = agent_call_end(core, call);

	if (!machine)
		return;
	if (machine->commands.in_flight)
		machine->commands.in_flight--;
	if (machine->commands.due)
		command_queue_add(core, machine);
	if (answer->outcome == CALL_UNANSWERED)
		log_debug("commands_unanswered", "machine=%s", machine->id);
	if (answer->status == STATUS_OK || answer->status == STATUS_CONFLICT)
		report_apply_solicited(core, machine, call, answer);
}

/*
 * Ends the bindings whose start was not sent and is not to be sent any more. No agent will ever
 * list such a task, so no report could prove its end, and the binding would keep its resources
 * reserved until its machine is deleted or the term ends.
 */
static void end_unsent_bindings(struct core *core, struct machine *machine)
{
	struct binding *binding = machine->bindings;

	while (binding) {
		if (binding_start_is_revoked(binding) && binding_start_never_sent(binding)) {
			binding_end(core, binding, END_STOPPED);
			/* binding_end has ended no other binding. But the end of a gang's task
			 * requests stops of the gang's other tasks, so that bindings earlier in the
			 * list may now have to end as well. */
			binding = machine->bindings;
		} else {
			binding = binding->machine_next;
		}
	}
}

/*
 * True if the agent would report at once if it saw a newer token: that counts as a change only once
 * in half a lease.
 */
static bool token_would_cause_report(const struct core *core, const struct machine *machine)
{
	return core->now - machine->agent.token_shown_at >
	       TOKEN_REPORT_LEASES * core->conf->lease_s;
}

/*
 * True if the agent is to report at once, so that it gets a start of a replica: the users of a
 * service notice each second without it. All other starts go with the next heartbeat.
 */
static bool heartbeat_is_urgent(const struct core *core, const struct machine *machine)
{
	return machine->replica_count && commands_start_is_due(machine) &&
	       long_poll_start_delay_s(core, machine) > URGENT_START_DELAY_S &&
	       machine_is_usable(core, machine) && token_would_cause_report(core, machine);
}

/* Makes the agent report by a token that it has not seen, which is requested if there is none. */
static void request_heartbeat(struct core *core, struct machine *machine)
{
	if (machine->agent.token < election_token(core)) {
		machine->commands.announce_token = true;
		return;
	}
	machine->commands.awaits_token = true;
	write_queue_request_token(core);
}

static void send_commands(struct core *core, struct machine *machine)
{
	struct command_list list;
	char *body;

	commands_collect(core, machine, CHANNEL_DIRECT, &list);
	if (!list.count && !machine->commands.announce_token)
		return;
	machine->commands.announce_token = false;
	machine->commands.in_flight++;
	body = wire_direct_commands(election_token(core), machine->agent.incarnation, list.items,
				    list.count);
	agent_call_begin(core, machine, W_PATH_COMMANDS, body, CALL_AGENT_TIMEOUT_S,
			 on_commands_answer);
}

/* An agent only accepts commands for its own incarnation, so the incarnation must be known. */
static bool can_receive_commands(const struct core *core, const struct machine *machine)
{
	return machine->agent.incarnation && *machine->addr && !machine->cloud.deleted &&
	       machine_is_responsive(core, machine);
}

void direct_commands_tick(struct core *core)
{
	struct machine *machine;

	while ((machine = core->agents.command_queue) && !agent_call_limit_reached(core)) {
		commands_cancel_request(core, machine);
		end_unsent_bindings(core, machine);
		machine->commands.awaits_token = false;
		if (heartbeat_is_urgent(core, machine))
			request_heartbeat(core, machine);
		if (can_receive_commands(core, machine))
			send_commands(core, machine);
	}
}
