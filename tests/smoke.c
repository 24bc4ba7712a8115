/*
 * Smoke test of the real program over the loopback interface: two of three controllers are killed
 * and restarted while a job array and a gang run. It guards against jobs that are lost or run twice
 * when controllers fail, and against faults in those parts of the program that simulated scenarios
 * do not run: settings, sockets and event loop. It ends as soon as both jobs are done.
 *
 * Usage: smoke PROGRAM
 */
#include <stdio.h>

#include "core/runtime/http_status.h"
#include "loopback/loopback.h"

/* Numbers of the jobs. */
enum { ARRAY = 1, GANG = 2 };

#define RETRY_S 0.5 /* seconds between two requests about a job */

/* Whether the test, which began at `started_at`, is still within its time limit. */
static bool within_timeout(double started_at)
{
	return net_now() - started_at < LOOPBACK_TIMEOUT_S;
}

/* Submits the array to one controller after the other until it is accepted or the time is up. */
static void submit_array(struct loopback *loopback, double started_at)
{
	const int *counts = loopback->answer_counts;

	for (int i = 0;
	     counts[STATUS_CREATED] + counts[STATUS_OK] < 1 && within_timeout(started_at); i++) {
		loopback_submit(loopback, ARRAY, i % LOOPBACK_CONTROLLERS);
		loopback_run(loopback, RETRY_S);
	}
}

/* Kills controllers 0 and 1, one after the other, and restarts them. */
static void kill_and_restart(struct loopback *loopback, const char *program)
{
	loopback_run(loopback, 3);
	loopback_kill(loopback, 0);
	loopback_run(loopback, 1);
	loopback_kill(loopback, 1);
	loopback_start(loopback, 0, program);
	loopback_run(loopback, 1);
	loopback_start(loopback, 1, program);
}

/* Submits the gang and polls both jobs. Returns whether both are done in time. */
static bool wait_until_done(struct loopback *loopback, double started_at)
{
	const bool *done = loopback->known_done;

	for (int i = 0; !(done[ARRAY] && done[GANG]) && within_timeout(started_at); i++) {
		loopback_submit(loopback, GANG, i % LOOPBACK_CONTROLLERS);
		loopback_poll(loopback, ARRAY, i % LOOPBACK_CONTROLLERS);
		loopback_poll(loopback, GANG, i % LOOPBACK_CONTROLLERS);
		loopback_run(loopback, RETRY_S);
	}
	if (done[ARRAY] && done[GANG])
		return true;
	fprintf(stderr, "not all jobs are done after %.0f s: array %s, gang %s\n",
		LOOPBACK_TIMEOUT_S, done[ARRAY] ? "done" : "not done",
		done[GANG] ? "done" : "not done");
	return false;
}

static bool run_test(struct loopback *loopback, const char *program)
{
	double started_at = net_now();
	bool done;

	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++)
		loopback_start(loopback, i, program);
	submit_array(loopback, started_at);
	loopback_submit(loopback, GANG, 0);
	kill_and_restart(loopback, program);
	done = wait_until_done(loopback, started_at);
	return !loopback_rule_broken(loopback) && done;
}

int main(int argc, char **argv)
{
	static struct loopback loopback;
	bool ok;

	if (argc != 2 || loopback_init(&loopback))
		return 2;
	loopback_add_job(&loopback, ARRAY, JOB_ARRAY, 12, 1.5);
	loopback_add_job(&loopback, GANG, JOB_GANG, 3, 4);
	ok = run_test(&loopback, argv[1]);
	loopback_free(&loopback);
	return !ok;
}
