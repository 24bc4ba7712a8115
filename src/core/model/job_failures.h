/*
 * Failures: the backoff of a job whose tasks fail or whose starts are refused, and the machines on
 * which jobs fail.
 */
#ifndef PLOVERLOFT_JOB_FAILURES_H
#define PLOVERLOFT_JOB_FAILURES_H

struct core;
struct job;
struct machine;

/* A task of the job failed on the machine: it is retried after a time that doubles. */
void job_note_failure(const struct core *core, struct job *job, const struct machine *machine);
/* A task of the job did what it is for: the next failure counts as the first. */
void job_reset_failures(struct job *job);
/* An agent refused to start a task of the job. */
void job_note_refused_start(const struct core *core, struct job *job);
/* The agent has no room: nothing is started there for a while. */
void machine_note_refused_start(const struct core *core, struct machine *machine);
/* The job failed on the machine, which is drained if that happened to several jobs. */
void machine_note_failed_job(struct machine *machine, const struct job *job);
/* A task succeeded on the machine: earlier failures do not count any more. */
void machine_reset_failed_jobs(struct machine *machine);

#endif
