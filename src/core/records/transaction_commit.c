/*
 * Applies the effects of a committed transaction: the starts of its bindings may be sent, jobs have
 * their final records, and there may be a new fencing token.
 */
#include <stdlib.h>

#include "core/records/transaction.h"
#include "core/records/write_ops.h"
#include "core/state.h"
#include "util/log.h"

static void apply_committed_binding(struct core *core, struct binding *committed)
{
	struct job *job = committed->job;
	struct binding *binding;

	committed->committed = true;
	job->uncommitted_count--;
	if (job->spec.kind != JOB_GANG) {
		core->events->commands_due(core, committed->machine);
		return;
	}
	/* The tasks of a gang are started when the bindings of all of them are on record. */
	if (!job->uncommitted_count)
		DL_FOREACH2 (job->bindings, binding, job_next)
			core->events->commands_due(core, binding->machine);
}

static void apply_committed_chunk(struct core *core, struct job *job, uint32_t chunk_index,
				  uint64_t revision)
{
	struct chunk *chunk = &job->records.chunks[chunk_index];
	struct binding *binding;

	chunk->in_flight = false;
	chunk->version = task_record_is_obsolete(job, chunk_index) ? 0 : revision;
	DL_FOREACH2 (chunk->bindings, binding, chunk_next) {
		if (binding->in_flight && !binding->committed)
			apply_committed_binding(core, binding);
		binding->in_flight = false;
	}
	task_record_finish_migration(core, job, chunk_index);
	job_free_if_unused(core, job);
}

/*
 * Updates a chunk of a job whose final record is committed. If the same transaction has deleted the
 * chunk's record, only the chunk's state is updated. Otherwise a delete of the record, if there is
 * one, is queued, unless the chunk has bindings or writes: the record is kept as long as it has
 * any.
 */
static void finish_chunk(struct core *core, struct job *job, uint32_t chunk_index)
{
	struct chunk *chunk = &job->records.chunks[chunk_index];
	char key[KEY_MAX];

	if (!chunk->deleted_with_job && task_record_is_idle(chunk)) {
		task_record_key(key, job, chunk_index);
		write_queue_add_delete(core, key, chunk->version);
	}
	if (chunk->deleted_with_job)
		chunk->version = 0;
	chunk->deleted_with_job = false;
	if (!chunk->binding_count && !chunk->queued_write && !chunk->in_flight)
		task_record_finish_migration(core, job, chunk_index);
}

void transaction_apply_final(struct core *core, struct job *job)
{
	enum job_state state = final_record_state(job);

	log_info("job_final", "job=%s state=%s", job->spec.id, wire_job_state_name(state));
	core->events->final_record_committed(core, job->spec.id, state, job->spec.task_count);
	job->final_committed = true;
	job->orphan = true;
	for (uint32_t chunk_index = 0; chunk_index < job_chunk_count(job); chunk_index++)
		finish_chunk(core, job, chunk_index);
	job_free_if_unused(core, job);
}

/*
 * From now on, heartbeats that show an older token than the new one are stale (see
 * agents/reports.h). Only an agent that was running after the new token was written can show the
 * new token; a late copy of a heartbeat from a machine that was deleted earlier cannot. So no
 * tombstone is needed against late heartbeats of such a machine.
 */
static void expire_tombstones(struct core *core)
{
	election_require_current_token(core);
	tombstones_trim(core, core->write_queue.token_renewal_sent_at);
}

static void apply_committed_token(struct core *core, uint64_t revision)
{
	log_info("token_renewed", "old=%llu new=%llu", (unsigned long long)election_token(core),
		 (unsigned long long)revision);
	election_set_token(core, revision);
	if (tombstones_need_new_token(core))
		expire_tombstones(core);
	if (core->write_queue.transaction.raises_format) {
		election_set_format(core, FORMAT_NEWEST, revision);
		task_records_raise_format(core);
		log_info("format", "raised=%d", FORMAT_NEWEST);
	}
	log_set_token(revision);
	core->events->token_renewed(core);
}

/* Applies the committed writes of chunks, and frees them. */
static void apply_committed_chunks(struct core *core, struct transaction *transaction,
				   uint64_t revision)
{
	struct pending_write *write, *next;

	DL_FOREACH_SAFE (transaction->writes, write, next) {
		if (write->kind != WRITE_CHUNK)
			continue;
		DL_DELETE(transaction->writes, write);
		apply_committed_chunk(core, write->job, write->chunk_index, revision);
		free(write);
	}
}

void transaction_apply_commit(struct core *core, uint64_t revision)
{
	struct transaction *transaction = &core->write_queue.transaction;
	struct pending_write *write, *next;

	/* Final records come after the chunks: once a job is over, the records of its idle chunks
	 * are deleted, also one that this transaction has written. */
	apply_committed_chunks(core, transaction, revision);
	DL_FOREACH_SAFE (transaction->writes, write, next) {
		DL_DELETE(transaction->writes, write);
		if (write->kind == WRITE_FINAL)
			transaction_apply_final(core, write->job);
		free(write);
	}
	if (transaction->renews_token)
		apply_committed_token(core, revision);
	transaction_clear(core);
}
