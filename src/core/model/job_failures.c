#include "core/model/job_failures.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"

/* The backoff in seconds after a failure that `earlier_failures` consecutive failures preceded. */
static double backoff_s(int earlier_failures)
{
	double wait_s = ERROR_BACKOFF_S;

	/* The first failure is mostly the machine's fault: the job is tried elsewhere at once. */
	if (!earlier_failures)
		return 0;
	for (int i = 0; i < earlier_failures && wait_s < ERROR_BACKOFF_MAX_S; i++)
		wait_s *= 2;
	return fmin(wait_s, ERROR_BACKOFF_MAX_S);
}

void job_handle_task_failure(const struct core *core, struct job *job,
			     const struct machine *machine)
{
	struct job_scheduling *scheduling = &job->scheduling;
	int oldest = scheduling->failed_machine_count % JOB_FAILED_MACHINES_MAX;

	scheduling->retry_at = core->now + backoff_s(scheduling->consecutive_failures);
	scheduling->consecutive_failures++;
	snprintf(scheduling->failed_machines[oldest], ID_MAX, "%s", machine->id);
	scheduling->failed_machine_count++;
}

void job_reset_failures(struct job *job)
{
	job->scheduling.consecutive_failures = 0;
}

void job_handle_refused_start(const struct core *core, struct job *job)
{
	job->scheduling.retry_at = core->now + START_REFUSED_BACKOFF_S;
}

void machine_handle_refused_start(const struct core *core, struct machine *machine)
{
	machine->scheduling.backoff_until = core->now + START_REFUSED_BACKOFF_S;
}

/* True if the job is in the machine's list of jobs that failed on it. */
static bool has_failed_job(const struct machine *machine, const struct job *job)
{
	for (int i = 0; i < machine->scheduling.failed_job_count; i++)
		if (!strcmp(machine->scheduling.failed_jobs[i], job->spec.id))
			return true;
	return false;
}

void machine_add_failed_job(struct machine *machine, const struct job *job)
{
	struct machine_scheduling *scheduling = &machine->scheduling;

	if (has_failed_job(machine, job))
		return;
	/* A job that failed before, mostly on another machine, is probably faulty itself: its
	 * failure says nothing about this machine. */
	if (job->scheduling.failed_machine_count > 1)
		return;
	if (scheduling->failed_job_count < MACHINE_FAILED_JOBS_MAX) {
		snprintf(scheduling->failed_jobs[scheduling->failed_job_count], ID_MAX, "%s",
			 job->spec.id);
		scheduling->failed_job_count++;
	}
	if (scheduling->failed_job_count == MACHINE_FAILED_JOBS_MAX && !machine->cloud.draining) {
		machine->cloud.draining = true;
		log_info("machine_faulty", "machine=%s jobs=%d", machine->id,
			 scheduling->failed_job_count);
	}
}

void machine_reset_failed_jobs(struct machine *machine)
{
	machine->scheduling.failed_job_count = 0;
}
