/*
 * The state of the election, and the end of this controller's terms.
 *
 * Every transaction that makes a decision is guarded by the fencing token, so once another
 * controller has claimed the leader's key, the earlier leader can't commit decisions any more. If a
 * failover happens while the earlier leader is still running, work is wasted, but no conflicting
 * decisions are committed.
 */
#include "core/election/election.h"

#include <stdio.h>

#include "core/state.h"
#include "util/log.h"

void election_init(struct core *core)
{
	core->election.format = FORMAT_LARGE_CHUNKS;
	core->election.peers_confirmed_at = -1;
}

/* --- present state --- */

enum leadership_role election_role(const struct core *core)
{
	return core->election.role;
}

bool election_is_leader(const struct core *core)
{
	return core->election.role == ROLE_LEADER;
}

const char *election_leader(const struct core *core)
{
	return core->election.leader;
}

uint64_t election_token(const struct core *core)
{
	return core->election.token;
}

uint64_t election_min_report_token(const struct core *core)
{
	return core->election.min_report_token;
}

uint64_t election_lease(const struct core *core)
{
	return core->election.lease;
}

int election_format(const struct core *core)
{
	return core->election.format;
}

double election_renewal_age(const struct core *core)
{
	return core->now - core->election.renewed_at;
}

bool election_call_is_stale(const struct core *core, const struct call *call)
{
	return !core_call_is_current(core, call) || core->election.role == ROLE_FOLLOWER;
}

bool election_is_renewing_token(const struct core *core)
{
	return core->election.role != ROLE_FOLLOWER && core->election.token_renewal_in_flight;
}

/* --- start, token and end of a term --- */

void election_start_leading(struct core *core)
{
	core->election.role = ROLE_LEADER;
}

void election_on_token_renewal_sent(struct core *core)
{
	core->election.token_renewal_in_flight = true;
}

void election_on_token_renewal_ended(struct core *core)
{
	core->election.token_renewal_in_flight = false;
}

void election_set_token(struct core *core, uint64_t token)
{
	core->election.token = token;
	core->election.key_revision = token;
}

void election_require_current_token(struct core *core)
{
	core->election.min_report_token = core->election.token;
}

void election_set_format(struct core *core, int format, uint64_t revision)
{
	core->election.format = format;
	core->election.format_key_revision = revision;
}

void election_invalidate_keys(struct core *core)
{
	core->election.keys_are_current = false;
	if (core->election.retry_at < core->now)
		core->election.retry_at = core->now;
}

/* The reason as the log shows it. A "worker" is the agent on a machine. */
static const char *reason_text(enum step_down_reason reason)
{
	static const char *const texts[] = {
	    [STEP_DOWN_KEY_TAKEN] = "key_taken",
	    [STEP_DOWN_FORMAT_RAISED] = "format_raised",
	    [STEP_DOWN_LEASE_ENDED] = "lease_ended",
	    [STEP_DOWN_LEASE_REFUSED] = "lease_refused",
	    [STEP_DOWN_GUARD_FAILED] = "guard_failed",
	    [STEP_DOWN_WATCH_TOO_OLD] = "watch_too_old",
	    [STEP_DOWN_STATE_UNREACHABLE] = "state_unreachable",
	    [STEP_DOWN_PEER_LEADS] = "peer_leads",
	    [STEP_DOWN_HIGHER_TOKEN_SEEN] = "worker_saw_higher_token",
	    [STEP_DOWN_PARTITIONED] = "partitioned_from_agents",
	};

	return texts[reason];
}

void election_step_down(struct core *core, enum step_down_reason reason)
{
	struct election *election = &core->election;

	if (election->role == ROLE_FOLLOWER)
		return;
	log_info("step_down", "reason=%s", reason_text(reason));
	election->role = ROLE_FOLLOWER;
	core_invalidate_calls(core);
	election->lease = 0;
	election->token = 0;
	election->renewal_in_flight = false;
	log_set_token(0);
	core->events->leadership_lost(core);
	election_invalidate_keys(core);
}

void election_on_newer_leader(struct core *core, const char *leader)
{
	if (core->election.role == ROLE_FOLLOWER)
		return;
	election_step_down(core, STEP_DOWN_PEER_LEADS);
	/*
	 * Agents are redirected to the controller of this name, even while the leader's key can't
	 * be read.
	 */
	snprintf(core->election.leader, sizeof(core->election.leader), "%s", leader);
}
