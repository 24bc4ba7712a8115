#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"

bool task_bit_test(const uint8_t *bits, uint32_t task)
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

uint32_t job_chunk_count(const struct job *job)
{
	return (job->spec.task_count + job->records.tasks_per_chunk - 1) /
	       job->records.tasks_per_chunk;
}

uint32_t job_chunk_of(const struct job *job, uint32_t task)
{
	return task / job->records.tasks_per_chunk;
}

unsigned job_count(const struct core *core)
{
	return HASH_COUNT(core->jobs);
}

struct job *job_find(struct core *core, const char *id)
{
	struct job *job;

	HASH_FIND_STR(core->jobs, id, job);
	return job;
}

struct job *job_add(struct core *core, const struct job_spec *spec)
{
	struct job *job = xcalloc(1, sizeof(*job));
	size_t bytes = (spec->task_count + 7) / 8 + 1;

	job->spec = *spec;
	job->done = xcalloc(1, bytes);
	job->bound = xcalloc(1, bytes);
	job->records.tasks_per_chunk =
	    election_format(core) >= FORMAT_SMALL_CHUNKS ? SMALL_CHUNK_TASKS : LARGE_CHUNK_TASKS;
	job->records.chunks = xcalloc(job_chunk_count(job), sizeof(*job->records.chunks));
	job->scheduling.waiting_since = core->now;
	HASH_ADD_STR(core->jobs, spec.id, job);
	return job;
}

/* More of an array of which `count` elements are in use; the rest is zero. */
static void *grown(void *array, size_t count, size_t wanted, size_t size)
{
	char *more = xreallocarray(array, wanted, size);

	memset(more + count * size, 0, (wanted - count) * size);
	return more;
}

void job_grow(struct job *job, uint32_t ntasks)
{
	uint32_t chunks = job_chunk_count(job);
	size_t bytes = (job->spec.task_count + 7) / 8 + 1;

	if (ntasks <= job->spec.task_count)
		return;
	job->spec.task_count = ntasks;
	job->done = grown(job->done, bytes, (ntasks + 7) / 8 + 1, 1);
	job->bound = grown(job->bound, bytes, (ntasks + 7) / 8 + 1, 1);
	job->records.chunks =
	    grown(job->records.chunks, chunks, job_chunk_count(job), sizeof(*job->records.chunks));
}

void job_free(struct core *core, struct job *job)
{
	core->events->job_forgotten(core, job);
	HASH_DEL(core->jobs, job);
	wire_job_free(&job->spec);
	free(job->done);
	free(job->bound);
	free(job->records.chunks);
	free(job->records.old_chunks);
	free(job);
}

void job_release_if_over(struct core *core, struct job *job)
{
	if (!job->orphan || job->bindings)
		return;
	for (uint32_t k = 0; k < job_chunk_count(job); k++)
		if (job->records.chunks[k].queued_write || job->records.chunks[k].in_flight)
			return;
	job_free(core, job);
}

uint32_t job_waiting_count(const struct job *job)
{
	uint32_t busy = job->done_count + job->bound_count;

	if (job->cancelled || job->orphan || job->final_queued || busy >= job->spec.task_count)
		return 0;
	return job->spec.task_count - busy;
}

/* The first task that is neither done nor bound; ntasks if there is none. */
uint32_t job_first_waiting(struct job *job)
{
	uint32_t t = job->first_waiting_hint;

	while (t < job->spec.task_count &&
	       (task_bit_test(job->done, t) || task_bit_test(job->bound, t)))
		t++;
	job->first_waiting_hint = t;
	return t;
}

void job_note_task_done(struct core *core, struct job *job, uint32_t task)
{
	if (job->orphan || task >= job->spec.task_count || task_bit_test(job->done, task) ||
	    job->spec.kind == JOB_SERVICE)
		return;
	bit_set(job->done, task, true);
	job->done_count++;
	log_debug("task_done", "job=%s task=%u done=%u of=%u", job->spec.id, task, job->done_count,
		  job->spec.task_count);
	if (job->done_count < job->spec.task_count)
		core->events->task_record_changed(core, job, task, END_DELAY_S);
}

