/*
 * The records of a job's tasks: which are done, and which are bound to which machine.
 *
 * A record covers a range of the job's tasks, a chunk: LARGE_CHUNK_TASKS of them in the first
 * format, SMALL_CHUNK_TASKS since FORMAT_SMALL_CHUNKS. A newer record stands for its tasks whatever
 * an older one says, so the change from one format to the other needs no transaction of its own.
 *
 * task_records.c makes the records' keys and values, task_record_load.c reads them, and
 * task_record_migration.c replaces those of the older format.
 */
#ifndef PLOVERLOFT_TASK_RECORDS_H
#define PLOVERLOFT_TASK_RECORDS_H

#include "core/runtime/call.h"
#include "core/model/job.h"

#define KEY_LARGE_CHUNKS "b/" /* of LARGE_CHUNK_TASKS tasks */
#define KEY_SMALL_CHUNKS "t/" /* of SMALL_CHUNK_TASKS tasks, from FORMAT_SMALL_CHUNKS on */

/*
 * A record's value is {"done": TEXT, "bound": [GROUP, ...]}, with the done bits as by bits_encode.
 * A group is the list of bindings of one attempt and zone: [attempt, zone, task, machine, task,
 * machine, ...]
 */
enum task_group_index { GROUP_ATTEMPT, GROUP_ZONE, GROUP_FIRST_TASK };

/* Writes the key of the chunk's record in the job's present format. */
void task_record_key(char key[KEY_MAX], const struct job *job, uint32_t chunk_index);
/* Writes the key of the record of a large chunk, whatever the job's present format is. */
void task_record_large_key(char key[KEY_MAX], const struct job *job, uint32_t chunk_index);
/* The record's value as the chunk is now. The caller owns it. */
json_t *task_record_value(const struct job *job, uint32_t chunk_index);
/* True if one more binding could make the task's record larger than one value may be. */
bool task_record_is_full(const struct core *core, const struct job *job, uint32_t task);
/* True if the chunk is on record, with nothing bound in it and no write queued or in flight. */
bool task_record_is_idle(const struct chunk *chunk);
/* True if the job is over and nothing is bound in the chunk: its record is to be deleted. */
bool task_record_is_obsolete(const struct job *job, uint32_t chunk_index);

/*
 * Takes a record that recovery has read: into its job, or into a job made for it if the job's own
 * record was deleted. Keys that are none of a record of tasks are ignored.
 */
void task_record_load(struct core *core, const struct kv_item *entry);

/* Notes the record of a large chunk, which counts until newer records replace it. */
void task_record_note_old(struct job *job, uint32_t old_index, uint64_t version);
/* The chunk's newer record is written or not needed: the older one may be deleted. */
void task_record_note_superseded(struct core *core, struct job *job, uint32_t chunk_index);
/* Writes the tasks of all jobs in the newest format from now on. */
void task_records_raise(struct core *core);
/* Queues what is needed for the job's records of the older format to be replaced by newer ones. */
void task_records_migrate(struct core *core, struct job *job);

#endif
