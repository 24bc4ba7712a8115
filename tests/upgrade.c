/*
 * Test of the upgrade from the version in production (old) to this one (new) over the loopback
 * interface. Controllers are upgraded one by one while jobs run and are cancelled, and each version
 * leads with records that the other wrote; then the limits of the state service fall, and at last a
 * controller returns to the old version.
 *
 * It guards against records that the other version misreads, so that jobs are lost, run twice or
 * run on after their cancellation; against a format of the records that is raised while an old
 * controller could still lead; and against transactions that exceed the lowered limits.
 *
 * Usage: upgrade PROGRAM OLD_PROGRAM
 */
#include <stdio.h>
#include <string.h>

#include "core/election/election.h"
#include "loopback/rollout.h"

#define CONTROLLER_0 "node-0"
#define SETTLE_S 1 /* seconds between steps */

static const char *new_program, *old_program;

static bool first_format_has_leader(struct loopback *loopback)
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

/* Old controllers lead, and the first jobs start under them. */
static bool start_old_version(struct loopback *loopback)
{
	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++)
		loopback_start(loopback, i, old_program);
	if (!rollout_wait(loopback, first_format_has_leader,
			  "waited for a controller of the old version to lead"))
		return false;
	rollout_submit(loopback, ARRAY);
	rollout_submit(loopback, SERVICE);
	rollout_submit(loopback, GANG);
	return rollout_wait(loopback, rollout_first_jobs_run,
			    "waited for the first jobs to run under the old version");
}

/* The new version leads with the records of the old one. */
static bool new_leads_with_old_records(struct loopback *loopback)
{
	rollout_replace(loopback, 0, new_program);
	loopback_run(loopback, SETTLE_S);
	loopback_kill(loopback, 1);
	loopback_kill(loopback, 2);
	if (!rollout_wait(loopback, controller_0_leads,
			  "waited for the new version to lead with records of the old one"))
		return false;
	rollout_submit(loopback, CANCELLED_ARRAY);
	return rollout_wait(loopback, rollout_cancelled_array_runs,
			    "waited for a job to run under the new version");
}

/* The old version leads with the records of the new one, and a job is cancelled. */
static bool old_leads_with_new_records(struct loopback *loopback)
{
	loopback_start(loopback, 1, old_program);
	loopback_start(loopback, 2, old_program);
	loopback_run(loopback, SETTLE_S);
	loopback_kill(loopback, 0);
	if (!rollout_wait(loopback, another_leads,
			  "waited for the old version to lead with records of the new one"))
		return false;
	loopback_start(loopback, 0, new_program);
	rollout_cancel(loopback, CANCELLED_ARRAY);
	return rollout_wait(loopback, rollout_cancelled_array_ended,
			    "waited until no task of the cancelled job runs");
}

/* Upgrades the other controllers, which raises the records' format, and then lowers the limits. */
static bool upgrade_rest_and_lower_limits(struct loopback *loopback)
{
	rollout_replace(loopback, 1, new_program);
	loopback_run(loopback, SETTLE_S);
	if (rollout_newest_format_has_leader(loopback)) {
		fprintf(stderr,
			"the records' format is raised while controller 2 runs the old version\n");
		return false;
	}
	rollout_replace(loopback, 2, new_program);
	if (!rollout_wait(loopback, rollout_newest_format_has_leader,
			  "waited for the records' format to be raised"))
		return false;
	rollout_lower_limits(loopback);
	rollout_submit(loopback, LATE_ARRAY);
	rollout_submit(loopback, LATE_GANG);
	return rollout_wait(loopback, rollout_late_jobs_run,
			    "waited for jobs to run under the lowered limits");
}

static bool run_test(struct loopback *loopback)
{
	return start_old_version(loopback) && new_leads_with_old_records(loopback) &&
	       old_leads_with_new_records(loopback) && upgrade_rest_and_lower_limits(loopback) &&
	       rollout_downgrade_one(loopback, 2, old_program, new_program);
}

int main(int argc, char **argv)
{
	static struct loopback loopback;

	if (argc != 3 || rollout_init(&loopback))
		return 2;
	new_program = argv[1];
	old_program = argv[2];
	return rollout_end(&loopback, run_test(&loopback));
}