/* Looks whether the job is over; call after anything that ends a task or a binding. */
void job_check_end(struct core *core, struct job *job)
{
	if (!job->bindings && job->gang_stopping)
		job->gang_stopping = false;
	if (job->final_queued || job->orphan)
		return;
	if (job->cancelled) {
		if (!job->bindings)
			core->events->job_over(core, job);
		return;
	}
	if (job->done_count < job->spec.task_count)
		return;
	/* The last tasks of a gang are heard of within moments: one transaction for all. */
	if (job->all_done_at <= 0)
		job->all_done_at = core->now;
	if (!job->bindings || core->now - job->all_done_at >= FINAL_WAIT_S)
		core->events->job_over(core, job);
}

void job_tick(struct core *core)
{
	struct job *job, *tmp;

	if (core->now < core->next_job_scan_at)
		return;
	core->next_job_scan_at = core->now + JOBS_EVERY_S;
	JOBS_FOR_EACH (core, job, tmp)
		if (job->all_done_at > 0 && !job->final_queued)
			job_check_end(core, job);
}

void job_cancel(struct core *core, struct job *job)
{
	struct binding *binding, *tmp;

	if (job->cancelled || job->orphan)
		return;
	job->cancelled = true;
	log_info("job_cancelled", "job=%s bound=%u", job->spec.id, job->bound_count);
	DL_FOREACH_SAFE2 (job->bindings, binding, tmp, job_next) {
		/* A start that never left needs no proof of its end. */
		if (binding_start_never_sent(binding))
			binding_end(core, binding, END_STOPPED);
		else
			binding_stop(core, binding, 0);
	}
	job_check_end(core, job);
}

void job_cancel_committed(struct core *core, const char *id, uint64_t version)
{
	struct job *job = election_is_leader(core) ? job_find(core, id) : NULL;

	if (!job || job->orphan)
		return;
	if (version > job->record_version)
		job->record_version = version;
	job_cancel(core, job);
}

void job_note_failure(struct core *core, struct job *job, struct machine *machine)
{
	double wait = ERROR_BACKOFF_S;

	for (int i = 0; i < job->scheduling.failures && wait < ERROR_BACKOFF_MAX_S; i++)
		wait *= 2;
	if (wait > ERROR_BACKOFF_MAX_S)
		wait = ERROR_BACKOFF_MAX_S;
	/* The first failure is mostly the machine's: try elsewhere at once. */
	job->scheduling.retry_at = core->now + (job->scheduling.failures ? wait : 0);
	job->scheduling.failures++;
	snprintf(job->scheduling
		     .failed_machines[job->scheduling.failed_machine_count % ERROR_JOB_MACHINES],
		 ID_MAX, "%s", machine->id);
	job->scheduling.failed_machine_count++;
}

static struct chunk *chunk_of(const struct binding *binding)
{
	return &binding->job->records.chunks[job_chunk_of(binding->job, binding->task)];
}

/* Records of an older leader may bind a task twice: it is free when both have ended. */
static bool bound_elsewhere(const struct binding *binding)
{
	const struct binding *other;

	DL_FOREACH2 (chunk_of(binding)->bindings, other, chunk_next)
		if (other != binding && other->task == binding->task)
			return true;
	return false;
}

static void binding_bit(struct binding *binding, bool on)
{
	struct job *job = binding->job;
	uint32_t task = binding->task;

	if (task >= job->spec.task_count || task_bit_test(job->bound, task) == on ||
	    (!on && bound_elsewhere(binding)))
		return;
	bit_set(job->bound, task, on);
	job->bound_count += on ? 1 : (uint32_t)-1;
	if (!on && task < job->first_waiting_hint)
		job->first_waiting_hint = task;
}

static uint32_t binding_record_bytes(const struct binding *binding)
{
	/* [attempt,"zone",task,"machine"], if it shares its start and zone with no other. */
	int bytes =
	    snprintf(NULL, 0, "[%llu,\"%s\",%u,\"%s\"],", (unsigned long long)binding->attempt,
		     binding->machine->zone, binding->task, binding->machine->id);

	return (uint32_t)bytes;
}

