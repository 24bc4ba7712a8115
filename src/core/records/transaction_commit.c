/*
 * The effects of a transaction that is committed: bindings whose starts may be sent, jobs that are
 * final, and a new fencing token.
 */
#include <stdlib.h>

#include "core/records/transaction.h"
#include "core/records/write_ops.h"
#include "core/state.h"
#include "util/log.h"

static void binding_committed(struct core *core, struct binding *committed)
{
	struct job *job = committed->job;
	struct binding *binding;

	committed->committed = true;
	job->uncommitted_count--;
	if (job->spec.kind != JOB_GANG) {
		core->events->commands_due(core, committed->machine);
		return;
	}
	/* A gang starts when all of it is on record. */
	if (!job->uncommitted_count)
		DL_FOREACH2 (job->bindings, binding, job_next)
			core->events->commands_due(core, binding->machine);
}

static void chunk_committed(struct core *core, struct job *job, uint32_t chunk_index,
			    uint64_t revision)
{
	struct chunk *chunk = &job->records.chunks[chunk_index];
	struct binding *binding;

	chunk->in_flight = false;
	chunk->version = task_record_is_obsolete(job, chunk_index) ? 0 : revision;
	DL_FOREACH2 (chunk->bindings, binding, chunk_next) {
		if (binding->in_flight && !binding->committed)
			binding_committed(core, binding);
		binding->in_flight = false;
	}
	task_record_note_superseded(core, job, chunk_index);
	job_release_if_over(core, job);
}

/* The chunk's record went with the job's final record, is deleted next, or is still needed. */
static void end_chunk(struct core *core, struct job *job, uint32_t chunk_index)
{
	struct chunk *chunk = &job->records.chunks[chunk_index];
	char key[KEY_MAX];

	if (!chunk->ends_with_job && task_record_is_idle(chunk)) {
		task_record_key(key, job, chunk_index);
		write_queue_add_delete(core, key, chunk->version);
	}
	if (chunk->ends_with_job)
		chunk->version = 0;
	chunk->ends_with_job = false;
	if (!chunk->binding_count && !chunk->queued_write && !chunk->in_flight)
		task_record_note_superseded(core, job, chunk_index);
}

void transaction_apply_final(struct core *core, struct job *job)
{
	enum job_state state = final_record_state(job);

	log_info("job_final", "job=%s state=%s", job->spec.id, wire_job_state(state));
	core->events->final_record_committed(core, job->spec.id, state, job->spec.task_count);
	job->final_committed = true;
	job->orphan = true;
	for (uint32_t chunk_index = 0; chunk_index < job_chunk_count(job); chunk_index++)
		end_chunk(core, job, chunk_index);
	job_release_if_over(core, job);
}

/*
 * An agent that shows this token was running after the token was taken; no copy of a message from a
 * machine deleted before shows it. So reports count only under it from now on, and the tombstones
 * are not needed.
 */
static void forget_deleted_machines(struct core *core)
{
	election_require_current_token(core);
	tombstones_trim(core, core->write_queue.token_renewed_at);
}

static void token_committed(struct core *core, uint64_t revision)
{
	log_info("token_renewed", "old=%llu new=%llu", (unsigned long long)election_token(core),
		 (unsigned long long)revision);
	election_set_token(core, revision);
	if (tombstones_need_new_token(core))
		forget_deleted_machines(core);
	if (core->write_queue.transaction.raises_format) {
		election_set_format(core, FORMAT_NEWEST, revision);
		task_records_raise(core);
		log_info("format", "raised=%d", FORMAT_NEWEST);
	}
	log_token(revision);
	core->events->token_renewed(core);
}

static void write_committed(struct core *core, const struct pending_write *write, uint64_t revision)
{
	if (write->kind == WRITE_CHUNK)
		chunk_committed(core, write->job, write->chunk_index, revision);
	else if (write->kind == WRITE_FINAL)
		transaction_apply_final(core, write->job);
}

void transaction_note_committed(struct core *core, uint64_t revision)
{
	struct transaction *transaction = &core->write_queue.transaction;
	struct pending_write *write, *next;

	DL_FOREACH_SAFE (transaction->writes, write, next) {
		DL_DELETE(transaction->writes, write);
		write_committed(core, write, revision);
		free(write);
	}
	if (transaction->renews_token)
		token_committed(core, revision);
	transaction_clear(core);
}
