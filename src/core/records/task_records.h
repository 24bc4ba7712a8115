/*
 * The records of a job's tasks: which tasks are done, and which are bound to which machine.
 *
 * A record covers a chunk, a range of the job's tasks: LARGE_CHUNK_TASKS tasks in the first format,
 * SMALL_CHUNK_TASKS tasks from FORMAT_SMALL_CHUNKS on. A record of the newer format overrides what
 * a record of the older format says of the same tasks. So a job's records need not be replaced all
 * in one transaction when the format changes.
 *
 * task_records.c builds keys and values, task_record_load.c reads records, and
 * task_record_migration.c replaces records of the older format.
 */
#ifndef PLOVERLOFT_TASK_RECORDS_H
#define PLOVERLOFT_TASK_RECORDS_H

#include "core/runtime/call.h"
#include "core/model/job.h"

#define KEY_LARGE_CHUNKS "b/" /* prefix of the keys of large chunks' records, see chunk.h */
#define KEY_SMALL_CHUNKS "t/" /* prefix of the keys of small chunks' records, see chunk.h */

/*
 * The value of a task record is {"done": TEXT, "bound": [GROUP, ...]}. TEXT is the bitmap of done
 * tasks as encoded by bits_encode. A group lists the bindings that have one attempt number and are
 * in one zone: [attempt, zone, task, machine, task, machine, ...]
 */
enum task_group_index { GROUP_ATTEMPT, GROUP_ZONE, GROUP_FIRST_TASK };

/* Writes the key of the chunk's record in the format that the job's records have now. */
void task_record_key(char key[KEY_MAX], const struct job *job, uint32_t chunk_index);
/* Writes the key of a large chunk's record, whatever format the job's records have now. */
void task_record_large_key(char key[KEY_MAX], const struct job *job, uint32_t chunk_index);
/* Returns the value of the chunk's record for the present state of the chunk. The caller owns the
 * value. */
json_t *task_record_value(const struct job *job, uint32_t chunk_index);
/* Returns true if one more binding might make the record of the task's chunk larger than a value in
 * the state service may be. */
bool task_record_is_full(const struct core *core, const struct job *job, uint32_t task);
/* Returns true if the chunk has a record but no bindings, and no write of the chunk's record is
 * queued or in flight. */
bool task_record_is_idle(const struct chunk *chunk);
/* Returns true if the job has its final record and the chunk has no bindings, so that the chunk's
 * record is to be deleted. */
bool task_record_is_obsolete(const struct job *job, uint32_t chunk_index);

/*
 * Loads a task record that recovery has read: adds the bindings and done tasks in the record to
 * their job. If the job has no open record any more, it is added as an orphaned job (see struct
 * job), which only keeps the bindings; a record without bindings is deleted instead. Keys that do
 * not have the form of a task record's key are ignored.
 */
void task_record_load(struct core *core, const struct kv_item *entry);

/* Sets the version of the job's record of a large chunk at index `old_index` of `old_chunks`. The
 * record is kept until records of small chunks replace it. */
void task_record_set_old_version(struct job *job, uint32_t old_index, uint64_t version);
/*
 * Ends the migration of a small chunk, if it is being migrated: the chunk's own record is
 * committed, or none is needed. Once the migration of all chunks that the older record of a large
 * chunk covers has ended, the older record is deleted.
 */
void task_record_finish_migration(struct core *core, struct job *job, uint32_t chunk_index);
/* Switches the records of all jobs' tasks from the first format to the newest. */
void task_records_raise_format(struct core *core);
/* Queues the writes that replace the job's records of the older format by records of the newer
 * format, and the deletes of older records that need no replacement. */
void task_records_migrate(struct core *core, struct job *job);

#endif
