#include "core/agents/reachability.h"

#include <math.h>

#include "core/state.h"
#include "util/log.h"

/*
 * There are two signs of an outbound partition. The agent's incarnation rises though we answered
 * all of its heartbeats: its lease has expired because the answers did not arrive. Or the agent
 * ignores starts.
 */
void machine_mark_unreachable(struct core *core, struct machine *machine, const char *reason)
{
	if (machine->agent.reachable) {
		log_info("machine_unreachable", "machine=%s reason=%s", machine->id, reason);
		machine->agent.unreachable_since = core->now;
	}
	machine->agent.reachable = false;
	machine->agent.ignored_starts = 0;
}

void machine_mark_reachable(struct core *core, struct machine *machine)
{
	if (!machine->agent.reachable)
		core->events->placement_needed(core);
	machine->agent.reachable = true;
	machine->agent.ignored_starts = 0;
	machine->agent.stale_reports = 0;
}

/*
 * True if a start was sent in the answer to an earlier heartbeat, but no report has listed the task
 * yet, the newest one included.
 */
static bool start_ignored(const struct machine *machine, const struct binding *binding)
{
	return binding->start_sequence && !binding->observed &&
	       binding->listed_sequence != machine->agent.sequence;
}

static bool any_start_ignored(const struct machine *machine)
{
	const struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, machine_next)
		if (start_ignored(machine, binding))
			return true;
	return false;
}

void machine_check_ignored_starts(struct core *core, struct machine *machine)
{
	if (!any_start_ignored(machine)) {
		machine->agent.ignored_starts = 0;
		return;
	}
	machine->agent.ignored_starts++;
	if (machine->agent.ignored_starts >= MACHINE_IGNORED_STARTS)
		machine_mark_unreachable(core, machine, "starts_ignored");
}

/*
 * A report that is not newer than the newest report that was applied is either a late copy or comes
 * from an agent that was restarted. As long as newer reports arrive, the agent has not been
 * restarted, and no probe is needed: if late copies arrive from all machines, a probe for each copy
 * would cost more than the reports themselves.
 */
bool machine_heartbeat_overdue(const struct core *core, const struct machine *machine)
{
	return core->now - machine->agent.last_heartbeat_at >
		   HEARTBEAT_OVERDUE_REPORTS * core->conf->report_s &&
	       core->now - machine->probes.sent_at > PROBE_INTERVAL_S;
}

bool machine_is_partitioned_inbound(const struct core *core, const struct machine *machine)
{
	double since =
	    fmax(machine->agent.last_report_at, fmax(machine->agent.up_at, core->leading_since));

	return machine->agent.incarnation && !machine->cloud.deleting &&
	       machine_is_responsive(core, machine) &&
	       core->now - since > REPLICA_MOVE_LEASES * core->conf->lease_s;
}
