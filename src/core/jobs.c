#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/round.h"
#include "core/state.h"
#include "util/log.h"

bool job_bit(const uint8_t *bits, uint32_t task)
{
	return bits[task / 8] >> (task % 8) & 1;
}

static void bit_set(uint8_t *bits, uint32_t task, bool on)
{
	if (on)
		bits[task / 8] |= (uint8_t)(1u << (task % 8));
	else
		bits[task / 8] &= (uint8_t) ~(1u << (task % 8));
}

uint32_t job_chunks(const struct job *j)
{
	return (j->spec.ntasks + j->chunk_tasks - 1) / j->chunk_tasks;
}

uint32_t job_chunk_of(const struct job *j, uint32_t task)
{
	return task / j->chunk_tasks;
}

struct job *job_find(struct core *c, const char *id)
{
	struct job *j;

	HASH_FIND_STR(c->jobs, id, j);
	return j;
}

struct job *job_add(struct core *c, const struct job_spec *spec)
{
	struct job *j = calloc(1, sizeof(*j));
	size_t bytes = (spec->ntasks + 7) / 8 + 1;

	if (!j)
		abort();
	j->spec = *spec;
	j->done = calloc(1, bytes);
	j->bound = calloc(1, bytes);
	j->chunk_tasks = c->el.format >= FORMAT_PIECES ? PIECE_TASKS : CHUNK_TASKS;
	j->chunks = calloc(job_chunks(j), sizeof(*j->chunks));
	if (!j->done || !j->bound || !j->chunks)
		abort();
	j->waiting_since = c->now;
	HASH_ADD_STR(c->jobs, spec.id, j);
	return j;
}

/* More of an array of which `count` elements are in use; the rest is zero. */
static void *grown(void *array, size_t count, size_t wanted, size_t size)
{
	char *more = realloc(array, wanted * size);

	if (!more)
		abort();
	memset(more + count * size, 0, (wanted - count) * size);
	return more;
}

void job_grow(struct job *j, uint32_t ntasks)
{
	uint32_t chunks = job_chunks(j);
	size_t bytes = (j->spec.ntasks + 7) / 8 + 1;

	if (ntasks <= j->spec.ntasks)
		return;
	j->spec.ntasks = ntasks;
	j->done = grown(j->done, bytes, (ntasks + 7) / 8 + 1, 1);
	j->bound = grown(j->bound, bytes, (ntasks + 7) / 8 + 1, 1);
	j->chunks = grown(j->chunks, chunks, job_chunks(j), sizeof(*j->chunks));
}

void job_free(struct core *c, struct job *j)
{
	plan_release(c, j);
	HASH_DEL(c->jobs, j);
	free(j->done);
	free(j->bound);
	free(j->chunks);
	free(j->old_chunks);
	free(j);
}

void job_release(struct core *c, struct job *j)
{
	if (!j->orphan || j->bindings)
		return;
	for (uint32_t k = 0; k < job_chunks(j); k++)
		if (j->chunks[k].queued || j->chunks[k].flying)
			return;
	job_free(c, j);
}

/* Its record would grow beyond what one value may hold. */
bool job_chunk_full(const struct core *c, const struct job *j, uint32_t task)
{
	return j->chunks[job_chunk_of(j, task)].bytes + CHUNK_SPARE_BYTES + CHUNK_ENTRY_BYTES >
	       limits_value_bytes(c);
}

uint32_t job_waiting(const struct job *j)
{
	uint32_t busy = j->ndone + j->nbound;

	if (j->cancelled || j->orphan || j->final_queued || busy >= j->spec.ntasks)
		return 0;
	return j->spec.ntasks - busy;
}

/* The first task that is neither done nor bound; ntasks if there is none. */
uint32_t job_next_waiting(struct job *j)
{
	uint32_t t = j->next_task;

	while (t < j->spec.ntasks && (job_bit(j->done, t) || job_bit(j->bound, t)))
		t++;
	j->next_task = t;
	return t;
}

void job_task_done(struct core *c, struct job *j, uint32_t task)
{
	if (j->orphan || task >= j->spec.ntasks || job_bit(j->done, task) ||
	    j->spec.kind == JOB_SERVICE)
		return;
	bit_set(j->done, task, true);
	j->ndone++;
	log_debug("task_done", "job=%s task=%u done=%u of=%u", j->spec.id, task, j->ndone,
		  j->spec.ntasks);
	if (j->ndone < j->spec.ntasks)
		commit_chunk(c, j, task, END_DELAY_S);
}

/* Looks whether the job is over; call after anything that ends a task or a binding. */
void job_settle(struct core *c, struct job *j)
{
	if (!j->bindings && j->gang_stopping)
		j->gang_stopping = false;
	if (j->final_queued || j->orphan)
		return;
	if (j->cancelled) {
		if (!j->bindings)
			commit_final(c, j);
		return;
	}
	if (j->ndone < j->spec.ntasks)
		return;
	/* The last tasks of a gang are heard of within moments: one transaction for all. */
	if (j->done_at <= 0)
		j->done_at = c->now;
	if (!j->bindings || c->now - j->done_at >= FINAL_WAIT_S)
		commit_final(c, j);
}

