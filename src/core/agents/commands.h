/* Which commands an agent is to be given: with the answer to its heartbeat, or directly. */
#ifndef PLOVERLOFT_COMMANDS_H
#define PLOVERLOFT_COMMANDS_H

#include <stdbool.h>

#include "core/model/machine.h"

/* The way that commands take to an agent. */
enum command_channel {
	CHANNEL_HEARTBEAT, /* with the answer to its heartbeat */
	CHANNEL_DIRECT	   /* in a message of their own */
};

struct command_list {
	struct command items[COMMANDS_MAX];
	size_t count;
	bool has_start; /* an OP_START is among them */
};

/*
 * True if no start sent earlier can still take effect on this machine: no direct message is under
 * way, and the agent has shown a newer token than that of any start that was left unanswered.
 */
bool machine_fenced(const struct machine *machine);
/*
 * Fills *list with the commands that are due, COMMANDS_MAX at most, and notes all that are due as
 * sent through the channel.
 */
void commands_collect(struct core *core, struct machine *machine, enum command_channel channel,
		      struct command_list *list);

#endif
