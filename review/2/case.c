/*
 * Case 2: a task runs on two machines, because the leader lets an agent forget an attempt while the
 * answer to a report that carries the attempt's start is still on its way. Exit status: 1 if the
 * rule ran_twice was broken, 0 if it held, 2 if the case could not run.
 */
#include <string.h>

#include "bed.h"
#include "wire/names.h"

#define MACHINES 4
#define COMMAND_LATE_S 1.0 /* the direct command with the start is held up */
#define ANSWER_LATE_S 3.4  /* the answer to the report; agents drop answers after 4 s */

/* FAILING's task fails once, on the machine where it is started first. */
enum { FAILING = 1, FIRST = 2, SECOND = 3 };

static int first_machine = -1; /* where FAILING's task was started first */
static bool answer_held;

static bool starts_failing(const char *body)
{
	return strstr(body, "\"" W_OP_START "\"") && strstr(body, W_JOB_PREFIX "000001/0");
}

/* Holds up the first direct command that starts FAILING's task. */
static double hold_request(struct bed *bed, int server, const char *path, const char *body)
{
	if (server < 2 || strcmp(path, W_PATH_COMMANDS) || first_machine >= 0 ||
	    !starts_failing(body))
		return 0;
	first_machine = server - 2;
	bed->standin.machines[first_machine].faulty = true;
	bed_note(bed, "%s has a fault: the next task that starts on it fails",
		 bed->standin.machines[first_machine].id);
	return bed_without_trouble() ? 0 : COMMAND_LATE_S;
}

/* Holds up the answer to the report of the same machine that carries the same start. */
static double hold_report_answer(struct bed *bed, int machine, int status, const char *body)
{
	(void)bed;
	if (machine != first_machine || answer_held || status != 200 || !starts_failing(body))
		return 0;
	answer_held = true;
	return bed_without_trouble() ? 0 : ANSWER_LATE_S;
}

/* Makes all agents report in so many seconds, within the interval that the pages allow: a report
 * interval give or take a quarter. Returns false if that is not possible now. */
static bool align_reports(struct bed *bed, double in_s)
{
	double report_s = bed->conf.report_s, at = net_now() + in_s;

	for (int i = 0; i < MACHINES; i++) {
		const struct standin_machine *machine = &bed->standin.machines[i];
		double interval = at - machine->report_sent_at;

		if (machine->report_unanswered || machine->changed_since_report ||
		    interval < 0.75 * report_s || interval > 1.25 * report_s)
			return false;
	}
	for (int i = 0; i < MACHINES; i++)
		bed->standin.machines[i].next_report_at = at;
	return true;
}

/* Brings the agents' reports together within some report intervals. */
static bool wait_for_aligned_reports(struct bed *bed, double in_s)
{
	double until = net_now() + 30;

	while (net_now() < until) {
		double earliest = 1e18, report_s = bed->conf.report_s;

		if (align_reports(bed, in_s))
			return true;
		for (int i = 0; i < MACHINES; i++)
			if (bed->standin.machines[i].report_sent_at < earliest)
				earliest = bed->standin.machines[i].report_sent_at;
		/* Agents that reported later report a quarter sooner, the others a quarter later.
		 */
		for (int i = 0; i < MACHINES; i++) {
			struct standin_machine *machine = &bed->standin.machines[i];
			double lead = machine->report_sent_at - earliest;
			double shift = lead > 0.3 ? -0.24 : 0.24;

			if (lead < report_s)
				machine->next_report_at =
				    machine->report_sent_at + report_s * (1 + shift);
		}
		bed_run(bed, 0.05);
	}
	return false;
}

static bool failed_once(struct bed *bed)
{
	const struct standin_machine *machine = &bed->standin.machines[first_machine];

	for (const struct standin_task *task = machine->tasks; task; task = task->next)
		if (task->end_reason == END_ERROR)
			return true;
	return false;
}

static int run_case(struct bed *bed)
{
	bed->hold_request = hold_request;
	bed->hold_report_answer = hold_report_answer;
	bed_start_controllers(bed);
	bed_add_job(bed, FAILING, JOB_ARRAY, 1, 2, 10000);
	/* Their tasks are so large that each machine has room for one of each. */
	bed_add_job(bed, FIRST, JOB_ARRAY, MACHINES, 8.5, 10000);
	bed_add_job(bed, SECOND, JOB_ARRAY, MACHINES, 5, 10000);
	bed_run(bed, 6);
	if (!wait_for_aligned_reports(bed, 0.45))
		return 2;
	bed_submit(bed, FAILING, 0);
	for (int i = 0; i < 40 && first_machine < 0; i++)
		bed_run(bed, 0.02);
	for (int i = 0; i < 200 && (first_machine < 0 || !failed_once(bed)); i++)
		bed_run(bed, 0.01);
	if (first_machine < 0 || !failed_once(bed))
		return 2;
	bed->standin.machines[first_machine].faulty = false;
	bed_note_tasks(bed, "the task has failed on the faulty machine, which is well again:");
	bed_run(bed, 0.3);
	bed_submit(bed, FIRST, 1);
	bed_run(bed, 0.7);
	bed_note_tasks(bed, "the first other job was submitted:");
	bed_submit(bed, SECOND, 2);
	bed_run(bed, 0.7);
	bed_note_tasks(bed, "the second other job was submitted:");
	bed_run(bed, 5);
	bed_note_tasks(bed, "at the end:");
	return bed->standin.rules_broken[RULE_RAN_TWICE] ? 1 : 0;
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
