/*
 * Claims the leader's key under a lease of the state service, renews that lease and returns it.
 */
#ifndef PLOVERLOFT_LEADER_LEASE_H
#define PLOVERLOFT_LEADER_LEASE_H

struct core;

/*
 * Requests a lease and then claims the leader's key under it, if the leader's key as last read
 * shows no leader, this program version supports the records' format, and the delays after a
 * failure and after a resignation are over.
 */
void leader_lease_claim_if_due(struct core *core);
/* Renews the lease of the leader's key if the renewal is due. */
void leader_lease_renew_if_due(struct core *core);
/* Returns the lease of the leader's key, if there is one: the state service then deletes the key at
 * once. */
void leader_lease_return(struct core *core);

#endif
