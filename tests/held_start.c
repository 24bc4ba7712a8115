/*
 * Test of starts that are held up, with real processes over the loopback interface. Answers to
 * reports, and starts with them, arrive nearly as late as agents still take them. Meanwhile the job
 * is cancelled, and in the second part the leader's process ends and is back at once. It guards
 * against tasks that run on after their job's cancellation.
 *
 * Usage: held_start PROGRAM
 */
#include <stdio.h>
#include <stdlib.h>

#include <utlist.h>

#include "loopback/loopback.h"

/* Numbers of the jobs. Each of their tasks fills a machine. */
enum { FIRST = 1, CANCELLED, SECOND, CANCELLED_AT_FAILOVER };

#define LONG_RUN_S 300
#define SHORT_RUN_S 1
#define STEP_S 0.05	      /* seconds between two looks at the jobs */
#define RETRY_STEPS 20	      /* steps between two requests of a user */
#define LEADER_DOWN_S 0.3     /* seconds until the leader's process is back */
#define HOLD_S 6	      /* seconds for which answers are held */
#define CANCELLED_AFTER_S 1.5 /* seconds from the submission to the cancellation */
/* Seconds for which the rules are watched after a cancellation: beyond its cancel_s, and less than
 * idle machines are kept. */
#define WATCH_S 17
#define CANCEL_S 15		     /* cancel_s of the settings */
#define LATEST_LEADER_KEY "leader/2" /* leader's key in the newest format of the records */

static void add_job(struct loopback *loopback, int number, double run_s)
{
	loopback_add_job(loopback, number, JOB_ARRAY, LOOPBACK_MACHINES, run_s);
	loopback_job(loopback, number)->spec.cpus = LOOPBACK_MACHINE_CPUS;
}

static bool is_accepted(const struct standin_job *job)
{
	return job->accepted;
}

static bool is_cancelled(const struct standin_job *job)
{
	return job->known_cancelled;
}

static bool is_done(const struct standin_job *job)
{
	return job->known_done;
}

/* Sends the request to one controller after the other until the job is as wanted. Returns whether
 * it is in time. */
static bool request_until(struct loopback *loopback, int number,
			  void (*request)(struct loopback *, int, int),
			  bool (*wanted)(const struct standin_job *))
{
	const struct standin_job *job = loopback_job(loopback, number);
	double until = net_now() + LOOPBACK_TIMEOUT_S;

	for (int step = 0; !wanted(job) && net_now() < until; step++) {
		if (step % RETRY_STEPS == 0)
			request(loopback, number, step / RETRY_STEPS % LOOPBACK_CONTROLLERS);
		loopback_run(loopback, STEP_S);
	}
	if (!wanted(job))
		fprintf(stderr, "job %d is not as wanted within %.0f s\n", number,
			LOOPBACK_TIMEOUT_S);
	return wanted(job);
}

static void restart_leader(struct loopback *loopback, const char *program)
{
	const char *name = loopback_leader(loopback, LATEST_LEADER_KEY);
	int leader = name ? atoi(name + sizeof("node-") - 1) : 0;

	loopback_kill(loopback, leader);
	loopback_run(loopback, LEADER_DOWN_S);
	loopback_start(loopback, leader, program);
}

/* Submits the job while answers are held, and cancels it before they arrive. Returns whether no
 * task of it is left on a machine in the end. `program`: the leader ends meanwhile and is back as
 * this program; NULL: it stays. */
static bool cancel_held_job(struct loopback *loopback, int number, const char *program)
{
	const struct standin_job *job = loopback_job(loopback, number);
	const struct standin_task *task;
	int left = 0;

	loopback_hold_answers(loopback, HOLD_S);
	if (!request_until(loopback, number, loopback_submit, is_accepted))
		return false;
	loopback_run(loopback, CANCELLED_AFTER_S);
	if (!request_until(loopback, number, loopback_cancel, is_cancelled))
		return false;
	if (program)
		restart_leader(loopback, program);
	loopback_run(loopback, WATCH_S);
	DL_FOREACH2 (job->tasks, task, job_next)
		left += task->state != TASK_EXITED;
	printf("job %d: %u starts, %d tasks left %d s after its cancellation\n", number,
	       job->starts, left, WATCH_S);
	return !left;
}

static bool run_test(struct loopback *loopback, const char *program)
{
	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++)
		loopback_start(loopback, i, program);
	return request_until(loopback, FIRST, loopback_submit, is_accepted) &&
	       request_until(loopback, FIRST, loopback_poll, is_done) &&
	       cancel_held_job(loopback, CANCELLED, NULL) &&
	       request_until(loopback, SECOND, loopback_submit, is_accepted) &&
	       request_until(loopback, SECOND, loopback_poll, is_done) &&
	       cancel_held_job(loopback, CANCELLED_AT_FAILOVER, program);
}

int main(int argc, char **argv)
{
	static struct loopback loopback;
	bool ok;

	if (argc != 2 || loopback_init(&loopback))
		return 2;
	loopback.conf.cancel_s = CANCEL_S;
	add_job(&loopback, CANCELLED, LONG_RUN_S);
	add_job(&loopback, CANCELLED_AT_FAILOVER, LONG_RUN_S);
	add_job(&loopback, FIRST, SHORT_RUN_S);
	add_job(&loopback, SECOND, SHORT_RUN_S);
	ok = run_test(&loopback, argv[1]);
	ok = !loopback_rule_broken(&loopback) && ok;
	loopback_free(&loopback);
	return !ok;
}
