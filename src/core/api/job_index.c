/*
 * The entries of the index of jobs.
 */
#include "core/api/job_index.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/records/job_record.h"
#include "core/state.h"
#include "util/xalloc.h"

struct indexed_job *job_index_find(const struct core *core, const char *id)
{
	struct indexed_job *entry;

	HASH_FIND_STR(core->api.index.entries, id, entry);
	return entry;
}

/* Returns the job's entry in the index. Adds an entry if there is none. Returns NULL for an id that
 * is longer than any job's id. */
static struct indexed_job *find_or_add(struct core *core, const char *id)
{
	struct indexed_job *entry = job_index_find(core, id);

	if (entry || strlen(id) >= ID_MAX)
		return entry;
	entry = xcalloc(1, sizeof(*entry));
	snprintf(entry->id, sizeof(entry->id), "%s", id);
	HASH_ADD_STR(core->api.index.entries, id, entry);
	return entry;
}

static void remove_entry(struct core *core, struct indexed_job *entry)
{
	struct job_index *index = &core->api.index;

	if (entry->final) {
		DL_DELETE(index->finals, entry);
		index->final_count--;
	}
	HASH_DEL(index->entries, entry);
	free(entry);
}

/* Removes the oldest final entries beyond FINAL_CACHE_MAX. The final records of these jobs can be
 * read again. */
static void trim_finals(struct core *core)
{
	while (core->api.index.final_count > FINAL_CACHE_MAX)
		remove_entry(core, core->api.index.finals);
}

void job_index_set_final(struct core *core, const char *id, enum job_state state,
			 uint32_t task_count)
{
	struct job_index *index = &core->api.index;
	struct indexed_job *entry = find_or_add(core, id);

	if (!entry || entry->final)
		return;
	entry->final = true;
	entry->status.state = state;
	entry->status.done_count = state == JOB_STATE_DONE ? task_count : 0;
	entry->status.running_count = 0;
	DL_APPEND(index->finals, entry);
	index->final_count++;
	trim_finals(core);
}

/* Applies an open record, unless the index has the job's final state: the record may be older than
 * that state, which doesn't change any more. */
static void set_open(struct core *core, const char *id, json_t *value)
{
	struct indexed_job *entry = find_or_add(core, id);
	bool cancelled = job_record_is_cancelled(value);

	if (!entry || entry->final)
		return;
	entry->status.state = cancelled ? JOB_STATE_CANCELLED : JOB_STATE_QUEUED;
}

/*
 * Applies the deletion of an open record. The transaction that deletes it also writes the final
 * record, which is applied as a change of its own. Until the final record is applied, the index
 * knows nothing of the job.
 */
static void remove_open(struct core *core, const char *id)
{
	struct indexed_job *entry = job_index_find(core, id);

	if (entry && !entry->final)
		remove_entry(core, entry);
}

/* Returns the part of the key after the prefix; NULL if the key does not begin with the prefix. */
static const char *after_prefix(const char *key, const char *prefix)
{
	size_t len = strlen(prefix);

	return strncmp(key, prefix, len) ? NULL : key + len;
}

void job_index_apply(struct core *core, const struct kv_item *item)
{
	const char *final_id = after_prefix(item->key, KEY_FINAL_JOBS);
	const char *open_id = after_prefix(item->key, KEY_OPEN_JOBS);
	struct job_outcome outcome;

	if (final_id && item->value) {
		outcome = job_record_outcome(item->value);
		job_index_set_final(core, final_id, outcome.state, outcome.task_count);
	} else if (open_id && item->value) {
		set_open(core, open_id, item->value);
	} else if (open_id) {
		remove_open(core, open_id);
	}
}

/* The entries of open jobs are removed, since these jobs may have ended by the time the open
 * records are read again. */
void job_index_invalidate(struct core *core)
{
	struct indexed_job *entry, *next;

	core->api.index.valid = false;
	HASH_ITER (hh, core->api.index.entries, entry, next)
		if (!entry->final)
			remove_entry(core, entry);
}

void job_index_clear(struct core *core)
{
	struct indexed_job *entry, *next;

	HASH_ITER (hh, core->api.index.entries, entry, next)
		remove_entry(core, entry);
}
