/*
 * Chunks of task records. A chunk is a range of a job's tasks that share one record in the state
 * service. The record says which of the tasks are done, and which are bound to which machine. In
 * the first format of the records, FORMAT_LARGE_CHUNKS, a chunk has LARGE_CHUNK_TASKS tasks (a
 * large chunk), in later formats SMALL_CHUNK_TASKS (a small chunk).
 */
#ifndef PLOVERLOFT_CHUNK_H
#define PLOVERLOFT_CHUNK_H

#include <stdbool.h>
#include <stdint.h>

struct binding;
struct job;
struct pending_write;

/* A chunk, and the state of the record of the chunk. */
struct chunk {
	uint64_t version; /* version of the key of the chunk's record; 0: the chunk has no record */
	/* List of the bindings of the chunk's tasks, linked by chunk_prev and chunk_next. */
	struct binding *bindings;
	uint32_t binding_count; /* length of `bindings` */
	uint32_t bytes; /* largest size in bytes that the bindings take in the chunk's record */
	/* The queued write of the chunk's record, owned by the write queue; NULL: none is queued.
	 */
	struct pending_write *queued_write;
	bool in_flight; /* the transaction in flight writes the chunk's record */
	/* The transaction in flight deletes the chunk's record and writes the job's final record.
	 */
	bool deleted_with_job;
	/* The chunk's bindings and done tasks are on record only in the older record of a large
	 * chunk, see struct old_chunk. */
	bool in_old_format;
};

/*
 * The record of a large chunk, left from the older format FORMAT_LARGE_CHUNKS. The record is valid
 * for those of its tasks whose small chunk has no record of the newer format.
 */
struct old_chunk {
	uint64_t version; /* version of the record's key; 0: there is no such record */
	/* Number of small chunks in the record's range of tasks with `in_old_format` set; at 0, the
	 * record is deleted. */
	uint32_t pending_chunks;
};

/* The records of a job's tasks. The job owns both arrays. */
struct job_records {
	/* Number of tasks in each chunk: LARGE_CHUNK_TASKS or SMALL_CHUNK_TASKS. */
	uint32_t tasks_per_chunk;
	/* Array of the job's chunks, in the order of the tasks; its length is job_chunk_count. */
	struct chunk *chunks;
	/* Records of the older format, in the order of the tasks; NULL: none was found. */
	struct old_chunk *old_chunks;
	uint32_t old_chunk_count; /* length of `old_chunks` */
};

/* The number of chunks that the job's tasks are divided into; the last chunk may be smaller. */
uint32_t job_chunk_count(const struct job *job);
/* The index of the chunk that contains the task, among the chunks of the job. */
uint32_t job_chunk_index(const struct job *job, uint32_t task);
/* Adds the binding to the chunk of its task, and sets the binding's `record_bytes`. */
void chunk_add_binding(struct binding *binding);
/* Removes the binding from its chunk. The caller requests the write of the chunk's record. */
void chunk_remove_binding(struct binding *binding);
/* True if the task of the binding has another binding in the same chunk. */
bool chunk_has_other_binding(const struct binding *binding);

#endif
