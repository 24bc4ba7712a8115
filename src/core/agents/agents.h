/* The leader's state of the agents: what is sent to them, and how many answer. */
#ifndef PLOVERLOFT_AGENTS_H
#define PLOVERLOFT_AGENTS_H

#include "core/agents/machine_health.h"
#include "core/agents/report_cache.h"
#include "core/runtime/call.h"

struct agents {
	struct report_cache report_cache;
	struct machine *command_queue; /* commands wait for them, longest waiting first */
	struct rate_limiter probe_limiter;
	int direct_in_flight; /* commands and probes: each holds a socket */
	struct contact_ages contact_ages;
	double next_scan_at;	 /* steady; of all machines */
	bool replicas_must_move; /* at the last scan: some are on machines that are about to go */
};

#endif
