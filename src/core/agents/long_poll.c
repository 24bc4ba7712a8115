#include "core/agents/long_poll.h"

#include <math.h>

#include "core/agents/commands.h"
#include "core/agents/redirect.h"
#include "core/state.h"

/* Returns the longest time in seconds for which the answer to a heartbeat may wait. */
static double wait_max_s(const struct core *core)
{
	return fmin(LONG_POLL_MAX_S, LONG_POLL_MAX_REPORTS * core->conf->report_s);
}

bool long_poll_waits(const struct machine *machine)
{
	return machine->long_poll.connection != 0;
}

static bool too_many_wait(const struct core *core)
{
	return HASH_CNT(hh_connection, core->agents.long_polls_by_connection) >=
	       core->conf->max_connections * LONG_POLL_CONNS_SHARE;
}

/* True if the start of a binding of the machine waits for its transaction. */
static bool has_start_to_come(const struct machine *machine)
{
	const struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, machine_next)
		if (binding_start_never_sent(binding) && !binding_start_is_revoked(binding))
			return true;
	return false;
}

/* While the answer waits, the agent sends no news of tasks that end. They are needed if a task
 * waits for the capacity, or if a replica runs there, which has to start again. */
static bool ends_are_needed(const struct core *core, const struct machine *machine)
{
	return machine->replica_count ||
	       (machine->bindings && waiting_demand_fits_empty(core, machine));
}

bool long_poll_is_useful(const struct core *core, const struct machine *machine)
{
	if (too_many_wait(core))
		return false;
	if (has_start_to_come(machine))
		return true;
	if (!machine_is_usable(core, machine))
		return false;
	return waiting_demand_fits(core, machine) ||
	       (recent_demand_fits(core, machine) && !ends_are_needed(core, machine));
}

double long_poll_start_delay_s(const struct core *core, const struct machine *machine)
{
	double next_heartbeat_at = machine->agent.last_heartbeat_at + core->conf->report_s;

	return long_poll_waits(machine) ? 0 : fmax(0, next_heartbeat_at - core->now);
}

/* All answers wait equally long, so appending keeps the order in which their waits end. */
void long_poll_begin(struct core *core, struct machine *machine, uint64_t connection)
{
	struct machine_long_poll *poll = &machine->long_poll;

	poll->connection = connection;
	poll->until = core->now + wait_max_s(core);
	DL_APPEND2(core->agents.long_polls, machine, long_poll.prev, long_poll.next);
	HASH_ADD(hh_connection, core->agents.long_polls_by_connection, long_poll.connection,
		 sizeof(poll->connection), machine);
}

/* Removes the machine from those whose answers wait. Returns the connection of its heartbeat. */
static uint64_t remove_poll(struct core *core, struct machine *machine)
{
	uint64_t connection = machine->long_poll.connection;

	DL_DELETE2(core->agents.long_polls, machine, long_poll.prev, long_poll.next);
	HASH_DELETE(hh_connection, core->agents.long_polls_by_connection, machine);
	machine->long_poll.connection = 0;
	return connection;
}

static void reply(struct core *core, uint64_t connection, const struct command_list *list)
{
	char *body = wire_heartbeat_answer(election_token(core), list->items, list->count);

	core_reply(core, connection, STATUS_OK, 0, body);
}

void long_poll_answer(struct core *core, struct machine *machine)
{
	struct command_list list;

	if (!long_poll_waits(machine))
		return;
	commands_collect(core, machine, CHANNEL_HEARTBEAT, &list);
	reply(core, remove_poll(core, machine), &list);
}

/* The list of answers is in the order in which their waits end, so one that ends now is first. */
void long_poll_check_starts(struct core *core, struct machine *machine)
{
	if (!long_poll_waits(machine) || !commands_start_is_due(machine))
		return;
	machine->long_poll.until = core->now;
	DL_DELETE2(core->agents.long_polls, machine, long_poll.prev, long_poll.next);
	DL_PREPEND2(core->agents.long_polls, machine, long_poll.prev, long_poll.next);
}

void long_poll_end(struct core *core, struct machine *machine)
{
	static const struct command_list no_commands;
	uint64_t connection;

	if (!long_poll_waits(machine))
		return;
	connection = remove_poll(core, machine);
	if (election_is_leader(core))
		reply(core, connection, &no_commands);
	else
		reply_misdirected(core, connection);
}

void long_poll_connection_closed(struct core *core, uint64_t connection)
{
	struct machine *machine;

	HASH_FIND(hh_connection, core->agents.long_polls_by_connection, &connection,
		  sizeof(connection), machine);
	if (machine)
		remove_poll(core, machine);
}

void long_poll_tick(struct core *core)
{
	struct machine *machine;

	while ((machine = core->agents.long_polls) && machine->long_poll.until <= core->now)
		long_poll_answer(core, machine);
}
