/*
 * Scale-in: deletes machines that are idle, drained or given up. When the cloud announces that it
 * will take a machine back (preemption notice), the tasks on it are stopped in time to save their
 * work.
 */
#ifndef PLOVERLOFT_SCALE_IN_H
#define PLOVERLOFT_SCALE_IN_H

struct core;

/* Marks the idle machines that are to be deleted, and stops tasks on machines with a preemption
 * notice. Sends no deletes. */
void scale_in_scan(struct core *core);
/* Sends deletes for all machines marked `deleting`, as far as the rate limit allows. */
void scale_in_send_deletes(struct core *core);

#endif
