/*
 * Scale in: machines that are idle, faulty or given up are deleted. On a preemption notice, the
 * tasks of the machine are stopped in time to save their work.
 */
#ifndef PLOVERLOFT_SCALE_IN_H
#define PLOVERLOFT_SCALE_IN_H

struct core;

/* Decides which machines are to be deleted, and stops tasks of those with a notice. */
void scale_in_scan(struct core *core);
/* Sends the deletes that are due, as far as the cloud's rate allows. */
void scale_in_send_deletes(struct core *core);

#endif
