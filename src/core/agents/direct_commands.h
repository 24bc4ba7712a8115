/* Messages to workers that are not answers to their reports: questions, and commands sent directly.
 */
#ifndef PLOVERLOFT_DIRECT_COMMANDS_H
#define PLOVERLOFT_DIRECT_COMMANDS_H

#include <stdbool.h>

#include "core/model/machine.h"

/* Commands are due for the machine: they are sent in turn. */
void commands_request(struct core *core, struct machine *machine);
void commands_withdraw(struct core *core, struct machine *machine);
/* Asks the worker for its report; false if too many were asked of late. */
bool probe_machine(struct core *core, struct machine *machine);
/* The same for a machine with replicas, within an allowance and a time of their own. */
bool probe_replica_machine(struct core *core, struct machine *machine);
/* Sends the commands that are due. */
void direct_commands_tick(struct core *core);

#endif
