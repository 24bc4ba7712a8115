#include "core/agents/agent_restart.h"

#include "core/agents/long_poll.h"
#include "core/agents/reconciliation.h"
#include "core/state.h"
#include "util/log.h"

/*
 * All tasks of a restarted agent have ended, but a start that was sent before the restart may still
 * arrive. A new token is therefore requested, and no heartbeat that shows an older token is
 * applied, whether the agent sent it after the restart or it is a late copy.
 */
void agent_mark_restarted(struct core *core, struct machine *machine)
{
	if (machine->agent.restarted)
		return;
	log_info("machine_restarted", "machine=%s incarnation=%llu sequence=%llu bound=%d",
		 machine->id, (unsigned long long)machine->agent.incarnation,
		 (unsigned long long)machine->agent.sequence, machine->binding_count);
	long_poll_end(core, machine);
	machine->agent.restarted = true;
	machine->agent.reachable = false;
	machine->agent.unreachable_since = core->now;
	write_queue_request_token(core);
}

/* Resets the agent's state to that of an agent that has sent no message yet. */
static void reset_agent(const struct core *core, struct machine *machine)
{
	struct machine_agent *agent = &machine->agent;

	agent->restarted = false;
	agent->min_token = election_token(core);
	agent->incarnation = 0;
	agent->sequence = 0;
	agent->heartbeat_sequence = 0;
	agent->token = 0;
	agent->token_shown_at = -1;
	agent->last_message_at = -1;
	agent->last_heartbeat_at = -1;
	agent->last_report_at = -1;
	agent->up_at = core->now;
	machine->cloud.rented_at = core->now;
	unbound_tasks_clear(machine);
}

/*
 * Resets the binding to the state of a binding that an earlier leader has made: its task may have
 * been started. A report under the new token that does not list the task proves that the task has
 * ended.
 */
static void reset_binding(struct binding *binding)
{
	binding->recovered = true;
	binding->observed = false;
	binding->start_incarnation = 0;
	binding->start_sequence = 0;
	binding->listed_sequence = 0;
}

static void restart_incarnation(const struct core *core, struct machine *machine)
{
	struct binding *binding;

	reset_agent(core, machine);
	DL_FOREACH2 (machine->bindings, binding, machine_next)
		reset_binding(binding);
}

void agents_on_token_renewed(struct core *core)
{
	struct machine *machine, *next;

	MACHINES_FOR_EACH (core, machine, next) {
		if (machine->agent.restarted)
			restart_incarnation(core, machine);
		if (machine->commands.awaits_token)
			commands_request(core, machine);
	}
}
