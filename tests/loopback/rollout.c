/* What the tests with controllers of several versions share. */
#include "loopback/rollout.h"

#include <stdio.h>
#include <string.h>

#include "wire/names.h"

#define NEWEST_LEADER_KEY "leader/2"
#define BYTES_PER_KB 1024

#define TRIES 40	/* of a submission or a cancellation */
#define RETRY_S 0.5	/* seconds between them */
#define WAIT_STEP_S 0.1 /* seconds between looks at a condition */
#define ANSWERS_S 0.4	/* seconds for the answers to polls */
#define NEVER_LEADS_S 4 /* seconds in which a version that may not lead would have */
#define POLLED_CONTROLLER 1

#define ARRAY_TASKS 40
#define SERVICE_TASKS 3
#define GANG_TASKS 4
#define LATE_ARRAY_TASKS 20
#define LATE_GANG_TASKS 6

int rollout_init(struct loopback *loopback)
{
	if (loopback_init(loopback))
		return -1;
	loopback_job(loopback, ARRAY, JOB_ARRAY, ARRAY_TASKS, 15);
	loopback_job(loopback, SERVICE, JOB_SERVICE, SERVICE_TASKS, 1000);
	loopback_job(loopback, GANG, JOB_GANG, GANG_TASKS, 14);
	loopback_job(loopback, CANCELLED_ARRAY, JOB_ARRAY, 8, 100);
	loopback_job(loopback, LATE_ARRAY, JOB_ARRAY, LATE_ARRAY_TASKS, 8);
	loopback_job(loopback, LATE_GANG, JOB_GANG, LATE_GANG_TASKS, 8);
	loopback_job(loopback, LAST_ARRAY, JOB_ARRAY, 5, 2);
	return 0;
}

int rollout_end(struct loopback *loopback, bool ok)
{
	uint64_t too_large = loopback->standin.state_service.invalid_transactions;

	if (too_large) {
		fprintf(stderr, "%llu transactions beyond the limits\n",
			(unsigned long long)too_large);
		ok = false;
	}
	if (loopback_broken(loopback))
		ok = false;
	loopback_free(loopback);
	return !ok;
}

bool rollout_wait(struct loopback *loopback, rollout_condition holds, const char *what)
{
	double from = net_now();

	while (!holds(loopback)) {
		if (net_now() - from > LIMIT_S) {
			fprintf(stderr, "not in time: %s\n", what);
			return false;
		}
		loopback_run(loopback, WAIT_STEP_S);
	}
	return true;
}

static const struct standin_job *find_job(struct loopback *loopback, int job)
{
	char id[ID_MAX];

	snprintf(id, sizeof(id), W_JOB_PREFIX "%d", job);
	return standin_job_find(&loopback->standin, id);
}

uint32_t rollout_running(struct loopback *loopback, int number)
{
	const struct standin_job *job = find_job(loopback, number);
	const struct standin_task *task = job->tasks;
	uint32_t count = 0;

	for (; task; task = task->job_next)
		count += task->state == TASK_RUNNING;
	return count;
}

/* --- conditions --- */

bool rollout_first_work_runs(struct loopback *loopback)
{
	return rollout_running(loopback, ARRAY) == ARRAY_TASKS &&
	       rollout_running(loopback, SERVICE) == SERVICE_TASKS &&
	       rollout_running(loopback, GANG) == GANG_TASKS;
}

bool rollout_cancelled_gone(struct loopback *loopback)
{
	return rollout_running(loopback, CANCELLED_ARRAY) == 0;
}

bool rollout_cancelled_runs(struct loopback *loopback)
{
	return rollout_running(loopback, CANCELLED_ARRAY) > 0;
}

bool rollout_late_work_runs(struct loopback *loopback)
{
	return rollout_running(loopback, LATE_ARRAY) == LATE_ARRAY_TASKS &&
	       rollout_running(loopback, LATE_GANG) == LATE_GANG_TASKS;
}

