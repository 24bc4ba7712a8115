/*
 * The limits of the state service that this controller keeps to. The settings state the present
 * limits, and may announce upcoming ones that take effect at an unknown time. The smaller of the
 * present and the upcoming limit is used, since a record that is written now may still be in use
 * when the upcoming limit takes effect; limits_value_bytes has an exception. A lower limit that was
 * learned from a refusal replaces both for LIMITS_LEARNED_TTL_S.
 */
#ifndef PLOVERLOFT_LIMITS_H
#define PLOVERLOFT_LIMITS_H

#include <stddef.h>

struct core;

/* Limits learned from refusals; 0: none was learned. */
struct learned_limits {
	size_t value_bytes; /* largest size of one value in bytes */
	int txn_ops;	    /* largest number of changes in one transaction */
	/* Steady seconds; from this time on only the limits of the settings count. */
	double expires_at;
};

/*
 * Returns the largest size of one value in bytes. In the first format of the records, the upcoming
 * limit is left out: records of large chunks may need all of the present limit.
 */
size_t limits_value_bytes(const struct core *core);
/* Returns the largest size of a job's open record in bytes. The upcoming limit counts in all
 * formats, since the record may be written again after that limit has taken effect. */
size_t limits_job_record_bytes(const struct core *core);
/* Returns the largest number of changes in one transaction. */
int limits_txn_ops(const struct core *core);
/* Returns the allowed number of changes per second, of all controllers together. */
double limits_write_rps(const struct core *core);
/*
 * Learns a lower limit from a transaction that the state service answered with 400. `op_count` is
 * the number of its changes, `largest_value` the size of its largest value in bytes. A transaction
 * of more than LIMITS_TXN_OPS_MIN changes counts as having too many, and half of their number
 * becomes the limit, but at least LIMITS_TXN_OPS_MIN. In a smaller transaction the largest value
 * counts as too large, if it is larger than LIMITS_VALUE_MIN_BYTES, and a learned limit on the
 * number of changes is dropped. In any case, the learned limits count for LIMITS_LEARNED_TTL_S from
 * now on.
 */
void limits_learn_from_refusal(struct core *core, int op_count, size_t largest_value);

#endif
