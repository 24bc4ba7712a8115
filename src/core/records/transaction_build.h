/*
 * The making of the next transaction: which writes go into it.
 */
#ifndef PLOVERLOFT_TRANSACTION_BUILD_H
#define PLOVERLOFT_TRANSACTION_BUILD_H

struct core;

/* Sends as many of the queued writes as one transaction and the rate allow, if any can go. */
void transaction_send_writes(struct core *core);
/* Writes the leader's key for a new fencing token, and raises the records' format if that is due.
 */
void transaction_send_token_renewal(struct core *core);

#endif
