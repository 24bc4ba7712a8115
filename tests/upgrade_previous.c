/*
 * The version before this one, whose records have the same format, and this one over loopback: each
 * leads over what the other wrote, rolled forth and back under jobs, cancellations and limits that
 * fall in the middle, all controllers killed in it; then a process comes back as the version in
 * production, which reads the older format only.
 * Usage: upgrade_previous PROGRAM PREVIOUS_PROGRAM PRODUCTION_PROGRAM
 */
#include "loopback/rollout.h"

#define SETTLE_S 1	  /* seconds between steps */
#define LEASE_EXPIRED_S 4 /* seconds: longer than a lease of the leader before */

static const char *new_program, *previous_program, *production_program;

/* The controller leads, of whatever version it is: the others are ended. */
static bool lead_alone(struct loopback *loopback, int controller, const char *what)
{
	for (int other = 0; other < LOOPBACK_CONTROLLERS; other++)
		if (other != controller)
			loopback_kill(loopback, other);
	loopback_run(loopback, LEASE_EXPIRED_S);
	return rollout_wait(loopback, rollout_newest_format_led, what);
}

/* The previous version leads over new work. */
static bool start_previous(struct loopback *loopback)
{
	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++)
		loopback_start(loopback, i, previous_program);
	if (!rollout_wait(loopback, rollout_newest_format_led, "the previous version leads"))
		return false;
	rollout_submit(loopback, ARRAY);
	rollout_submit(loopback, SERVICE);
	rollout_submit(loopback, GANG);
	return rollout_wait(loopback, rollout_first_work_runs,
			    "work starts under the previous version");
}

/* This version leads over the previous one's records. */
static bool lead_over_previous(struct loopback *loopback)
{
	rollout_replace(loopback, 0, new_program);
	loopback_run(loopback, SETTLE_S);
	if (!lead_alone(loopback, 0, "this version leads over the previous one's records"))
		return false;
	rollout_submit(loopback, CANCELLED_ARRAY);
	return rollout_wait(loopback, rollout_cancelled_runs, "work starts under this version");
}

/* The previous version leads over this one's records. */
static bool lead_over_new(struct loopback *loopback)
{
	loopback_start(loopback, 1, previous_program);
	loopback_start(loopback, 2, previous_program);
	loopback_run(loopback, SETTLE_S);
	if (!lead_alone(loopback, 1, "the previous version leads over this one's records"))
		return false;
	loopback_start(loopback, 0, new_program);
	loopback_start(loopback, 2, previous_program);
	rollout_cancel(loopback, CANCELLED_ARRAY);
	return rollout_wait(loopback, rollout_cancelled_gone, "a cancellation across versions");
}

/* Limits fall while both versions run. */
static bool lower_limits(struct loopback *loopback)
{
	rollout_lower_limits(loopback);
	rollout_submit(loopback, LATE_ARRAY);
	rollout_submit(loopback, LATE_GANG);
	return rollout_wait(loopback, rollout_late_work_runs, "work starts under the new limits");
}

/* One is rolled forth and back, then all are killed at once. */
static bool roll_forth_and_back(struct loopback *loopback)
{
	rollout_replace(loopback, 2, new_program);
	loopback_run(loopback, SETTLE_S);
	rollout_replace(loopback, 2, previous_program);
	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++)
		loopback_kill(loopback, i);
	loopback_run(loopback, SETTLE_S);
	loopback_start(loopback, 0, new_program);
	loopback_start(loopback, 1, previous_program);
	loopback_start(loopback, 2, new_program);
	return rollout_wait(loopback, rollout_newest_format_led, "one leads after all were killed");
}

static bool play(struct loopback *loopback)
{
	return start_previous(loopback) && lead_over_previous(loopback) &&
	       lead_over_new(loopback) && lower_limits(loopback) && roll_forth_and_back(loopback) &&
	       rollout_one_back(loopback, 1, production_program, new_program);
}

int main(int argc, char **argv)
{
	static struct loopback loopback;

	if (argc != 4 || rollout_init(&loopback))
		return 2;
	new_program = argv[1];
	previous_program = argv[2];
	production_program = argv[3];
	return rollout_end(&loopback, play(&loopback));
}
