/* The whole state of a controller. Each part declares its own in its header. */
#ifndef PLOVERLOFT_STATE_H
#define PLOVERLOFT_STATE_H

#include <stdbool.h>

#include <uthash.h>
#include <utlist.h>

#include "conf/conf.h"
#include "constants.h"
#include "core/runtime/call.h"
#include "core/autoscale/autoscale.h"
#include "core/records/write_queue.h"
#include "core/core.h"
#include "core/agents/direct_commands.h"
#include "core/election/election.h"
#include "core/election/format_gate.h"
#include "core/model/job.h"
#include "core/records/limits.h"
#include "core/model/machine.h"
#include "core/peers/peers.h"
#include "core/agents/replica_supervision.h"
#include "core/store/store_client.h"
#include "core/api/api.h"
#include "core/agents/heartbeats.h"

/* The leader's reads of open jobs' records. */
struct jobs_watch {
	uint64_t revision;
	double read_at; /* when the newest read of changes that came back was sent */
	bool in_flight;
	double retry_at; /* steady; no read before */
};

/* When decisions are made. */
struct scheduling_cycles {
	bool requested;
	double next_at, next_periodic_at; /* steady */
	uint32_t attempt_counter;	  /* numbers given to starts under this token */
};

struct core {
	const struct conf *conf;
	unsigned short rand48[3];
	double now, wall;
	struct core_action *actions;
	struct call *calls;
	uint64_t next_call;

	struct election election;
	struct format_gate format;
	struct learned_limits limits;
	bool store_unavailable;	  /* the state service's last answer was a refusal or none */
	double store_answered_at; /* steady; when it last served us */
	struct catalog catalog;
	struct job_api api;
	struct peers peers;

	/* the leader's */
	double leading_since;
	struct jobs_watch jobs_watch;
	struct job *jobs;
	double next_job_scan_at; /* steady; a look at all jobs */
	struct team *teams;
	struct fleet fleet;
	struct replica_supervision replica_supervision;
	struct write_queue write_queue;
	struct scheduling_cycles cycles;
	struct share_switching share_switching;
	struct autoscale autoscale;
};

/* load.c: take-over */
void recovery_start(struct core *core);
void jobs_watch_tick(struct core *core);
/* Takes an open job's record, or a newer version of it. */
void recovery_take_job_record(struct core *core, const char *id, json_t *value, uint64_t version);
/* Forgets all that only a leader knows. */
void leader_state_clear(struct core *core);

/* place.c */
/* Something happened that decisions may follow from. */
void cycle_request(struct core *core);
void cycle_tick(struct core *core);

#endif
