/*
 * Failures of tasks and refused starts: the backoffs of jobs and machines that follow from them,
 * and the drain of machines on which several jobs have failed.
 */
#ifndef PLOVERLOFT_JOB_FAILURES_H
#define PLOVERLOFT_JOB_FAILURES_H

struct core;
struct job;
struct machine;

/*
 * Handles a failure of one of the job's tasks on the machine. After the first failure, the tasks of
 * the job may be placed again at once; from the second consecutive failure on, the job gets a
 * backoff that doubles, up to ERROR_BACKOFF_MAX_S. Also adds the machine to the list of machines on
 * which the job's tasks failed.
 */
void job_handle_task_failure(const struct core *core, struct job *job,
			     const struct machine *machine);
/* Resets the count of consecutive failures: a task succeeded, or a replica ran long enough. */
void job_reset_failures(struct job *job);
/* Handles an agent's refusal to start a task of the job: the job gets a backoff. */
void job_handle_refused_start(const struct core *core, struct job *job);
/*
 * Handles a start that the machine's agent refused, since capacity is lacking or another attempt of
 * the task still runs on the machine. The machine gets a backoff: until its end, no task is placed
 * on the machine.
 */
void machine_handle_refused_start(const struct core *core, struct machine *machine);
/*
 * Adds the job to those that failed on the machine, unless the job has failed before in this term.
 * The machine is drained once MACHINE_FAILED_JOBS_MAX jobs have failed on it.
 */
void machine_add_failed_job(struct machine *machine, const struct job *job);
/* Forgets the jobs that failed on the machine. Called when a task has succeeded on the machine. */
void machine_reset_failed_jobs(struct machine *machine);

#endif
