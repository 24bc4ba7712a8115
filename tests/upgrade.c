/*
 * Two versions of the real program over loopback, each leading over what the other wrote: rolled
 * one by one under jobs and cancellations, then the limits of the state service fall, then a
 * process comes back as the old version. Usage: upgrade PROGRAM OLD_PROGRAM
 */
#include <stdio.h>
#include <string.h>

#include "core/state.h"
#include "loopback.h"

enum { ARRAY = 1, SERVICE, GANG, CANCELLED_ARRAY, LATE_ARRAY, LATE_GANG, LAST_ARRAY };

static const char *new_program, *old_program;

/* Plays until `met` holds; false, with a word, if it does not in time. */
static bool wait_for(struct loopback *s, bool (*met)(struct loopback *s), const char *what)
{
	double from = net_now();

	while (!met(s)) {
		if (net_now() - from > LIMIT_S) {
			fprintf(stderr, "not in time: %s\n", what);
			return false;
		}
		loopback_run(s, 0.1);
	}
	return true;
}

static const struct si_job *job_of(struct loopback *s, int job)
{
	char id[ID_MAX];

	snprintf(id, sizeof(id), "job-%d", job);
	return si_job(&s->si, id);
}

static uint32_t running(struct loopback *s, int job)
{
	uint32_t n = 0;

	for (int i = 0; i < s->si.nmachines; i++)
		for (struct si_task *t = s->si.machines[i].tasks; t; t = t->next)
			n += t->state == TS_RUNNING && !strcmp(t->job, job_of(s, job)->spec.id);
	return n;
}

static bool old_leads(struct loopback *s)
{
	return loopback_leader(s, LEADER_KEY) != NULL;
}

static bool first_work_runs(struct loopback *s)
{
	return running(s, ARRAY) == 40 && running(s, SERVICE) == 3 && running(s, GANG) == 4;
}

static bool node_0_leads(struct loopback *s)
{
	const char *name = loopback_leader(s, LEADER_KEY);

	return name && !strcmp(name, "node-0");
}

static bool another_leads(struct loopback *s)
{
	const char *name = loopback_leader(s, LEADER_KEY);

	return name && strcmp(name, "node-0");
}

static bool format_raised(struct loopback *s)
{
	return loopback_leader(s, "leader/2") != NULL;
}

static bool nobody_leads(struct loopback *s)
{
	return loopback_leader(s, "leader/2") == NULL;
}

static bool cancelled_gone(struct loopback *s)
{
	return running(s, CANCELLED_ARRAY) == 0;
}

static bool cancelled_runs(struct loopback *s)
{
	return running(s, CANCELLED_ARRAY) > 0;
}

static bool late_work_runs(struct loopback *s)
{
	return running(s, LATE_ARRAY) == 20 && running(s, LATE_GANG) == 6;
}

static bool all_done(struct loopback *s)
{
	for (int job = ARRAY; job <= LAST_ARRAY; job++)
		if (job != SERVICE && job != CANCELLED_ARRAY && !s->done[job])
			loopback_poll(s, job, 1);
	loopback_run(s, 0.4);
	return s->done[ARRAY] && s->done[GANG] && s->done[LATE_ARRAY] && s->done[LATE_GANG] &&
	       s->done[LAST_ARRAY] && running(s, SERVICE) == 3;
}

/* Submits until it is taken, at one controller after the other. */
static void submit(struct loopback *s, int job)
{
	const struct si_job *known = job_of(s, job);

	for (int i = 0; !known->accepted && i < 40; i++) {
		loopback_submit(s, job, i % LOOPBACK_NODES);
		loopback_run(s, 0.5);
	}
}

static void cancel(struct loopback *s, int job)
{
	const struct si_job *known = job_of(s, job);

	for (int i = 0; !known->told_cancelled && i < 40; i++) {
		loopback_cancel(s, job, i % LOOPBACK_NODES);
		loopback_run(s, 0.5);
	}
}

static void replace(struct loopback *s, int node, const char *program)
{
	loopback_kill(s, node);
	loopback_start(s, node, program);
}

