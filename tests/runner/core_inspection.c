/* Reads the core's internal state and never changes it. */
#include "core_inspection.h"

#include "core/state.h"

bool inspect_leads(const struct core *core)
{
	return core->election.role == ROLE_LEADER;
}

bool inspect_reached_step(const struct core *core, enum crash_step step)
{
	switch (step) {
	case CRASH_WITH_LEASE:
		return core->election.claim_in_flight && core->election.lease;
	case CRASH_RECOVERING:
		return core->election.role == ROLE_RECOVERING;
	case CRASH_LEADING:
		return inspect_leads(core);
	case CRASH_NEVER:
		break;
	}
	return false;
}

double inspect_agent_calls_in_flight(const struct core *core)
{
	return core->agents.calls_in_flight;
}

double inspect_share_switches(const struct core *core)
{
	return (double)core->share_switching.switches;
}
