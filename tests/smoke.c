/*
 * The real program over loopback, with kills and restarts. Ends as soon as the work is done.
 * Usage: smoke PROGRAM
 */
#include <stdio.h>

#include "loopback.h"

static int play(struct loopback *s, const char *program)
{
	double from = net_now();
	int submits = 0;

	for (int i = 0; i < LOOPBACK_NODES; i++)
		loopback_start(s, i, program);
	while (s->answers[201] + s->answers[200] < 1 && net_now() - from < LIMIT_S) {
		loopback_submit(s, 1, submits++ % LOOPBACK_NODES);
		loopback_run(s, 0.5);
	}
	loopback_submit(s, 2, 0);
	loopback_run(s, 3);
	loopback_kill(s, 0);
	loopback_run(s, 1);
	loopback_kill(s, 1);
	loopback_start(s, 0, program);
	loopback_run(s, 1);
	loopback_start(s, 1, program);
	for (int i = 0; !(s->done[1] && s->done[2]) && net_now() - from < LIMIT_S; i++) {
		loopback_submit(s, 2, i % LOOPBACK_NODES);
		loopback_poll(s, 1, i % LOOPBACK_NODES);
		loopback_poll(s, 2, i % LOOPBACK_NODES);
		loopback_run(s, 0.5);
	}
	if (!s->done[1] || !s->done[2])
		fprintf(stderr, "not done in time: %d %d\n", s->done[1], s->done[2]);
	return loopback_broken(s) || !(s->done[1] && s->done[2]);
}

int main(int argc, char **argv)
{
	static struct loopback s;
	int rc;

	if (argc != 2 || loopback_init(&s))
		return 2;
	loopback_job(&s, 1, JOB_ARRAY, 12, 1.5);
	loopback_job(&s, 2, JOB_GANG, 3, 4);
	rc = play(&s, argv[1]);
	loopback_free(&s);
	return rc;
}