void job_tick(struct core *c)
{
	struct job *j, *tmp;

	if (c->now < c->next_jobs)
		return;
	c->next_jobs = c->now + JOBS_EVERY_S;
	HASH_ITER (hh, c->jobs, j, tmp)
		if (j->done_at > 0 && !j->final_queued)
			job_settle(c, j);
}

void job_cancel(struct core *c, struct job *j)
{
	struct binding *b, *tmp;

	if (j->cancelled || j->orphan)
		return;
	j->cancelled = true;
	log_info("job_cancelled", "job=%s bound=%u", j->spec.id, j->nbound);
	DL_FOREACH_SAFE2 (j->bindings, b, tmp, jnext) {
		/* A start that never left needs no proof of its end. */
		if (binding_unsent(b))
			binding_end(c, b, WHY_STOPPED);
		else
			binding_stop(c, b, 0);
	}
	job_settle(c, j);
}

void job_cancel_told(struct core *c, const char *id, uint64_t version)
{
	struct job *j = c->el.role == ROLE_LEAD ? job_find(c, id) : NULL;

	if (!j || j->orphan)
		return;
	if (version > j->version)
		j->version = version;
	job_cancel(c, j);
}

void job_failed_on(struct core *c, struct job *j, struct machine *m)
{
	double wait = ERROR_BACKOFF_S;

	for (int i = 0; i < j->errors && wait < ERROR_BACKOFF_MAX_S; i++)
		wait *= 2;
	if (wait > ERROR_BACKOFF_MAX_S)
		wait = ERROR_BACKOFF_MAX_S;
	/* The first failure is mostly the machine's: try elsewhere at once. */
	j->not_before = c->now + (j->errors ? wait : 0);
	j->errors++;
	snprintf(j->bad[j->nbad % ERROR_JOB_MACHINES], ID_MAX, "%s", m->id);
	j->nbad++;
}

static void binding_bit(struct binding *b, bool on)
{
	struct job *j = b->job;
	struct binding *o;

	if (b->task >= j->spec.ntasks || job_bit(j->bound, b->task) == on)
		return;
	/* Records of an older leader may bind a task twice: it is free when both have ended. */
	DL_FOREACH2 (j->bindings, o, jnext)
		if (!on && o != b && o->task == b->task)
			return;
	bit_set(j->bound, b->task, on);
	j->nbound += on ? 1 : (uint32_t)-1;
	if (!on && b->task < j->next_task)
		j->next_task = b->task;
}

static void chunk_count(struct binding *b, int sign)
{
	struct chunk *k = &b->job->chunks[job_chunk_of(b->job, b->task)];

	if (sign > 0)
		b->record_bytes = task_record_bytes(b);
	k->nbound += (uint32_t)sign;
	k->bytes += (uint32_t)sign * b->record_bytes;
}

struct binding *binding_add(struct core *c, struct machine *m, struct job *j, uint32_t task,
			    uint64_t attempt)
{
	struct binding *b = calloc(1, sizeof(*b));

	if (!b)
		abort();
	b->machine = m;
	b->job = j;
	b->task = task;
	b->attempt = attempt;
	b->floor_token = c->el.token;
	DL_APPEND2(m->bindings, b, mprev, mnext);
	DL_APPEND2(j->bindings, b, jprev, jnext);
	m->nbindings++;
	m->nreplicas += j->spec.kind == JOB_SERVICE;
	m->cpus -= j->spec.cpus;
	m->gpus -= j->spec.gpus;
	m->mem_gb -= j->spec.mem_gb;
	binding_bit(b, true);
	chunk_count(b, 1);
	j->uncommitted++;
	team_charge(c, &j->spec, 1);
	return b;
}

/* Its start never left, nor can an earlier leader have sent it. */
bool binding_unsent(const struct binding *b)
{
	return !b->loaded && !b->sent_session && !b->beat_seq;
}

void binding_stop(struct core *c, struct binding *b, double grace_s)
{
	if (b->stopping && grace_s >= b->grace_s)
		return;
	b->stopping = true;
	b->grace_s = grace_s;
	b->stop_at = 0;
	workers_kick(c, b->machine);
}

/* A gang that lost a task stops as a whole; its other tasks would notice by themselves, later. */
static void gang_lost(struct core *c, struct job *j, enum task_why why)
{
	struct binding *b;

	if (j->ndone)
		return;
	j->gang_stopping = true;
	DL_FOREACH2 (j->bindings, b, jnext) {
		/* An orderly stop under way must not be cut short: the others are saving. */
		if (why != WHY_STOPPED || !b->stopping)
			binding_stop(c, b, 0);
	}
}

