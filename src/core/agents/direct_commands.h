/*
 * Commands that are sent to agents directly instead of in the answer to a heartbeat. Only one
 * message at a time is in flight to each machine. Commands that become due in the meantime are sent
 * in the next message.
 */
#ifndef PLOVERLOFT_DIRECT_COMMANDS_H
#define PLOVERLOFT_DIRECT_COMMANDS_H

#include "core/model/machine.h"

/*
 * Requests a direct message with the commands that are due for the machine. The machine joins the
 * queue for direct messages at once, or after the answer to the message in flight to this machine.
 */
void commands_request(struct core *core, struct machine *machine);
/* Cancels the request for a direct message to the machine, and removes the machine from the
 * queue. */
void commands_cancel_request(struct core *core, struct machine *machine);
/* Sends commands to the queued machines until the limit on sockets is reached. */
void direct_commands_tick(struct core *core);

#endif
