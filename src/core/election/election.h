/*
 * Leadership. A controller leads while it holds the leader's key, which it writes to the state
 * service under a lease. The revision of that key is the fencing token: it guards every transaction
 * that makes a decision, and orders the commands to agents.
 *
 * leader_key.h reads and watches the leader's key, leader_lease.h claims the key and renews the
 * lease, and serving_deadline.c computes how long a leader that cannot reach the state service may
 * answer agents.
 */
#ifndef PLOVERLOFT_ELECTION_H
#define PLOVERLOFT_ELECTION_H

#include "core/runtime/call.h"

/*
 * Key of the state service that holds the version of the records' format. In the first format it is
 * the leader's key as well.
 */
#define LEADER_KEY "leader"

enum leadership_role {
	ROLE_FOLLOWER,	 /* the controller does not hold the leader's key */
	ROLE_RECOVERING, /* the controller holds the leader's key and reads the records */
	ROLE_LEADER	 /* the controller holds the leader's key and has read the records */
};

/* Why a term ends. */
enum step_down_reason {
	/* another controller wrote the leader's key, or the key was deleted with its lease */
	STEP_DOWN_KEY_TAKEN,
	/* another controller raised the version of the records' format */
	STEP_DOWN_FORMAT_RAISED,
	/* the state service no longer knows the lease */
	STEP_DOWN_LEASE_ENDED,
	/* the state service refused the transaction that writes the leader's key */
	STEP_DOWN_LEASE_REFUSED,
	/* a transaction was rejected because the leader's key has another revision */
	STEP_DOWN_GUARD_FAILED,
	/* the state service no longer keeps the changes since the last watch of the open jobs: some
	 * changes may have been missed */
	STEP_DOWN_WATCH_TOO_OLD,
	/* the serving deadline has passed, see serving_deadline.c */
	STEP_DOWN_STATE_UNREACHABLE,
	/* another controller answered that it leads, under a newer token */
	STEP_DOWN_PEER_LEADS,
	/* an agent's report shows a newer token */
	STEP_DOWN_HIGHER_TOKEN_SEEN,
	/* too many agents are silent at once: this controller is probably cut off from the
	 * agents */
	STEP_DOWN_PARTITIONED
};

/* All times are in seconds of the steady clock. */
struct election {
	enum leadership_role role;
	char leader[CONF_NAME_MAX]; /* name of the leader as last read; empty: none */
	int format;		    /* see election_format */
	/* Revision of the leader's key as last known; 0: the key is absent. */
	uint64_t key_revision;
	/* Revision of LEADER_KEY as last known; 0: the key is absent; used in formats after the
	 * first. */
	uint64_t format_key_revision;
	uint64_t watch_revision; /* the next watch returns the changes after this revision */
	/* The leader's key and LEADER_KEY were read, and a watch can continue from
	 * `watch_revision`. */
	bool keys_are_current;
	bool read_in_flight;
	bool watch_in_flight;
	/* The request for a lease, or the claim of the leader's key under the lease, is in
	 * flight. */
	bool claim_in_flight;
	bool renewal_in_flight; /* a request to renew the lease is in flight */
	/* A write of the leader's key that renews the token is in flight. */
	bool token_renewal_in_flight;
	uint64_t min_report_token; /* see election_min_report_token */
	uint64_t token;	   /* fencing token; 0: this controller does not hold the leader's key */
	uint64_t lease;	   /* id of the lease of the leader's key; 0: none */
	double renewed_at; /* when the last successful renewal of the lease was sent;
			    * before the first renewal, when the lease was requested */
	double next_renewal_at;
	/* The leader's key and LEADER_KEY are not read, and the leader's key is not claimed, before
	 * this time. */
	double retry_at;
	/* Set when this controller resigns: the leader's key is not claimed before this time. */
	double no_claim_before;
	double jobs_read_at;	   /* see election_jobs_read_at */
	double peers_confirmed_at; /* see election_record_peers_confirmed; < 0: never */
};

/* --- present state --- */

/* The role of this controller. */
enum leadership_role election_role(const struct core *core);
/* True if this controller leads and has read the records. */
bool election_is_leader(const struct core *core);
/* The leader's name as last read; empty if there is none. */
const char *election_leader(const struct core *core);
/* The fencing token under which this controller acts; 0 if it does not hold the leader's key. */
uint64_t election_token(const struct core *core);
/*
 * Heartbeats that show a lower token than the returned one are stale (see agents/reports.h). A
 * heartbeat that shows the returned token, or a newer one, proves that its agent was running in
 * this term.
 */
