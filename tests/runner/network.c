/* Decides which messages arrive, and when. */
#include "network.h"

#include <stdlib.h>

#include <utlist.h>

#include "controllers.h"
#include "delivery.h"
#include "message_queue.h"
#include "util/xalloc.h"

/* Mean latency of a message. The latency is random, from half to one and a half times the mean. */
#define LATENCY_S 0.004

double network_arrival_time(struct world *world)
{
	return world->now_s + LATENCY_S * (0.5 + world_random(world));
}

struct network_cut *network_cut_add(struct world *world, int from, int to, double until_s)
{
	struct network_cut *cut = xcalloc(1, sizeof(*cut));

	cut->from = from;
	cut->to = to;
	cut->until_s = until_s;
	LL_PREPEND(world->cuts, cut);
	return cut;
}

void network_cuts_free(struct world *world)
{
	struct network_cut *cut, *next;

	LL_FOREACH_SAFE(world->cuts, cut, next)
	free(cut);
	world->cuts = NULL;
}

/* True if a cut with CUT_BOTH_WAYS stops messages between two hosts. Its `to` may be HOST_ANY. */
static bool stops_either_way(const struct network_cut *cut, int from, int to)
{
	bool forward = cut->from == from && (cut->to == to || cut->to == HOST_ANY);
	bool backward = cut->from == to && (cut->to == from || cut->to == HOST_ANY);

	return forward || backward;
}

/* True if a cut with CUT_ONE_WAY stops messages from `from` to `to`. Its `from` may be HOST_ANY. */
static bool stops_one_way(const struct network_cut *cut, int from, int to)
{
	return cut->to == to && (cut->from == from || cut->from == HOST_ANY);
}

/* The scope of the cuts that stop only messages like this one; CUT_BOTH_WAYS: there is none. */
static enum cut_scope scope_of_kind(const struct message *message)
{
	if (message->kind == MESSAGE_REPORT_REPLY)
		return CUT_ANSWERS;
	if (message->kind == MESSAGE_REQUEST && message->to >= HOST_MACHINES)
		return CUT_COMMANDS;
	return CUT_BOTH_WAYS;
}

/* The cut that now stops the message because of its kind; NULL if there is none. */
static const struct network_cut *cut_by_kind(const struct world *world,
					     const struct message *message)
{
	enum cut_scope scope = scope_of_kind(message);
	const struct network_cut *cut;

	LL_FOREACH(world->cuts, cut)
	if (scope != CUT_BOTH_WAYS && cut->scope == scope && cut->to == message->to &&
	    world->now_s < cut->until_s)
		return cut;
	return NULL;
}

const struct network_cut *network_cut_between(const struct world *world, int from, int to)
{
	const struct network_cut *cut;

	LL_FOREACH(world->cuts, cut)
	{
		if (world->now_s >= cut->until_s)
			continue;
		if (cut->scope == CUT_BOTH_WAYS && stops_either_way(cut, from, to))
			return cut;
		if (cut->scope == CUT_ONE_WAY && stops_one_way(cut, from, to))
			return cut;
	}
	return NULL;
}

/* True if a cut with CUT_REPORTS stops the message. */
static bool report_is_cut(const struct world *world, const struct message *message)
{
	const struct network_cut *cut;

	if (message->kind != MESSAGE_REPORT)
		return false;
	LL_FOREACH(world->cuts, cut)
	if (cut->scope == CUT_REPORTS && cut->to == message->from && world->now_s < cut->until_s)
		return true;
	return false;
}

/* True if the message is lost at random. Draws a random number for each message that can be lost:
 * timeouts are events within a controller, and messages of clients and machines are not lost. */
static bool is_lost(struct world *world, const struct message *message)
{
	if (message->kind == MESSAGE_TIMEOUT || message->kind == MESSAGE_RESTART ||
	    message->from >= HOST_CLIENTS)
		return false;
	return world_random(world) < world->network_faults.lost;
}

/* Delivers or drops a message that is due, or returns it to the queue. Takes ownership of it. */
static void transmit(struct world *world, struct message *message)
{
	double wake_s = controller_wake_time(world, message);
	const struct network_cut *cut = NULL;

	if (wake_s > 0) {
		message_postpone(world, message, wake_s);
		return;
	}
	if (message->kind != MESSAGE_TIMEOUT && message->kind != MESSAGE_RESTART)
		cut = network_cut_between(world, message->from, message->to);
	if (!cut)
		cut = cut_by_kind(world, message);
	if (cut && cut->mode == CUT_HOLD) {
		message_postpone(world, message, cut->until_s + LATENCY_S);
		return;
	}
	if (!cut && !report_is_cut(world, message) && !is_lost(world, message))
		deliver_message(world, message);
	message_free(message);
}

void network_deliver_until(struct world *world, double until_s)
{
	struct message *message;

	while ((message = message_pop_due(world, until_s))) {
		if (message->due_at_s > world->now_s)
			world->now_s = message->due_at_s;
		world->standin.now = world->now_s;
		transmit(world, message);
	}
}
