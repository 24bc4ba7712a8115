/*
 * Replaces the records of large chunks by records of small chunks.
 *
 * The record of a large chunk is deleted once each of its small chunks that needs a record has a
 * record of its own.
 */
#include <stdlib.h>

#include "core/records/task_records.h"
#include "core/state.h"
#include "util/xalloc.h"

#define SMALL_PER_LARGE_CHUNK (LARGE_CHUNK_TASKS / SMALL_CHUNK_TASKS)

void task_record_set_old_version(struct job *job, uint32_t old_index, uint64_t version)
{
	struct job_records *records = &job->records;
	uint32_t count = (job->spec.task_count + LARGE_CHUNK_TASKS - 1) / LARGE_CHUNK_TASKS;

	/*
	 * The task count of an orphaned job grows as the job's records are read, and the array
	 * grows with the task count. No record has been read yet for the new elements of the array.
	 */
	records->old_chunks =
	    xreallocarray(records->old_chunks, count, sizeof(*records->old_chunks));
	for (uint32_t i = records->old_chunk_count; i < count; i++)
		records->old_chunks[i] = (struct old_chunk){0};
	records->old_chunk_count = count;
	records->old_chunks[old_index].version = version;
}

static void delete_old_record(struct core *core, struct job *job, uint32_t old_index)
{
	struct old_chunk *old_chunk = &job->records.old_chunks[old_index];
	char key[KEY_MAX];

	task_record_large_key(key, job, old_index);
	write_queue_add_delete(core, key, old_chunk->version);
	old_chunk->version = 0;
}

void task_record_finish_migration(struct core *core, struct job *job, uint32_t chunk_index)
{
	struct chunk *chunk = &job->records.chunks[chunk_index];
	uint32_t old_index = chunk_index / SMALL_PER_LARGE_CHUNK;

	if (!chunk->in_old_format)
		return;
	chunk->in_old_format = false;
	if (--job->records.old_chunks[old_index].pending_chunks == 0)
		delete_old_record(core, job, old_index);
}

static bool chunk_has_done_task(const struct job *job, uint32_t chunk_index)
{
	uint32_t first = chunk_index * job->records.tasks_per_chunk;
	uint32_t end = first + job->records.tasks_per_chunk;

	for (uint32_t task = first; task < end && task < job->spec.task_count; task++)
		if (task_bit_test(job->done, task))
			return true;
	return false;
}

/* Returns true if the chunk has bindings or done tasks that need a record of the newer format. */
static bool chunk_needs_record(const struct job *job, uint32_t chunk_index)
{
	const struct chunk *chunk = &job->records.chunks[chunk_index];

	/*
	 * For an orphaned job only bindings count, and their chunks are not written in the newer
	 * format just to migrate them. The older record stays until each of these chunks has no
	 * bindings any more, or is written for another reason, as when a binding has ended.
	 */
	if (chunk->binding_count || job->orphan)
		return chunk->binding_count > 0;
	return chunk->queued_write || chunk_has_done_task(job, chunk_index);
}

static void migrate_chunk(struct core *core, struct job *job, uint32_t chunk_index)
{
	struct chunk *chunk = &job->records.chunks[chunk_index];
	struct old_chunk *old_chunk = &job->records.old_chunks[chunk_index / SMALL_PER_LARGE_CHUNK];

	if (!old_chunk->version || chunk->version || !chunk_needs_record(job, chunk_index))
		return;
	chunk->in_old_format = true;
	old_chunk->pending_chunks++;
	if (!job->orphan)
		write_queue_add_migration(core, job, chunk_index);
}

void task_records_migrate(struct core *core, struct job *job)
{
	const struct job_records *records = &job->records;

	if (!records->old_chunks)
		return;
	for (uint32_t chunk_index = 0; chunk_index < job_chunk_count(job); chunk_index++)
		migrate_chunk(core, job, chunk_index);
	for (uint32_t old_index = 0; old_index < records->old_chunk_count; old_index++)
		if (records->old_chunks[old_index].version &&
		    !records->old_chunks[old_index].pending_chunks)
			delete_old_record(core, job, old_index);
}

/* Replaces the job's large chunks by small chunks of the same tasks and bindings. */
static void raise_job_format(struct core *core, struct job *job)
{
	struct chunk *large_chunks = job->records.chunks;
	uint32_t large_count = job_chunk_count(job);
	struct binding *binding;

	for (uint32_t old_index = 0; old_index < large_count; old_index++)
		if (large_chunks[old_index].version)
			task_record_set_old_version(job, old_index,
						    large_chunks[old_index].version);
	job->records.tasks_per_chunk = SMALL_CHUNK_TASKS;
	job->records.chunks = xcalloc(job_chunk_count(job), sizeof(*job->records.chunks));
	DL_FOREACH2 (job->bindings, binding, job_next)
		chunk_add_binding(binding);
	/* The queued writes of large chunks are queued again as writes of small chunks. */
	for (uint32_t chunk_index = 0; chunk_index < job_chunk_count(job); chunk_index++)
		if (large_chunks[chunk_index / SMALL_PER_LARGE_CHUNK].queued_write)
			write_queue_add_chunk(core, job, chunk_index * SMALL_CHUNK_TASKS, 0);
	free(large_chunks);
	task_records_migrate(core, job);
}

void task_records_raise_format(struct core *core)
{
	struct job *job, *next;

	write_queue_discard_chunks(core);
	JOBS_FOR_EACH (core, job, next)
		raise_job_format(core, job);
}
