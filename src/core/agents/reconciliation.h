/*
 * Reconciles an agent's report with the bindings to its machine.
 *
 * A report proves the end of a binding in three cases only:
 * - It lists the task as ended.
 * - The agent's incarnation is newer than the incarnation that was sent the start.
 * - It is a heartbeat that does not list the task, and no message that carried the start can take
 *   effect any more (machine_start_is_void).
 */
#ifndef PLOVERLOFT_RECONCILIATION_H
#define PLOVERLOFT_RECONCILIATION_H

#include "core/agents/reports.h"
#include "core/model/machine.h"

/*
 * Updates the machine's bindings from the agent's newest report, ends the bindings whose end the
 * report proves, and replaces the machine's list of unbound tasks.
 */
void reconcile_report(struct core *core, struct machine *machine, const struct report *report,
		      enum report_origin origin);
/* Empties the machine's list of unbound tasks, see struct unbound_task. */
void unbound_tasks_clear(struct machine *machine);

#endif
