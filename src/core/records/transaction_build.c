/*
 * Builds the next transaction: selects writes from the queues in order of urgency, under the limits
 * of the state service.
 *
 * Each transaction is guarded by the leader's key at the revision of the fencing token, and by the
 * version of each key that it writes. A copy of a transaction that arrives late finds other
 * versions and changes nothing.
 */
#include "core/records/transaction_build.h"

#include <stdlib.h>

#include "core/records/write_ops.h"
#include "core/state.h"
#include "util/log.h"

/* Returns a binding that is not on record and whose start was never sent, so that it may be ended;
 * NULL if there is none. */
static struct binding *find_unrecorded_binding(const struct chunk *chunk)
{
	struct binding *binding;

	DL_FOREACH2 (chunk->bindings, binding, chunk_next)
		if (!binding->committed && binding_start_never_sent(binding))
			return binding;
	return NULL;
}

/*
 * Handles a chunk whose value is over the limit, as happens when the limit is lowered. Bindings
 * that are not on record yet are ended, so that their tasks wait again. If there are no such
 * bindings, the write is delayed: the value shrinks when tasks end. Either way, no task of the job
 * is placed for LIMITS_VALUE_RETRY_S.
 */
static void shrink_chunk(struct core *core, struct pending_write *write)
{
	struct job *job = write->job;
	const struct chunk *chunk = &job->records.chunks[write->chunk_index];
	struct binding *binding = find_unrecorded_binding(chunk);

	log_info("record_too_large", "job=%s chunk=%u bound=%u limit=%zu", job->spec.id,
		 write->chunk_index, chunk->binding_count, limits_value_bytes(core));
	job->scheduling.retry_at = core->now + LIMITS_VALUE_RETRY_S;
	if (!binding)
		write->blocked_until = core->now + LIMITS_VALUE_RETRY_S;
	while (binding) {
		binding_end(core, binding, END_STOPPED);
		binding = find_unrecorded_binding(chunk);
	}
}

/* Marks the chunk and its present bindings as being written by the transaction in flight. */
static void mark_in_flight(struct chunk *chunk)
{
	struct binding *binding;

	chunk->in_flight = true;
	DL_FOREACH2 (chunk->bindings, binding, chunk_next)
		binding->in_flight = true;
}

enum batch_result {
	BATCH_ADDED,
	BATCH_SKIPPED, /* the write is blocked for now */
	/* The write does not fit into the transaction, or the queues have changed: add no more
	 * writes. */
	BATCH_FULL
};

/* Returns true if `op_count` more changes fit the limits of a transaction and of the rate. */
static bool fits_batch(const struct core *core, const struct txn *txn, int op_count, int max_ops)
{
	int total = txn->op_count + op_count;

	/* A write that is the first of its transaction is sent even if it exceeds the limits. */
	return !txn->op_count ||
	       (total <= max_ops && total <= core->write_queue.write_limiter.tokens);
}

static enum batch_result batch_add(struct core *core, struct txn *txn, struct pending_write *write)
{
	const int max_ops = limits_txn_ops(core);
	const struct txn_savepoint savepoint = txn_savepoint(txn);
	size_t value_bytes;

	if (core->now < write->blocked_until)
		return BATCH_SKIPPED;
	if (!fits_batch(core, txn, write_ops_count(write, max_ops), max_ops))
		return BATCH_FULL;
	value_bytes = write_ops_add(txn, write, max_ops);
	if (savepoint.op_count && txn_bytes(txn) > COMMIT_MAX_BYTES) {
		txn_rollback(txn, &savepoint);
		if (write->kind == WRITE_FINAL)
			final_record_unmark_chunks(write->job);
		return BATCH_FULL;
	}
	if (value_bytes > limits_value_bytes(core)) {
		txn_rollback(txn, &savepoint);
		shrink_chunk(core, write);
		return BATCH_FULL; /* ended bindings may have changed the queues */
	}
	write_queue_remove(write);
	DL_APPEND(core->write_queue.transaction.writes, write);
	if (write->kind == WRITE_CHUNK)
		mark_in_flight(&write->job->records.chunks[write->chunk_index]);
	return BATCH_ADDED;
}

