/*
 * Case 1: a cancelled job's tasks run on, because the leader sends no stop to a machine that it
 * wants to delete. Exit status: 1 if the rule ran_cancelled was broken, 0 if it held, 2 if the case
 * could not run.
 */
#include <string.h>

#include "bed.h"
#include "wire/names.h"

#define MACHINES 5
#define CUT_S 6.0	  /* one machine loses the network; its lease is 14 s */
#define CLOUD_LATE_S 60.0 /* messages to the cloud arrive so much later at most */
#define WATCH_AFTER_S 3.0 /* the case watches until so long after cancel_s */

enum { SERVICE = 1, ARRAY = 2 };

static int cut_machine = -1;
static double cut_until, cloud_late_until;

/* Messages to the cut machine arrive when the cut ends; those to the cloud, when the interruption
 * of the network between the controllers and the cloud ends. */
static double hold_request(struct bed *bed, int server, const char *path, const char *body)
{
	double until = 0;

	(void)bed;
	(void)path;
	(void)body;
	if (server == 1)
		until = cloud_late_until;
	else if (server - 2 == cut_machine)
		until = cut_until;
	return until > net_now() ? until - net_now() : 0;
}

static bool report_is_lost(struct bed *bed, int machine)
{
	(void)bed;
	return machine == cut_machine && net_now() < cut_until;
}

/* A machine that runs a replica and a task of the array; -1: none. */
static int find_shared_machine(struct bed *bed)
{
	for (int i = 0; i < bed->machine_count; i++) {
		bool replica = false, array = false;

		for (const struct standin_task *task = bed->standin.machines[i].tasks; task;
		     task = task->next) {
			replica |=
			    task->state == TASK_RUNNING && task->job->spec.kind == JOB_SERVICE;
			array |= task->state == TASK_RUNNING && task->job->spec.kind == JOB_ARRAY;
		}
		if (replica && array)
			return i;
	}
	return -1;
}

/* Waits until the leader has answered a report that the machine sends from now on. */
static bool wait_for_report(struct bed *bed, int machine)
{
	double since = net_now();

	while (net_now() < since + 10)
		if (bed->report_answered_at[machine] > since)
			return true;
		else
			bed_run(bed, 0.1);
	return false;
}

static int run_case(struct bed *bed)
{
	bed->hold_request = hold_request;
	bed->report_is_lost = report_is_lost;
	bed_start_controllers(bed);
	bed_run(bed, 5);
	bed_add_job(bed, SERVICE, JOB_SERVICE, MACHINES, 2, 10000);
	bed_add_job(bed, ARRAY, JOB_ARRAY, 4 * MACHINES, 3, 10000);
	if (!bed_submit_until(bed, SERVICE, 10) || !bed_wait_running(bed, SERVICE, MACHINES, 15) ||
	    !bed_submit_until(bed, ARRAY, 10) || !bed_wait_running(bed, ARRAY, 4 * MACHINES, 15))
		return 2;
	bed_run(bed, 2);
	bed_note_tasks(bed, "all tasks run:");
	cut_machine = find_shared_machine(bed);
	if (cut_machine < 0)
		return 2;
	if (!bed_without_trouble()) {
		cut_until = net_now() + CUT_S;
		cloud_late_until = net_now() + CLOUD_LATE_S;
		bed_note(bed,
			 "%s loses the network for %.0f s; messages to the cloud are held up for "
			 "%.0f s",
			 bed->standin.machines[cut_machine].id, CUT_S, CLOUD_LATE_S);
	}
	bed_run(bed, CUT_S);
	if (!wait_for_report(bed, cut_machine))
		return 2;
	bed_note_tasks(bed, "the machine is back, and a report of it was answered:");
	if (!bed_cancel_until(bed, ARRAY, 10))
		return 2;
	bed_run(bed, bed->conf.cancel_s - 1);
	bed_note_tasks(bed, "1 s before cancel_s is over:");
	bed_run(bed, 1 + WATCH_AFTER_S);
	bed_note_tasks(bed, "3 s after cancel_s:");
	return bed->standin.rules_broken[RULE_RAN_CANCELLED] ? 1 : 0;
}

int main(int argc, char **argv)
{
	static struct bed bed;
	int result;

	if (argc != 2 || bed_init(&bed, argv[1], MACHINES))
		return 2;
	result = run_case(&bed);
	bed_note(&bed, "%s",
		 result == 1 ? bed.standin.broken_rule_message
		 : result    ? "the case could not run"
			     : "the rule held");
	for (int rule = 0; rule < RULE_COUNT; rule++)
		if (bed.standin.rules_broken[rule])
			bed_note(&bed, "rule %s: broken", rule_names[rule]);
	bed_free(&bed);
	return result;
}
