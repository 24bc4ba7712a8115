/*
 * Chunks of task records. A chunk is a range of a job's tasks that share one record in the state
 * service: which of them are done, and which are bound to which machine.
 */
#ifndef PLOVERLOFT_CHUNK_H
#define PLOVERLOFT_CHUNK_H

#include <stdbool.h>
#include <stdint.h>

struct binding;
struct job;
struct pending_write;

/* A chunk, and the state of its record. */
struct chunk {
	uint64_t version;		    /* version of its record's key; 0: it has no record */
	struct binding *bindings;	    /* of its tasks: a list, by chunk_prev and chunk_next */
	uint32_t binding_count;		    /* length of `bindings` */
	uint32_t bytes;			    /* size of its bindings in the record, at most */
	struct pending_write *queued_write; /* owned by the write queue; NULL: no write is queued */
	bool in_flight;			    /* the transaction in flight writes its record */
	bool deleted_with_job; /* the transaction in flight deletes its record and ends its job */
	/* Its bindings and done tasks are on record only in the older record of a large chunk. */
	bool in_old_format;
};

/*
 * A record of LARGE_CHUNK_TASKS tasks that is left of the older format FORMAT_LARGE_CHUNKS. It is
 * valid for those tasks whose chunk has no record of the newer format.
 */
struct old_chunk {
	uint64_t version;	 /* version of its key; 0: it has no record */
	uint32_t pending_chunks; /* chunks with `in_old_format` set; at 0, the record is deleted */
};

/* The records of a job's tasks. The job owns both arrays. */
struct job_records {
	uint32_t tasks_per_chunk;     /* LARGE_CHUNK_TASKS or SMALL_CHUNK_TASKS */
	struct chunk *chunks;	      /* job_chunk_count elements, in the order of the tasks */
	struct old_chunk *old_chunks; /* NULL: no record of the older format was found */
	uint32_t old_chunk_count;     /* elements of `old_chunks`, in the order of the tasks */
};

/* The number of chunks that the job's tasks are divided into; the last one may be smaller. */
uint32_t job_chunk_count(const struct job *job);
/* The index of the chunk that contains the task. */
uint32_t job_chunk_index(const struct job *job, uint32_t task);
/* Adds the binding to the chunk of its task, and sets the binding's `record_bytes`. */
void chunk_add_binding(struct binding *binding);
/* Removes the binding from its chunk. The caller requests the write of the record. */
void chunk_remove_binding(struct binding *binding);
/* True if the chunk has another binding of the same task. */
bool chunk_has_other_binding(const struct binding *binding);

#endif
