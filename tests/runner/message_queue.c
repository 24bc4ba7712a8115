/* The queue is a doubly linked list. Messages due at the same time keep the order in which they
 * were added. */
#include "message_queue.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "util/xalloc.h"

/* Returns the last message that is due at `due_at_s` or before; NULL if there is none. */
static struct message *last_due_by(struct world *world, double due_at_s)
{
	struct message *message = world->queue ? world->queue->prev : NULL;

	while (message && message->due_at_s > due_at_s)
		message = message == world->queue ? NULL : message->prev;
	return message;
}

static void enqueue(struct world *world, struct message *message)
{
	struct message *before = last_due_by(world, message->due_at_s);

	if (before)
		DL_APPEND_ELEM(world->queue, before, message);
	else
		DL_PREPEND(world->queue, message);
}

static struct message *allocate_message(enum message_kind kind, int from, int to)
{
	struct message *message = xcalloc(1, sizeof(*message));

	message->kind = kind;
	message->from = from;
	message->to = to;
	return message;
}

struct message *message_new(struct world *world, enum message_kind kind, int from, int to,
			    double due_at_s)
{
	struct message *message = allocate_message(kind, from, to);

	message->due_at_s = due_at_s;
	enqueue(world, message);
	return message;
}

struct message *message_for_restart(struct world *world, enum message_kind kind, int from, int to)
{
	struct message *message = allocate_message(kind, from, to);

	DL_APPEND(world->restart_copies, message);
	return message;
}

void message_queue_restarted(struct world *world, int machine_host, double range_s)
{
	struct message *message, *next;

	DL_FOREACH_SAFE (world->restart_copies, message, next) {
		if (message->to != machine_host)
			continue;
		DL_DELETE(world->restart_copies, message);
		message_postpone(world, message, world->now_s + range_s * world_random(world));
	}
}

void message_set_body(struct message *message, const char *body, size_t length)
{
	message->body = xmalloc(length + 1);
	memcpy(message->body, body ? body : "", length);
	message->body[length] = 0;
	message->body_length = length;
}

void message_free(struct message *message)
{
	free(message->method);
	free(message->path);
	free(message->body);
	free(message);
}

struct message *message_pop_due(struct world *world, double until_s)
{
	struct message *message = world->queue;

	if (!message || message->due_at_s > until_s)
		return NULL;
	DL_DELETE(world->queue, message);
	return message;
}

void message_postpone(struct world *world, struct message *message, double due_at_s)
{
	message->due_at_s = due_at_s;
	enqueue(world, message);
}

static void free_list(struct message **list)
{
	struct message *message, *next;

	DL_FOREACH_SAFE (*list, message, next)
		message_free(message);
	*list = NULL;
}

void message_queue_free(struct world *world)
{
	free_list(&world->queue);
	free_list(&world->restart_copies);
}
