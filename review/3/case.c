/*
 * Case 3: a task runs on two machines, because the leader lets an agent forget an attempt while the
 * agent still accepts the token under which the attempt was started: a repeat of the start, which
 * follows the end of the leader's process, starts it once more. Exit status: 1 if the rule
 * ran_twice was broken, 0 if it held, 2 if the case could not run.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "bed.h"
#include "util/xalloc.h"
#include "wire/names.h"

#define MACHINES 4
#define REPEAT_AFTER_S 0.2 /* from the end of the leader's process to the repeat of its request */
#define BACK_AFTER_S 0.3   /* from the repeat until the process is back */
#define LEADER_KEY_NAME "leader/2"

enum { FAILING = 1 }; /* its task fails once, on the machine where it is started first */

static int first_machine = -1; /* where FAILING's task was started first */
static char *first_request;    /* the body of the direct command that started it there */

/* Keeps a copy of the first direct command that starts FAILING's task. No message is held. */
static double note_request(struct bed *bed, int server, const char *path, const char *body)
{
	if (server < 2 || strcmp(path, W_PATH_COMMANDS) || first_machine >= 0 ||
	    !strstr(body, "\"" W_OP_START "\"") || !strstr(body, W_JOB_PREFIX "000001/0"))
		return 0;
	first_machine = server - 2;
	first_request = xstrdup(body);
	bed->standin.machines[first_machine].faulty = true;
	bed_note(bed, "%s has a fault: the next task that starts on it fails",
		 bed->standin.machines[first_machine].id);
	return 0;
}

/* True if the first machine lists an attempt of FAILING's task. */
static bool is_listed(const struct bed *bed)
{
	const struct standin_task *task = bed->standin.machines[first_machine].tasks;

	for (; task; task = task->next)
		if (!strcmp(task->job_id, W_JOB_PREFIX "000001"))
			return true;
	return false;
}

/* Runs until the task runs on another machine and the first machine was told to forget it. */
static bool wait_until_forgotten(struct bed *bed)
{
	for (int i = 0; i < 300; i++) {
		if (first_machine >= 0 && !is_listed(bed) && bed_running(bed, FAILING) == 1)
			return true;
		if (first_machine >= 0 && is_listed(bed) &&
		    bed->standin.machines[first_machine].tasks->end_reason == END_ERROR)
			bed->standin.machines[first_machine].faulty = false;
		bed_run(bed, 0.05);
	}
	return false;
}

static int find_leader(struct bed *bed)
{
	const struct standin_key *key;
	const char *name;

	HASH_FIND_STR(bed->standin.state_service.keys, LEADER_KEY_NAME, key);
	name = key ? json_string_value(json_object_get(key->value, "name")) : NULL;
	for (int i = 0; name && i < BED_CONTROLLERS; i++)
		if (!strcmp(bed->standin.controller_names[i], name))
			return i;
	return -1;
}

/* The leader's process ends, a repeat of a request of it that was carried out follows, and the
 * process is back within a fraction of a second. */
static bool make_trouble(struct bed *bed)
{
	int leader = find_leader(bed);

	if (leader < 0)
		return false;
	bed_kill(bed, leader);
	bed_run(bed, REPEAT_AFTER_S);
	bed_note(bed, "a repeat of an earlier request reaches %s",
		 bed->standin.machines[first_machine].id);
	bed_repeat(bed, first_machine, W_PATH_COMMANDS, first_request);
	bed_run(bed, BACK_AFTER_S);
	bed_start(bed, leader);
	return true;
}

static int run_case(struct bed *bed)
{
	bed->hold_request = note_request;
	bed_start_controllers(bed);
	bed_add_job(bed, FAILING, JOB_ARRAY, 1, 2, 10000);
	bed_run(bed, 7);
	if (!bed_submit_until(bed, FAILING, 15) || !wait_until_forgotten(bed))
		return 2;
	bed_run(bed, 4);
	bed_note_tasks(bed, "the task has failed once, was forgotten, and runs elsewhere:");
	if (!bed_without_trouble() && !make_trouble(bed))
		return 2;
	bed_run(bed, 1);
	bed_note_tasks(bed, "one second later:");
	bed_run(bed, 9);
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
	free(first_request);
	bed_free(&bed);
	return result;
}
