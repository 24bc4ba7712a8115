/*
 * The version in production and this one over loopback, each leading over what the other wrote:
 * rolled one by one under jobs and cancellations, then the limits of the state service fall, then a
 * process comes back as the old version. Usage: upgrade PROGRAM OLD_PROGRAM
 */
#include <stdio.h>
#include <string.h>

#include "core/election/election.h"
#include "loopback/rollout.h"

#define CONTROLLER_0 "node-0"
#define SETTLE_S 1 /* seconds between steps */

static const char *new_program, *old_program;

static bool old_leads(struct loopback *loopback)
{
	return loopback_leader(loopback, LEADER_KEY) != NULL;
}

static bool controller_0_leads(struct loopback *loopback)
{
	const char *name = loopback_leader(loopback, LEADER_KEY);

	return name && !strcmp(name, CONTROLLER_0);
}

static bool another_leads(struct loopback *loopback)
{
	const char *name = loopback_leader(loopback, LEADER_KEY);

	return name && strcmp(name, CONTROLLER_0);
}

/* Old ones lead over new work. */
static bool start_old(struct loopback *loopback)
{
	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++)
		loopback_start(loopback, i, old_program);
	if (!rollout_wait(loopback, old_leads, "an old version leads"))
		return false;
	rollout_submit(loopback, ARRAY);
	rollout_submit(loopback, SERVICE);
	rollout_submit(loopback, GANG);
	return rollout_wait(loopback, rollout_first_work_runs, "work starts under the old version");
}

/* A new one leads over the old ones' records. */
static bool lead_over_old(struct loopback *loopback)
{
	rollout_replace(loopback, 0, new_program);
	loopback_run(loopback, SETTLE_S);
	loopback_kill(loopback, 1);
	loopback_kill(loopback, 2);
	if (!rollout_wait(loopback, controller_0_leads, "the new version leads over old records"))
		return false;
	rollout_submit(loopback, CANCELLED_ARRAY);
	return rollout_wait(loopback, rollout_cancelled_runs, "work starts under the new version");
}

/* An old one leads over the new one's records. */
static bool lead_over_new(struct loopback *loopback)
{
	loopback_start(loopback, 1, old_program);
	loopback_start(loopback, 2, old_program);
	loopback_run(loopback, SETTLE_S);
	loopback_kill(loopback, 0);
	if (!rollout_wait(loopback, another_leads, "the old version leads over new records"))
		return false;
	loopback_start(loopback, 0, new_program);
	rollout_cancel(loopback, CANCELLED_ARRAY);
	return rollout_wait(loopback, rollout_cancelled_gone, "a cancellation across versions");
}

/* The rest is upgraded, then the limits fall. */
static bool roll_and_lower(struct loopback *loopback)
{
	rollout_replace(loopback, 1, new_program);
	loopback_run(loopback, SETTLE_S);
	if (rollout_newest_format_led(loopback)) {
		fprintf(stderr, "the format is raised with an old controller left\n");
		return false;
	}
	rollout_replace(loopback, 2, new_program);
	if (!rollout_wait(loopback, rollout_newest_format_led, "the format is raised"))
		return false;
	rollout_lower_limits(loopback);
	rollout_submit(loopback, LATE_ARRAY);
	rollout_submit(loopback, LATE_GANG);
	return rollout_wait(loopback, rollout_late_work_runs, "work starts under the new limits");
}

static bool play(struct loopback *loopback)
{
	return start_old(loopback) && lead_over_old(loopback) && lead_over_new(loopback) &&
	       roll_and_lower(loopback) && rollout_one_back(loopback, 2, old_program, new_program);
}

int main(int argc, char **argv)
{
	static struct loopback loopback;

	if (argc != 3 || rollout_init(&loopback))
		return 2;
	new_program = argv[1];
	old_program = argv[2];
	return rollout_end(&loopback, play(&loopback));
}