uint64_t election_min_report_token(const struct core *core);
/* The id of the lease of the leader's key; 0 if there is none. */
uint64_t election_lease(const struct core *core);
/* The version of the records' format, as last read from the state service or raised by this
 * controller. */
int election_format(const struct core *core);
/*
 * Seconds since the last successful renewal of the lease was sent; before the first renewal,
 * seconds since the lease was requested.
 */
double election_renewal_age(const struct core *core);
/*
 * True if a term began or ended after the call was made, or if this controller does not hold the
 * leader's key.
 */
bool election_call_is_stale(const struct core *core, const struct call *call);
/*
 * True while this controller's own write of the leader's key, which renews its token, is in flight.
 * Only the answer to that write then shows who leads: a newer revision of the key may come from the
 * write itself.
 */
bool election_is_renewing_token(const struct core *core);

/* --- start, token and end of a term --- */

/* Sets the initial state: a follower that has read nothing yet and assumes the first format. */
void election_init(struct core *core);
/* Reads or watches the leader's key and LEADER_KEY, claims the leader's key or renews its lease, as
 * each is due. Also steps down if the serving deadline has passed. */
void election_tick(struct core *core);
/* Makes this controller the leader, after it has read the records. */
void election_start_leading(struct core *core);
/* Records that a write of the leader's key was sent to renew the token. */
void election_on_token_renewal_sent(struct core *core);
/* Records that no write of the leader's key is in flight any more. */
void election_on_token_renewal_ended(struct core *core);
/* Sets the fencing token: the revision of the leader's key after this leader has written the key
 * again. */
void election_set_token(struct core *core, uint64_t token);
/* From now on only heartbeats that show the present token, or a newer one, are current (see
 * agents/reports.h). */
void election_require_current_token(struct core *core);
/* Sets the version of the records' format after this leader has raised it, by a commit with the
 * given revision. */
void election_set_format(struct core *core, int format, uint64_t revision);
/*
 * Ends this controller's term. The lease is not returned and expires by itself. Nothing happens in
 * a follower.
 */
void election_step_down(struct core *core, enum step_down_reason reason);
/*
 * Ends this controller's term and returns the lease, so that another controller need not wait until
 * it expires. For LEADER_RECLAIM_DELAY_S this controller does not claim leadership again.
 */
void election_resign(struct core *core, enum step_down_reason reason);
/*
 * Ends this controller's term because the named controller says that it leads under a newer token.
 * Agents are redirected to that controller. Nothing happens in a follower.
 */
void election_on_newer_leader(struct core *core, const char *leader);
/* Makes election_tick read the leader's key and LEADER_KEY again, once the retry delay is over. */
void election_invalidate_keys(struct core *core);

/* --- serving deadline: how long the leader may answer without the state service --- */

/* Records that a read of the open jobs, or of their changes, was answered. The request was sent at
 * the steady time `at`. */
void election_record_jobs_read(struct core *core, double at);
/* The steady time at which the newest answered read of the open jobs, or of their changes, was
 * sent. */
double election_jobs_read_at(const struct core *core);
/*
 * Records that all cancellations which the other controllers confirmed before `at` (steady) were
 * received; `at` < 0: this is not known for any time.
 */
void election_record_peers_confirmed(struct core *core, double at);
/*
 * True if this controller leads and the serving deadline has not passed: a cancellation that
 * another controller confirms is then still carried out in time (see serving_deadline.c).
 */
bool election_may_serve(const struct core *core);
/*
 * Steps down if the serving deadline has passed. Called before each heartbeat is handled, not only
 * in ticks: a process that was suspended resumes with requests waiting.
 */
void election_check_deadline(struct core *core);

/* --- keys and values in the state service --- */

/* The leader's key: the controller that holds it leads, in the given format of the records. */
const char *election_leader_key(int format);
/* The value of the leader's key while this controller leads. The caller owns the value. */
json_t *election_leader_key_value(const struct core *core);
/*
 * The value that LEADER_KEY gets when the records' format is raised, and then keeps forever. The
 * name in the value is that of no controller, so that a program version which reads only the first
 * format takes the leader's key as held. The caller owns the value.
 */
json_t *election_format_key_value(int format);

#endif
