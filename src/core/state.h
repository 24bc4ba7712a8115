/* The whole state of a controller. Each part declares its own in its header. */
#ifndef PLOVERLOFT_STATE_H
#define PLOVERLOFT_STATE_H

#include <stdbool.h>

#include <uthash.h>
#include <utlist.h>

#include "conf/conf.h"
#include "constants.h"
#include "core/call.h"
#include "core/cloud.h"
#include "core/commit.h"
#include "core/core.h"
#include "core/directs.h"
#include "core/election.h"
#include "core/format.h"
#include "core/job.h"
#include "core/limits.h"
#include "core/machine.h"
#include "core/peers.h"
#include "core/replica_watch.h"
#include "core/store.h"
#include "core/users.h"
#include "core/workers.h"

/* The leader's reads of open jobs' records. */
struct jobs_watch {
	uint64_t revision;
	double read_at; /* when the newest read of changes that came back was sent */
	bool watching;
	double again; /* steady; no read before */
};

/* When decisions are made. */
struct rounds {
	bool due;
	double next, again; /* steady */
	uint32_t attempts;  /* numbers given to starts under this token */
};

struct core {
	const struct conf *conf;
	unsigned short rand48[3];
	double now, wall;
	struct core_action *actions;
	struct call *calls;
	uint64_t next_call;

	struct election election;
	struct format_watch format;
	struct limits_learned limits;
	bool state_down;    /* the state service's last answer was a refusal or none */
	double state_heard; /* steady; when it last served us */
	struct catalog catalog;
	struct users users;
	struct peers peers;

	/* the leader's */
	double lead_since;
	struct jobs_watch jobs_watch;
	struct job *jobs;
	double next_jobs; /* steady; a look at all jobs */
	struct team *teams;
	struct fleet fleet;
	struct replica_watch replica_watch;
	struct commits commits;
	struct rounds rounds;
	struct pairing pairing;
	struct rentals rentals;
};

/* load.c: take-over */
void load_start(struct core *core);
void load_tick(struct core *core);
/* Takes an open job's record, or a newer version of it. */
void load_job_record(struct core *core, const char *id, json_t *value, uint64_t version);
/* Forgets all that only a leader knows. */
void leader_clear(struct core *core);

/* place.c */
/* Something happened that decisions may follow from. */
void round_wanted(struct core *core);
void round_tick(struct core *core);

#endif
