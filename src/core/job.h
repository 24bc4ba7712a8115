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
struct write;

/* The record of a range of a job's tasks: what is done of it and what is bound where. */
struct chunk {
	uint64_t version; /* 0: no record */
	struct binding *bindings;
	uint32_t nbound;
	uint32_t bytes;	      /* of its bindings in the record, at most */
	struct write *queued; /* its write that waits; NULL: none */
	bool in_flight;	      /* the transaction under way writes it */
	bool ending;	      /* the transaction under way drops it with its job */
	bool in_old;	      /* a record of the format before says what it holds */
};

/* A record of the format before, which counts where no newer one stands for its tasks. */
struct old_chunk {
	uint64_t version; /* 0: no record */
	uint32_t pending; /* chunks whose newer records are still to be written */
};

struct job {
	struct job_spec spec;
	uint64_t version; /* of its record */
	double submitted; /* wall */
	bool cancelled;
	bool orphan; /* only its bindings are known: it is final */
	bool final_queued, final_done;
	uint8_t *done; /* one bit per task */
	uint8_t *bound;
	uint32_t ndone, nbound, nrunning;
	uint32_t next_task; /* no waiting task lies before it */
	uint64_t attempt;   /* gang: the attempt under way */
	bool gang_stopping;
	double not_before; /* steady */
	int errors;
	char bad[ERROR_JOB_MACHINES][ID_MAX];
	int nbad;
	double done_at;	   /* steady; its last task was heard to be done; 0: not yet */
	double hold_until; /* steady; room is held for it; 0: none */
	double due;	   /* its place in the order of a round */
	bool gathering;	   /* more is held as it falls free */
	char hold_zone[NAME_MAX_LEN];
	double next_plan;     /* no look for room to be made before */
	double waiting_since; /* steady */
	uint32_t chunk_tasks; /* tasks whose bindings share a record */
	struct chunk *chunks;
	struct old_chunk *old_chunks; /* NULL: none */
	uint32_t old_count;
	uint32_t uncommitted; /* bindings not on record yet */
	struct binding *bindings;
	UT_hash_handle hh;
};

/* What a team holds: a task counts until its end is proved. */
struct team {
	const struct conf_team *conf;
	double cpus, gpus; /* bound */
};

/* NULL if it is not known. */
struct job *job_find(struct core *core, const char *id);
/* Takes over what the description holds. */
struct job *job_add(struct core *core, const struct job_spec *spec);
void job_cancel(struct core *core, struct job *job);
/* A cancellation is on record, with this version of the job's key: the leader stops its tasks. */
void job_cancel_committed(struct core *core, const char *id, uint64_t version);
void job_task_done(struct core *core, struct job *job, uint32_t task);
void job_done_unbound(struct core *core, const char *id, uint32_t task);
bool job_bit(const uint8_t *bits, uint32_t task);
uint32_t job_chunks(const struct job *job);
uint32_t job_chunk_of(const struct job *job, uint32_t task);
/* Counts the binding in the chunk that holds its task. */
void chunk_add(struct binding *binding);
/* Makes room for so many tasks of a job whose description is not known. */
void job_grow(struct job *job, uint32_t ntasks);
uint32_t job_waiting(const struct job *job);
uint32_t job_next_waiting(struct job *job);
void job_settle(struct core *core, struct job *job);
void job_tick(struct core *core);
void job_free(struct core *core, struct job *job);
/* Frees a job that is over once nothing of it is bound or being written. */
void job_release(struct core *core, struct job *job);
bool job_chunk_full(const struct core *core, const struct job *job, uint32_t task);
void job_failed_on(struct core *core, struct job *job, struct machine *machine);

/* teams.c */
struct team *team_find(struct core *core, const char *name);
bool team_has_room(struct core *core, const struct job_spec *spec, uint32_t tasks);
bool team_ever_fits(const struct conf *conf, const struct job_spec *spec);
void team_charge(struct core *core, const struct job_spec *spec, double sign);

/* bits.c: done bits as text, which the caller owns */
char *bits_encode(const uint8_t *bits, uint32_t nbits);
int bits_decode(const char *s, uint8_t *bits, uint32_t nbits);

#endif
