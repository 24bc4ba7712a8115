/*
 * Leadership: a key of the state service, held under a lease. Its revision is the fencing token.
 */
#ifndef PLOVERLOFT_ELECTION_H
#define PLOVERLOFT_ELECTION_H

#include "core/call.h"

#define LEADER_KEY "leader"

enum lead_role { ROLE_FOLLOW, ROLE_LOADING, ROLE_LEAD };

struct election {
	enum lead_role role;
	char leader[CONF_NAME_MAX];
	uint64_t revision;	/* of the leader key; 0: absent */
	uint64_t watched;	/* revision from which to watch */
	int format;		/* of the records, as the leader's keys say */
	uint64_t gate_revision; /* of LEADER_KEY since the format is above 1 */
	bool known;
	bool reading, watching, claiming;
	uint64_t first_token; /* the term's first: who has seen it has heard this leader */
	uint64_t token, term, lease;
	double renewed; /* when the last renewal that succeeded was sent */
	double next_renew;
	bool renew_out;
	double next_try;
	double stand_back; /* no claim before */
};

void election_tick(struct core *core);
/* Ends this controller's leadership. */
void election_step_down(struct core *core, const char *why);
/* The same, with the lease returned, so that another controller need not wait for its end. */
void election_yield(struct core *core, const char *why);
/* The same, since the named controller leads by its own word. */
void election_deposed(struct core *core, const char *leader);
/* True while it may answer workers: a cancellation elsewhere is still carried out in time. */
bool election_may_serve(const struct core *core);
/* Steps down if it may not serve any more. */
void election_look(struct core *core);
/* Reads the leader's key again. */
void election_reread(struct core *core);
/* True if the call was made in an earlier term. */
bool election_stale(const struct core *core, const struct call *call);
/* What the leader's key holds while this controller leads. */
json_t *election_value(const struct core *core);
/* The key whose holder leads in the given format of the records. */
const char *election_key(int format);
/* What LEADER_KEY holds for ever once the format is raised: no controller has this name. */
json_t *election_gate_value(int format);
/* Ours is the first term in the new format. */
void election_raised(struct core *core, int format, uint64_t revision);

#endif
