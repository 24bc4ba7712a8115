/*
 * The lease under which this controller holds the leader's key: claim, renewal and return.
 */
#ifndef PLOVERLOFT_LEADER_LEASE_H
#define PLOVERLOFT_LEADER_LEASE_H

struct core;

/* Takes out a lease and claims the leader's key under it, if the key is free and the time has come.
 */
void leader_lease_claim_if_due(struct core *core);
/* Renews the lease if its time has come. */
void leader_lease_renew_if_due(struct core *core);
/* Gives the lease back, if there is one: the key is free at once. */
void leader_lease_return(struct core *core);

#endif
