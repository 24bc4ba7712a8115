/*
 * Leadership: a key of the state service, held under a lease. Its revision is the fencing token.
 */
#ifndef PLOVERLOFT_ELECTION_H
#define PLOVERLOFT_ELECTION_H

#include "core/runtime/call.h"

#define LEADER_KEY "leader"

enum leadership_role { ROLE_FOLLOWER, ROLE_RECOVERING, ROLE_LEADER };

struct election {
	enum leadership_role role;
	char leader[CONF_NAME_MAX];
	uint64_t key_revision;	 /* of the leader key; 0: absent */
	uint64_t watch_revision; /* revision from which to watch */
	int format;		 /* of the records, as the leader's keys say */
	uint64_t gate_revision;	 /* of LEADER_KEY since the format is above 1 */
	bool key_known;
	bool read_in_flight, watch_in_flight, claim_in_flight;
	uint64_t first_token; /* the term's first: who has seen it has heard this leader */
	uint64_t token, lease;
	double renewed_at; /* when the last renewal that succeeded was sent */
	double next_renewal_at;
	bool renewal_in_flight;
	double retry_at;
	bool token_renewing;	   /* the term's own write of the key is in flight */
	double jobs_read_at;	   /* steady; when the newest read of the jobs' changes was sent */
	double peers_confirmed_at; /* steady; see election_note_peers_confirmed; < 0: never */
	double no_claim_before;	   /* no claim before */
};

enum leadership_role election_role(const struct core *core);
bool election_is_leader(const struct core *core);
/* The leader's name as last read; empty: none known. */
const char *election_leader(const struct core *core);
/* The fencing token under which this controller acts; 0: it does not lead. */
uint64_t election_token(const struct core *core);
/* The lowest token by which a report shows that its agent was there in this term. */
uint64_t election_first_token(const struct core *core);
/* The lease that holds the leader's key; 0: none. */
uint64_t election_lease(const struct core *core);
/* The format of the records that the leader's keys tell. */
int election_format(const struct core *core);
/* Seconds since the last renewal of the lease that succeeded was sent. */
double election_renewal_age(const struct core *core);

/* The records are read: this controller leads from now on. */
void election_note_recovered(struct core *core);
/* A write of the leader's key, which renews the token, is in flight, or is over. */
void election_note_renewing(struct core *core, bool in_flight);
/* The term's own write of the leader's key is in flight. */
bool election_is_renewing_token(const struct core *core);
/* The leader's key was written anew: its revision is the token from now on. */
void election_note_token(struct core *core, uint64_t token);
/* Reports that show an older token than today's do not count any more. */
void election_require_current_token(struct core *core);
/* The jobs' changes were read by a request sent at `at` (steady). */
void election_note_jobs_read(struct core *core, double at);
double election_jobs_read_at(const struct core *core);
/* All that the other controllers told users by `at` (steady) is known here. */
void election_note_peers_confirmed(struct core *core, double at);

void election_tick(struct core *core);
/* Ends this controller's leadership. */
void election_step_down(struct core *core, const char *why);
/* The same, with the lease returned, so that another controller need not wait for its end. */
void election_resign(struct core *core, const char *why);
/* The same, since the named controller leads by its own word. */
void election_deposed(struct core *core, const char *leader);
/* True while it may answer workers: a cancellation elsewhere is still carried out in time. */
bool election_may_serve(const struct core *core);
/* Steps down if it may not serve any more. */
void election_check_deadline(struct core *core);
/* Reads the leader's key again. */
void election_reread(struct core *core);
/* True if the call was made in an earlier term. */
bool election_call_is_stale(const struct core *core, const struct call *call);
/* What the leader's key holds while this controller leads. */
json_t *election_leader_value(const struct core *core);
/* The key whose holder leads in the given format of the records. */
const char *election_key(int format);
/* What LEADER_KEY holds for ever once the format is raised: no controller has this name. */
json_t *election_gate_value(int format);
/* Ours is the first term in the new format. */
void election_note_format(struct core *core, int format, uint64_t revision);

#endif
