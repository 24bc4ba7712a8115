/*
 * The serving deadline: until when a leader that cannot reach the state service may answer agents.
 *
 * A cancellation that another controller confirms to a user must be carried out within `cancel_s`,
 * even if this leader cannot read that it was committed. Once the leader no longer answers an
 * agent, the agent's tasks run for its lease (`lease_s`) at most. So the leader may answer agents
 * for `cancel_s` less the agent's lease, counted from the last time up to which it knows all
 * confirmed cancellations.
 *
 * The time up to which the leader knows all confirmed cancellations is the later of two times:
 * - The time at which the newest answered read of the jobs' changes was sent: a cancellation that
 *   the leader does not know was committed after it. If the last successful renewal of the leader's
 *   lease was sent earlier, the time of the renewal counts instead. A renewal alone proves less:
 *   that the leader's key is held, not that the changes were read.
 * - The time up to which all other controllers have listed the cancellations that they confirmed.
 *   This time counts in an outage of the state service that concerns all controllers: only the
 *   other controllers can have confirmed a cancellation that this leader does not know.
 */
#include <math.h>

#include "core/state.h"

void election_record_jobs_read(struct core *core, double at)
{
	core->election.jobs_read_at = at;
}

double election_jobs_read_at(const struct core *core)
{
	return core->election.jobs_read_at;
}

void election_record_peers_confirmed(struct core *core, double at)
{
	core->election.peers_confirmed_at = at;
}

/*
 * Seconds for which the leader may answer agents after the time up to which it knows all confirmed
 * cancellations. The agent measures its lease by its own clock, and the leader measures this span
 * by another, so that the two may drift apart by the share CLOCK_DRIFT. Therefore the lease is
 * assumed to be longer by that share, and the rest of `cancel_s` is shortened by that share.
 */
static double serving_span_s(const struct conf *conf)
{
	double agent_lease_s = conf->lease_s * (1 + CLOCK_DRIFT);
	double cancel_budget_s = (conf->cancel_s - agent_lease_s) * (1 - CLOCK_DRIFT);

	/*
	 * The span is never shorter than the lease of the leader's key, else a slow answer of the
	 * state service would end a term. If less than that lease is left of `cancel_s` after the
	 * agent's lease and CANCEL_MARGIN_S, the span uses up part of the margin. If too little is
	 * left even without the margin, a cancellation may be carried out late.
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
