/* The states of tasks on machines, from the fetch of the image to the exit. */
#include <utlist.h>

#include "standins/agents.h"
#include "standins/rules.h"
#include "standins/standin.h"

void task_exit(struct standin_task *task, enum task_end_reason reason)
{
	task->state = TASK_EXITED;
	task->end_reason = reason;
	task->machine->changed_since_report = true;
}

/*
 * True if the task does not count as missing in its gang: it is in the state `least` or a later
 * one. A task that is done or was stopped on a command is not missing either: neither makes the
 * rest of the gang fail.
 */
static bool is_present(const struct standin_task *task, enum task_state least)
{
	if (task->state != TASK_EXITED)
		return task->state >= least;
	return task->end_reason == END_DONE || task->end_reason == END_STOPPED;
}

/* True if all tasks of the gang's attempt are present, see is_present. */
static bool is_gang_complete(const struct standin_job *job, uint64_t attempt, enum task_state least)
{
	const struct standin_task *task;
	uint32_t count = 0;

	DL_FOREACH2 (job->tasks, task, job_next)
		count += task->attempt == attempt && is_present(task, least);
	return count == job->spec.task_count;
}

/*
 * The image has been fetched, and the task starts. It exits at once if it fails on this machine or
 * by its description, or if an earlier attempt has completed it. A gang's task first waits for the
 * others.
 */
static void finish_fetch(struct standin *standin, struct standin_task *task)
{
	const struct standin_job *job = task->job;

	task->state = job->spec.kind == JOB_GANG ? TASK_WAITING : TASK_RUNNING;
	task->started_at = standin->now;
	check_task_start(standin, task);
	task->machine->changed_since_report = true;
	if (task->machine->faulty || job->always_fails)
		task_exit(task, END_ERROR);
	else if (job->spec.kind != JOB_SERVICE && job_task_is_done(job, task->index))
		task_exit(task, END_DONE);
}

/* The task runs once all of its gang is present; it gives up after conf->gang_wait_s. */
static void wait_for_gang(struct standin *standin, struct standin_task *task)
{
	if (is_gang_complete(task->job, task->attempt, TASK_WAITING)) {
		task->state = TASK_RUNNING;
		task->machine->changed_since_report = true;
	} else if (standin->now - task->started_at > standin->conf->gang_wait_s) {
		task_exit(task, END_GANG_TIMEOUT);
	}
}

/* The task makes no progress while its gang is incomplete; it gives up after conf->gang_peer_s. */
static void wait_for_lost_peers(struct standin *standin, struct standin_task *task)
{
	if (task->gang_incomplete_since <= 0)
		task->gang_incomplete_since = standin->now;
	if (standin->now - task->gang_incomplete_since > standin->conf->gang_peer_s)
		task_exit(task, END_PEERS_LOST);
}

/* Records all tasks as completed: those of a gang complete together. */
static void mark_gang_done(struct standin_job *job)
{
	for (uint32_t i = 0; i < job->spec.task_count; i++)
		job_mark_task_done(job, i);
}

/* The task has run for job->run_s seconds: it exits, unless it is a replica that runs on. */
static void finish_run(struct standin_task *task)
{
	struct standin_job *job = task->job;

	if (job->spec.kind == JOB_SERVICE) {
		if (job->run_end_reason != END_NONE)
			task_exit(task, job->run_end_reason);
		return;
	}
	if (job->spec.kind == JOB_GANG)
		mark_gang_done(job);
	else
		job_mark_task_done(job, task->index);
	task_exit(task, END_DONE);
}

/* Advances a running task. */
static void advance_running(struct standin *standin, struct standin_task *task, double elapsed_s)
{
	const struct standin_job *job = task->job;

	if (job->spec.kind == JOB_GANG && !is_gang_complete(job, task->attempt, TASK_RUNNING)) {
		wait_for_lost_peers(standin, task);
		return;
	}
	task->progress += elapsed_s;
	if (task->progress >= job->run_s)
		finish_run(task);
}

static void finish_save(struct standin_task *task)
{
	task->saved = true;
	task_exit(task, END_STOPPED);
}

void task_tick(struct standin *standin, struct standin_task *task, double elapsed_s)
{
	switch (task->state) {
	case TASK_FETCHING:
		if (standin->now >= task->image_ready_at)
			finish_fetch(standin, task);
		break;
	case TASK_WAITING:
		wait_for_gang(standin, task);
		break;
	case TASK_RUNNING:
		advance_running(standin, task, elapsed_s);
		break;
	case TASK_SAVING:
		if (standin->now >= task->save_until)
			finish_save(task);
		break;
	case TASK_EXITED:
		break;
	}
}
