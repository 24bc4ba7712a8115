/*
 * The whole state of a controller. Each folder declares its part in headers of its own and is the
 * only one to touch its fields; .ci/layers.conf has the owners.
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
#include "core/agents/replica_supervision.h"
#include "core/scheduling/cycle_trigger.h"
#include "core/scheduling/share_switching.h"
#include "core/autoscale/autoscale.h"
#include "core/api/api.h"

struct core {
	const struct conf *conf;
	const struct core_events *events;
	unsigned short rand48[3];
	double now;		     /* steady seconds, of the input that is handled */
	double wall;		     /* seconds since 1970, of the same */
	struct core_action *actions; /* not taken yet */
	struct call *calls;	     /* by id; without an answer yet */
	uint64_t next_call;
	uint64_t term; /* counts leaderships begun and given up */

	struct election election;
	struct format_gate format;
	struct learned_limits limits;
	bool store_unavailable;	  /* the state service's last answer was a refusal or none */
	double store_answered_at; /* steady; when it last served us */
	struct catalog catalog;
	struct job_api api;
	struct peers peers;

	/* the leader's */
	double leading_since; /* steady */
	struct jobs_watch jobs_watch;
	struct job *jobs;
	double next_job_scan_at; /* steady; when job_tick checks all jobs */
	struct team *teams;
	struct machine *machines;
	struct tombstones tombstones;
	struct agents agents;
	struct replica_supervision replica_supervision;
	struct write_queue write_queue;
	struct cycle_trigger cycles;
	struct share_switching share_switching;
	struct autoscale autoscale;
};

#endif