static void machine_blamed(struct machine *m, const struct job *j)
{
	for (int i = 0; i < m->nfailed_jobs; i++)
		if (!strcmp(m->failed_jobs[i], j->spec.id))
			return;
	/* A job that failed elsewhere too is its owner's mistake, not this machine's. */
	if (j->nbad > 1)
		return;
	if (m->nfailed_jobs < MACHINE_FAULT_JOBS)
		snprintf(m->failed_jobs[m->nfailed_jobs++], ID_MAX, "%s", j->spec.id);
	if (m->nfailed_jobs == MACHINE_FAULT_JOBS && !m->draining) {
		m->draining = true;
		log_info("machine_faulty", "machine=%s jobs=%d", m->id, m->nfailed_jobs);
	}
}

/*
 * A replica is to run until its job is cancelled. One that ends by itself soon after its start,
 * whatever it says, is tried again after a time that grows, so that it does not take all starts;
 * one that has run begins again at once.
 */
static void replica_ended(struct core *c, struct binding *b, enum task_why why)
{
	struct job *j = b->job;
	bool ran = b->running_since > 0 && c->now - b->running_since >= REPLICA_STEADY_S;

	if (ran)
		j->errors = 0;
	job_failed_on(c, j, b->machine);
	if (why == WHY_ERROR)
		machine_blamed(b->machine, j);
}

static void binding_account(struct core *c, struct binding *b, enum task_why why)
{
	struct job *j = b->job;

	if (j->spec.kind == JOB_SERVICE && (why == WHY_DONE || why == WHY_ERROR)) {
		replica_ended(c, b, why);
	} else if (why == WHY_DONE) {
		b->machine->nfailed_jobs = 0;
		j->errors = 0;
		if (j->spec.kind == JOB_GANG)
			for (uint32_t t = 0; t < j->spec.ntasks; t++)
				job_task_done(c, j, t);
		else
			job_task_done(c, j, b->task);
	} else if (why == WHY_ERROR) {
		job_failed_on(c, j, b->machine);
		machine_blamed(b->machine, j);
	} else if (why == WHY_NO_ROOM || why == WHY_BUSY || why == WHY_UNKNOWN) {
		j->not_before = c->now + REFUSED_BACKOFF_S;
		if (why != WHY_UNKNOWN)
			b->machine->no_place_until = c->now + REFUSED_BACKOFF_S;
	}
}

/* Takes the binding out of the books, whatever the reason. */
void binding_drop(struct core *c, struct binding *b)
{
	struct machine *m = b->machine;
	struct job *j = b->job;

	if (b->running_since > 0)
		j->nrunning--;
	binding_bit(b, false);
	chunk_count(b, -1);
	j->uncommitted -= !b->committed;
	team_charge(c, &j->spec, -1);
	DL_DELETE2(m->bindings, b, mprev, mnext);
	DL_DELETE2(j->bindings, b, jprev, jnext);
	m->nbindings--;
	m->nreplicas -= j->spec.kind == JOB_SERVICE;
	m->cpus += j->spec.cpus;
	m->gpus += j->spec.gpus;
	m->mem_gb += j->spec.mem_gb;
	if (!m->nbindings)
		m->idle_since = c->now;
	/* The slot stays with its job, unless pairing switched it to another. */
	if (j->spec.kind == JOB_ARRAY && !j->orphan) {
		snprintf(m->turn, sizeof(m->turn), "%s",
			 *b->switched_to ? b->switched_to : j->spec.id);
		m->turn_until = c->now + TURN_S;
	}
	commit_chunk(c, j, b->task, END_DELAY_S);
	free(b);
}

/* The end of a binding, proved. The record follows in the next transaction. */
void binding_end(struct core *c, struct binding *b, enum task_why why)
{
	struct machine *m = b->machine;
	struct job *j = b->job;

	log_info("task_end", "job=%s task=%u attempt=%llu machine=%s why=%d", j->spec.id, b->task,
		 (unsigned long long)b->attempt, m->id, why);
	binding_account(c, b, why);
	binding_drop(c, b);
	if (j->spec.kind == JOB_GANG && why != WHY_DONE && !j->cancelled)
		gang_lost(c, j, why);
	j->waiting_since = c->now;
	job_settle(c, j);
	job_release(c, j);
	round_wanted(c);
}

/*
 * A task that is bound here no more, listed as done: the leader before recorded the end of its
 * binding, and ended before its result was on record. Any other attempt of it is needless.
 */
void job_done_unbound(struct core *c, const char *id, uint32_t task)
{
	struct job *j = job_find(c, id);
	struct binding *b;

	if (!j || j->orphan || task >= j->spec.ntasks || job_bit(j->done, task) ||
	    j->spec.kind == JOB_SERVICE)
		return;
	for (uint32_t t = 0; t < j->spec.ntasks; t++)
		if (t == task || j->spec.kind == JOB_GANG)
			job_task_done(c, j, t);
	DL_FOREACH2 (j->bindings, b, jnext)
		if (job_bit(j->done, b->task))
			binding_stop(c, b, 0);
	job_settle(c, j);
}
