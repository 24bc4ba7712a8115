/*
 * Chooses the commands that are due for an agent. They are sent in the answer to its heartbeat or
 * in a direct message.
 */
#ifndef PLOVERLOFT_COMMANDS_H
#define PLOVERLOFT_COMMANDS_H

#include <stdbool.h>

#include "core/model/machine.h"

/* How commands are sent to an agent. */
enum command_channel {
	CHANNEL_HEARTBEAT, /* commands in the answer to the agent's heartbeat */
	CHANNEL_DIRECT	   /* commands in a separate message, see direct_commands.h */
};

/* The commands of one message to an agent. */
struct command_list {
	struct command items[COMMANDS_MAX];
	size_t count;
};

/*
 * Fills *list with the commands that are due for the machine's agent, at most COMMANDS_MAX. All
 * starts and stops that are due are recorded as sent through the channel, even if they did not fit
 * into the list.
 */
void commands_collect(struct core *core, struct machine *machine, enum command_channel channel,
		      struct command_list *list);

#endif
