/*
 * What the runner reads from inside a controller's core. All else goes through core/core.h; only
 * this module includes the core's own headers.
 */
#ifndef PLOVERLOFT_RUNNER_CORE_INSPECTION_H
#define PLOVERLOFT_RUNNER_CORE_INSPECTION_H

#include <stdbool.h>

#include "core/core.h"

/* Steps of an election at which a scenario can crash a controller. */
enum crash_step {
	CRASH_NEVER,
	CRASH_WITH_LEASE, /* it holds a lease and tries to become the leader */
	CRASH_LOADING,	  /* it is the leader and reads the records */
	CRASH_LEADING	  /* it has read them and leads */
};

/* Whether the controller is at this step now; never so for CRASH_NEVER. */
bool inspect_reached_step(const struct core *core, enum crash_step step);
/* Whether it leads by its own account. */
bool inspect_leads(const struct core *core);
/* Direct commands in flight. */
double inspect_direct_commands(const struct core *core);
/* How often it switched shares between controllers. */
double inspect_share_switches(const struct core *core);

#endif
