/*
 * Recovery of the state from the records when a term begins.
 */
#ifndef PLOVERLOFT_RECOVERY_H
#define PLOVERLOFT_RECOVERY_H

struct core;

/* Reads all records; once they are read, this controller leads. */
void recovery_start(struct core *core);

#endif
