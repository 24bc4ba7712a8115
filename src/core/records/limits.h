/*
 * The limits of the state service in force: those of the settings, the smaller of the present ones
 * and those to come where records outlive the change, or what a refusal has shown to be less.
 */
#ifndef PLOVERLOFT_LIMITS_H
#define PLOVERLOFT_LIMITS_H

#include <stddef.h>

struct core;

/* Bounds that refusals have shown; 0: none. */
struct learned_limits {
	size_t value_bytes;
	int txn_ops;
	double expires_at; /* steady; from then on the settings count again */
};

/* Bytes of one value. Before the format is raised, all of the present limit may be needed. */
size_t limits_value_bytes(const struct core *core);
/* Bytes of a job's record: it may be written again under the limits to come. */
size_t limits_job_record_bytes(const struct core *core);
/* Changes in one transaction. */
int limits_txn_ops(const struct core *core);
/* Changes a second, of all controllers together. */
double limits_write_rps(const struct core *core);
/*
 * A transaction of so many changes, its largest value of so many bytes, was answered 400. One of
 * several changes is to be split; of one change, the value is too large.
 */
void limits_note_refusal(struct core *core, int op_count, size_t largest_value);

#endif
