#include "core/model/job.h"

#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"

unsigned job_count(const struct core *core)
{
	return HASH_COUNT(core->jobs);
}

struct job *job_find(const struct core *core, const char *id)
{
	struct job *job;

	HASH_FIND_STR(core->jobs, id, job);
	return job;
}

struct job *job_add(struct core *core, const struct job_spec *spec)
{
	struct job *job = xcalloc(1, sizeof(*job));

	job->spec = *spec;
	job->done = xcalloc(1, task_bitmap_bytes(spec->task_count));
	job->bound = xcalloc(1, task_bitmap_bytes(spec->task_count));
	job->records.tasks_per_chunk =
	    election_format(core) >= FORMAT_SMALL_CHUNKS ? SMALL_CHUNK_TASKS : LARGE_CHUNK_TASKS;
	job->records.chunks = xcalloc(job_chunk_count(job), sizeof(*job->records.chunks));
	job->scheduling.waiting_since = core->now;
	recent_demand_add(core, spec);
	HASH_ADD_STR(core->jobs, spec.id, job);
	return job;
}

/* Extends an array from `count` to `new_count` elements; the new elements are zero. */
static void *grow_zeroed(void *array, size_t count, size_t new_count, size_t element_size)
{
	char *grown = xreallocarray(array, new_count, element_size);

	memset(grown + count * element_size, 0, (new_count - count) * element_size);
	return grown;
}

void job_grow(struct job *job, uint32_t task_count)
{
	uint32_t old_chunk_count = job_chunk_count(job);
	size_t old_bytes = task_bitmap_bytes(job->spec.task_count);
	size_t bytes = task_bitmap_bytes(task_count);

	if (task_count <= job->spec.task_count)
		return;
	job->spec.task_count = task_count;
	job->done = grow_zeroed(job->done, old_bytes, bytes, 1);
	job->bound = grow_zeroed(job->bound, old_bytes, bytes, 1);
	job->records.chunks = grow_zeroed(job->records.chunks, old_chunk_count,
					  job_chunk_count(job), sizeof(*job->records.chunks));
}

void job_free(struct core *core, struct job *job)
{
	core->events->job_removed(core, job);
	HASH_DEL(core->jobs, job);
	wire_job_free(&job->spec);
	free(job->done);
	free(job->bound);
	free(job->records.chunks);
	free(job->records.old_chunks);
	free(job);
}

void job_free_if_unused(struct core *core, struct job *job)
{
	if (!job->orphan || job->bindings)
		return;
	for (uint32_t i = 0; i < job_chunk_count(job); i++)
		if (job->records.chunks[i].queued_write || job->records.chunks[i].in_flight)
			return;
	job_free(core, job);
}

uint32_t job_waiting_count(const struct job *job)
{
	uint32_t done_or_bound = job->done_count + job->bound_count;

	if (job->cancelled || job->orphan || job->final_queued ||
	    done_or_bound >= job->spec.task_count)
		return 0;
	return job->spec.task_count - done_or_bound;
}

uint32_t job_first_waiting(struct job *job)
{
	uint32_t task = job->first_waiting_hint;

	while (task < job->spec.task_count &&
	       (task_bit_test(job->done, task) || task_bit_test(job->bound, task)))
		task++;
	job->first_waiting_hint = task;
	return task;
}

void job_mark_task_bound(struct job *job, uint32_t task)
{
	if (task >= job->spec.task_count || task_bit_test(job->bound, task))
		return;
	task_bit_set(job->bound, task);
	job->bound_count++;
}

void job_mark_task_unbound(struct job *job, uint32_t task)
{
	if (task >= job->spec.task_count || !task_bit_test(job->bound, task))
		return;
	task_bit_clear(job->bound, task);
	job->bound_count--;
	if (task < job->first_waiting_hint)
		job->first_waiting_hint = task;
}

/*
 * True if the task's success still has to be recorded. A service's tasks are never done, and the
 * tasks of an orphaned job don't matter any more.
 */
static bool may_become_done(const struct job *job, uint32_t task)
{
	return !job->orphan && task < job->spec.task_count && !task_bit_test(job->done, task) &&
	       job->spec.kind != JOB_SERVICE;
}

/* Marks the task as done, and requests a write of its chunk's record. */
static void mark_task_done(struct core *core, struct job *job, uint32_t task)
{
	if (!may_become_done(job, task))
		return;
	task_bit_set(job->done, task);
	job->done_count++;
	log_debug("task_done", "job=%s task=%u done=%u of=%u", job->spec.id, task, job->done_count,
		  job->spec.task_count);
	/* The last task's chunk need not be written: the final record says that all are done. */
	if (job->done_count < job->spec.task_count)
		core->events->task_record_changed(core, job, task, TASK_END_WRITE_DELAY_S);
}

void job_complete_task(struct core *core, struct job *job, uint32_t task)
{
	if (job->spec.kind != JOB_GANG) {
		mark_task_done(core, job, task);
		return;
	}
	for (uint32_t member = 0; member < job->spec.task_count; member++)
		mark_task_done(core, job, member);
}

void job_handle_unbound_task_done(struct core *core, const char *id, uint32_t task)
{
	struct job *job = job_find(core, id);
	struct binding *binding;

	if (!job || !may_become_done(job, task))
		return;
	job_complete_task(core, job, task);
	DL_FOREACH2 (job->bindings, binding, job_next)
		if (task_bit_test(job->done, binding->task))
			binding_stop(core, binding, 0);
	job_check_end(core, job);
}

void job_check_end(struct core *core, struct job *job)
{
	if (!job->bindings && job->gang_stopping)
		job->gang_stopping = false;
	if (job->final_queued || job->orphan)
		return;
	if (job->cancelled) {
		if (!job->bindings)
			core->events->job_ended(core, job);
		return;
	}
	if (job->done_count < job->spec.task_count)
		return;
	/* The tasks of a gang report their ends within moments of each other. The final record
	 * waits for the ends of their bindings, up to FINAL_RECORD_DELAY_S, so that one transaction
	 * is enough. */
	if (job->all_done_at <= 0)
		job->all_done_at = core->now;
	if (!job->bindings || core->now - job->all_done_at >= FINAL_RECORD_DELAY_S)
		core->events->job_ended(core, job);
}

void job_tick(struct core *core)
{
	struct job *job, *next;

	if (core->now < core->next_job_scan_at)
		return;
	core->next_job_scan_at = core->now + JOB_SCAN_INTERVAL_S;
	JOBS_FOR_EACH (core, job, next)
		if (job->all_done_at > 0 && !job->final_queued)
			job_check_end(core, job);
}

void job_cancel(struct core *core, struct job *job)
{
	struct binding *binding, *next;

	if (job->cancelled || job->orphan)
		return;
	job->cancelled = true;
	log_info("job_cancelled", "job=%s bound=%u", job->spec.id, job->bound_count);
	DL_FOREACH_SAFE2 (job->bindings, binding, next, job_next) {
		/* If no start was sent, the attempt never runs, and its end needs no proof. */
		if (binding_start_never_sent(binding))
			binding_end(core, binding, END_STOPPED);
		else
			binding_stop(core, binding, 0);
	}
	job_check_end(core, job);
}

void job_on_cancel_committed(struct core *core, const char *id, uint64_t version)
{
	struct job *job = election_is_leader(core) ? job_find(core, id) : NULL;

	if (!job || job->orphan)
		return;
	if (version > job->record_version)
		job->record_version = version;
	job_cancel(core, job);
}
