/*
 * A user submits some jobs with a mistake, which fail, and cancels them.
 * All machines are drained for it, and stay so: a job that is submitted afterwards waits though the
 * machines have room.
 *
 * Usage: trial-8 PROGRAM RECORD TROUBLE
 */
#include <stdlib.h>
#include <string.h>

#include "../rig/rig.h"

/* The site falaria-prod-hunt. */
static struct conf_team team = {.name = "aula-ops"};
static const char objectives[] = "[[facts.objectives]]\nkind = \"useful\"\nshare = 0.78\n"
				 "[[facts.objectives]]\nkind = \"price\"\nmost = 4.6\n";

enum { LONG_FIRST = 1, LONG_COUNT = 2, BAD_FIRST = 11, BAD_COUNT = 6, GOOD = 21 };

#define LONG_RUN_S 300 /* the longest run of the class voz-gpu */
#define WATCH_UNTIL_S 111

static struct rig rig = {
    .conf =
	{
	    .teams = &team,
	    .team_count = 1,
	    .report_s = 5,
	    .lease_s = 26.5,
	    .gang_wait_s = 40,
	    .gang_peer_s = 5,
	    .cancel_s = 56.5,
	    .limits = {.rps = 400, .write_rps = 90, .value_kb = 8, .txn_ops = 24},
	    .inventory_lag_s = 5,
	},
    .site =
	{
	    .name = "falaria-prod-hunt",
	    .objectives = objectives,
	    .cloud_rps = 8,
	    .cores = 0.168,
	    .mem_mb = 98,
	    .max_connections = 2131,
	},
};

/* A task of the class voz-gpu. */
static struct standin_job *add_job(int number, double run_s)
{
	struct standin_job *job = rig_add_job(&rig, number, JOB_ARRAY, 1, 6, 24, run_s);

	job->spec.gpus = 1;
	return job;
}

static bool all_running(int first, int count)
{
	char id[ID_MAX];

	for (int i = 0; i < count; i++) {
		snprintf(id, sizeof(id), "job-%06d", first + i);
		if (!rig_running(standin_job_find(&rig.standin, id)))
			return false;
	}
	return true;
}

/* Cancels the jobs until each is confirmed as cancelled. */
static bool cancel_all(int first, int count)
{
	char id[ID_MAX];

	for (int tries = 0; tries < 10; tries++) {
		int left = 0;

		for (int i = 0; i < count; i++) {
			snprintf(id, sizeof(id), "job-%06d", first + i);
			if (standin_job_find(&rig.standin, id)->known_cancelled)
				continue;
			rig_cancel(&rig, first + i, tries % RIG_CONTROLLERS);
			left++;
		}
		if (!left)
			return true;
		rig_run(&rig, 0.5);
	}
	return false;
}

/* Adds the machines and the jobs. Returns the sound job that comes last. */
static struct standin_job *set_up(void)
{
	rig_add_type(&rig, "araucaria", 32, 128, 10.51, 35, 0);
	rig.standin.cloud.types[0].gpus = 4;
	for (int i = 0; i < LONG_COUNT; i++)
		rig_add_machine(&rig, "araucaria");
	for (int i = 0; i < LONG_COUNT; i++) {
		struct standin_job *job = add_job(LONG_FIRST + i, LONG_RUN_S);

		job->spec.cpus = 18; /* so that each machine gets one */
	}
	for (int i = 0; i < BAD_COUNT; i++)
		add_job(BAD_FIRST + i, 60)->always_fails = true;
	for (int i = 0; i < RIG_CONTROLLERS; i++)
		rig_start(&rig, i);
	return add_job(GOOD, 20);
}

/* Starts the long tasks. Returns false if that is not possible. */
static bool start_long_tasks(void)
{
	if (rig_wait_leader(&rig, -1, 15) < 0)
		return false;
	for (int i = 0; i < LONG_COUNT; i++)
		if (!rig_submit_until_accepted(&rig, LONG_FIRST + i, -1))
			return false;
	for (int i = 0; i < 100 && !all_running(LONG_FIRST, LONG_COUNT); i++)
		rig_run(&rig, 0.1);
	return all_running(LONG_FIRST, LONG_COUNT);
}

/* The jobs with a mistake are submitted, and cancelled. */
static bool make_trouble(void)
{
	for (int i = 0; i < BAD_COUNT; i++)
		rig_submit(&rig, BAD_FIRST + i, i % RIG_CONTROLLERS);
	rig_run(&rig, 3);
	return cancel_all(BAD_FIRST, BAD_COUNT);
}

static void note_machines(void)
{
	for (int i = 0; i < rig.standin.machine_count; i++) {
		const struct standin_machine *machine = &rig.standin.machines[i];

		rig_note(&rig, "%s up=%d free: %.0f CPUs, %.0f GPUs, %.0f GB", machine->id,
			 machine->power == POWER_UP, machine->free_cpus, machine->free_gpus,
			 machine->free_mem_gb);
	}
}

int main(int argc, char **argv)
{
	struct standin_job *good;
	double troubles_over_at;
	bool broken = false;

	if (argc != 4)
		return 2;
	rig_init(&rig, argv[1], argv[2]);
	good = set_up();
	if (!start_long_tasks() || (strcmp(argv[3], "0") && !make_trouble()))
		return 2;
	troubles_over_at = rig.standin.now;
	rig_note(&rig, "no job with a mistake is left");
	if (!rig_submit_until_accepted(&rig, GOOD, -1))
		return 2;
	for (int i = 0; rig_time(&rig) < WATCH_UNTIL_S && !good->done_count && !broken; i++) {
		rig_run(&rig, 0.5);
		standin_check_idle_room(&rig.standin, troubles_over_at);
		broken = rig.standin.rules_broken[RULE_IDLE_ROOM];
		if (i % 10 == 0)
			rig_poll(&rig, GOOD, i / 10 % RIG_CONTROLLERS);
	}
	note_machines();
	rig_note(&rig, "job-%06d: starts=%u done=%u; rule %s: %s", GOOD, good->starts,
		 good->done_count, broken ? "broken" : "held", rig.standin.broken_rule_message);
	rig_free(&rig);
	return broken;
}
