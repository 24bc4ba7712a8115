/*
 * The records of what is done of a job's tasks and what is bound where. In the first format a
 * record holds LARGE_CHUNK_TASKS tasks, since FORMAT_SMALL_CHUNKS SMALL_CHUNK_TASKS. A newer record
 * stands for its tasks whatever an older one says, so the change from one to the other needs no
 * transaction of its own.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/xalloc.h"

#define SMALL_PER_LARGE_CHUNK (LARGE_CHUNK_TASKS / SMALL_CHUNK_TASKS)

static void record_key(char key[KEY_MAX], const char *prefix, const char *id, uint32_t chunk)
{
	snprintf(key, KEY_MAX, "%s%s/%u", prefix, id, chunk);
}

void task_record_key(char key[KEY_MAX], const struct job *job, uint32_t chunk)
{
	record_key(key,
		   job->records.tasks_per_chunk == SMALL_CHUNK_TASKS ? KEY_SMALL_CHUNKS
								     : KEY_LARGE_CHUNKS,
		   job->spec.id, chunk);
}

/* --- values --- */

static char *done_text(const struct job *job, uint32_t chunk)
{
	uint32_t first = chunk * job->records.tasks_per_chunk, count = job->spec.task_count - first;

	return bits_encode(job->done + first / 8, count < job->records.tasks_per_chunk
						      ? count
						      : job->records.tasks_per_chunk);
}

/* The list of one start and zone: [attempt, zone, task, machine, task, machine, ...] */
static json_t *group_of(json_t *groups, const struct binding *binding)
{
	json_t *group;
	size_t i;

	json_array_foreach (groups, i, group) {
		if ((uint64_t)json_integer_value(json_array_get(group, 0)) == binding->attempt &&
		    !strcmp(json_string_value(json_array_get(group, 1)), binding->machine->zone))
			return group;
	}
	group = json_pack("[I,s]", (json_int_t)binding->attempt, binding->machine->zone);
	json_array_append_new(groups, group);
	return group;
}

json_t *task_record_value(const struct job *job, uint32_t chunk)
{
	char *done = done_text(job, chunk);
	json_t *groups = json_array(), *value;
	const struct binding *binding;

	DL_FOREACH2 (job->records.chunks[chunk].bindings, binding, chunk_next) {
		json_t *group = group_of(groups, binding);

		json_array_append_new(group, json_integer((json_int_t)binding->task));
		json_array_append_new(group, json_string(binding->machine->id));
	}
	value = json_pack("{s:s,s:o}", "done", done, "bound", groups);
	free(done);
	return value;
}

/* Its record would grow beyond what one value may hold. */
bool task_record_is_full(const struct core *core, const struct job *job, uint32_t task)
{
	return job->records.chunks[job_chunk_of(job, task)].bytes + CHUNK_SPARE_BYTES +
		   CHUNK_ENTRY_BYTES >
	       limits_value_bytes(core);
}

bool task_record_is_idle(const struct chunk *chunk)
{
	return chunk->version && !chunk->binding_count && !chunk->queued_write && !chunk->in_flight;
}

bool task_record_is_obsolete(const struct job *job, uint32_t chunk_index)
{
	return job->orphan && !job->records.chunks[chunk_index].binding_count;
}

/* --- loading --- */

/* A job whose final record is written, with tasks that may still be somewhere. */
static struct job *orphan_add(struct core *core, const char *id)
{
	struct job_spec spec = {.task_count = 1, .deadline_s = -1};
	struct job *job;

	snprintf(spec.id, sizeof(spec.id), "%s", id);
	job = job_add(core, &spec);
	job->orphan = true;
	return job;
}

/* One record as it is read. */
struct record {
	char id[ID_MAX];
	uint32_t index;
	uint32_t tasks; /* that it holds */
	json_t *groups;
	const char *done;
	uint64_t version;
	const char *key;
};

