/*
 * The queues of writes, and when a transaction is due.
 *
 * Writes that are queued while a transaction is in flight are sent together in the next one, so
 * batches grow with the load. Bindings are recorded per job and range of tasks: the placement of a
 * gang, or of an array's tasks in one scheduling cycle, takes one write per range, however many
 * machines it spans.
 */
#include "core/records/write_queue.h"

#include <stdio.h>
#include <stdlib.h>

#include "core/records/transaction_build.h"
#include "core/state.h"
#include "util/xalloc.h"

/* --- adding writes --- */

static struct pending_write *append_write(struct pending_write **queue,
					  enum pending_write_kind kind, struct job *job,
					  uint32_t chunk_index)
{
	struct pending_write *write = xcalloc(1, sizeof(*write));

	write->kind = kind;
	write->job = job;
	write->chunk_index = chunk_index;
	write->queue = queue;
	DL_APPEND(*queue, write);
	return write;
}

static void move_write(struct pending_write *write, struct pending_write **queue)
{
	DL_DELETE(*write->queue, write);
	write->queue = queue;
	DL_APPEND(*queue, write);
}

/* Returns true if the job's final record, which is queued or in flight, makes a write of the chunk
 * needless. A chunk with bindings is written all the same. */
static bool is_covered_by_final(const struct job *job, const struct chunk *chunk)
{
	return job->final_queued && !job->final_committed && !chunk->binding_count;
}

void write_queue_add_chunk(struct core *core, struct job *job, uint32_t task, double delay_s)
{
	struct write_queue *queue = &core->write_queue;
	uint32_t chunk_index = job_chunk_index(job, task);
	double due_at = core->now + delay_s;
	struct chunk *chunk;

	if (chunk_index >= job_chunk_count(job))
		return;
	chunk = &job->records.chunks[chunk_index];
	if (is_covered_by_final(job, chunk))
		return;
	if (!chunk->queued_write) {
		chunk->queued_write = append_write(&queue->chunks, WRITE_CHUNK, job, chunk_index);
		chunk->queued_write->due_at = due_at;
	} else if (chunk->queued_write->queue == &queue->migrations) {
		move_write(chunk->queued_write, &queue->chunks);
		chunk->queued_write->due_at = due_at;
	}
	if (chunk->queued_write->due_at > due_at)
		chunk->queued_write->due_at = due_at;
}

void write_queue_add_migration(struct core *core, struct job *job, uint32_t chunk_index)
{
	struct chunk *chunk = &job->records.chunks[chunk_index];

	if (!chunk->queued_write)
		chunk->queued_write =
		    append_write(&core->write_queue.migrations, WRITE_CHUNK, job, chunk_index);
}

void write_queue_add_delete(struct core *core, const char *key, uint64_t version)
{
	struct pending_write *write =
	    append_write(&core->write_queue.deletes, WRITE_DELETE, NULL, 0);

	snprintf(write->key, sizeof(write->key), "%s", key);
	write->version = version;
}

void write_queue_add_final(struct core *core, struct job *job)
{
	if (job->final_queued)
		return;
	job->final_queued = true;
	/* The final record makes the queued writes of the job's chunks needless. */
	for (uint32_t chunk_index = 0; chunk_index < job_chunk_count(job); chunk_index++) {
		struct pending_write *write = job->records.chunks[chunk_index].queued_write;

		if (!write)
			continue;
		write_queue_remove(write);
		free(write);
	}
	append_write(&core->write_queue.final_records, WRITE_FINAL, job, 0);
}

/* --- removing writes --- */

void write_queue_remove(struct pending_write *write)
{
	DL_DELETE(*write->queue, write);
	write->queue = NULL;
	if (write->kind == WRITE_CHUNK)
		write->job->records.chunks[write->chunk_index].queued_write = NULL;
}

void write_queue_requeue(struct core *core, struct pending_write *write)
{
	struct write_queue *queue = &core->write_queue;

	write->queue = write->kind == WRITE_CHUNK ? &queue->chunks : &queue->final_records;
	DL_PREPEND(*write->queue, write);
}

void pending_writes_free(struct pending_write **list)
{
	struct pending_write *write, *next;

	DL_FOREACH_SAFE (*list, write, next) {
		DL_DELETE(*list, write);
		free(write);
	}
}

void write_queue_discard_chunks(struct core *core)
{
	pending_writes_free(&core->write_queue.chunks);
	pending_writes_free(&core->write_queue.migrations);
}

void write_queue_clear(struct core *core)
{
	write_queue_discard_chunks(core);
	pending_writes_free(&core->write_queue.final_records);
	pending_writes_free(&core->write_queue.deletes);
	transaction_clear(core);
	core->write_queue.token_renewal_requested = false;
}

bool write_queue_is_flushed(const struct job *job, uint32_t task)
{
	const struct chunk *chunk = &job->records.chunks[job_chunk_index(job, task)];

	if (job->final_queued)
		return job->final_committed;
	return !chunk->queued_write && !chunk->in_flight;
}

/* --- sending transactions when they are due --- */

void write_queue_start(struct core *core)
{
	struct rate_limiter *limiter = &core->write_queue.write_limiter;

	limiter->refilled_at = core->now;
	limiter->tokens = limits_write_rps(core) * WRITE_SHARE_LEADER;
}

void write_queue_refill_limiter(struct core *core)
{
	rate_limiter_refill(core, &core->write_queue.write_limiter,
			    limits_write_rps(core) * WRITE_SHARE_LEADER);
}

void write_queue_request_token(struct core *core)
{
	core->write_queue.token_renewal_requested = true;
}

/* Migrations and deletes have no deadline: they are sent while more than half of the changes that
 * are allowed in one second are unused. */
static bool background_write_is_due(const struct core *core)
{
	const struct write_queue *queue = &core->write_queue;

	return (queue->deletes || queue->migrations) &&
	       queue->write_limiter.tokens > limits_write_rps(core) / 2;
}

static bool write_is_due(const struct core *core)
{
	const struct pending_write *write;

	if (core->write_queue.final_records || background_write_is_due(core))
		return true;
	DL_FOREACH (core->write_queue.chunks, write)
		if (write->due_at <= core->now && write->blocked_until <= core->now)
			return true;
	return false;
}

static bool token_renewal_is_due(const struct core *core)
{
	const struct write_queue *queue = &core->write_queue;

	return (queue->token_renewal_requested &&
		core->now - queue->token_renewal_sent_at >= TOKEN_RENEW_INTERVAL_S) ||
	       format_raise_due(core);
}

void write_queue_tick(struct core *core)
{
	struct write_queue *queue = &core->write_queue;

	if (queue->transaction.in_flight) {
		transaction_retry_if_due(core);
		return;
	}
	if (core->now < queue->retry_at)
		return;
	write_queue_refill_limiter(core);
	if (queue->write_limiter.tokens < 1)
		return;
	if (tombstones_need_new_token(core))
		write_queue_request_token(core);
	if (token_renewal_is_due(core))
		transaction_send_token_renewal(core);
	else if (write_is_due(core))
		transaction_send_writes(core);
}
