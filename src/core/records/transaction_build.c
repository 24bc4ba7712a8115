/*
 * The making of the next transaction: which writes go into it, in order of urgency and under the
 * limits of the state service.
 *
 * Everything is guarded by the leader's key at the revision of the fencing token and by the version
 * of each key written: a copy of a transaction that arrives late finds other versions and does
 * nothing.
 */
#include "core/records/transaction_build.h"

#include <stdlib.h>

#include "core/records/write_ops.h"
#include "core/state.h"
#include "util/log.h"

/* A binding that is neither in the chunk's record nor in a transaction; NULL: none. */
static struct binding *unrecorded_binding(const struct chunk *chunk)
{
	struct binding *binding;

	DL_FOREACH2 (chunk->bindings, binding, chunk_next)
		if (!binding->committed && binding_start_never_sent(binding))
			return binding;
	return NULL;
}

/*
 * The chunk's value is over the limit, as when that was lowered: bindings that were never on record
 * are taken back. Without any, it waits until tasks have ended.
 */
static void shrink_chunk(struct core *core, struct pending_write *write)
{
	struct job *job = write->job;
	const struct chunk *chunk = &job->records.chunks[write->chunk_index];
	struct binding *binding = unrecorded_binding(chunk);

	log_info("record_too_large", "job=%s chunk=%u bound=%u limit=%zu", job->spec.id,
		 write->chunk_index, chunk->binding_count, limits_value_bytes(core));
	job->scheduling.retry_at = core->now + LIMITS_VALUE_RETRY_S;
	if (!binding)
		write->blocked_until = core->now + LIMITS_VALUE_RETRY_S;
	while (binding) {
		binding_end(core, binding, END_STOPPED);
		binding = unrecorded_binding(chunk);
	}
}

/* The chunk's bindings are on their way to the record as they are now. */
static void mark_in_flight(struct chunk *chunk)
{
	struct binding *binding;

	chunk->in_flight = true;
	DL_FOREACH2 (chunk->bindings, binding, chunk_next)
		binding->in_flight = true;
}

enum batch_result {
	BATCH_ADDED,
	BATCH_SKIPPED, /* it can't be written now */
	BATCH_FULL     /* no more writes fit, or the queues have changed: stop here */
};

/* Room for so many more changes, under the limits of a transaction and of the rate. */
static bool has_room(const struct core *core, const struct txn *txn, int op_count, int max_ops)
{
	int total = txn->op_count + op_count;

	/* A single write goes alone whatever it takes. */
	return !txn->op_count ||
	       (total <= max_ops && total <= core->write_queue.put_limiter.tokens);
}

static enum batch_result batch_add(struct core *core, struct txn *txn, struct pending_write *write)
{
	const int max_ops = limits_txn_ops(core);
	const struct txn_mark mark = txn_mark(txn);
	size_t value_bytes;

	if (core->now < write->blocked_until)
		return BATCH_SKIPPED;
	if (!has_room(core, txn, write_ops_count(write, max_ops), max_ops))
		return BATCH_FULL;
	value_bytes = write_ops_add(txn, write, max_ops);
	if (mark.op_count && txn_bytes(txn) > COMMIT_MAX_BYTES) {
		txn_rollback(txn, &mark);
		if (write->kind == WRITE_FINAL)
			final_record_unmark_chunks(write->job);
		return BATCH_FULL;
	}
	if (value_bytes > limits_value_bytes(core)) {
		txn_rollback(txn, &mark);
		shrink_chunk(core, write);
		return BATCH_FULL; /* the queue may have changed with it */
	}
	write_queue_remove(write);
	DL_APPEND(core->write_queue.transaction.writes, write);
	if (write->kind == WRITE_CHUNK)
		mark_in_flight(&write->job->records.chunks[write->chunk_index]);
	return BATCH_ADDED;
}

/* The chunk has no record of its own, and needs none any more. */
static bool is_needless(const struct pending_write *write)
{
	return task_record_is_obsolete(write->job, write->chunk_index) &&
	       !write->job->records.chunks[write->chunk_index].version;
}

/* Takes a needless write of a chunk off its queue and frees it, perhaps with its job. */
static void discard_write(struct core *core, struct pending_write *write)
{
	struct job *job = write->job;

	write_queue_remove(write);
	task_record_note_superseded(core, job, write->chunk_index);
	job_release_if_over(core, job);
	free(write);
}

enum due_filter {
	CHUNKS_DUE,
	CHUNKS_NOT_DUE /* they could wait */
};

/* Adds chunks of the queue; false if there is no room for all. */
static bool batch_chunks(struct core *core, struct txn *txn, struct pending_write **queue,
			 enum due_filter filter)
{
	struct pending_write *write, *next;

	DL_FOREACH_SAFE (*queue, write, next) {
		enum due_filter due = write->due_at <= core->now ? CHUNKS_DUE : CHUNKS_NOT_DUE;

		if (due != filter || write->job->records.chunks[write->chunk_index].in_flight)
			continue;
		if (is_needless(write))
			discard_write(core, write);
		else if (batch_add(core, txn, write) == BATCH_FULL)
			return false;
	}
	return true;
}

/* Adds all writes of a queue without chunks, which are never blocked; false: no room for all. */
static bool batch_all(struct core *core, struct txn *txn, struct pending_write **queue)
{
	while (*queue)
		if (batch_add(core, txn, *queue) == BATCH_FULL)
			return false;
	return true;
}

static void batch_writes(struct core *core, struct txn *txn)
{
	struct write_queue *queue = &core->write_queue;

	/* Ends of jobs first: they are few, and users wait for them. */
	if (batch_all(core, txn, &queue->finals) &&
	    batch_chunks(core, txn, &queue->chunks, CHUNKS_DUE) && txn->op_count)
		batch_chunks(core, txn, &queue->chunks, CHUNKS_NOT_DUE);
	if (!txn->op_count)
		batch_chunks(core, txn, &queue->migrations, CHUNKS_DUE);
	if (!txn->op_count)
		batch_all(core, txn, &queue->deletes);
}

void transaction_send_writes(struct core *core)
{
	const struct write_queue *queue = &core->write_queue;
	struct txn txn;

	txn_begin(&txn);
	txn_guard(&txn, election_leader_key(election_format(core)), election_token(core));
	batch_writes(core, &txn);
	log_debug("transaction", "nops=%d largest=%zu tokens=%.1f kind=%d", txn.op_count,
		  txn.largest_value, queue->put_limiter.tokens,
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
	queue->new_token_wanted = false;
	queue->token_renewed_at = core->now;
	election_on_token_renewal_sent(core);
	transaction_send(core, &txn);
}
