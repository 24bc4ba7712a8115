/* The queue of messages on their way, ordered by their time of arrival. */
#ifndef PLOVERLOFT_RUNNER_MESSAGE_QUEUE_H
#define PLOVERLOFT_RUNNER_MESSAGE_QUEUE_H

#include "world.h"

/* Puts a new message into the queue, which owns it; the caller fills in what it says. */
struct message *message_new(struct world *world, enum message_kind kind, int from, int to,
			    double due_at_s);
/* Copies `length` bytes into the message; `body` may be NULL if `length` is 0. */
void message_set_body(struct message *message, const char *body, size_t length);
/* Frees a message that is in no queue, and its strings. */
void message_free(struct message *message);
/* Takes the first message out of the queue if it is due by `until_s`; NULL if none is. */
struct message *message_take_due(struct world *world, double until_s);
/* Puts a message that was taken back into the queue, behind all others due at that time. */
void message_postpone(struct world *world, struct message *message, double due_at_s);
/* Frees all messages of the queue. */
void message_queue_free(struct world *world);

#endif
