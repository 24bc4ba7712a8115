/* The queue of messages in flight, ordered by their time of arrival. */
#ifndef PLOVERLOFT_RUNNER_MESSAGE_QUEUE_H
#define PLOVERLOFT_RUNNER_MESSAGE_QUEUE_H

#include "world.h"

/* Adds a new message to the queue, which owns it. The caller sets the fields of its kind. */
struct message *message_new(struct world *world, enum message_kind kind, int from, int to,
			    double due_at_s);
/* Sets the body of a message to a copy of `length` bytes. `body` may be NULL if `length` is 0. */
void message_set_body(struct message *message, const char *body, size_t length);
/* Frees a message that was removed from the queue, and its strings. */
void message_free(struct message *message);
/* Removes and returns the first message if it is due by `until_s`; otherwise returns NULL. The
 * caller owns the message. */
struct message *message_pop_due(struct world *world, double until_s);
/* Returns a removed message to the queue with a new time of arrival, after all others that are due
 * by then. */
void message_postpone(struct world *world, struct message *message, double due_at_s);
/* Returns a new message that waits until its machine `to` has restarted. The caller sets the fields
 * of its kind. */
struct message *message_for_restart(struct world *world, enum message_kind kind, int from, int to);
/* Queues the messages that wait for the restart of a machine, to arrive within `range_s` seconds at
 * random times. */
void message_queue_restarted(struct world *world, int machine_host, double range_s);
/* Frees all messages in the queue, and those that wait for a restart. */
void message_queue_free(struct world *world);

#endif
