/*
 * Stand-ins for the systems around the controllers, after their published protocol: the state
 * service, the cloud, the workers. They keep no clock; the same code serves simulated time and
 * loopback. The checker of the rules watches what they do.
 */
#ifndef PLOVERLOFT_STANDIN_H
#define PLOVERLOFT_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "wire/wire.h"

#define STANDIN_TYPES_MAX 32 /* types of machines of one scenario */
#define STANDIN_CONTROLLERS_MAX 8

struct standin;

struct standin_callbacks {
	/* answers the request known by `handle` */
	void (*reply)(void *ctx, uint64_t handle, int status, const char *body);
	/* a worker's report to a controller */
	void (*report)(void *ctx, int machine, int node, const char *body);
};

/* --- rules --- */

enum rule {
	RULE_RAN_TWICE,
	RULE_QUOTA,
	RULE_WRONG_PLACE,
	RULE_RAN_CANCELLED,
	RULE_FORGOTTEN,
	RULE_INVENTED,
	RULE_NOT_DONE,
	RULE_WENT_BACK,
	RULE_NOTHING_RAN,
	RULE_UNSERVED,
	RULE_LATE_LARGE,
	RULE_IDLE_ROOM,
	RULE_WRONG_JOB,
	RULES
};

extern const char *const rule_names[RULES];

/* --- jobs as their users know them --- */

struct standin_job {
	struct job_spec spec;
	double run_s;
	bool bad; /* submitted with a mistake: fails everywhere */
	enum task_end_reason
	    ends; /* a service: what its tasks say when run_s is over; END_NONE: they go on */
	double replica_s,
	    served_s; /* a service: replica time from 5 s after its acceptance; of it, run */
	bool asked, accepted, cancel_asked, told_cancelled, told_done;
	double cancelled_at; /* a user first learned of the cancellation */
	double done_at;	     /* a user first learned of the end */
	double progress;
	double accepted_at, answered_at, began_at; /* < 0: not yet */
	uint32_t held;				   /* its tasks on machines, at the last look */
	double room_since; /* it waits though there is room; < 0: it does not */
	uint8_t *done;
	uint32_t ndone, starts, starts_seen;
	int shown_running;	    /* as the last answer said */
	struct standin_task *tasks; /* on all machines, in any state */
	UT_hash_handle hh;
};

/* --- state service --- */

struct standin_key {
	char key[201];
	json_t *value;
	uint64_t version, lease;
	UT_hash_handle hh;
};

struct standin_lease {
	uint64_t id;
	int ttl_ms;
	double ends;
	struct standin_lease *next;
};

struct standin_change {
	uint64_t revision;
	char key[201];
	json_t *value; /* NULL: dropped */
};

struct standin_watch {
	uint64_t handle, from;
	char prefix[201];
	double ends;
	int node;
	struct standin_watch *next;
};

struct standin_state_service {
	struct standin_key *keys;
	struct standin_lease *leases;
	struct standin_change *changes;
	size_t nchanges, changes_cap;
	size_t keep; /* changes that can still be read; 0: all */
	struct standin_watch *watches;
	uint64_t revision, next_lease;
	bool down;
	bool refuses[STANDIN_CONTROLLERS_MAX];
	bool stalls[STANDIN_CONTROLLERS_MAX]; /* its watches get no answer, all else does */
	int txn_ops;
	size_t value_bytes;
	double rps, write_rps;
	uint64_t too_large;		       /* transactions refused for their size */
	double request_room, put_room, filled; /* what the limits still allow, one second's burst */
	uint64_t requests, puts, refused, leader_puts;
};

/* --- machines --- */

struct standin_machine;
struct standin_job;

struct standin_task {
	char job[ID_MAX];
	uint32_t task;
	uint64_t attempt;
	enum task_state state;
	enum task_end_reason why;
	bool kept;
	double image_at, progress, since, save_until, stopped_at;
	struct standin_task *next;
	struct standin_job *of; /* NULL: of no job that was asked for */
	struct standin_machine *on;
	struct standin_task *jprev, *jnext; /* of its job, on all machines */
};