/* 0, or -1 if the key is none of a record of tasks. */
static int record_parse(const struct kv_item *item, struct record *out)
{
	bool piece = !strncmp(item->key, KEY_SMALL_CHUNKS, strlen(KEY_SMALL_CHUNKS));
	const char *rest = item->key + strlen(piece ? KEY_SMALL_CHUNKS : KEY_LARGE_CHUNKS);
	const char *slash = strchr(rest, '/');

	if (!slash || (size_t)(slash - rest) >= sizeof(out->id))
		return -1;
	memcpy(out->id, rest, (size_t)(slash - rest));
	out->id[slash - rest] = 0;
	out->index = (uint32_t)strtoul(slash + 1, NULL, 10);
	out->tasks = piece ? SMALL_CHUNK_TASKS : LARGE_CHUNK_TASKS;
	out->groups = json_object_get(item->value, "bound");
	out->done = json_string_value(json_object_get(item->value, "done"));
	out->version = item->version;
	out->key = item->key;
	return out->index < JOB_TASKS_MAX / out->tasks + 1 ? 0 : -1;
}

/* An older record counts only for tasks without a newer one. */
static bool record_counts_for(const struct job *job, const struct record *record, uint32_t task)
{
	return task < job->spec.task_count && task / record->tasks == record->index &&
	       (record->tasks == job->records.tasks_per_chunk ||
		!job->records.chunks[job_chunk_of(job, task)].version);
}

static void load_binding(struct core *core, struct job *job, const struct record *record,
			 json_t *group, size_t at)
{
	const char *zone = json_string_value(json_array_get(group, 1));
	const char *id = json_string_value(json_array_get(group, at + 1));
	uint64_t attempt = (uint64_t)json_integer_value(json_array_get(group, 0));
	uint32_t task = (uint32_t)json_integer_value(json_array_get(group, at));
	struct machine *machine;
	struct binding *binding;

	if (!id || strlen(id) >= ID_MAX || !record_counts_for(job, record, task))
		return;
	machine = machine_find_or_add(core, id);
	if (zone && !*machine->zone)
		snprintf(machine->zone, sizeof(machine->zone), "%s", zone);
	binding = binding_add(core, machine, job, task, attempt);
	binding->recovered = binding->committed = true;
	job->uncommitted_count--;
	if (attempt > job->gang_attempt)
		job->gang_attempt = attempt;
}

static void load_done(struct job *job, const struct record *record)
{
	uint8_t bits[LARGE_CHUNK_TASKS / 8] = {0};
	uint32_t first = record->index * record->tasks;

	if (!record->done || bits_decode(record->done, bits, record->tasks))
		return;
	for (uint32_t i = 0; i < record->tasks; i++)
		if (task_bit_test(bits, i) && record_counts_for(job, record, first + i))
			job->done[(first + i) / 8] |= (uint8_t)(1u << ((first + i) % 8));
}

static struct job *record_job(struct core *core, const struct record *record)
{
	struct job *job = job_find(core, record->id);

	if (!job && !json_array_size(record->groups)) {
		write_queue_add_delete(core, record->key, record->version); /* its job is done */
		return NULL;
	}
	if (!job)
		job = orphan_add(core, record->id);
	if (job->orphan)
		job_grow(job, (record->index + 1) * record->tasks);
	return record->index * record->tasks < job->spec.task_count ? job : NULL;
}

static void old_chunk_set(struct job *job, uint32_t index, uint64_t version)
{
	uint32_t count = (job->spec.task_count + LARGE_CHUNK_TASKS - 1) / LARGE_CHUNK_TASKS;

	/* An orphan may have grown since: each of its records was read before its growth. */
	job->records.old_chunks =
	    xreallocarray(job->records.old_chunks, count, sizeof(*job->records.old_chunks));
	for (uint32_t i = job->records.old_chunk_count; i < count; i++)
		job->records.old_chunks[i] = (struct old_chunk){0};
	job->records.old_chunk_count = count;
	job->records.old_chunks[index].version = version;
}

