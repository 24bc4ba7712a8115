/*
 * Builds the keys and values of the records of a job's tasks.
 */
#include "core/records/task_records.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"

/* --- keys --- */

static void write_key(char key[KEY_MAX], const char *prefix, const struct job *job,
		      uint32_t chunk_index)
{
	snprintf(key, KEY_MAX, "%s%s/%u", prefix, job->spec.id, chunk_index);
}

void task_record_key(char key[KEY_MAX], const struct job *job, uint32_t chunk_index)
{
	bool small_chunks = job->records.tasks_per_chunk == SMALL_CHUNK_TASKS;

	write_key(key, small_chunks ? KEY_SMALL_CHUNKS : KEY_LARGE_CHUNKS, job, chunk_index);
}

void task_record_large_key(char key[KEY_MAX], const struct job *job, uint32_t chunk_index)
{
	write_key(key, KEY_LARGE_CHUNKS, job, chunk_index);
}

/* --- values --- */

/* Encodes the bitmap of the chunk's done tasks as text, which the caller owns. */
static char *encode_done(const struct job *job, uint32_t chunk_index)
{
	uint32_t first = chunk_index * job->records.tasks_per_chunk;
	uint32_t count = job->spec.task_count - first;

	if (count > job->records.tasks_per_chunk)
		count = job->records.tasks_per_chunk;
	return bits_encode(job->done + first / 8, count);
}

static bool group_matches(const json_t *group, const struct binding *binding)
{
	const char *zone = json_string_value(json_array_get(group, GROUP_ZONE));
	json_int_t attempt = json_integer_value(json_array_get(group, GROUP_ATTEMPT));

	return (uint64_t)attempt == binding->attempt && !strcmp(zone, binding->machine->zone);
}

/* Returns the group of the binding's attempt number and zone. Adds the group if there is none. */
static json_t *find_or_add_group(json_t *groups, const struct binding *binding)
{
	json_t *group;
	size_t i;

	json_array_foreach (groups, i, group)
		if (group_matches(group, binding))
			return group;
	group = json_pack("[I,s]", (json_int_t)binding->attempt, binding->machine->zone);
	json_array_append_new(groups, group);
	return group;
}

json_t *task_record_value(const struct job *job, uint32_t chunk_index)
{
	char *done = encode_done(job, chunk_index);
	json_t *groups = json_array();
	const struct binding *binding;
	json_t *value;

	DL_FOREACH2 (job->records.chunks[chunk_index].bindings, binding, chunk_next) {
		json_t *group = find_or_add_group(groups, binding);

		json_array_append_new(group, json_integer((json_int_t)binding->task));
		json_array_append_new(group, json_string(binding->machine->id));
	}
	value = json_pack("{s:s,s:o}", "done", done, "bound", groups);
	free(done);
	return value;
}

/* --- states of records --- */

bool task_record_is_full(const struct core *core, const struct job *job, uint32_t task)
{
	const struct chunk *chunk = &job->records.chunks[job_chunk_index(job, task)];

	return chunk->bytes + CHUNK_OVERHEAD_BYTES + CHUNK_BINDING_BYTES > limits_value_bytes(core);
}

bool task_record_is_idle(const struct chunk *chunk)
{
	return chunk->version && !chunk->binding_count && !chunk->queued_write && !chunk->in_flight;
}

bool task_record_is_obsolete(const struct job *job, uint32_t chunk_index)
{
	return job->orphan && !job->records.chunks[chunk_index].binding_count;
}
