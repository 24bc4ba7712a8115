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

struct message *message_new(struct world *world, enum message_kind kind, int from, int to,
			    double due_at_s)
{
	struct message *message = xcalloc(1, sizeof(*message));

	message->kind = kind;
	message->from = from;
	message->to = to;
	message->due_at_s = due_at_s;
	enqueue(world, message);
	return message;
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

void message_queue_free(struct world *world)
{
	struct message *message, *next;

	DL_FOREACH_SAFE (world->queue, message, next)
		message_free(message);
	world->queue = NULL;
}