/* Returns true if the chunk of the write has no record of its own and needs none any more. */
static bool is_unneeded(const struct pending_write *write)
{
	return task_record_is_obsolete(write->job, write->chunk_index) &&
	       !write->job->records.chunks[write->chunk_index].version;
}

/* Removes a write of a chunk that needs no record any more from its queue, and frees the write. May
 * free the job too. */
static void discard_unneeded_write(struct core *core, struct pending_write *write)
{
	struct job *job = write->job;

	write_queue_remove(write);
	task_record_finish_migration(core, job, write->chunk_index);
	job_free_if_unused(core, job);
	free(write);
}

enum due_filter {
	CHUNKS_DUE,
	CHUNKS_NOT_DUE /* chunks whose write is not due yet */
};

/*
 * Adds the chunks of the queue that pass the filter, except for chunks that the transaction already
 * writes. Returns false if it had to stop before the end of the queue.
 */
static bool batch_add_chunks(struct core *core, struct txn *txn, struct pending_write **queue,
			     enum due_filter filter)
{
	struct pending_write *write, *next;

	DL_FOREACH_SAFE (*queue, write, next) {
		enum due_filter due = write->due_at <= core->now ? CHUNKS_DUE : CHUNKS_NOT_DUE;

		if (due != filter || write->job->records.chunks[write->chunk_index].in_flight)
			continue;
		if (is_unneeded(write))
			discard_unneeded_write(core, write);
		else if (batch_add(core, txn, write) == BATCH_FULL)
			return false;
	}
	return true;
}

/* Adds the writes of a queue of final records or deletes, which are never blocked. Returns false if
 * not all of them fit. */
static bool batch_add_all(struct core *core, struct txn *txn, struct pending_write **queue)
{
	while (*queue)
		if (batch_add(core, txn, *queue) == BATCH_FULL)
			return false;
	return true;
}

static void batch_add_writes(struct core *core, struct txn *txn)
{
	struct write_queue *queue = &core->write_queue;

	/* Final records come first: they are few, and users wait for them. */
	if (batch_add_all(core, txn, &queue->final_records) &&
	    batch_add_chunks(core, txn, &queue->chunks, CHUNKS_DUE) && txn->op_count)
		batch_add_chunks(core, txn, &queue->chunks, CHUNKS_NOT_DUE);
	if (!txn->op_count)
		batch_add_chunks(core, txn, &queue->migrations, CHUNKS_DUE);
	if (!txn->op_count)
		batch_add_all(core, txn, &queue->deletes);
}

void transaction_send_writes(struct core *core)
{
	const struct write_queue *queue = &core->write_queue;
	struct txn txn;

	txn_begin(&txn);
	txn_guard(&txn, election_leader_key(election_format(core)), election_token(core));
	batch_add_writes(core, &txn);
	log_debug("transaction", "nops=%d largest=%zu tokens=%.1f kind=%d", txn.op_count,
		  txn.largest_value, queue->write_limiter.tokens,
		  queue->transaction.writes ? (int)queue->transaction.writes->kind : -1);
	if (txn.op_count) {
		transaction_send(core, &txn);
		return;
	}
	txn_abandon(&txn);
	transaction_clear(core);
}

void transaction_send_token_renewal(struct core *core)
{
	struct write_queue *queue = &core->write_queue;
	bool raises_format = format_raise_due(core);
	int format = raises_format ? FORMAT_NEWEST : election_format(core);
	struct txn txn;

	txn_begin(&txn);
	txn_guard(&txn, election_leader_key(election_format(core)), election_token(core));
	if (raises_format)
		txn_put(&txn, LEADER_KEY, election_format_key_value(FORMAT_NEWEST), 0);
	txn_put(&txn, election_leader_key(format), election_leader_key_value(core),
		election_lease(core));
	queue->transaction.renews_token = true;
	queue->transaction.raises_format = raises_format;
	queue->token_renewal_requested = false;
	queue->token_renewal_sent_at = core->now;
	election_on_token_renewal_sent(core);
	transaction_send(core, &txn);
}
