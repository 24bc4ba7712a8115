/* The periodic work of the election: calls the parts that read the keys, hold the lease and check
 * the serving deadline. */
#include "core/election/election.h"

#include "core/election/leader_key.h"
#include "core/election/leader_lease.h"
#include "core/state.h"

void election_tick(struct core *core)
{
	leader_key_tick(core);
	if (core->election.role == ROLE_FOLLOWER) {
		leader_lease_claim_if_due(core);
		return;
	}
	leader_lease_renew_if_due(core);
	election_check_deadline(core);
}
