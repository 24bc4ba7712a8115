/*
 * Chunks: ranges of a job's tasks that share one record, of what is done of them and what is bound
 * where.
 */
#ifndef PLOVERLOFT_CHUNK_H
#define PLOVERLOFT_CHUNK_H

#include <stdbool.h>
#include <stdint.h>

struct binding;
struct job;
struct pending_write;

struct chunk {
	uint64_t version; /* of its record; 0: no record */
	struct binding *bindings;
	uint32_t binding_count;
	uint32_t bytes;			    /* of its bindings in the record, at most */
	struct pending_write *queued_write; /* its write that waits; NULL: none */
	bool in_flight;			    /* the transaction under way writes it */
	bool ends_with_job;		    /* the transaction under way drops it with its job */
	bool in_old_format;		    /* a record of the format before says what it holds */
};

/* A record of the format before, which counts where no newer one stands for its tasks. */
struct old_chunk {
	uint64_t version;	 /* 0: no record */
	uint32_t pending_chunks; /* chunks whose newer records are still to be written */
};

/* A job's records of tasks. The job owns both arrays. */
struct job_records {
	uint32_t tasks_per_chunk;
	struct chunk *chunks;
	struct old_chunk *old_chunks; /* NULL: none */
	uint32_t old_chunk_count;
};

/* How many chunks the job's tasks take. */
uint32_t job_chunk_count(const struct job *job);
/* The index of the chunk that holds the task. */
uint32_t job_chunk_of(const struct job *job, uint32_t task);
/* Adds the binding to the chunk that holds its task, and notes its size in the record. */
void chunk_add_binding(struct binding *binding);
/* Takes the binding out of its chunk; the record is not written. */
void chunk_remove_binding(struct binding *binding);
/* Whether another binding of the same task is left in its chunk. */
bool chunk_binds_task_again(const struct binding *binding);

#endif
