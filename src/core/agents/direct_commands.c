#include "core/agents/direct_commands.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "core/agents/commands.h"
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

static void on_do(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct machine *machine;

	core->agents.direct_in_flight--;
	if (election_call_is_stale(core, call))
		return;
	machine = machine_find(core, call->key);
	if (!machine)
		return;
	if (machine->commands.in_flight)
		machine->commands.in_flight--;
	if (machine->commands.due)
		command_queue_add(core, machine); /* what has gathered meanwhile */
	if (answer->outcome == CALL_UNANSWERED && call->has_start &&
	    call->token > machine->commands.unanswered_token) {
		machine->commands.unanswered_token = call->token;
		log_debug("commands_unanswered", "machine=%s", machine->id);
	}
	if (answer->status == STATUS_OK || answer->status == STATUS_CONFLICT)
		agent_take_probe_answer(core, call, answer->body, answer->len);
}

/* A question that never left, for want of a socket, says nothing of the machine. */
static bool waited_in_full(const struct core *core, const struct call *call)
{
	return core->now - call->sent_at >= call->timeout_s * (1 - CLOCK_DRIFT);
}

static void note_unanswered(const struct core *core, const struct call *call,
			    struct machine *machine)
{
	if (call->sent_at <= machine->agent.last_message_at || !waited_in_full(core, call))
		return;
	if (!machine->probes.unanswered++)
		machine->probes.unanswered_since = call->sent_at;
}

static void on_show(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct machine *machine;

	core->agents.direct_in_flight--;
	if (election_call_is_stale(core, call))
		return;
	machine = machine_find(core, call->key);
	if (machine && answer->outcome != CALL_ANSWERED)
		note_unanswered(core, call, machine);
	if (answer->status == STATUS_OK)
		agent_take_probe_answer(core, call, answer->body, answer->len);
}

/*
 * Machines that are gone keep a socket for each command or question until it is given up. When many
 * go at once, the sockets that callers need must not all wait for them.
 */
static bool directs_full(const struct core *core)
{
	return core->agents.direct_in_flight >= core->conf->max_connections * DIRECT_SHARE;
}

/*
 * Questions a second: enough to ask all machines well within a lease, however many there are. While
 * they find a new leader by themselves, a few are enough.
 */
static double asks_per_s(const struct core *core)
{
	if (core->now - core->leading_since < PROBE_UNSEEN_REPORTS * core->conf->report_s)
		return PROBES_PER_S;
	return fmax(PROBES_PER_S, machine_count(core) / (PROBE_ALL_LEASES * core->conf->lease_s));
}

/* What is known when a question leaves: the answer must be newer. */
static void call_mark(struct core *core, struct call *call, const struct machine *machine)
{
	snprintf(call->key, sizeof(call->key), "%s", machine->id);
	call->token = election_token(core);
	call->incarnation = machine->agent.incarnation;
	call->sequence = machine->agent.sequence;
}

static void send_question(struct core *core, struct machine *machine, double timeout_s)
{
	struct call *call = core_call(core, machine->addr, "GET", format_path(W_PATH_PROBE), NULL,
				      timeout_s, on_show, NULL);

	core->agents.direct_in_flight++;
	machine->probes.sent_at = core->now;
	call_mark(core, call, machine);
}

bool probe_machine(struct core *core, struct machine *machine)
{
	rate_limiter_refill(core, &core->agents.probe_limiter, asks_per_s(core));
	if (!*machine->addr || core->agents.probe_limiter.tokens < 1 ||
	    core->now - machine->probes.sent_at < PROBE_INTERVAL_S || directs_full(core))
		return false;
	core->agents.probe_limiter.tokens -= 1;
	send_question(core, machine, CALL_WORKER_S);
	return true;
}

bool probe_replica_machine(struct core *core, struct machine *machine)
{
	if (!*machine->addr || directs_full(core))
		return false;
	send_question(core, machine, REPLICA_PROBE_TIMEOUT_S);
	return true;
}

void commands_request(struct core *core, struct machine *machine)
{
	machine->commands.due = true;
	if (!machine->commands.in_flight) /* one at a time: what has gathered goes with the next */
		command_queue_add(core, machine);
}

void commands_withdraw(struct core *core, struct machine *machine)
{
	machine->commands.due = false;
	command_queue_remove(core, machine);
}

/*
 * Stopped before its start left: no worker will ever name it, so no proof of its end would come,
 * and it would hold its room and its task for the rest of the term.
 */
static void drop_unsent(struct core *core, struct machine *machine)
{
	struct binding *binding = machine->bindings;

	while (binding) {
		bool ends = binding->stopping && binding_start_never_sent(binding);

		if (ends)
			binding_end(core, binding, END_STOPPED);
		binding = ends ? machine->bindings
			       : binding->machine_next; /* its end may have ended others */
	}
}

static void send_direct(struct core *core, struct machine *machine)
{
	struct command_list list;
	struct call *call;

	commands_collect(core, machine, &list, false);
	if (!list.count && !machine->commands.announce_token)
		return;
	machine->commands.announce_token = false;
	machine->commands.in_flight++;
	core->agents.direct_in_flight++;
	call = core_call(core, machine->addr, "POST", format_path(W_PATH_COMMANDS),
			 wire_direct_commands(election_token(core), machine->agent.incarnation,
					      list.items, list.count),
			 CALL_WORKER_S, on_do, NULL);
	call_mark(core, call, machine);
	call->has_start = list.has_start;
}

void direct_commands_tick(struct core *core)
{
	struct machine *machine;

	while ((machine = core->agents.command_queue) && !directs_full(core)) {
		commands_withdraw(core, machine);
		drop_unsent(core, machine);
		if (machine->agent.incarnation && *machine->addr && !machine->cloud.deleted &&
		    machine_is_responsive(core, machine))
			send_direct(core, machine);
	}
}
