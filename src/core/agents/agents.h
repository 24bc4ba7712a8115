/*
 * The leader's state about all agents together. The state about each agent is in struct machine.
 */
#ifndef PLOVERLOFT_AGENTS_H
#define PLOVERLOFT_AGENTS_H

#include "core/agents/machine_health.h"
#include "core/agents/report_cache.h"
#include "core/runtime/call.h"

struct agents {
	struct report_cache report_cache;
	/* machines to which direct commands are to be sent, longest waiting first */
	struct machine *command_queue;
	/* machines with a heartbeat whose answer waits, the longest waiting first, and the same
	 * machines as a hash table by connection; see long_poll.h */
	struct machine *long_polls, *long_polls_by_connection;
	/* limits the rate of all probes but those of replica supervision */
	struct rate_limiter probe_limiter;
	/* number of unanswered calls to agents (direct commands and probes), each of which holds a
	 * socket */
	int calls_in_flight;
	struct contact_histogram contact_histogram;
	double next_scan_at; /* steady seconds; machines_tick scans no machines before this time */
	/* true if the last scan found replicas on machines that they must leave, or a machine with
	 * replicas got a preemption notice since */
	bool replicas_must_move;
};

#endif
