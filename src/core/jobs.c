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

uint32_t job_chunks(const struct job *job)
{
	return (job->spec.ntasks + job->chunk_tasks - 1) / job->chunk_tasks;
}

uint32_t job_chunk_of(const struct job *job, uint32_t task)
{
	return task / job->chunk_tasks;
}

struct job *job_find(struct core *core, const char *id)
{
	struct job *job;

	HASH_FIND_STR(core->jobs, id, job);
	return job;
}

struct job *job_add(struct core *core, const struct job_spec *spec)
{
	struct job *job = calloc(1, sizeof(*job));
	size_t bytes = (spec->ntasks + 7) / 8 + 1;

	if (!job)
		abort();
	job->spec = *spec;
	job->done = calloc(1, bytes);
	job->bound = calloc(1, bytes);
	job->chunk_tasks = core->election.format >= FORMAT_PIECES ? PIECE_TASKS : CHUNK_TASKS;
	job->chunks = calloc(job_chunks(job), sizeof(*job->chunks));
	if (!job->done || !job->bound || !job->chunks)
		abort();
	job->waiting_since = core->now;
	HASH_ADD_STR(core->jobs, spec.id, job);
	return job;
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

void job_grow(struct job *job, uint32_t ntasks)
{
	uint32_t chunks = job_chunks(job);
	size_t bytes = (job->spec.ntasks + 7) / 8 + 1;

	if (ntasks <= job->spec.ntasks)
		return;
	job->spec.ntasks = ntasks;
	job->done = grown(job->done, bytes, (ntasks + 7) / 8 + 1, 1);
	job->bound = grown(job->bound, bytes, (ntasks + 7) / 8 + 1, 1);
	job->chunks = grown(job->chunks, chunks, job_chunks(job), sizeof(*job->chunks));
}

void job_free(struct core *core, struct job *job)
{
	plan_release(core, job);
	HASH_DEL(core->jobs, job);
	wire_job_free(&job->spec);
	free(job->done);
	free(job->bound);
	free(job->chunks);
	free(job->old_chunks);
	free(job);
}

void job_release(struct core *core, struct job *job)
{
	if (!job->orphan || job->bindings)
		return;
	for (uint32_t k = 0; k < job_chunks(job); k++)
		if (job->chunks[k].queued || job->chunks[k].in_flight)
			return;
	job_free(core, job);
}

/* Its record would grow beyond what one value may hold. */
bool job_chunk_full(const struct core *core, const struct job *job, uint32_t task)
{
	return job->chunks[job_chunk_of(job, task)].bytes + CHUNK_SPARE_BYTES + CHUNK_ENTRY_BYTES >
	       limits_value_bytes(core);
}

uint32_t job_waiting(const struct job *job)
{
	uint32_t busy = job->ndone + job->nbound;

	if (job->cancelled || job->orphan || job->final_queued || busy >= job->spec.ntasks)
		return 0;
	return job->spec.ntasks - busy;
}

/* The first task that is neither done nor bound; ntasks if there is none. */
uint32_t job_next_waiting(struct job *job)
{
	uint32_t t = job->next_task;

	while (t < job->spec.ntasks && (job_bit(job->done, t) || job_bit(job->bound, t)))
		t++;
	job->next_task = t;
	return t;
}

void job_task_done(struct core *core, struct job *job, uint32_t task)
{
	if (job->orphan || task >= job->spec.ntasks || job_bit(job->done, task) ||
	    job->spec.kind == JOB_SERVICE)
		return;
	bit_set(job->done, task, true);
	job->ndone++;
	log_debug("task_done", "job=%s task=%u done=%u of=%u", job->spec.id, task, job->ndone,
		  job->spec.ntasks);
	if (job->ndone < job->spec.ntasks)
		commit_chunk(core, job, task, END_DELAY_S);
}

/* Looks whether the job is over; call after anything that ends a task or a binding. */
void job_settle(struct core *core, struct job *job)
{
	if (!job->bindings && job->gang_stopping)
		job->gang_stopping = false;
	if (job->final_queued || job->orphan)
		return;
	if (job->cancelled) {
		if (!job->bindings)
			commit_final(core, job);
		return;
	}
	if (job->ndone < job->spec.ntasks)
		return;
	/* The last tasks of a gang are heard of within moments: one transaction for all. */
	if (job->done_at <= 0)
		job->done_at = core->now;
	if (!job->bindings || core->now - job->done_at >= FINAL_WAIT_S)
		commit_final(core, job);
}

void job_tick(struct core *core)
{
	struct job *job, *tmp;

	if (core->now < core->next_jobs)
		return;
	core->next_jobs = core->now + JOBS_EVERY_S;
	HASH_ITER (hh, core->jobs, job, tmp)
		if (job->done_at > 0 && !job->final_queued)
			job_settle(core, job);
}

void job_cancel(struct core *core, struct job *job)
{
	struct binding *binding, *tmp;

	if (job->cancelled || job->orphan)
		return;
	job->cancelled = true;
	log_info("job_cancelled", "job=%s bound=%u", job->spec.id, job->nbound);
	DL_FOREACH_SAFE2 (job->bindings, binding, tmp, jnext) {
		/* A start that never left needs no proof of its end. */
		if (binding_unsent(binding))
			binding_end(core, binding, WHY_STOPPED);
		else
			binding_stop(core, binding, 0);
	}
	job_settle(core, job);
}

void job_cancel_committed(struct core *core, const char *id, uint64_t version)
{
	struct job *job = core->election.role == ROLE_LEAD ? job_find(core, id) : NULL;

	if (!job || job->orphan)
		return;
	if (version > job->version)
		job->version = version;
	job_cancel(core, job);
}

void job_failed_on(struct core *core, struct job *job, struct machine *machine)
{
	double wait = ERROR_BACKOFF_S;

	for (int i = 0; i < job->errors && wait < ERROR_BACKOFF_MAX_S; i++)
		wait *= 2;
	if (wait > ERROR_BACKOFF_MAX_S)
		wait = ERROR_BACKOFF_MAX_S;
	/* The first failure is mostly the machine's: try elsewhere at once. */
	job->not_before = core->now + (job->errors ? wait : 0);
	job->errors++;
	snprintf(job->bad[job->nbad % ERROR_JOB_MACHINES], ID_MAX, "%s", machine->id);
	job->nbad++;
}

static struct chunk *chunk_of(const struct binding *binding)
{
	return &binding->job->chunks[job_chunk_of(binding->job, binding->task)];
}

/* Records of an older leader may bind a task twice: it is free when both have ended. */
static bool bound_elsewhere(const struct binding *binding)
{
	const struct binding *other;

	DL_FOREACH2 (chunk_of(binding)->bindings, other, cnext)
		if (other != binding && other->task == binding->task)
			return true;
	return false;
}

static void binding_bit(struct binding *binding, bool on)
{
	struct job *job = binding->job;
	uint32_t task = binding->task;

	if (task >= job->spec.ntasks || job_bit(job->bound, task) == on ||
	    (!on && bound_elsewhere(binding)))
		return;
	bit_set(job->bound, task, on);
	job->nbound += on ? 1 : (uint32_t)-1;
	if (!on && task < job->next_task)
		job->next_task = task;
}

void chunk_add(struct binding *binding)
{
	struct chunk *chunk = chunk_of(binding);

	binding->record_bytes = task_record_bytes(binding);
	DL_APPEND2(chunk->bindings, binding, cprev, cnext);
	chunk->nbound++;
	chunk->bytes += binding->record_bytes;
}

static void chunk_remove(struct binding *binding)
{
	struct chunk *chunk = chunk_of(binding);

	DL_DELETE2(chunk->bindings, binding, cprev, cnext);
	chunk->nbound--;
	chunk->bytes -= binding->record_bytes;
}

struct binding *binding_add(struct core *core, struct machine *machine, struct job *job,
			    uint32_t task, uint64_t attempt)
{
	struct binding *binding = calloc(1, sizeof(*binding));

	if (!binding)
		abort();
	binding->machine = machine;
	binding->job = job;
	binding->task = task;
	binding->attempt = attempt;
	binding->floor_token = core->election.token;
	DL_APPEND2(machine->bindings, binding, mprev, mnext);
	DL_APPEND2(job->bindings, binding, jprev, jnext);
	machine->nbindings++;
	machine->nreplicas += job->spec.kind == JOB_SERVICE;
	replica_watch_update(core, machine);
	machine->cpus -= job->spec.cpus;
	machine->gpus -= job->spec.gpus;
	machine->mem_gb -= job->spec.mem_gb;
	binding_bit(binding, true);
	chunk_add(binding);
	job->uncommitted++;
	team_charge(core, &job->spec, 1);
	return binding;
}

/* Its start never left, nor can an earlier leader have sent it. */
bool binding_unsent(const struct binding *binding)
{
	return !binding->loaded && !binding->sent_session && !binding->beat_seq;
}

void binding_stop(struct core *core, struct binding *binding, double grace_s)
{
	if (binding->stopping && grace_s >= binding->grace_s)
		return;
	binding->stopping = true;
	binding->grace_s = grace_s;
	binding->stop_at = 0;
	commands_wanted(core, binding->machine);
}

/* A gang that lost a task stops as a whole; its other tasks would notice by themselves, later. */
static void gang_lost(struct core *core, struct job *job, enum task_why why)
{
	struct binding *binding;

	if (job->ndone)
		return;
	job->gang_stopping = true;
	DL_FOREACH2 (job->bindings, binding, jnext) {
		/* An orderly stop under way must not be cut short: the others are saving. */
		if (why != WHY_STOPPED || !binding->stopping)
			binding_stop(core, binding, 0);
	}
}

static void machine_blamed(struct machine *machine, const struct job *job)
{
	for (int i = 0; i < machine->nfailed_jobs; i++)
		if (!strcmp(machine->failed_jobs[i], job->spec.id))
			return;
	/* A job that failed elsewhere too is its owner's mistake, not this machine's. */
	if (job->nbad > 1)
		return;
	if (machine->nfailed_jobs < MACHINE_FAULT_JOBS)
		snprintf(machine->failed_jobs[machine->nfailed_jobs++], ID_MAX, "%s", job->spec.id);
	if (machine->nfailed_jobs == MACHINE_FAULT_JOBS && !machine->draining) {
		machine->draining = true;
		log_info("machine_faulty", "machine=%s jobs=%d", machine->id,
			 machine->nfailed_jobs);
	}
}

/*
 * A replica is to run until its job is cancelled. One that ends by itself soon after its start,
 * whatever it says, is tried again after a time that grows, so that it does not take all starts;
 * one that has run begins again at once.
 */
static void replica_ended(struct core *core, struct binding *binding, enum task_why why)
{
	struct job *job = binding->job;
	bool ran =
	    binding->running_since > 0 && core->now - binding->running_since >= REPLICA_STEADY_S;

	if (ran)
		job->errors = 0;
	job_failed_on(core, job, binding->machine);
	if (why == WHY_ERROR)
		machine_blamed(binding->machine, job);
}

static void binding_account(struct core *core, struct binding *binding, enum task_why why)
{
	struct job *job = binding->job;

	if (job->spec.kind == JOB_SERVICE && (why == WHY_DONE || why == WHY_ERROR)) {
		replica_ended(core, binding, why);
	} else if (why == WHY_DONE) {
		binding->machine->nfailed_jobs = 0;
		job->errors = 0;
		if (job->spec.kind == JOB_GANG)
			for (uint32_t t = 0; t < job->spec.ntasks; t++)
				job_task_done(core, job, t);
		else
			job_task_done(core, job, binding->task);
	} else if (why == WHY_ERROR) {
		job_failed_on(core, job, binding->machine);
		machine_blamed(binding->machine, job);
	} else if (why == WHY_NO_ROOM || why == WHY_BUSY || why == WHY_UNKNOWN) {
		job->not_before = core->now + REFUSED_BACKOFF_S;
		if (why != WHY_UNKNOWN)
			binding->machine->no_place_until = core->now + REFUSED_BACKOFF_S;
	}
}

/* Takes the binding out of the books, whatever the reason. */
void binding_drop(struct core *core, struct binding *binding)
{
	struct machine *machine = binding->machine;
	struct job *job = binding->job;

	if (binding->running_since > 0)
		job->nrunning--;
	binding_bit(binding, false);
	chunk_remove(binding);
	job->uncommitted -= !binding->committed;
	team_charge(core, &job->spec, -1);
	DL_DELETE2(machine->bindings, binding, mprev, mnext);
	DL_DELETE2(job->bindings, binding, jprev, jnext);
	machine->nbindings--;
	machine->nreplicas -= job->spec.kind == JOB_SERVICE;
	replica_watch_update(core, machine);
	machine->cpus += job->spec.cpus;
	machine->gpus += job->spec.gpus;
	machine->mem_gb += job->spec.mem_gb;
	if (!machine->nbindings)
		machine->idle_since = core->now;
	/* The slot stays with its job, unless pairing switched it to another. */
	if (job->spec.kind == JOB_ARRAY && !job->orphan) {
		snprintf(machine->turn, sizeof(machine->turn), "%s",
			 *binding->switched_to ? binding->switched_to : job->spec.id);
		machine->turn_until = core->now + TURN_S;
	}
	commit_chunk(core, job, binding->task, END_DELAY_S);
	free(binding);
}

/* The end of a binding, proved. The record follows in the next transaction. */
void binding_end(struct core *core, struct binding *binding, enum task_why why)
{
	struct machine *machine = binding->machine;
	struct job *job = binding->job;

	log_info("task_end", "job=%s task=%u attempt=%llu machine=%s why=%d", job->spec.id,
		 binding->task, (unsigned long long)binding->attempt, machine->id, why);
	binding_account(core, binding, why);
	binding_drop(core, binding);
	if (job->spec.kind == JOB_GANG && why != WHY_DONE && !job->cancelled)
		gang_lost(core, job, why);
	job->waiting_since = core->now;
	job_settle(core, job);
	job_release(core, job);
	round_wanted(core);
}

/*
 * A task that is bound here no more, listed as done: the leader before recorded the end of its
 * binding, and ended before its result was on record. Any other attempt of it is needless.
 */
void job_done_unbound(struct core *core, const char *id, uint32_t task)
{
	struct job *job = job_find(core, id);
	struct binding *binding;

	if (!job || job->orphan || task >= job->spec.ntasks || job_bit(job->done, task) ||
	    job->spec.kind == JOB_SERVICE)
		return;
	for (uint32_t t = 0; t < job->spec.ntasks; t++)
		if (t == task || job->spec.kind == JOB_GANG)
			job_task_done(core, job, t);
	DL_FOREACH2 (job->bindings, binding, jnext)
		if (job_bit(job->done, binding->task))
			binding_stop(core, binding, 0);
	job_settle(core, job);
}