bool rollout_all_done(struct loopback *loopback)
{
	const bool *known_done = loopback->known_done;

	for (int job = ARRAY; job <= LAST_ARRAY; job++)
		if (job != SERVICE && job != CANCELLED_ARRAY && !known_done[job])
			loopback_poll(loopback, job, POLLED_CONTROLLER);
	loopback_run(loopback, ANSWERS_S);
	return known_done[ARRAY] && known_done[GANG] && known_done[LATE_ARRAY] &&
	       known_done[LATE_GANG] && known_done[LAST_ARRAY] &&
	       rollout_running(loopback, SERVICE) == SERVICE_TASKS;
}

bool rollout_newest_format_led(struct loopback *loopback)
{
	return loopback_leader(loopback, NEWEST_LEADER_KEY) != NULL;
}

bool rollout_newest_format_leaderless(struct loopback *loopback)
{
	return loopback_leader(loopback, NEWEST_LEADER_KEY) == NULL;
}

/* --- steps --- */

void rollout_submit(struct loopback *loopback, int number)
{
	const struct standin_job *job = find_job(loopback, number);

	for (int i = 0; !job->accepted && i < TRIES; i++) {
		loopback_submit(loopback, number, i % LOOPBACK_CONTROLLERS);
		loopback_run(loopback, RETRY_S);
	}
}

void rollout_cancel(struct loopback *loopback, int number)
{
	const struct standin_job *job = find_job(loopback, number);

	for (int i = 0; !job->known_cancelled && i < TRIES; i++) {
		loopback_cancel(loopback, number, i % LOOPBACK_CONTROLLERS);
		loopback_run(loopback, RETRY_S);
	}
}

void rollout_replace(struct loopback *loopback, int controller, const char *program)
{
	loopback_kill(loopback, controller);
	loopback_start(loopback, controller, program);
}

void rollout_lower_limits(struct loopback *loopback)
{
	struct standin_state_service *state_service = &loopback->standin.state_service;

	state_service->value_bytes = (size_t)(LOOPBACK_NEXT_VALUE_KB * BYTES_PER_KB);
	state_service->txn_ops = LOOPBACK_NEXT_TXN_OPS;
}

void rollout_report(struct loopback *loopback)
{
	for (int job = ARRAY; job <= LAST_ARRAY; job++)
		fprintf(stderr, "job %d: done %d, %u running\n", job, loopback->known_done[job],
			rollout_running(loopback, job));
}

static void kill_others(struct loopback *loopback, int controller)
{
	for (int other = 0; other < LOOPBACK_CONTROLLERS; other++)
		if (other != controller)
			loopback_kill(loopback, other);
}

static void start_others(struct loopback *loopback, int controller, const char *program)
{
	for (int other = 0; other < LOOPBACK_CONTROLLERS; other++)
		if (other != controller)
			loopback_start(loopback, other, program);
}

/* The old version is alone, and does not lead. */
static bool old_version_never_leads(struct loopback *loopback)
{
	if (!rollout_wait(loopback, rollout_newest_format_leaderless, "the leader's lease ends"))
		return false;
	loopback_run(loopback, NEVER_LEADS_S);
	if (!rollout_newest_format_led(loopback))
		return true;
	fprintf(stderr, "a version that can't read the records leads\n");
	return false;
}

static bool finish_all_work(struct loopback *loopback)
{
	if (!rollout_wait(loopback, rollout_newest_format_led, "this version leads again"))
		return false;
	rollout_submit(loopback, LAST_ARRAY);
	if (rollout_wait(loopback, rollout_all_done, "all work is done and the service runs"))
		return true;
	rollout_report(loopback);
	return false;
}

bool rollout_one_back(struct loopback *loopback, int controller, const char *old_program,
		      const char *new_program)
{
	rollout_replace(loopback, controller, old_program);
	kill_others(loopback, controller);
	if (!old_version_never_leads(loopback))
		return false;
	start_others(loopback, controller, new_program);
	return finish_all_work(loopback);
}
