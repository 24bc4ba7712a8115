/*
 * Restarts of agents. An agent that is restarted within a fraction of a second resets its
 * incarnation and sequence number. The reports of the restarted agent then look older than the
 * newest report that was applied, as late copies of old reports do.
 */
#ifndef PLOVERLOFT_AGENT_RESTART_H
#define PLOVERLOFT_AGENT_RESTART_H

#include "core/model/machine.h"

/*
 * Marks the agent as restarted and requests a new fencing token. Until that token is held, the
 * machine gets no work and the agent's reports are not applied.
 */
void agent_mark_restarted(struct core *core, struct machine *machine);
/*
 * Called when a new fencing token is held: from now on the reports of restarted agents are applied
 * again, if they are heartbeats that show this token or answers to calls made under it.
 */
void agents_on_token_renewed(struct core *core);

#endif