/* Old ones lead over new work, a new one over theirs, an old one over its. */
static bool lead_in_turn(struct loopback *s)
{
	for (int i = 0; i < LOOPBACK_NODES; i++)
		loopback_start(s, i, old_program);
	if (!wait_for(s, old_leads, "an old version leads"))
		return false;
	submit(s, ARRAY);
	submit(s, SERVICE);
	submit(s, GANG);
	if (!wait_for(s, first_work_runs, "work starts under the old version"))
		return false;
	replace(s, 0, new_program);
	loopback_run(s, 1);
	loopback_kill(s, 1);
	loopback_kill(s, 2);
	if (!wait_for(s, node_0_leads, "the new version leads over old records"))
		return false;
	submit(s, CANCELLED_ARRAY);
	if (!wait_for(s, cancelled_runs, "work starts under the new version"))
		return false;
	loopback_start(s, 1, old_program);
	loopback_start(s, 2, old_program);
	loopback_run(s, 1);
	loopback_kill(s, 0);
	if (!wait_for(s, another_leads, "the old version leads over new records"))
		return false;
	loopback_start(s, 0, new_program);
	cancel(s, CANCELLED_ARRAY);
	return wait_for(s, cancelled_gone, "a cancellation across versions");
}

/* The rest is upgraded, then the limits fall. */
static bool roll_and_lower(struct loopback *s)
{
	replace(s, 1, new_program);
	loopback_run(s, 1);
	if (format_raised(s)) {
		fprintf(stderr, "the format is raised with an old controller left\n");
		return false;
	}
	replace(s, 2, new_program);
	if (!wait_for(s, format_raised, "the format is raised"))
		return false;
	s->si.state.value_bytes = (size_t)(LOOPBACK_NEXT_VALUE_KB * 1024);
	s->si.state.txn_ops = LOOPBACK_NEXT_TXN_OPS;
	submit(s, LATE_ARRAY);
	submit(s, LATE_GANG);
	return wait_for(s, late_work_runs, "work starts under the new limits");
}

/* A process comes back old: it may serve users, and never leads. */
static bool one_back_old(struct loopback *s)
{
	loopback_kill(s, 0);
	loopback_kill(s, 1);
	replace(s, 2, old_program);
	if (!wait_for(s, nobody_leads, "the leader's lease ends"))
		return false;
	loopback_run(s, 4);
	if (format_raised(s)) {
		fprintf(stderr, "an old controller leads once the format is raised\n");
		return false;
	}
	loopback_start(s, 0, new_program);
	loopback_start(s, 1, new_program);
	if (!wait_for(s, format_raised, "a new controller leads again"))
		return false;
	submit(s, LAST_ARRAY);
	if (wait_for(s, all_done, "all work is done and the service runs"))
		return true;
	for (int job = ARRAY; job <= LAST_ARRAY; job++)
		fprintf(stderr, "job %d: done %d, %u running\n", job, s->done[job],
			running(s, job));
	return false;
}

int main(int argc, char **argv)
{
	static struct loopback s;
	bool ok;

	if (argc != 3 || loopback_init(&s))
		return 2;
	new_program = argv[1];
	old_program = argv[2];
	loopback_job(&s, ARRAY, JOB_ARRAY, 40, 15);
	loopback_job(&s, SERVICE, JOB_SERVICE, 3, 1000);
	loopback_job(&s, GANG, JOB_GANG, 4, 14);
	loopback_job(&s, CANCELLED_ARRAY, JOB_ARRAY, 8, 100);
	loopback_job(&s, LATE_ARRAY, JOB_ARRAY, 20, 8);
	loopback_job(&s, LATE_GANG, JOB_GANG, 6, 8);
	loopback_job(&s, LAST_ARRAY, JOB_ARRAY, 5, 2);
	ok = lead_in_turn(&s) && roll_and_lower(&s) && one_back_old(&s);
	if (s.si.state.too_large) {
		fprintf(stderr, "%llu transactions beyond the limits\n",
			(unsigned long long)s.si.state.too_large);
		ok = false;
	}
	if (loopback_broken(&s))
		ok = false;
	loopback_free(&s);
	return !ok;
}
