/*
 * The real program over loopback, with kills and restarts. Ends as soon as the work is done.
 * Usage: smoke PROGRAM
 */
#include <stdio.h>

#include "core/runtime/http_status.h"
#include "loopback/loopback.h"

/* The jobs, by their numbers. */
enum { ARRAY = 1, GANG = 2 };

#define RETRY_S 0.5

static bool in_time(double from)
{
	return net_now() - from < LIMIT_S;
}

/* Submits the array until it is accepted, at one controller after the other. */
static void submit_array(struct loopback *loopback, double from)
{
	const int *counts = loopback->answer_counts;

	for (int i = 0; counts[STATUS_CREATED] + counts[STATUS_OK] < 1 && in_time(from); i++) {
		loopback_submit(loopback, ARRAY, i % LOOPBACK_CONTROLLERS);
		loopback_run(loopback, RETRY_S);
	}
}

/* Two of the controllers are killed and come back, one after the other. */
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

/* Whether both jobs are done in time. */
static bool wait_until_done(struct loopback *loopback, double from)
{
	const bool *done = loopback->known_done;

	for (int i = 0; !(done[ARRAY] && done[GANG]) && in_time(from); i++) {
		loopback_submit(loopback, GANG, i % LOOPBACK_CONTROLLERS);
		loopback_poll(loopback, ARRAY, i % LOOPBACK_CONTROLLERS);
		loopback_poll(loopback, GANG, i % LOOPBACK_CONTROLLERS);
		loopback_run(loopback, RETRY_S);
	}
	if (done[ARRAY] && done[GANG])
		return true;
	fprintf(stderr, "not done in time: %d %d\n", done[ARRAY], done[GANG]);
	return false;
}

static bool play(struct loopback *loopback, const char *program)
{
	double from = net_now();
	bool done;

	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++)
		loopback_start(loopback, i, program);
	submit_array(loopback, from);
	loopback_submit(loopback, GANG, 0);
	kill_and_restart(loopback, program);
	done = wait_until_done(loopback, from);
	return !loopback_broken(loopback) && done;
}

int main(int argc, char **argv)
{
	static struct loopback loopback;
	bool ok;

	if (argc != 2 || loopback_init(&loopback))
		return 2;
	loopback_job(&loopback, ARRAY, JOB_ARRAY, 12, 1.5);
	loopback_job(&loopback, GANG, JOB_GANG, 3, 4);
	ok = play(&loopback, argv[1]);
	loopback_free(&loopback);
	return !ok;
}
