/*
 * Reconciliation: what the tasks listed in an agent's report prove of the bindings to its machine.
 *
 * A binding ends on the agent's report alone: its task is listed as ended, the incarnation is newer
 * than that which was sent the start, or a heartbeat lacks the task, from an agent that has shown
 * the token under which it could last have been started. While a direct command to start is
 * unanswered at the newest token, it may still arrive: the agent is then not to forget any ended
 * task, and absence proves nothing, until a new token fences the start off.
 */
#ifndef PLOVERLOFT_RECONCILIATION_H
#define PLOVERLOFT_RECONCILIATION_H

#include "core/agents/reports.h"
#include "core/model/machine.h"

/* Brings the machine's bindings and leftovers in line with its newest report. */
void reconcile(struct core *core, struct machine *machine, const struct report *report,
	       enum report_origin origin);
/* No task is listed that is not bound. */
void leftovers_clear(struct machine *machine);

#endif
