/*
 * Turns queued writes into guards and changes of a transaction.
 */
#include "core/records/write_ops.h"

#include "core/records/job_record.h"
#include "core/state.h"

/* Number of changes for a final record, without the deletes of chunks' records: the open record is
 * deleted, and the final record is written. */
#define FINAL_OPS 2

enum job_state final_record_state(const struct job *job)
{
	/*
	 * A cancelled job stays cancelled, even if its last task was done before the command to
	 * stop it arrived.
	 */
	return job->cancelled ? JOB_STATE_CANCELLED : JOB_STATE_DONE;
}

void final_record_unmark_chunks(struct job *job)
{
	for (uint32_t chunk_index = 0; chunk_index < job_chunk_count(job); chunk_index++)
		job->records.chunks[chunk_index].deleted_with_job = false;
}

static void add_delete(struct txn *txn, const char *key, uint64_t version)
{
	txn_guard(txn, key, version);
	txn_drop(txn, key);
}

/* Adds deletes of the records of the job's idle chunks. Records for which `max_ops` leaves no place
 * are deleted by writes of their own after the final record is committed. */
static void add_idle_chunk_deletes(struct txn *txn, const struct job *job, int max_ops)
{
	int op_count = FINAL_OPS;
	char key[KEY_MAX];

	for (uint32_t chunk_index = 0; chunk_index < job_chunk_count(job) && op_count < max_ops;
	     chunk_index++) {
		struct chunk *chunk = &job->records.chunks[chunk_index];

		if (!task_record_is_idle(chunk))
			continue;
		task_record_key(key, job, chunk_index);
		add_delete(txn, key, chunk->version);
		chunk->deleted_with_job = true;
		op_count++;
	}
}

static void add_final(struct txn *txn, const struct job *job, int max_ops)
{
	char open_key[KEY_MAX], final_key[KEY_MAX];
	struct job_outcome outcome = {final_record_state(job), job->spec.task_count};

	job_record_key(open_key, RECORD_OPEN, job->spec.id);
	job_record_key(final_key, RECORD_FINAL, job->spec.id);
	txn_guard(txn, open_key, job->record_version);
	txn_guard(txn, final_key, 0);
	txn_drop(txn, open_key);
	txn_put(txn, final_key, job_record_final_value(&outcome), 0);
	add_idle_chunk_deletes(txn, job, max_ops);
}

/* Adds the write or the delete of the chunk's record to the transaction. Returns the size of the
 * record's value in bytes, or 0 if the record is deleted. */
static size_t add_chunk(struct txn *txn, const struct job *job, uint32_t chunk_index)
{
	char key[KEY_MAX];

	task_record_key(key, job, chunk_index);
	txn_guard(txn, key, job->records.chunks[chunk_index].version);
	if (!task_record_is_obsolete(job, chunk_index))
		return txn_put(txn, key, task_record_value(job, chunk_index), 0);
	txn_drop(txn, key);
	return 0;
}

size_t write_ops_add(struct txn *txn, const struct pending_write *write, int max_ops)
{
	if (write->kind == WRITE_CHUNK)
		return add_chunk(txn, write->job, write->chunk_index);
	if (write->kind == WRITE_FINAL)
		add_final(txn, write->job, max_ops);
	else
		add_delete(txn, write->key, write->version);
	return 0;
}

int write_ops_count(const struct pending_write *write, int max_ops)
{
	int op_count = FINAL_OPS;

	if (write->kind != WRITE_FINAL)
		return 1;
	for (uint32_t chunk_index = 0;
	     chunk_index < job_chunk_count(write->job) && op_count < max_ops; chunk_index++)
		op_count += task_record_is_idle(&write->job->records.chunks[chunk_index]);
	return op_count;
}
