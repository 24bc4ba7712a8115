/* What the leader keeps of all agents together; what it keeps of each is in struct machine. */
#ifndef PLOVERLOFT_AGENTS_H
#define PLOVERLOFT_AGENTS_H

#include "core/agents/machine_health.h"
#include "core/agents/report_cache.h"
#include "core/runtime/call.h"

struct agents {
	struct report_cache report_cache;
	struct machine
	    *command_queue; /* machines with commands to be sent, longest waiting first */
	struct rate_limiter probe_limiter; /* of all probes but those of replica supervision */
	int direct_in_flight;		   /* direct commands and probes: each holds a socket */
	struct contact_ages contact_ages;
	double next_scan_at;	 /* steady; of all machines */
	bool replicas_must_move; /* at the last scan: some are on machines that they must leave */
};

#endif
