/* Jobs, the record of their completed tasks, and the replica time of services. */
#include "standins/jobs.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "standins/standin.h"

#define BITS_PER_BYTE 8

struct standin_job *standin_job_find(struct standin *standin, const char *id)
{
	struct standin_job *job;

	HASH_FIND_STR(standin->jobs, id, job);
	return job;
}

void jobs_free(struct standin *standin)
{
	struct standin_job *job, *next;

	HASH_ITER (hh, standin->jobs, job, next) {
		HASH_DEL(standin->jobs, job);
		wire_job_free(&job->spec);
		free(job->done);
		free(job);
	}
}

bool job_task_is_done(const struct standin_job *job, uint32_t index)
{
	return job->done[index / BITS_PER_BYTE] >> (index % BITS_PER_BYTE) & 1;
}

void job_mark_task_done(struct standin_job *job, uint32_t index)
{
	if (job_task_is_done(job, index))
		return;
	job->done[index / BITS_PER_BYTE] |= (uint8_t)(1u << (index % BITS_PER_BYTE));
	job->done_count++;
}

uint32_t job_tasks_started_together(const struct standin_job *job)
{
	return job->spec.kind == JOB_ARRAY ? 1 : job->spec.task_count;
}

bool job_cancel_overdue(const struct standin *standin, const struct standin_job *job)
{
	return job->known_cancelled &&
	       standin->now > job->known_cancelled_at + standin->conf->cancel_s;
}

bool task_counts_as_running(const struct standin_task *task)
{
	return task->machine->power == POWER_UP && task->state != TASK_EXITED &&
	       task->state != TASK_FETCHING;
}

void task_free(struct standin_task *task)
{
	DL_DELETE2(task->job->tasks, task, job_prev, job_next);
	free(task);
}

/* --- services --- */

/*
 * True if the service should have all its replicas now. It has STANDIN_SERVICE_GRACE_S to start
 * them, and need not run any more once its cancellation was requested.
 */
static bool replica_time_counts(const struct standin *standin, const struct standin_job *job)
{
	return job->spec.kind == JOB_SERVICE && job->accepted && !job->cancel_requested &&
	       standin->now - job->accepted_at > STANDIN_SERVICE_GRACE_S;
}

/* Adds the last `elapsed_s` seconds to a service's replica time. A replica on a hanging machine
 * does not serve. */
static void count_replica_time(struct standin_job *job, double elapsed_s)
{
	const struct standin_task *task;

	job->required_replica_s += job->spec.task_count * elapsed_s;
	DL_FOREACH2 (job->tasks, task, job_next)
		if (task->state == TASK_RUNNING && !task->machine->hanging)
			job->running_replica_s += elapsed_s;
}

void jobs_count_replica_time(struct standin *standin, double elapsed_s)
{
	struct standin_job *job, *next;

	HASH_ITER (hh, standin->jobs, job, next)
		if (replica_time_counts(standin, job))
			count_replica_time(job, elapsed_s);
}
