/*
 * The version before this one, whose records have the same format, and this one over loopback: each
 * leads over what the other wrote, rolled forth and back under jobs, cancellations and limits that
 * fall in the middle, all controllers killed in it; then a process comes back as the version in
 * production, which reads the older format only.
 * Usage: upgrade_previous PROGRAM PREVIOUS_PROGRAM PRODUCTION_PROGRAM
 */
#include <stdio.h>
#include <string.h>

#include "rollout.h"

static const char *new_program, *previous_program, *production_program;

/* The given version leads: the others are ended until it does. */
static bool lead_alone(struct loopback *s, int node, const char *what)
{
	for (int other = 0; other < LOOPBACK_NODES; other++)
		if (other != node)
			loopback_kill(s, other);
	loopback_run(s, 4); /* longer than a lease of the one before */
	return rollout_wait(s, rollout_newest_format_led, what);
}

/* The previous version has work, then this one leads over its records, then the other way round. */
static bool lead_in_turn(struct loopback *s)
{
	for (int node = 0; node < LOOPBACK_NODES; node++)
		loopback_start(s, node, previous_program);
	if (!rollout_wait(s, rollout_newest_format_led, "the previous version leads"))
		return false;
	rollout_submit(s, ARRAY);
	rollout_submit(s, SERVICE);
	rollout_submit(s, GANG);
	if (!rollout_wait(s, rollout_first_work_runs, "work starts under the previous version"))
		return false;
	rollout_replace(s, 0, new_program);
	loopback_run(s, 1);
	if (!lead_alone(s, 0, "this version leads over the previous one's records"))
		return false;
	rollout_submit(s, CANCELLED_ARRAY);
	if (!rollout_wait(s, rollout_cancelled_runs, "work starts under this version"))
		return false;
	loopback_start(s, 1, previous_program);
	loopback_start(s, 2, previous_program);
	loopback_run(s, 1);
	if (!lead_alone(s, 1, "the previous version leads over this one's records"))
		return false;
	loopback_start(s, 0, new_program);
	loopback_start(s, 2, previous_program);
	rollout_cancel(s, CANCELLED_ARRAY);
	return rollout_wait(s, rollout_cancelled_gone, "a cancellation across versions");
}

/* Limits fall while both versions run; one is rolled forth and back; then all are killed at once.
 */
static bool roll_forth_and_back(struct loopback *s)
{
	rollout_lower_limits(s);
	rollout_submit(s, LATE_ARRAY);
	rollout_submit(s, LATE_GANG);
	if (!rollout_wait(s, rollout_late_work_runs, "work starts under the new limits"))
		return false;
	rollout_replace(s, 2, new_program);
	loopback_run(s, 1);
	rollout_replace(s, 2, previous_program);
	for (int node = 0; node < LOOPBACK_NODES; node++)
		loopback_kill(s, node);
	loopback_run(s, 1);
	loopback_start(s, 0, new_program);
	loopback_start(s, 1, previous_program);
	loopback_start(s, 2, new_program);
	return rollout_wait(s, rollout_newest_format_led, "one leads after all were killed");
}

int main(int argc, char **argv)
{
	static struct loopback s;

	if (argc != 4 || rollout_init(&s))
		return 2;
	new_program = argv[1];
	previous_program = argv[2];
	production_program = argv[3];
	return rollout_end(&s, lead_in_turn(&s) && roll_forth_and_back(&s) &&
				   rollout_one_back(&s, 1, production_program, new_program));
}
