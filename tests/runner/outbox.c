/* Sends the calls and answers of the controllers' cores, with the faults of requests. */
#include "outbox.h"

#include <stdlib.h>
#include <string.h>

#include "connections.h"
#include "message_queue.h"
#include "network.h"
#include "util/xalloc.h"
#include "wire/names.h"

#define REQUEST_COPIES 2	    /* a request and its repetition */
#define REPEAT_DELAY_S 1.5	    /* least time until a repeated request is carried out again */
#define LATE_TRANSACTION_MIN_S 2    /* least delay of a late transaction */
#define LATE_TRANSACTION_RANGE_S 10 /* longest additional delay */

/* Returns the number of the host that listens at an address; HOST_ANY if there is none. */
static int host_at_address(struct world *world, const char *address)
{
	const struct standin_machine *machine;

	if (!strcmp(address, world->conf.store_addr))
		return HOST_STATE;
	if (!strcmp(address, world->conf.cloud_addr))
		return HOST_CLOUD;
	for (int i = 0; i < world->controller_count; i++)
		if (!strcmp(address, world->controllers[i].conf.back_addr))
			return i;
	machine = standin_machine_find_by_addr(&world->standin, address);
	return machine ? HOST_MACHINES + (int)(machine - world->standin.machines) : HOST_ANY;
}

/* True if a copy of commands is to arrive after the next restart of their machine. */
static bool is_copied_for_restart(struct world *world)
{
	double share = world->network_faults.copied_for_restart;

	return share > 0 && world_random(world) < share;
}

/* Sends an answer to a client or to a report. Its body is text or absent. */
static void send_text_answer(struct world *world, int index, const struct core_action *action)
{
	bool to_machine = connection_kind(action->id) == CONNECTION_REPORT;
	enum message_kind kind = to_machine ? MESSAGE_REPORT_REPLY : MESSAGE_REPLY;
	int to = to_machine ? HOST_MACHINES + report_connection_machine(action->id) : HOST_CLIENTS;
	struct message *answer = message_new(world, kind, index, to, network_arrival_time(world));

	answer->id = action->id;
	answer->status = action->status;
	answer->body = action->body ? xstrdup(action->body) : NULL;
	if (to_machine && action->body && is_copied_for_restart(world)) {
		answer = message_for_restart(world, kind, index, to);
		answer->id = action->id;
		answer->status = action->status;
		answer->body = xstrdup(action->body);
	}
}

/* Sends an answer to another controller. Its body may be binary. */
static void send_peer_answer(struct world *world, int index, const struct core_action *action)
{
	struct peer_request *pending;
	struct message *answer;

	HASH_FIND(hh, world->peer_requests, &action->id, sizeof(action->id), pending);
	if (!pending)
		return;
	answer =
	    message_new(world, MESSAGE_REPLY, index, pending->from, network_arrival_time(world));
	answer->id = pending->call;
	answer->incarnation = pending->incarnation;
	answer->status = action->status;
	message_set_body(answer, action->body, action->len);
	HASH_DEL(world->peer_requests, pending);
	free(pending);
}

static void send_answer(struct world *world, int index, const struct core_action *action)
{
	if (connection_kind(action->id) == CONNECTION_PEER)
		send_peer_answer(world, index, action);
	else
		send_text_answer(world, index, action);
}

/* True for a transaction that gets no reply and is carried out late. Draws a random number for each
 * transaction. */
static bool is_late_transaction(struct world *world, int to, const struct core_action *action)
{
	if (to != HOST_STATE || strcmp(action->path, W_PATH_TXN))
		return false;
	return world_random(world) < world->network_faults.late_transactions;
}

static void set_request(struct message *request, const struct core_action *action)
{
	request->method = xstrdup(action->method);
	request->path = xstrdup(action->path);
	message_set_body(request, action->body, action->len);
}

/* Sends a request. `call` is the id of the controller's call; 0: the controller gets no reply. */
static void send_request(struct world *world, int index, int to, const struct core_action *action,
			 double due_at_s, uint64_t call)
{
	struct message *request = message_new(world, MESSAGE_REQUEST, index, to, due_at_s);

	request->id = call;
	request->incarnation = world->controllers[index].incarnation;
	set_request(request, action);
}

/* Keeps a copy of direct commands for the next restart of their machine, at random. */
static void copy_for_restart(struct world *world, int index, int to,
			     const struct core_action *action)
{
	if (to >= HOST_MACHINES && !strcmp(action->path, W_PATH_COMMANDS) &&
	    is_copied_for_restart(world))
		set_request(message_for_restart(world, MESSAGE_REQUEST, index, to), action);
}

/*
 * Queues the timeout of a call and then its request, which faults may repeat or delay. The order in
 * which random numbers are drawn must not change: scenarios depend on it.
 */
static void send_call(struct world *world, int index, const struct core_action *action)
{
	int to = host_at_address(world, action->addr);
	double arrival_s = network_arrival_time(world);
	struct message *timeout =
	    message_new(world, MESSAGE_TIMEOUT, index, index, world->now_s + action->timeout_s);

	timeout->id = action->id;
	timeout->incarnation = world->controllers[index].incarnation;
	copy_for_restart(world, index, to, action);
	for (int copy = 0; to != HOST_ANY && copy < REQUEST_COPIES; copy++) {
		bool late = is_late_transaction(world, to, action);
		double due_at_s = arrival_s + copy * REPEAT_DELAY_S;

		if (copy && world_random(world) >= world->network_faults.repeated)
			break;
		if (copy && world->network_faults.repeat_range_s > 0)
			due_at_s += world->network_faults.repeat_range_s * world_random(world);
		if (late)
			due_at_s = arrival_s + LATE_TRANSACTION_MIN_S +
				   LATE_TRANSACTION_RANGE_S * world_random(world);
		send_request(world, index, to, action, due_at_s, copy || late ? 0 : action->id);
	}
}

void outbox_send(struct world *world, int index)
{
	struct controller *controller = &world->controllers[index];
	struct core_action *action;

	while (controller->up && (action = core_pop_action(controller->core))) {
		if (world->trace)
			behaviour_trace_add(world->trace, world->now_s, index, action);
		if (action->kind == ACT_ANSWER)
			send_answer(world, index, action);
		else
			send_call(world, index, action);
		core_action_free(action);
	}
}
