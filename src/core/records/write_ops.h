/*
 * The changes that each kind of write makes in a transaction.
 */
#ifndef PLOVERLOFT_WRITE_OPS_H
#define PLOVERLOFT_WRITE_OPS_H

#include "core/runtime/call.h"
#include "core/model/job.h"

struct pending_write;

/*
 * The changes that the write takes of a transaction. The end of a job deletes idle chunks with it,
 * as many as `max_ops` leave room for, but takes its own two changes in any case.
 */
int write_ops_count(const struct pending_write *write, int max_ops);
/*
 * Adds the changes, each guarded by the version of its key. Returns the bytes of the value, if it
 * is one that can grow, else 0.
 */
size_t write_ops_add(struct txn *txn, const struct pending_write *write, int max_ops);

/* The state in the job's final record. */
enum job_state final_record_state(const struct job *job);
/* Takes back the marks of a final record's transaction that is not sent, or was not committed. */
void final_record_unmark_chunks(struct job *job);

#endif