void chunk_add_binding(struct binding *binding)
{
	struct chunk *chunk = chunk_of(binding);

	binding->record_bytes = binding_record_bytes(binding);
	DL_APPEND2(chunk->bindings, binding, chunk_prev, chunk_next);
	chunk->binding_count++;
	chunk->bytes += binding->record_bytes;
}

static void chunk_remove(struct binding *binding)
{
	struct chunk *chunk = chunk_of(binding);

	DL_DELETE2(chunk->bindings, binding, chunk_prev, chunk_next);
	chunk->binding_count--;
	chunk->bytes -= binding->record_bytes;
}

struct binding *binding_add(struct core *core, struct machine *machine, struct job *job,
			    uint32_t task, uint64_t attempt)
{
	struct binding *binding = xcalloc(1, sizeof(*binding));

	binding->machine = machine;
	binding->job = job;
	binding->task = task;
	binding->attempt = attempt;
	binding->min_token = election_token(core);
	DL_APPEND2(machine->bindings, binding, machine_prev, machine_next);
	DL_APPEND2(job->bindings, binding, job_prev, job_next);
	machine->binding_count++;
	machine->replica_count += job->spec.kind == JOB_SERVICE;
	core->events->replicas_changed(core, machine);
	machine->free_cpus -= job->spec.cpus;
	machine->free_gpus -= job->spec.gpus;
	machine->free_mem_gb -= job->spec.mem_gb;
	binding_bit(binding, true);
	chunk_add_binding(binding);
	job->uncommitted_count++;
	team_charge(core, &job->spec, 1);
	return binding;
}

/* Its start never left, nor can an earlier leader have sent it. */
bool binding_start_never_sent(const struct binding *binding)
{
	return !binding->recovered && !binding->start_incarnation && !binding->start_sequence;
}

void binding_stop(struct core *core, struct binding *binding, double grace_s)
{
	if (binding->stopping && grace_s >= binding->grace_s)
		return;
	binding->stopping = true;
	binding->grace_s = grace_s;
	binding->stop_sent_at = 0;
	core->events->commands_due(core, binding->machine);
}

/* A gang that lost a task stops as a whole; its other tasks would notice by themselves, later. */
static void gang_lost(struct core *core, struct job *job, enum task_end_reason why)
{
	struct binding *binding;

	if (job->done_count)
		return;
	job->gang_stopping = true;
	DL_FOREACH2 (job->bindings, binding, job_next) {
		/* An orderly stop under way must not be cut short: the others are saving. */
		if (why != END_STOPPED || !binding->stopping)
			binding_stop(core, binding, 0);
	}
}

static void machine_blamed(struct machine *machine, const struct job *job)
{
	for (int i = 0; i < machine->scheduling.failed_job_count; i++)
		if (!strcmp(machine->scheduling.failed_jobs[i], job->spec.id))
			return;
	/* A job that failed elsewhere too is its owner's mistake, not this machine's. */
	if (job->scheduling.failed_machine_count > 1)
		return;
	if (machine->scheduling.failed_job_count < MACHINE_FAULT_JOBS)
		snprintf(machine->scheduling.failed_jobs[machine->scheduling.failed_job_count++],
			 ID_MAX, "%s", job->spec.id);
	if (machine->scheduling.failed_job_count == MACHINE_FAULT_JOBS &&
	    !machine->cloud.draining) {
		machine->cloud.draining = true;
		log_info("machine_faulty", "machine=%s jobs=%d", machine->id,
			 machine->scheduling.failed_job_count);
	}
}

/*
 * A replica is to run until its job is cancelled. One that ends by itself soon after its start,
 * whatever it says, is tried again after a time that grows, so that it does not take all starts;
 * one that has run begins again at once.
 */
static void replica_ended(struct core *core, struct binding *binding, enum task_end_reason why)
{
	struct job *job = binding->job;
	bool ran =
	    binding->running_since > 0 && core->now - binding->running_since >= REPLICA_STEADY_S;

	if (ran)
		job->scheduling.failures = 0;
	job_note_failure(core, job, binding->machine);
	if (why == END_ERROR)
		machine_blamed(binding->machine, job);
}

