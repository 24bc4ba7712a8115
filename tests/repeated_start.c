/*
 * Test of late copies of starts, with real processes over the loopback interface. A machine is back
 * within a fraction of a second, and a copy of the message that carried an old start reaches it
 * before its agent has heard from the leader. Meanwhile the task
 * - was preempted there and runs on another machine; the leader's process is back at once too, or
 * - was cancelled.
 * It guards against tasks that run twice, and against cancelled tasks that run again.
 *
 * Usage: repeated_start PROGRAM
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "loopback/loopback.h"

/* Numbers of the jobs. Each of their tasks fills a machine. */
enum { FILLER = 1, TASK = 2, URGENT = 3 };

#define FILLER_RUN_S 8
#define LONG_RUN_S 300
#define STEP_S 0.05		     /* seconds between two looks at the jobs */
#define RETRY_STEPS 20		     /* steps between two submissions of a job */
#define LEADER_DOWN_S 0.3	     /* seconds until the leader's process is back */
#define COPY_DELAY_S 0.05	     /* seconds from the machine's restart to the copy */
#define WATCH_S 8		     /* seconds for which the rules are watched after a copy */
#define LATEST_LEADER_KEY "leader/2" /* leader's key in the newest format of the records */

static void add_job(struct loopback *loopback, int number, enum job_kind kind, uint32_t tasks,
		    enum job_priority priority, double run_s)
{
	struct job_spec *spec;

	loopback_add_job(loopback, number, kind, tasks, run_s);
	spec = &loopback_job(loopback, number)->spec;
	spec->cpus = LOOPBACK_MACHINE_CPUS;
	spec->priority = priority;
}

static uint32_t running_count(struct loopback *loopback, int number)
{
	const struct standin_task *task;
	uint32_t count = 0;

	DL_FOREACH2 (loopback_job(loopback, number)->tasks, task, job_next)
		count += task->state == TASK_RUNNING;
	return count;
}

/* Submits the job until all its tasks run. Returns whether they do in time. */
static bool submit_until_running(struct loopback *loopback, int number)
{
	uint32_t tasks = loopback_job(loopback, number)->spec.task_count;
	double until = net_now() + LOOPBACK_TIMEOUT_S;

	for (int step = 0; running_count(loopback, number) < tasks && net_now() < until; step++) {
		if (step % RETRY_STEPS == 0)
			loopback_submit(loopback, number,
					step / RETRY_STEPS % LOOPBACK_CONTROLLERS);
		loopback_run(loopback, STEP_S);
	}
	if (running_count(loopback, number) == tasks)
		return true;
	fprintf(stderr, "job %d does not run within %.0f s\n", number, LOOPBACK_TIMEOUT_S);
	return false;
}

/* The index of the machine on which the only task of the job runs; -1: it does not run. */
static int machine_of(struct loopback *loopback, int number)
{
	const struct standin_task *task;

	DL_FOREACH2 (loopback_job(loopback, number)->tasks, task, job_next)
		if (task->state == TASK_RUNNING)
			return (int)(task->machine - loopback->standin.machines);
	return -1;
}

static void restart_leader(struct loopback *loopback, const char *program)
{
	const char *name = loopback_leader(loopback, LATEST_LEADER_KEY);
	int leader = name ? atoi(name + strlen("node-")) : 0;

	loopback_kill(loopback, leader);
	loopback_run(loopback, LEADER_DOWN_S);
	loopback_start(loopback, leader, program);
}

/* The machine restarts, and the copy reaches it before its agent reports. */
static void restart_and_repeat(struct loopback *loopback, int machine,
			       const struct loopback_start *start)
{
	struct standin *standin = &loopback->standin;

	standin_machine_restart(standin, &standin->machines[machine]);
	standin->machines[machine].changed_since_report = false;
	loopback_run(loopback, COPY_DELAY_S);
	loopback_repeat_start(loopback, machine, start);
}

/* The task's first start is sent to one machine, where the task is then preempted. Returns whether
 * it runs on another machine in the end. */
static bool move_task(struct loopback *loopback, int *first, struct loopback_start *start)
{
	if (!submit_until_running(loopback, FILLER) || !submit_until_running(loopback, TASK))
		return false;
	*first = machine_of(loopback, TASK);
	*start = loopback_capture_start(loopback, *first);
	return submit_until_running(loopback, URGENT) && submit_until_running(loopback, TASK) &&
	       machine_of(loopback, TASK) != *first;
}

/* Returns whether the user is told of the cancellation and the task ends. */
static bool cancel_task(struct loopback *loopback)
{
	const struct standin_job *job = loopback_job(loopback, TASK);
	double until = net_now() + LOOPBACK_TIMEOUT_S;

	for (int step = 0; net_now() < until; step++) {
		if (job->known_cancelled && !running_count(loopback, TASK))
			return true;
		if (step % RETRY_STEPS == 0)
			loopback_cancel(loopback, TASK, step / RETRY_STEPS % LOOPBACK_CONTROLLERS);
		loopback_run(loopback, STEP_S);
	}
	return false;
}

static bool run_test(struct loopback *loopback, const char *program, struct loopback_start *start)
{
	int first;

	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++)
		loopback_start(loopback, i, program);
	if (!move_task(loopback, &first, start) || !start->body)
		return false;
	restart_leader(loopback, program);
	restart_and_repeat(loopback, first, start);
	loopback_run(loopback, WATCH_S);
	if (!submit_until_running(loopback, TASK) || !cancel_task(loopback))
		return false;
	restart_and_repeat(loopback, first, start);
	loopback_run(loopback, WATCH_S);
	if (!loopback->standin.starts_after_cancellation)
		return true;
	fprintf(stderr, "%llu starts after the cancellation, expected 0\n",
		(unsigned long long)loopback->standin.starts_after_cancellation);
	return false;
}

int main(int argc, char **argv)
{
	static struct loopback loopback;
	struct loopback_start start = {0};
	bool ok;

	if (argc != 2 || loopback_init(&loopback))
		return 2;
	add_job(&loopback, FILLER, JOB_GANG, LOOPBACK_MACHINES - 1, PRIO_HIGH, FILLER_RUN_S);
	add_job(&loopback, TASK, JOB_ARRAY, 1, PRIO_NORMAL, LONG_RUN_S);
	add_job(&loopback, URGENT, JOB_GANG, 1, PRIO_HIGH, LONG_RUN_S);
	ok = run_test(&loopback, argv[1], &start);
	ok = !loopback_rule_broken(&loopback) && ok;
	free(start.body);
	loopback_free(&loopback);
	return !ok;
}
