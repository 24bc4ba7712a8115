/*
 * Recovery: a new leader rebuilds its state from the records in the state service.
 */
#ifndef PLOVERLOFT_RECOVERY_H
#define PLOVERLOFT_RECOVERY_H

struct core;

/* Begins to read all records. This controller leads once all records have been read. */
void recovery_start(struct core *core);

#endif
