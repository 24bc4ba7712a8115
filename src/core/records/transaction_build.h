/*
 * Builds the leader's transactions and sends them.
 */
#ifndef PLOVERLOFT_TRANSACTION_BUILD_H
#define PLOVERLOFT_TRANSACTION_BUILD_H

struct core;

/* Sends a transaction of as many queued writes as the limits and the rate allow. Sends none if no
 * write can be sent now. */
void transaction_send_writes(struct core *core);
/* Sends a transaction that writes the leader's key for a new fencing token. The transaction also
 * raises the records' format if that is due. */
void transaction_send_token_renewal(struct core *core);

#endif
