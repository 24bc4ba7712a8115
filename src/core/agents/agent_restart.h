/*
 * Agents that are restarted within a fraction of a second begin their incarnation and sequence
 * anew: their reports look older than the newest on record, as late copies do.
 */
#ifndef PLOVERLOFT_AGENT_RESTART_H
#define PLOVERLOFT_AGENT_RESTART_H

#include "core/model/machine.h"

/* The agent was restarted: it gets no work, and its reports do not count until a new token. */
void agent_note_restart(struct core *core, struct machine *machine);
/* A new fencing token is held: reports of restarted agents count from now on. */
void agents_token_renewed(struct core *core);

#endif
