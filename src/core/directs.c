#include "core/directs.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "core/commands.h"
#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"

static void command_queue_add(struct core *core, struct machine *machine)
{
	if (machine->in_command_queue)
		return;
	machine->in_command_queue = true;
	DL_APPEND2(core->fleet.command_queue, machine, queue_prev, queue_next);
}

static void command_queue_remove(struct core *core, struct machine *machine)
{
	if (!machine->in_command_queue)
		return;
	machine->in_command_queue = false;
	DL_DELETE2(core->fleet.command_queue, machine, queue_prev, queue_next);
}

static void on_do(struct core *core, struct call *call, int status, const char *body, size_t len)
{
	struct machine *machine;

	core->fleet.directs--;
	if (election_stale(core, call))
		return;
	machine = machine_find(core, call->key);
	if (!machine)
		return;
	if (machine->commands_out)
		machine->commands_out--;
	if (machine->commands_due)
		command_queue_add(core, machine); /* what has gathered meanwhile */
	if (status == 0 && call->starts && call->token > machine->unanswered_token) {
		machine->unanswered_token = call->token;
		log_debug("do_unanswered", "machine=%s", machine->id);
	}
	if (status == 200 || status == 409)
		workers_take_answer(core, call, body, len);
}

/* A question that never left, for want of a socket, says nothing of the machine. */
static bool waited_in_full(const struct core *core, const struct call *call)
{
	return core->now - call->sent >= call->timeout_s * (1 - CLOCK_DRIFT);
}

static void note_unanswered(const struct core *core, const struct call *call,
			    struct machine *machine)
{
	if (call->sent <= machine->last_word || !waited_in_full(core, call))
		return;
	if (!machine->unanswered++)
		machine->unanswered_since = call->sent;
}

static void on_show(struct core *core, struct call *call, int status, const char *body, size_t len)
{
	struct machine *machine;

	core->fleet.directs--;
	if (election_stale(core, call))
		return;
	machine = machine_find(core, call->key);
	if (machine && status <= 0)
		note_unanswered(core, call, machine);
	if (status == 200)
		workers_take_answer(core, call, body, len);
}

/*
 * Machines that are gone keep a socket for each command or question until it is given up. When many
 * go at once, the sockets that callers need must not all wait for them.
 */
static bool directs_full(const struct core *core)
{
	return core->fleet.directs >= core->conf->max_connections * DIRECT_SHARE;
}

/*
 * Questions a second: enough to ask all machines well within a lease, however many there are. While
 * they find a new leader by themselves, a few are enough.
 */
static double asks_per_s(const struct core *core)
{
	if (core->now - core->lead_since < MACHINE_SHOW_REPORTS * core->conf->report_s)
		return ASKS_PER_S;
	return fmax(ASKS_PER_S,
		    HASH_COUNT(core->fleet.machines) / (ASK_ALL_LEASES * core->conf->lease_s));
}

/* What is known when a question leaves: the answer must be newer. */
static void call_mark(struct core *core, struct call *call, const struct machine *machine)
{
	snprintf(call->key, sizeof(call->key), "%s", machine->id);
	call->token = core->election.token;
	call->session = machine->session;
	call->seq = machine->seq;
}

static void send_question(struct core *core, struct machine *machine, double timeout_s)
{
	struct call *call = core_call(core, machine->addr, "GET", fmt_path(W_PATH_STATUS), NULL,
				      timeout_s, on_show, NULL);

	core->fleet.directs++;
	machine->asked_at = core->now;
	call_mark(core, call, machine);
}

bool workers_ask(struct core *core, struct machine *machine)
{
	allowance_fill(core, &core->fleet.asks, asks_per_s(core));
	if (!*machine->addr || core->fleet.asks.left < 1 ||
	    core->now - machine->asked_at < MACHINE_ASK_S || directs_full(core))
		return false;
	core->fleet.asks.left -= 1;
	send_question(core, machine, CALL_WORKER_S);
	return true;
}

bool workers_probe(struct core *core, struct machine *machine)
{
	if (!*machine->addr || directs_full(core))
		return false;
	send_question(core, machine, REPLICA_ANSWER_S);
	return true;
}

void commands_wanted(struct core *core, struct machine *machine)
{
	machine->commands_due = true;
	if (!machine->commands_out) /* one at a time: what has gathered goes with the next */
		command_queue_add(core, machine);
}

void commands_unwanted(struct core *core, struct machine *machine)
{
	machine->commands_due = false;
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
		bool ends = binding->stopping && binding_unsent(binding);

		if (ends)
			binding_end(core, binding, WHY_STOPPED);
		binding =
		    ends ? machine->bindings : binding->mnext; /* its end may have ended others */
	}
}

static void send_direct(struct core *core, struct machine *machine)
{
	struct command_list list;
	struct call *call;

	commands_gather(core, machine, &list, false);
	if (!list.n && !machine->announce_token)
		return;
	machine->announce_token = false;
	machine->commands_out++;
	core->fleet.directs++;
	call = core_call(
	    core, machine->addr, "POST", fmt_path(W_PATH_COMMANDS),
	    wire_direct_commands(core->election.token, machine->session, list.items, list.n),
	    CALL_WORKER_S, on_do, NULL);
	call_mark(core, call, machine);
	call->starts = list.starts;
}

void directs_tick(struct core *core)
{
	struct machine *machine;

	while ((machine = core->fleet.command_queue) && !directs_full(core)) {
		commands_unwanted(core, machine);
		drop_unsent(core, machine);
		if (machine->session && *machine->addr && !machine->gone &&
		    machine_fresh(core, machine))
			send_direct(core, machine);
	}
}