void task_record_load(struct core *core, const struct kv_item *item)
{
	struct record record;
	struct job *job;
	json_t *group;
	size_t i;

	if (record_parse(item, &record))
		return;
	job = record_job(core, &record);
	if (!job)
		return;
	if (record.tasks == job->records.tasks_per_chunk)
		job->records.chunks[record.index].version = record.version;
	else
		old_chunk_set(job, record.index, record.version);
	load_done(job, &record);
	json_array_foreach (record.groups, i, group)
		for (size_t at = 2; at + 1 < json_array_size(group); at += 2)
			load_binding(core, job, &record, group, at);
}

/* --- from one format to the next --- */

static void old_chunk_drop(struct core *core, struct job *job, uint32_t index)
{
	char key[KEY_MAX];

	record_key(key, KEY_LARGE_CHUNKS, job->spec.id, index);
	write_queue_add_delete(core, key, job->records.old_chunks[index].version);
	job->records.old_chunks[index].version = 0;
}

void task_record_note_superseded(struct core *core, struct job *job, uint32_t chunk)
{
	uint32_t index = chunk / SMALL_PER_LARGE_CHUNK;

	if (!job->records.chunks[chunk].in_old_format)
		return;
	job->records.chunks[chunk].in_old_format = false;
	if (--job->records.old_chunks[index].pending_chunks == 0)
		old_chunk_drop(core, job, index);
}

/* Of an ended job only what is still bound counts: the ends are proved, not recorded anew. */
static bool chunk_holds_any(const struct job *job, uint32_t chunk)
{
	uint32_t first = chunk * job->records.tasks_per_chunk;

	if (job->records.chunks[chunk].binding_count || job->orphan)
		return job->records.chunks[chunk].binding_count > 0;
	if (job->records.chunks[chunk].queued_write)
		return true;
	for (uint32_t task = first;
	     task < first + job->records.tasks_per_chunk && task < job->spec.task_count; task++)
		if (task_bit_test(job->done, task))
			return true;
	return false;
}

void task_records_migrate(struct core *core, struct job *job)
{
	if (!job->records.old_chunks)
		return;
	for (uint32_t chunk = 0; chunk < job_chunk_count(job); chunk++) {
		struct old_chunk *old = &job->records.old_chunks[chunk / SMALL_PER_LARGE_CHUNK];

		if (!old->version || job->records.chunks[chunk].version ||
		    !chunk_holds_any(job, chunk))
			continue;
		job->records.chunks[chunk].in_old_format = true;
		old->pending_chunks++;
		if (!job->orphan)
			write_queue_add_migration(core, job, chunk);
	}
	for (uint32_t index = 0; index < job->records.old_chunk_count; index++)
		if (job->records.old_chunks[index].version &&
		    !job->records.old_chunks[index].pending_chunks)
			old_chunk_drop(core, job, index);
}

/* The chunks of the new size take over what those of the old size held. */
static void layout_raise(struct core *core, struct job *job)
{
	struct chunk *before = job->records.chunks;
	uint32_t count = job_chunk_count(job);
	struct binding *binding;

	for (uint32_t index = 0; index < count; index++)
		if (before[index].version)
			old_chunk_set(job, index, before[index].version);
	job->records.tasks_per_chunk = SMALL_CHUNK_TASKS;
	job->records.chunks = xcalloc(job_chunk_count(job), sizeof(*job->records.chunks));
	DL_FOREACH2 (job->bindings, binding, job_next)
		chunk_add_binding(binding);
	/* What waited to be written waits in the new form. */
	for (uint32_t chunk = 0; chunk < job_chunk_count(job); chunk++)
		if (before[chunk / SMALL_PER_LARGE_CHUNK].queued_write)
			write_queue_add_chunk(core, job, chunk * SMALL_CHUNK_TASKS, 0);
	free(before);
	task_records_migrate(core, job);
}

void task_records_raise(struct core *core)
{
	struct job *job, *next;

	write_queue_discard_chunks(core);
	JOBS_FOR_EACH (core, job, next)
		layout_raise(core, job);
}
