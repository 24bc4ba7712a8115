/*
 * Chooses the commands that are due for an agent. They are sent in the answer to its heartbeat or
 * in a direct message.
 */
#ifndef PLOVERLOFT_COMMANDS_H
#define PLOVERLOFT_COMMANDS_H

#include <stdbool.h>

#include "core/model/machine.h"
#include "wire/report_codec.h"

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
/* True if a start is to be sent that the answer to the machine's newest heartbeat has not carried.
 */
bool commands_start_is_due(const struct machine *machine);
/*
 * Fills *list with stops of the tasks that the report lists and that are to end, at most
 * COMMANDS_MAX. For the answer to a report that is not applied: if its agent sent it now, the
 * answer renews the lease of the tasks, and if it is a late copy, no agent gets the answer. Nothing
 * is recorded as sent.
 */
void commands_collect_stops(const struct machine *machine, const struct report *report,
			    struct command_list *list);

#endif
