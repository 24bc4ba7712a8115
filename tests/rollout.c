/* See rollout.h. */
#include "rollout.h"

#include <stdio.h>

#define NEWEST_LEADER_KEY "leader/2"

int rollout_init(struct loopback *s)
{
	if (loopback_init(s))
		return -1;
	loopback_job(s, ARRAY, JOB_ARRAY, 40, 15);
	loopback_job(s, SERVICE, JOB_SERVICE, 3, 1000);
	loopback_job(s, GANG, JOB_GANG, 4, 14);
	loopback_job(s, CANCELLED_ARRAY, JOB_ARRAY, 8, 100);
	loopback_job(s, LATE_ARRAY, JOB_ARRAY, 20, 8);
	loopback_job(s, LATE_GANG, JOB_GANG, 6, 8);
	loopback_job(s, LAST_ARRAY, JOB_ARRAY, 5, 2);
	return 0;
}

int rollout_end(struct loopback *s, bool ok)
{
	if (s->si.state_service.too_large) {
		fprintf(stderr, "%llu transactions beyond the limits\n",
			(unsigned long long)s->si.state_service.too_large);
		ok = false;
	}
	if (loopback_broken(s))
		ok = false;
	loopback_free(s);
	return !ok;
}

bool rollout_wait(struct loopback *s, rollout_condition met, const char *what)
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

static const struct standin_job *job_of(struct loopback *s, int job)
{
	char id[ID_MAX];

	snprintf(id, sizeof(id), "job-%d", job);
	return standin_job_find(&s->si, id);
}

uint32_t rollout_running(struct loopback *s, int job)
{
	uint32_t n = 0;

	for (int i = 0; i < s->si.machine_count; i++)
		for (struct standin_task *t = s->si.machines[i].tasks; t; t = t->next)
			n +=
			    t->state == TASK_RUNNING && !strcmp(t->job_id, job_of(s, job)->spec.id);
	return n;
}

bool rollout_first_work_runs(struct loopback *s)
{
	return rollout_running(s, ARRAY) == 40 && rollout_running(s, SERVICE) == 3 &&
	       rollout_running(s, GANG) == 4;
}

bool rollout_cancelled_gone(struct loopback *s)
{
	return rollout_running(s, CANCELLED_ARRAY) == 0;
}

bool rollout_cancelled_runs(struct loopback *s)
{
	return rollout_running(s, CANCELLED_ARRAY) > 0;
}

bool rollout_late_work_runs(struct loopback *s)
{
	return rollout_running(s, LATE_ARRAY) == 20 && rollout_running(s, LATE_GANG) == 6;
}

bool rollout_all_done(struct loopback *s)
{
	for (int job = ARRAY; job <= LAST_ARRAY; job++)
		if (job != SERVICE && job != CANCELLED_ARRAY && !s->done[job])
			loopback_poll(s, job, 1);
	loopback_run(s, 0.4);
	return s->done[ARRAY] && s->done[GANG] && s->done[LATE_ARRAY] && s->done[LATE_GANG] &&
	       s->done[LAST_ARRAY] && rollout_running(s, SERVICE) == 3;
}

bool rollout_newest_format_led(struct loopback *s)
{
	return loopback_leader(s, NEWEST_LEADER_KEY) != NULL;
}

bool rollout_newest_format_leaderless(struct loopback *s)
{
	return loopback_leader(s, NEWEST_LEADER_KEY) == NULL;
}

void rollout_submit(struct loopback *s, int job)
{
	const struct standin_job *known = job_of(s, job);

	for (int i = 0; !known->accepted && i < 40; i++) {
		loopback_submit(s, job, i % LOOPBACK_NODES);
		loopback_run(s, 0.5);
	}
}

void rollout_cancel(struct loopback *s, int job)
{
	const struct standin_job *known = job_of(s, job);

	for (int i = 0; !known->known_cancelled && i < 40; i++) {
		loopback_cancel(s, job, i % LOOPBACK_NODES);
		loopback_run(s, 0.5);
	}
}

void rollout_replace(struct loopback *s, int node, const char *program)
{
	loopback_kill(s, node);
	loopback_start(s, node, program);
}

void rollout_lower_limits(struct loopback *s)
{
	s->si.state_service.value_bytes = (size_t)(LOOPBACK_NEXT_VALUE_KB * 1024);
	s->si.state_service.txn_ops = LOOPBACK_NEXT_TXN_OPS;
}

void rollout_report(struct loopback *s)
{
	for (int job = ARRAY; job <= LAST_ARRAY; job++)
		fprintf(stderr, "job %d: done %d, %u running\n", job, s->done[job],
			rollout_running(s, job));
}

bool rollout_one_back(struct loopback *s, int node, const char *old_program,
		      const char *new_program)
{
	rollout_replace(s, node, old_program);
	for (int other = 0; other < LOOPBACK_NODES; other++)
		if (other != node)
			loopback_kill(s, other);
	if (!rollout_wait(s, rollout_newest_format_leaderless, "the leader's lease ends"))
		return false;
	loopback_run(s, 4);
	if (rollout_newest_format_led(s)) {
		fprintf(stderr, "a version that can't read the records leads\n");
		return false;
	}
	for (int other = 0; other < LOOPBACK_NODES; other++)
		if (other != node)
			loopback_start(s, other, new_program);
	if (!rollout_wait(s, rollout_newest_format_led, "this version leads again"))
		return false;
	rollout_submit(s, LAST_ARRAY);
	if (rollout_wait(s, rollout_all_done, "all work is done and the service runs"))
		return true;
	rollout_report(s);
	return false;
}
