/*
 * Commands that are sent to agents directly, not with the answer to a heartbeat. One message at a
 * time is under way to each machine; commands that become due meanwhile go with the next.
 */
#ifndef PLOVERLOFT_DIRECT_COMMANDS_H
#define PLOVERLOFT_DIRECT_COMMANDS_H

#include "core/model/machine.h"

/* Commands are due for the machine: it joins the queue of those to be sent to. */
void commands_request(struct core *core, struct machine *machine);
/* Nothing is to be sent to the machine for now. */
void commands_withdraw(struct core *core, struct machine *machine);
/* Sends the queued machines their commands, as far as the allowance of sockets goes. */
void direct_commands_tick(struct core *core);

#endif
