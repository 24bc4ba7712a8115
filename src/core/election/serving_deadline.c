/*
 * The deadline until which a leader that is cut off from the state service may answer agents.
 *
 * A cancellation that another controller confirms to its user must be carried out within `cancel_s`
 * though this leader cannot read of it: after the last answer to its agent, a task runs on for the
 * agent's lease at most. Whatever this leader does not know was committed after the last read of
 * the jobs' changes that came back was sent. A renewal of the lease proves less: that the key is
 * held, not that the changes were read. In an outage for all, the other controllers, who alone can
 * have confirmed cancellations to users, list what they confirmed.
 */
#include <math.h>

#include "core/state.h"

void election_note_jobs_read(struct core *core, double at)
{
	core->election.jobs_read_at = at;
}

double election_jobs_read_at(const struct core *core)
{
	return core->election.jobs_read_at;
}

void election_note_peers_confirmed(struct core *core, double at)
{
	core->election.peers_confirmed_at = at;
}

/* Seconds after the last proof that all confirmed cancellations are known. */
static double serving_span_s(const struct conf *conf)
{
	double agent_lease_s = conf->lease_s * (1 + CLOCK_DRIFT);
	double cancel_budget_s = (conf->cancel_s - agent_lease_s) * (1 - CLOCK_DRIFT);

	/*
	 * With less than the key's own lease, a slow answer would end a term: if cancel_s leaves so
	 * little, all of it is used.
	 */
	return fmax(cancel_budget_s - CANCEL_MARGIN_S, LEADER_TTL_MS / 1000.0);
}

bool election_may_serve(const struct core *core)
{
	const struct election *election = &core->election;
	double store_confirmed_at = fmin(election->renewed_at, election->jobs_read_at);
	double confirmed_at = fmax(store_confirmed_at, election->peers_confirmed_at);

	return election->role == ROLE_LEADER &&
	       core->now - confirmed_at < serving_span_s(core->conf);
}

void election_check_deadline(struct core *core)
{
	if (core->election.role == ROLE_LEADER && !election_may_serve(core))
		election_step_down(core, STEP_DOWN_STATE_UNREACHABLE);
}
