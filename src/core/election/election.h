/*
 * Leadership: a key of the state service, held under a lease. The key's revision is the fencing
 * token, which guards every deciding transaction and orders the commands to agents.
 *
 * leader_key.h reads and watches the key, leader_lease.h claims it and renews its lease, and
 * serving_deadline.c says how long a leader without the state service may answer.
 */
#ifndef PLOVERLOFT_ELECTION_H
#define PLOVERLOFT_ELECTION_H

#include "core/runtime/call.h"

/* Says in which format the records are; in the first format it is the leader's key as well. */
#define LEADER_KEY "leader"

enum leadership_role {
	ROLE_FOLLOWER,
	ROLE_RECOVERING, /* holds the key, and reads the records */
	ROLE_LEADER
};

/* Why a term ends. */
enum step_down_reason {
	STEP_DOWN_KEY_TAKEN,	     /* the leader's key was written by another */
	STEP_DOWN_FORMAT_RAISED,     /* another raised the records' format */
	STEP_DOWN_LEASE_ENDED,	     /* the state service does not know the lease any more */
	STEP_DOWN_LEASE_REFUSED,     /* it refused a write of the leader's key */
	STEP_DOWN_GUARD_FAILED,	     /* a transaction found another revision of the leader's key */
	STEP_DOWN_WATCH_TOO_OLD,     /* changes of jobs may have been missed */
	STEP_DOWN_STATE_UNREACHABLE, /* the deadline of serving_deadline.c has passed */
	STEP_DOWN_PEER_LEADS,	     /* another controller leads under a newer token */
	STEP_DOWN_HIGHER_TOKEN_SEEN, /* an agent has seen a newer token */
	STEP_DOWN_PARTITIONED	     /* too many agents are silent at once */
};

/* Times are steady. */
struct election {
	enum leadership_role role;
	char leader[CONF_NAME_MAX]; /* as last read; empty: none */
	int format;		    /* of the records, as the leader's keys say */
	uint64_t key_revision;	    /* of the leader's key; 0: absent */
	uint64_t gate_revision;	    /* of LEADER_KEY, in formats after the first */
	uint64_t watch_revision;    /* from which to watch */
	bool key_is_current;	    /* the key was read, and a watch can go on from there */
	bool read_in_flight;
	bool watch_in_flight;
	bool claim_in_flight;
	bool renewal_in_flight;	      /* of the lease */
	bool token_renewal_in_flight; /* the term's own write of the leader's key */
	uint64_t first_token;	      /* see election_first_token */
	uint64_t token;		      /* 0: this controller does not lead */
	uint64_t lease;		      /* 0: none */
	double renewed_at;	      /* when the last renewal that succeeded was sent */
	double next_renewal_at;
	double retry_at;	   /* no read of the key and no claim before */
	double no_claim_before;	   /* after this controller resigned */
	double jobs_read_at;	   /* when the newest read of the jobs' changes was sent */
	double peers_confirmed_at; /* see election_note_peers_confirmed; < 0: never */
};

/* --- state --- */

enum leadership_role election_role(const struct core *core);
/* Whether this controller leads, its records read. */
bool election_is_leader(const struct core *core);
/* The leader's name as last read; empty if there is none. */
const char *election_leader(const struct core *core);
/* The fencing token under which this controller acts; 0: it does not lead. */
uint64_t election_token(const struct core *core);
/* The lowest token by which a report shows that its agent was there in this term. */
uint64_t election_first_token(const struct core *core);
/* The lease of the leader's key; 0: none. */
uint64_t election_lease(const struct core *core);
/* The format of the records, as the leader's keys say. */
int election_format(const struct core *core);
/* Seconds since the last renewal of the lease that succeeded was sent. */
double election_renewal_age(const struct core *core);
/* True if the call was made in an earlier term, or this controller does not lead. */
bool election_call_is_stale(const struct core *core, const struct call *call);
/* The term's own write of the leader's key is in flight: its answer says who leads. */
bool election_is_renewing_token(const struct core *core);

/* --- course of a term --- */

void election_init(struct core *core);
/* Reads, watches, claims or renews the leader's key, as is due. */
void election_tick(struct core *core);
/* The records are read: this controller leads from now on. */
void election_note_recovered(struct core *core);
/* A write of the leader's key, which renews the token, is sent. */
void election_note_token_renewal_sent(struct core *core);
/* No such write is in flight any more. */
void election_note_token_renewal_over(struct core *core);
/* The leader's key was written anew: its revision is the token from now on. */
void election_note_token(struct core *core, uint64_t token);
/* Reports that show an older token than the present one do not count any more. */
void election_require_current_token(struct core *core);
/* This term raised the records' format, by a commit at the revision. */
void election_note_format(struct core *core, int format, uint64_t revision);
/* Ends this controller's leadership. */
void election_step_down(struct core *core, enum step_down_reason reason);
/* The same, with the lease returned, so that another controller need not wait for its end. */
void election_resign(struct core *core, enum step_down_reason reason);
/* The same, since the named controller says that it leads: agents are redirected to it. */
void election_deposed(struct core *core, const char *leader);
/* Reads the leader's key anew. */
void election_reread(struct core *core);

/* --- the deadline to serve without the state service --- */

/* The jobs' changes were read by a request sent at `at` (steady). */
void election_note_jobs_read(struct core *core, double at);
/* When the newest such request was sent (steady). */
double election_jobs_read_at(const struct core *core);
/* All cancellations that the other controllers confirmed by `at` (steady) were received. */
void election_note_peers_confirmed(struct core *core, double at);
/* True while it may answer agents: a cancellation elsewhere is still carried out in time. */
bool election_may_serve(const struct core *core);
/*
 * Steps down if it may not serve any more. Called before each answer, not only at ticks: a process
 * that was frozen wakes with requests waiting.
 */
void election_check_deadline(struct core *core);

/* --- the leader's key --- */

/* The key whose holder leads in the given format of the records. */
const char *election_key(int format);
/* The value of the leader's key while this controller leads. The caller owns it. */
json_t *election_leader_value(const struct core *core);
/*
 * The value that LEADER_KEY keeps for ever once the format is raised: no controller has this name.
 * The caller owns it.
 */
json_t *election_gate_value(int format);

#endif
