/*
 * A machine is back within a fraction of a second, and a late copy of a start that it had carried
 * out before follows. The task has run elsewhere since then, and runs there still.
 *
 * Usage: trial-6 PROGRAM RECORD TROUBLE
 */
#include <stdlib.h>
#include <string.h>

#include "../rig/rig.h"

/* The site falaria-prod-fleet. */
static struct conf_team team = {.name = "aula-ops"};
static const char objectives[] = "[[facts.objectives]]\nkind = \"useful\"\nshare = 0.78\n"
				 "[[facts.objectives]]\nkind = \"price\"\nmost = 4.6\n";

enum { FILLER = 1, TASK = 2, URGENT = 3 };

#define FILLER_RUN_S 8
#define COPY_DELAY_S 0.05 /* from the restart to the copy */

static char *copy; /* the direct message that carried the task's first start */
static int copy_machine = -1;

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
	    .name = "falaria-prod-fleet",
	    .objectives = objectives,
	    .cloud_rps = 8,
	    .cores = 0.168,
	    .mem_mb = 98,
	    .max_connections = 2131,
	},
};

static void on_direct(struct rig *seen, int machine, const char *body)
{
	(void)seen;
	if (copy || !strstr(body, "\"start\",\"parte\":\"job-000002/0\""))
		return;
	copy = strdup(body);
	copy_machine = machine;
}

static bool wait_running(const struct standin_job *job, double seconds)
{
	double until = rig_time(&rig) + seconds;

	while (!rig_running(job) && rig_time(&rig) < until)
		rig_run(&rig, 0.05);
	return rig_running(job);
}

int main(int argc, char **argv)
{
	struct standin_job *filler, *task, *urgent;
	bool trouble, broken;
	int first;

	if (argc != 4)
		return 2;
	trouble = strcmp(argv[3], "0") != 0;
	rig.on_direct = on_direct;
	rig_init(&rig, argv[1], argv[2]);
	rig_add_type(&rig, "imbuia", 16, 64, 1.06, 30, 0);
	rig_add_machine(&rig, "imbuia");
	rig_add_machine(&rig, "imbuia");
	filler = rig_add_job(&rig, FILLER, JOB_GANG, 1, 15, 51, FILLER_RUN_S);
	task = rig_add_job(&rig, TASK, JOB_ARRAY, 1, 15, 51, 60);
	urgent = rig_add_job(&rig, URGENT, JOB_GANG, 1, 15, 51, 100);
	filler->spec.priority = urgent->spec.priority = PRIO_HIGH;
	for (int i = 0; i < RIG_CONTROLLERS; i++)
		rig_start(&rig, i);
	if (rig_wait_leader(&rig, -1, 15) < 0)
		return 2;
	rig_run(&rig, 4);
	/* The task runs on one machine, and is preempted there; then it runs on the other one. */
	if (!rig_submit_until_accepted(&rig, FILLER, -1) || !wait_running(filler, 20) ||
	    !rig_submit_until_accepted(&rig, TASK, -1) || !wait_running(task, 20) || !copy)
		return 2;
	first = (int)(task->tasks->machine - rig.standin.machines);
	if (!rig_submit_until_accepted(&rig, URGENT, -1) || !wait_running(urgent, 30) ||
	    first != copy_machine)
		return 2;
	rig_run(&rig, 1);
	if (!wait_running(task, 30))
		return 2;
	rig_run(&rig, 3);
	if (trouble) {
		rig_note(&rig, "%s is restarted", rig.standin.machines[first].id);
		standin_machine_restart(&rig.standin, &rig.standin.machines[first]);
		rig_run(&rig, COPY_DELAY_S);
		rig_deliver_copy(&rig, first, copy);
	}
	rig_run(&rig, 12);
	broken = rig_rules_broken(&rig);
	rig_note(&rig, "attempts of job-000002 that were started: %u", task->starts);
	rig_free(&rig);
	return broken;
}
