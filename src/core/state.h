/*
 * The complete state of a controller. Each folder declares its part of the state in its own
 * headers, and only that folder accesses its fields. .ci/layers.conf lists the owner of each field.
 */
#ifndef PLOVERLOFT_STATE_H
#define PLOVERLOFT_STATE_H

#include <stdbool.h>

#include <uthash.h>
#include <utlist.h>

#include "conf/conf.h"
#include "constants.h"
#include "core/core.h"
#include "core/runtime/call.h"
#include "core/runtime/events.h"
#include "core/runtime/refusal_log.h"
#include "core/store/store_client.h"
#include "core/election/election.h"
#include "core/election/format_gate.h"
#include "core/model/binding.h"
#include "core/model/catalog.h"
#include "core/model/chunk.h"
#include "core/model/job.h"
#include "core/model/job_failures.h"
#include "core/model/machine.h"
#include "core/model/task_bitmap.h"
#include "core/model/task_demands.h"
#include "core/model/team.h"
#include "core/model/tombstones.h"
#include "core/records/jobs_watch.h"
#include "core/records/limits.h"
#include "core/records/recovery.h"
#include "core/records/write_queue.h"
#include "core/peers/peer_link.h"
#include "core/agents/agents.h"
#include "core/agents/direct_commands.h"
#include "core/agents/heartbeats.h"
#include "core/agents/long_poll.h"
#include "core/agents/replica_supervision.h"
#include "core/scheduling/cycle_trigger.h"
#include "core/scheduling/share_switching.h"
#include "core/autoscale/autoscale.h"
#include "core/api/api.h"

struct core {
	const struct conf *conf;
	const struct core_events *events;
	unsigned short rand48[3];
	double now;		     /* time of the present input: seconds of the steady clock */
	double wall;		     /* time of the present input: wall clock, seconds since 1970 */
	struct core_action *actions; /* outputs not yet taken by the caller, oldest first */
	struct call *calls;	     /* hash table by id of the calls that have not ended */
	uint64_t next_call;	     /* id of the next call */
	struct refusal_log refusals;
	uint64_t term; /* counts the starts and the ends of this controller's terms */

	struct election election;
	struct format_gate format;
	struct learned_limits limits;
	bool store_unavailable;	  /* the last call to the state service got no answer or a 503 */
	double store_answered_at; /* steady time of the last answer of the state service other than
				   * 503, or of the core's start */
	struct catalog catalog;
	struct job_api api;
	struct peers peers;

	/* Used by the leader only; see leader_state_clear in core.c. */
	double leading_since; /* steady time at which this term's recovery was complete */
	struct jobs_watch jobs_watch;
	struct job *jobs;
	double next_job_scan_at; /* steady time at which job_tick checks all jobs next */
	struct team *teams;
	struct machine *machines;
	struct tombstones tombstones;
	struct task_demands task_demands;
	struct agents agents;
	struct replica_supervision replica_supervision;
	struct write_queue write_queue;
	struct cycle_trigger cycles;
	struct share_switching share_switching;
	struct autoscale autoscale;
};

#endif