static void binding_account(struct core *core, struct binding *binding, enum task_end_reason why)
{
	struct job *job = binding->job;

	if (job->spec.kind == JOB_SERVICE && (why == END_DONE || why == END_ERROR)) {
		replica_ended(core, binding, why);
	} else if (why == END_DONE) {
		binding->machine->scheduling.failed_job_count = 0;
		job->scheduling.failures = 0;
		if (job->spec.kind == JOB_GANG)
			for (uint32_t t = 0; t < job->spec.task_count; t++)
				job_note_task_done(core, job, t);
		else
			job_note_task_done(core, job, binding->task);
	} else if (why == END_ERROR) {
		job_note_failure(core, job, binding->machine);
		machine_blamed(binding->machine, job);
	} else if (why == END_NO_ROOM || why == END_BUSY || why == END_UNKNOWN_JOB) {
		job->scheduling.retry_at = core->now + REFUSED_BACKOFF_S;
		if (why != END_UNKNOWN_JOB)
			binding->machine->scheduling.backoff_until = core->now + REFUSED_BACKOFF_S;
	}
}

/* Takes the binding out of the books, whatever the reason. */
void binding_remove(struct core *core, struct binding *binding)
{
	struct machine *machine = binding->machine;
	struct job *job = binding->job;

	if (binding->running_since > 0)
		job->running_count--;
	binding_bit(binding, false);
	chunk_remove(binding);
	job->uncommitted_count -= !binding->committed;
	team_charge(core, &job->spec, -1);
	DL_DELETE2(machine->bindings, binding, machine_prev, machine_next);
	DL_DELETE2(job->bindings, binding, job_prev, job_next);
	machine->binding_count--;
	machine->replica_count -= job->spec.kind == JOB_SERVICE;
	core->events->replicas_changed(core, machine);
	machine->free_cpus += job->spec.cpus;
	machine->free_gpus += job->spec.gpus;
	machine->free_mem_gb += job->spec.mem_gb;
	if (!machine->binding_count)
		machine->cloud.idle_since = core->now;
	/* The slot stays with its job, unless pairing switched it to another. */
	if (job->spec.kind == JOB_ARRAY && !job->orphan) {
		snprintf(machine->scheduling.freed_slot_job,
			 sizeof(machine->scheduling.freed_slot_job), "%s",
			 *binding->switched_to ? binding->switched_to : job->spec.id);
		machine->scheduling.freed_slot_until = core->now + FREED_SLOT_S;
	}
	core->events->task_record_changed(core, job, binding->task, END_DELAY_S);
	free(binding);
}

/* The end of a binding, proved. The record follows in the next transaction. */
void binding_end(struct core *core, struct binding *binding, enum task_end_reason why)
{
	struct machine *machine = binding->machine;
	struct job *job = binding->job;

	log_info("binding_ended", "job=%s task=%u attempt=%llu machine=%s end_reason=%d",
		 job->spec.id, binding->task, (unsigned long long)binding->attempt, machine->id,
		 why);
	binding_account(core, binding, why);
	binding_remove(core, binding);
	if (job->spec.kind == JOB_GANG && why != END_DONE && !job->cancelled)
		gang_lost(core, job, why);
	job->scheduling.waiting_since = core->now;
	job_check_end(core, job);
	job_release_if_over(core, job);
	core->events->placement_needed(core);
}

/*
 * A task that is bound here no more, listed as done: the leader before recorded the end of its
 * binding, and ended before its result was on record. Any other attempt of it is needless.
 */
void job_note_done_unbound(struct core *core, const char *id, uint32_t task)
{
	struct job *job = job_find(core, id);
	struct binding *binding;

	if (!job || job->orphan || task >= job->spec.task_count || task_bit_test(job->done, task) ||
	    job->spec.kind == JOB_SERVICE)
		return;
	for (uint32_t t = 0; t < job->spec.task_count; t++)
		if (t == task || job->spec.kind == JOB_GANG)
			job_note_task_done(core, job, t);
	DL_FOREACH2 (job->bindings, binding, job_next)
		if (task_bit_test(job->done, binding->task))
			binding_stop(core, binding, 0);
	job_check_end(core, job);
}