enum machine_power { POWER_BOOTING, POWER_UP, POWER_OFF, POWER_DELETED };

struct standin_machine {
	char id[ID_MAX], addr[NAME_MAX_LEN], zone[NAME_MAX_LEN];
	const struct machine_type *type;
	bool spot, faulty, hanging;
	enum machine_power power;
	double rented_at, up_at, off_at, notice_until;
	uint64_t session, seq, token, reported_token;
	double lease_from, next_report, last_report, report_out_until;
	int node;
	uint64_t report_seq, report_session;
	double report_sent;
	bool report_out, changed;
	struct standin_task *tasks;
	double used_at;		   /* its newest start */
	double cpus, gpus, mem_gb; /* free, at the last look */
	char *report_text;	   /* the newest */
};

struct standin_cloud {
	struct machine_type *types;
	size_t ntypes;
	int capacity[STANDIN_TYPES_MAX];
	bool reuse[STANDIN_TYPES_MAX]; /* what is deleted can be rented again */
	bool down;
	int never_boot; /* so many of the next machines never come up */
	struct {
		char name[NAME_MAX_LEN];
		char *answer;
	} * requests;
	size_t nrequests;
};

struct standin {
	const struct standin_callbacks *ops;
	void *ctx;
	const struct conf *conf;
	double now;
	double room_at; /* the next look for jobs that wait beside room */
	double ticked;	/* up to here the tasks' progress is counted */
	struct standin_state_service state;
	struct standin_cloud cloud;
	struct standin_machine *machines;
	int nmachines, machines_cap;
	struct standin_job *jobs;
	int nnodes;
	char node_names[STANDIN_CONTROLLERS_MAX][NAME_MAX_LEN];
	int broken[RULES];
	bool verbose;
	char why[256];
	uint64_t starts_total, starts_cancelled; /* the latter: after their user was told */
	uint64_t shows, directs;		 /* questions and direct commands to workers */
};

void standin_init(struct standin *s, const struct standin_callbacks *ops, void *ctx,
		  const struct conf *conf);
void standin_free(struct standin *s);
void standin_type_add(struct standin *s, const struct machine_type *t, int capacity, bool reuse);
struct standin_machine *standin_machine_add(struct standin *s, const char *type, const char *zone,
					    bool spot);
struct standin_machine *standin_machine_at(struct standin *s, const char *addr);
struct standin_job *standin_job_find(struct standin *s, const char *id);

void standin_state_request(struct standin *s, int node, uint64_t handle, const char *method,
			   const char *path, const char *body);
void standin_state_outage(struct standin *s, bool down);
void standin_cloud_request(struct standin *s, uint64_t handle, const char *method, const char *path,
			   const char *body);
void standin_agent_request(struct standin *s, struct standin_machine *m, uint64_t handle,
			   const char *path, const char *body);
/* The answer to a report, or 0 for none. */
void standin_agent_answer(struct standin *s, int machine, uint64_t session, uint64_t seq,
			  int status, const char *body);
void standin_machine_off(struct standin *s, struct standin_machine *m, bool deleted);
/* Back at once under its name, all forgotten. */
void standin_machine_restart(struct standin *s, struct standin_machine *m);
void standin_tick(struct standin *s, double now);

void standin_rule_broken(struct standin *s, enum rule r, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* What a user was told. */
void standin_submission_answered(struct standin *s, const char *id, int status);
void standin_lookup_answered(struct standin *s, const char *id, int status, const char *body,
			     double asked_at);
void standin_cancellation_answered(struct standin *s, const char *id, int status, const char *body,
				   double asked_at);
/* Rules about whole days; troubles ended at `quiet_since`, the day does so now. */
void standin_check_answers(struct standin *s, double quiet_since);
void standin_check_room(struct standin *s, double quiet_since);
void standin_check_served(struct standin *s);
void standin_force_start(struct standin *s, struct standin_machine *m, const char *job,
			 uint32_t task);

#endif
