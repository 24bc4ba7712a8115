/*
 * The version in production and this one over loopback, each leading over what the other wrote:
 * rolled one by one under jobs and cancellations, then the limits of the state service fall, then a
 * process comes back as the old version. Usage: upgrade PROGRAM OLD_PROGRAM
 */
#include <stdio.h>
#include <string.h>

#include "core/election/election.h"
#include "rollout.h"

static const char *new_program, *old_program;

static bool old_leads(struct loopback *s)
{
	return loopback_leader(s, LEADER_KEY) != NULL;
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

/* Old ones lead over new work, a new one over theirs, an old one over its. */
static bool lead_in_turn(struct loopback *s)
{
	for (int i = 0; i < LOOPBACK_NODES; i++)
		loopback_start(s, i, old_program);
	if (!rollout_wait(s, old_leads, "an old version leads"))
		return false;
	rollout_submit(s, ARRAY);
	rollout_submit(s, SERVICE);
	rollout_submit(s, GANG);
	if (!rollout_wait(s, rollout_first_work_runs, "work starts under the old version"))
		return false;
	rollout_replace(s, 0, new_program);
	loopback_run(s, 1);
	loopback_kill(s, 1);
	loopback_kill(s, 2);
	if (!rollout_wait(s, node_0_leads, "the new version leads over old records"))
		return false;
	rollout_submit(s, CANCELLED_ARRAY);
	if (!rollout_wait(s, rollout_cancelled_runs, "work starts under the new version"))
		return false;
	loopback_start(s, 1, old_program);
	loopback_start(s, 2, old_program);
	loopback_run(s, 1);
	loopback_kill(s, 0);
	if (!rollout_wait(s, another_leads, "the old version leads over new records"))
		return false;
	loopback_start(s, 0, new_program);
	rollout_cancel(s, CANCELLED_ARRAY);
	return rollout_wait(s, rollout_cancelled_gone, "a cancellation across versions");
}

/* The rest is upgraded, then the limits fall. */
static bool roll_and_lower(struct loopback *s)
{
	rollout_replace(s, 1, new_program);
	loopback_run(s, 1);
	if (rollout_newest_format_led(s)) {
		fprintf(stderr, "the format is raised with an old controller left\n");
		return false;
	}
	rollout_replace(s, 2, new_program);
	if (!rollout_wait(s, rollout_newest_format_led, "the format is raised"))
		return false;
	rollout_lower_limits(s);
	rollout_submit(s, LATE_ARRAY);
	rollout_submit(s, LATE_GANG);
	return rollout_wait(s, rollout_late_work_runs, "work starts under the new limits");
}

int main(int argc, char **argv)
{
	static struct loopback s;

	if (argc != 3 || rollout_init(&s))
		return 2;
	new_program = argv[1];
	old_program = argv[2];
	return rollout_end(&s, lead_in_turn(&s) && roll_and_lower(&s) &&
				   rollout_one_back(&s, 2, old_program, new_program));
}
