/*
 * Turns queued writes into guards and changes of a transaction.
 */
#ifndef PLOVERLOFT_WRITE_OPS_H
#define PLOVERLOFT_WRITE_OPS_H

#include "core/runtime/call.h"
#include "core/model/job.h"

struct pending_write;

/*
 * Returns the number of changes that the write adds to a transaction. The write of a final record
 * always takes two changes; as far as `max_ops` allows, it also deletes the records of the job's
 * idle chunks (see task_record_is_idle).
 */
int write_ops_count(const struct pending_write *write, int max_ops);
/*
 * Adds the write's changes to the transaction, each guarded by the version of its key. Returns the
 * size of a chunk record's value in bytes, and 0 for all other writes, whose values do not grow.
 */
size_t write_ops_add(struct txn *txn, const struct pending_write *write, int max_ops);

/* Returns the state that is written to the job's final record. */
enum job_state final_record_state(const struct job *job);
/* Clears `deleted_with_job` of the job's chunks: the transaction that was to delete their records
 * with the job was not sent or not committed. */
void final_record_unmark_chunks(struct job *job);

#endif
