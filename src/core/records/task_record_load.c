/*
 * Loads the records of jobs' tasks in both formats during recovery.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/records/task_records.h"
#include "core/state.h"

/* A parsed task record. The pointers in it are valid as long as the entry from which the record was
 * parsed. */
struct task_record {
	char job_id[ID_MAX];
	uint32_t chunk_index;
	uint32_t tasks_per_chunk;
	json_t *groups;	  /* groups of bindings, see enum task_group_index */
	const char *done; /* the encoded bitmap of done tasks */
	uint64_t version;
	const char *key;
};

/* Returns false if the entry's key does not have the form of a task record's key. */
static bool parse_record(const struct kv_item *entry, struct task_record *record)
{
	bool small_chunks = !strncmp(entry->key, KEY_SMALL_CHUNKS, strlen(KEY_SMALL_CHUNKS));
	const char *prefix = small_chunks ? KEY_SMALL_CHUNKS : KEY_LARGE_CHUNKS;
	const char *job_id = entry->key + strlen(prefix);
	const char *slash = strchr(job_id, '/');

	if (!slash || (size_t)(slash - job_id) >= sizeof(record->job_id))
		return false;
	memcpy(record->job_id, job_id, (size_t)(slash - job_id));
	record->job_id[slash - job_id] = 0;
	record->chunk_index = (uint32_t)strtoul(slash + 1, NULL, 10);
	record->tasks_per_chunk = small_chunks ? SMALL_CHUNK_TASKS : LARGE_CHUNK_TASKS;
	record->groups = json_object_get(entry->value, "bound");
	record->done = json_string_value(json_object_get(entry->value, "done"));
	record->version = entry->version;
	record->key = entry->key;
	return record->chunk_index < JOB_TASKS_MAX / record->tasks_per_chunk + 1;
}

/*
 * Returns true if the task is in the record's range and the record is valid for the task. A record
 * of the older format is valid only for tasks that no record of the newer format covers.
 */
static bool record_applies_to(const struct job *job, const struct task_record *record,
			      uint32_t task)
{
	if (task >= job->spec.task_count || task / record->tasks_per_chunk != record->chunk_index)
		return false;
	return record->tasks_per_chunk == job->records.tasks_per_chunk ||
	       !job->records.chunks[job_chunk_index(job, task)].version;
}

/* Loads one binding of a group: the task at `position`, bound to the machine at the next index. */
static void load_binding(struct core *core, struct job *job, const struct task_record *record,
			 const json_t *group, size_t position)
{
	const char *zone = json_string_value(json_array_get(group, GROUP_ZONE));
	const char *machine_id = json_string_value(json_array_get(group, position + 1));
	uint64_t attempt = (uint64_t)json_integer_value(json_array_get(group, GROUP_ATTEMPT));
	uint32_t task = (uint32_t)json_integer_value(json_array_get(group, position));
	struct machine *machine;
	struct binding *binding;

	if (!machine_id || strlen(machine_id) >= ID_MAX || !record_applies_to(job, record, task))
		return;
	machine = machine_find_or_add(core, machine_id);
	if (zone && !*machine->zone)
		snprintf(machine->zone, sizeof(machine->zone), "%s", zone);
	binding = binding_add(core, machine, job, task, attempt);
	binding->recovered = true;
	binding->committed = true;
	job->uncommitted_count--;
	if (attempt > job->gang_attempt)
		job->gang_attempt = attempt;
}

static void load_bindings(struct core *core, struct job *job, const struct task_record *record)
{
	json_t *group;
	size_t i;

	json_array_foreach (record->groups, i, group)
		for (size_t position = GROUP_FIRST_TASK; position + 1 < json_array_size(group);
		     position += 2)
			load_binding(core, job, record, group, position);
}

static void load_done_tasks(struct job *job, const struct task_record *record)
{
	uint8_t bits[LARGE_CHUNK_TASKS / 8] = {0};
	uint32_t first = record->chunk_index * record->tasks_per_chunk;

	if (!record->done || bits_decode(record->done, bits, record->tasks_per_chunk))
		return;
	for (uint32_t i = 0; i < record->tasks_per_chunk; i++) {
		uint32_t task = first + i;

		if (task_bit_test(bits, i) && record_applies_to(job, record, task))
			task_bit_set(job->done, task);
	}
}

/* Adds an orphaned job: a job whose final record is written, but of which some tasks may still
 * run. */
static struct job *add_orphan(struct core *core, const char *id)
{
	struct job_spec spec = {.task_count = 1, .deadline_s = -1};
	struct job *job;

	snprintf(spec.id, sizeof(spec.id), "%s", id);
	job = job_add(core, &spec);
	job->orphan = true;
	return job;
}

/*
 * Returns the job that the record belongs to, or NULL if the record is of no use: it covers no task
 * of the job, or the job is not open and the record has no bindings. In the second case a delete of
 * the record is queued. Bindings of a job that is not open belong to an orphaned job, which is
 * added.
 */
static struct job *job_of_record(struct core *core, const struct task_record *record)
{
	struct job *job = job_find(core, record->job_id);

	if (!job && !json_array_size(record->groups)) {
		/* The job has ended, and the record has no bindings: it is not needed any more. */
		write_queue_add_delete(core, record->key, record->version);
		return NULL;
	}
	if (!job)
		job = add_orphan(core, record->job_id);
	if (job->orphan)
		job_grow(job, (record->chunk_index + 1) * record->tasks_per_chunk);
	if (record->chunk_index * record->tasks_per_chunk >= job->spec.task_count)
		return NULL;
	return job;
}

void task_record_load(struct core *core, const struct kv_item *entry)
{
	struct task_record record;
	struct job *job;

	if (!parse_record(entry, &record))
		return;
	job = job_of_record(core, &record);
	if (!job)
		return;
	if (record.tasks_per_chunk == job->records.tasks_per_chunk)
		job->records.chunks[record.chunk_index].version = record.version;
	else
		task_record_set_old_version(job, record.chunk_index, record.version);
	load_done_tasks(job, &record);
	load_bindings(core, job, &record);
}
