/*
 * Reports of workers, the commands that answer them, and direct commands.
 */
#ifndef PLOVERLOFT_WORKERS_H
#define PLOVERLOFT_WORKERS_H

#include "core/core.h"
#include "core/machine.h"

/* A worker's report, or its re-sent copy. */
void workers_beat(struct core *core, const struct core_request *request);
/* Commands are due for the machine: they are sent directly, in turn. */
void commands_wanted(struct core *core, struct machine *machine);
void commands_unwanted(struct core *core, struct machine *machine);
/* Asks the worker for its report; false if too many were asked of late. */
bool workers_ask(struct core *core, struct machine *machine);
/* The same for a machine with replicas, within an allowance and a time of their own. */
bool workers_probe(struct core *core, struct machine *machine);
/* Sends the commands that are due. */
void workers_tick(struct core *core);
/* A new token is held: machines that began anew count from now on. */
void workers_fenced(struct core *core);

#endif
