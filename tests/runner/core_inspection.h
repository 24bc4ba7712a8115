/*
 * Reads the internal state of a controller's core. Only this module includes the core's internal
 * headers; the other modules of the runner use core/core.h.
 */
#ifndef PLOVERLOFT_RUNNER_CORE_INSPECTION_H
#define PLOVERLOFT_RUNNER_CORE_INSPECTION_H

#include <stdbool.h>

#include "core/core.h"

/* Steps of an election at which a scenario can crash a controller. */
enum crash_step {
	CRASH_NEVER,
	CRASH_WITH_LEASE, /* it holds a lease and claims the leader's key */
	CRASH_RECOVERING, /* it holds the leader's key and reads the records */
	CRASH_LEADING	  /* it has read them and leads */
};

/* True if the controller is at this step now; never true for CRASH_NEVER. */
bool inspect_reached_step(const struct core *core, enum crash_step step);
/* True if the controller considers itself the leader. */
bool inspect_leads(const struct core *core);
/* Returns the number of direct commands and probes that agents have not answered yet. */
double inspect_agent_calls_in_flight(const struct core *core);
/* Returns the number of slots that the controller has switched from one job to another. */
double inspect_share_switches(const struct core *core);

#endif
