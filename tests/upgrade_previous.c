/*
 * Test of the upgrade from a previous version, whose records have the same format, to this one
 * (new) over the loopback interface. Each version leads with records that the other wrote;
 * controllers are upgraded and downgraded while jobs run and are cancelled, the limits of the state
 * service fall meanwhile, and all controllers are killed at once. At last a controller returns as
 * the version in production, which reads only the older format.
 *
 * It guards against records that the other version misreads, so that jobs are lost, run twice or
 * run on after their cancellation, and against transactions that exceed the lowered limits.
 *
 * Usage: upgrade_previous PROGRAM PREVIOUS_PROGRAM PRODUCTION_PROGRAM
 */
#include "loopback/rollout.h"

#define SETTLE_S 1	  /* seconds between steps */
#define LEASE_EXPIRED_S 4 /* seconds: longer than the lease of the last leader lasts */

static const char *new_program, *previous_program, *production_program;

/* Kills the other controllers and waits until this one leads, whatever its version. */
static bool make_controller_lead(struct loopback *loopback, int controller, const char *what)
{
	for (int other = 0; other < LOOPBACK_CONTROLLERS; other++)
		if (other != controller)
			loopback_kill(loopback, other);
	loopback_run(loopback, LEASE_EXPIRED_S);
	return rollout_wait(loopback, rollout_newest_format_has_leader, what);
}

/* The previous version leads, and the first jobs start under it. */
static bool start_previous_version(struct loopback *loopback)
{
	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++)
		loopback_start(loopback, i, previous_program);
	if (!rollout_wait(loopback, rollout_newest_format_has_leader,
			  "waited for a controller of the previous version to lead"))
		return false;
	rollout_submit(loopback, ARRAY);
	rollout_submit(loopback, SERVICE);
	rollout_submit(loopback, GANG);
	return rollout_wait(loopback, rollout_first_jobs_run,
			    "waited for the first jobs to run under the previous version");
}

/* The new version leads with the records of the previous one. */
static bool new_leads_with_previous_records(struct loopback *loopback)
{
	rollout_replace(loopback, 0, new_program);
	loopback_run(loopback, SETTLE_S);
	if (!make_controller_lead(
		loopback, 0, "waited for the new version to lead with records of the previous one"))
		return false;
	rollout_submit(loopback, CANCELLED_ARRAY);
	return rollout_wait(loopback, rollout_cancelled_array_runs,
			    "waited for a job to run under the new version");
}

/* The previous version leads with the records of the new one, and a job is cancelled. */
static bool previous_leads_with_new_records(struct loopback *loopback)
{
	loopback_start(loopback, 1, previous_program);
	loopback_start(loopback, 2, previous_program);
	loopback_run(loopback, SETTLE_S);
	if (!make_controller_lead(
		loopback, 1, "waited for the previous version to lead with records of the new one"))
		return false;
	loopback_start(loopback, 0, new_program);
	loopback_start(loopback, 2, previous_program);
	rollout_cancel(loopback, CANCELLED_ARRAY);
	return rollout_wait(loopback, rollout_cancelled_array_ended,
			    "waited until no task of the cancelled job runs");
}

/* Lowers the limits of the state service while both versions run. */
static bool lower_limits(struct loopback *loopback)
{
	rollout_lower_limits(loopback);
	rollout_submit(loopback, LATE_ARRAY);
	rollout_submit(loopback, LATE_GANG);
	return rollout_wait(loopback, rollout_late_jobs_run,
			    "waited for jobs to run under the lowered limits");
}

/* Upgrades a controller and downgrades it again, then kills all controllers at once. */
static bool upgrade_downgrade_and_kill_all(struct loopback *loopback)
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
	return rollout_wait(loopback, rollout_newest_format_has_leader,
			    "waited for a leader after all controllers were killed");
}

static bool run_test(struct loopback *loopback)
{
	return start_previous_version(loopback) && new_leads_with_previous_records(loopback) &&
	       previous_leads_with_new_records(loopback) && lower_limits(loopback) &&
	       upgrade_downgrade_and_kill_all(loopback) &&
	       rollout_downgrade_one(loopback, 1, production_program, new_program);
}

int main(int argc, char **argv)
{
	static struct loopback loopback;

	if (argc != 4 || rollout_init(&loopback))
		return 2;
	new_program = argv[1];
	previous_program = argv[2];
	production_program = argv[3];
	return rollout_end(&loopback, run_test(&loopback));
}
