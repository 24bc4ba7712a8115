/* Shared parts of the tests in which controllers of several versions run together. */
#include "loopback/rollout.h"

#include <stdio.h>
#include <string.h>

#include "wire/names.h"

#define NEWEST_LEADER_KEY "leader/2" /* leader's key in the newest format of the records */
#define BYTES_PER_KB 1024

#define TRIES_MAX 40	     /* most requests sent for one submission or cancellation */
#define RETRY_S 0.5	     /* seconds between two of them */
#define CHECK_INTERVAL_S 0.1 /* seconds between two checks of a condition */
#define POLL_ANSWERS_S 0.4   /* seconds in which the answers to polls arrive */
/* Seconds in which a controller that wrongly claims leadership would have become the leader. */
#define CLAIM_OBSERVED_S 4
#define POLLED_CONTROLLER 1 /* index of the controller that users poll */

#define ARRAY_TASKS 40
#define SERVICE_TASKS 3
#define GANG_TASKS 4
#define LATE_ARRAY_TASKS 20
#define LATE_GANG_TASKS 6

int rollout_init(struct loopback *loopback)
{
	if (loopback_init(loopback))
		return -1;
	loopback_add_job(loopback, ARRAY, JOB_ARRAY, ARRAY_TASKS, 15);
	loopback_add_job(loopback, SERVICE, JOB_SERVICE, SERVICE_TASKS, 1000);
	loopback_add_job(loopback, GANG, JOB_GANG, GANG_TASKS, 14);
	loopback_add_job(loopback, CANCELLED_ARRAY, JOB_ARRAY, 8, 100);
	loopback_add_job(loopback, LATE_ARRAY, JOB_ARRAY, LATE_ARRAY_TASKS, 8);
	loopback_add_job(loopback, LATE_GANG, JOB_GANG, LATE_GANG_TASKS, 8);
	loopback_add_job(loopback, LAST_ARRAY, JOB_ARRAY, 5, 2);
	return 0;
}

int rollout_end(struct loopback *loopback, bool ok)
{
	uint64_t invalid = loopback->standin.state_service.invalid_transactions;

	if (invalid) {
		fprintf(stderr,
			"%llu transactions exceeded a limit of the state service or named an "
			"unknown lease, expected 0\n",
			(unsigned long long)invalid);
		ok = false;
	}
	if (loopback_rule_broken(loopback))
		ok = false;
	loopback_free(loopback);
	return !ok;
}

bool rollout_wait(struct loopback *loopback, rollout_condition is_met, const char *what)
{
	double started_at = net_now();

	while (!is_met(loopback)) {
		if (net_now() - started_at > LOOPBACK_TIMEOUT_S) {
			fprintf(stderr, "timed out after %.0f s: %s\n", LOOPBACK_TIMEOUT_S, what);
			return false;
		}
		loopback_run(loopback, CHECK_INTERVAL_S);
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

bool rollout_first_jobs_run(struct loopback *loopback)
{
	return rollout_running(loopback, ARRAY) == ARRAY_TASKS &&
	       rollout_running(loopback, SERVICE) == SERVICE_TASKS &&
	       rollout_running(loopback, GANG) == GANG_TASKS;
}

bool rollout_cancelled_array_ended(struct loopback *loopback)
{
	return rollout_running(loopback, CANCELLED_ARRAY) == 0;
}

bool rollout_cancelled_array_runs(struct loopback *loopback)
{
	return rollout_running(loopback, CANCELLED_ARRAY) > 0;
}

bool rollout_late_jobs_run(struct loopback *loopback)
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
	loopback_run(loopback, POLL_ANSWERS_S);
	return known_done[ARRAY] && known_done[GANG] && known_done[LATE_ARRAY] &&
	       known_done[LATE_GANG] && known_done[LAST_ARRAY] &&
	       rollout_running(loopback, SERVICE) == SERVICE_TASKS;
}

bool rollout_newest_format_has_leader(struct loopback *loopback)
{
	return loopback_leader(loopback, NEWEST_LEADER_KEY) != NULL;
}

bool rollout_newest_format_has_no_leader(struct loopback *loopback)
{
	return loopback_leader(loopback, NEWEST_LEADER_KEY) == NULL;
}

/* --- steps --- */

void rollout_submit(struct loopback *loopback, int number)
{
	const struct standin_job *job = find_job(loopback, number);

	for (int i = 0; !job->accepted && i < TRIES_MAX; i++) {
		loopback_submit(loopback, number, i % LOOPBACK_CONTROLLERS);
		loopback_run(loopback, RETRY_S);
	}
}

void rollout_cancel(struct loopback *loopback, int number)
{
	const struct standin_job *job = find_job(loopback, number);

	for (int i = 0; !job->known_cancelled && i < TRIES_MAX; i++) {
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

void rollout_print_jobs(struct loopback *loopback)
{
	for (int job = ARRAY; job <= LAST_ARRAY; job++)
		fprintf(stderr, W_JOB_PREFIX "%d: %s, %u tasks running\n", job,
			loopback->known_done[job] ? "done" : "not done",
			rollout_running(loopback, job));
}

static void kill_other_controllers(struct loopback *loopback, int controller)
{
	for (int other = 0; other < LOOPBACK_CONTROLLERS; other++)
		if (other != controller)
			loopback_kill(loopback, other);
}

static void start_other_controllers(struct loopback *loopback, int controller, const char *program)
{
	for (int other = 0; other < LOOPBACK_CONTROLLERS; other++)
		if (other != controller)
			loopback_start(loopback, other, program);
}

/* The old version, the only one that runs, must not become the leader. */
static bool old_version_does_not_lead(struct loopback *loopback)
{
	if (!rollout_wait(loopback, rollout_newest_format_has_no_leader,
			  "waited for the end of the last leader's lease"))
		return false;
	loopback_run(loopback, CLAIM_OBSERVED_S);
	if (!rollout_newest_format_has_leader(loopback))
		return true;
	fprintf(
	    stderr,
	    "a controller of the old version leads, though it cannot read the records' format\n");
	return false;
}

static bool finish_all_jobs(struct loopback *loopback)
{
	if (!rollout_wait(loopback, rollout_newest_format_has_leader,
			  "waited for a controller of the new version to lead again"))
		return false;
	rollout_submit(loopback, LAST_ARRAY);
	if (rollout_wait(loopback, rollout_all_done,
			 "waited until all jobs are done and the service runs"))
		return true;
	rollout_print_jobs(loopback);
	return false;
}

bool rollout_downgrade_one(struct loopback *loopback, int controller, const char *old_program,
			   const char *new_program)
{
	rollout_replace(loopback, controller, old_program);
	kill_other_controllers(loopback, controller);
	if (!old_version_does_not_lead(loopback))
		return false;
	start_other_controllers(loopback, controller, new_program);
	return finish_all_jobs(loopback);
}
