/*
 * Jobs: what is known of their tasks, and the teams that they count for.
 */
#ifndef PLOVERLOFT_JOB_H
#define PLOVERLOFT_JOB_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "constants.h"
#include "wire/wire.h"

struct binding;
struct core;
struct machine;
struct pending_write;

/* The record of a range of a job's tasks: what is done of it and what is bound where. */
struct chunk {
	uint64_t version; /* 0: no record */
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

/* How the scheduler treats a job that waits. */
struct job_scheduling {
	double retry_at;      /* steady; backoff after failures: no placement before */
	double waiting_since; /* steady */
	double order_key;     /* its place in the order of a scheduling cycle */
	int failures;	      /* in a row */
	char failed_machines[ERROR_JOB_MACHINES][ID_MAX]; /* a ring of the latest */
	int failed_machine_count;			  /* ever */
	double reserved_until;		  /* steady; room is reserved for it; 0: none */
	bool reserving;			  /* more is reserved as it falls free */
	char reserved_zone[NAME_MAX_LEN]; /* empty: any */
	double next_preemption_at;	  /* steady; no look for room to be made before */
};

/* The job's records of tasks. */
struct job_records {
	uint32_t tasks_per_chunk;
	struct chunk *chunks;
	struct old_chunk *old_chunks; /* NULL: none */
	uint32_t old_chunk_count;
};

struct job {
	struct job_spec spec;
	uint64_t record_version;
	double submitted_at; /* wall */
	bool cancelled;
	bool orphan; /* only its bindings are known: it is final */
	bool final_queued, final_committed;
	uint8_t *done; /* one bit per task */
	uint8_t *bound;
	uint32_t done_count, bound_count, running_count;
	uint32_t first_waiting_hint; /* no waiting task lies before it */
	uint64_t gang_attempt;	     /* the attempt under way */
	bool gang_stopping;
	double all_done_at; /* steady; when its last task was learned to be done; 0: not yet */
	uint32_t uncommitted_count; /* bindings not on record yet */
	struct binding *bindings;
	struct job_scheduling scheduling;
	struct job_records records;
	UT_hash_handle hh;
};

/* What a team holds: a task counts until its end is proved. */
struct team {
	const struct conf_team *conf;
	double cpus, gpus; /* bound */
};

/* All jobs that are known; `next` is a second cursor, so that `job` may be freed. */
#define JOBS_FOR_EACH(core, job, next) HASH_ITER (hh, (core)->jobs, job, next)

unsigned job_count(const struct core *core);
/* NULL if it is not known. */
struct job *job_find(struct core *core, const char *id);
/* Takes over what the description holds. */
struct job *job_add(struct core *core, const struct job_spec *spec);
void job_cancel(struct core *core, struct job *job);
/* A cancellation is on record, with this version of the job's key: the leader stops its tasks. */
void job_cancel_committed(struct core *core, const char *id, uint64_t version);
void job_note_task_done(struct core *core, struct job *job, uint32_t task);
void job_note_done_unbound(struct core *core, const char *id, uint32_t task);
bool task_bit_test(const uint8_t *bits, uint32_t task);
uint32_t job_chunk_count(const struct job *job);
uint32_t job_chunk_of(const struct job *job, uint32_t task);
/* Counts the binding in the chunk that holds its task. */
void chunk_add_binding(struct binding *binding);
/* Makes room for so many tasks of a job whose description is not known. */
void job_grow(struct job *job, uint32_t ntasks);
uint32_t job_waiting_count(const struct job *job);
uint32_t job_first_waiting(struct job *job);
void job_check_end(struct core *core, struct job *job);
void job_tick(struct core *core);
void job_free(struct core *core, struct job *job);
/* Frees a job that is over once nothing of it is bound or being written. */
void job_release_if_over(struct core *core, struct job *job);
void job_note_failure(struct core *core, struct job *job, struct machine *machine);

/* teams.c */
struct team *team_find(struct core *core, const char *name);
bool team_has_room(struct core *core, const struct job_spec *spec, uint32_t tasks);
bool team_ever_fits(const struct conf *conf, const struct job_spec *spec);
void team_charge(struct core *core, const struct job_spec *spec, double sign);

/* bits.c: done bits as text, which the caller owns */
char *bits_encode(const uint8_t *bits, uint32_t nbits);
int bits_decode(const char *s, uint8_t *bits, uint32_t nbits);

#endif
