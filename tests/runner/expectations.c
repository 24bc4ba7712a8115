/* The measures that `expect` lines can name, and their comparison with the expected numbers. */
#include "expectations.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EQUAL_WITHIN 1e-9  /* numbers that differ by less are equal */
#define NO_SUCH_JOB (-1.0) /* the value of counts of a job that was never submitted */

/* A number that scenarios can check. `argument` is the word after the name in the line. */
struct measure {
	const char *name;
	double (*value)(struct world *world, const char *argument);
};

/* --- measures of a job; the argument is its number --- */

/* Returns the job with this number; NULL if it was never submitted. */
static const struct standin_job *job_numbered(struct world *world, const char *number)
{
	char id[ID_MAX];

	format_job_id(id, atoi(number));
	return standin_job_find(&world->standin, id);
}

static double client_knows_done(struct world *world, const char *argument)
{
	const struct standin_job *job = job_numbered(world, argument);

	return job && job->known_done;
}

static double client_knows_cancelled(struct world *world, const char *argument)
{
	const struct standin_job *job = job_numbered(world, argument);

	return job && job->known_cancelled;
}

static double tasks_done(struct world *world, const char *argument)
{
	const struct standin_job *job = job_numbered(world, argument);

	return job ? job->done_count : NO_SUCH_JOB;
}

static double task_starts(struct world *world, const char *argument)
{
	const struct standin_job *job = job_numbered(world, argument);

	return job ? job->starts : NO_SUCH_JOB;
}

/* The number of running tasks that the newest answer to the job's user showed. */
static double tasks_shown_running(struct world *world, const char *argument)
{
	const struct standin_job *job = job_numbered(world, argument);

	return job ? job->known_running : NO_SUCH_JOB;
}

/* The share of a service's replica time in which the replicas ran. */
static double served_share(struct world *world, const char *argument)
{
	const struct standin_job *job = job_numbered(world, argument);

	return job && job->required_replica_s > 0 ? job->running_replica_s / job->required_replica_s
						  : 0;
}

/* The time in seconds from the job's acceptance until it began; infinite if it has not begun. */
static double wait_time(struct world *world, const char *argument)
{
	const struct standin_job *job = job_numbered(world, argument);

	return job && job->began_at >= 0 ? job->began_at - job->accepted_at : INFINITY;
}

/* The number of the job's tasks that run on machines now. */
static double tasks_running(struct world *world, const char *argument)
{
	char id[ID_MAX];
	int count = 0;

	format_job_id(id, atoi(argument));
	for (int i = 0; i < world->standin.machine_count; i++) {
		const struct standin_task *task = world->standin.machines[i].tasks;

		for (; task; task = task->next)
			count += task->state == TASK_RUNNING && !strcmp(task->job_id, id);
	}
	return count;
}

/* --- measures of the controllers --- */

static double leaders(struct world *world, const char *argument)
{
	int count = 0;

	(void)argument;
	for (int i = 0; i < world->controller_count; i++)
		count += world->controllers[i].up && inspect_leads(world->controllers[i].core);
	return count;
}

/* The number of direct commands and probes that agents have not answered yet. */
static double direct_commands(struct world *world, const char *argument)
{
	double count = 0;

	(void)argument;
	for (int i = 0; i < world->controller_count; i++)
		if (world->controllers[i].up)
			count += inspect_agent_calls_in_flight(world->controllers[i].core);
	return count;
}

static double share_switches(struct world *world, const char *argument)
{
	double count = 0;

	(void)argument;
	for (int i = 0; i < world->controller_count; i++)
		if (world->controllers[i].up)
			count += inspect_share_switches(world->controllers[i].core);
	return count;
}

/* The number of answers to clients with the HTTP status in the argument. */
static double client_answers(struct world *world, const char *argument)
{
	return world->answer_counts[atoi(argument)];
}

/* --- measures of the stand-ins --- */

static double leader_key_writes(struct world *world, const char *argument)
{
	(void)argument;
	return (double)world->standin.state_service.leader_key_writes;
}

/* Bytes of the longest report that a machine has sent. */
static double longest_report(struct world *world, const char *argument)
{
	(void)argument;
	return (double)world->longest_report;
}

static double leader_claims(struct world *world, const char *argument)
{
	(void)argument;
	return (double)world->standin.state_service.leader_claims;
}

/* A counter of the state service. The argument is puts, toolarge or requests; anything else stands
 * for the refused requests. */
static double state_service_count(struct world *world, const char *argument)
{
	const struct standin_state_service *state = &world->standin.state_service;

	if (!strcmp(argument, "puts"))
		return (double)state->writes;
	if (!strcmp(argument, "toolarge"))
		return (double)state->invalid_transactions;
	if (!strcmp(argument, "requests"))
		return (double)state->requests;
	return (double)state->requests_over_limit;
}

/* The number of keys in the state service that begin with the argument. */
static double keys_with_prefix(struct world *world, const char *argument)
{
	const struct standin_key *key = world->standin.state_service.keys;
	int count = 0;

	for (; key; key = key->hh.next)
		count += !strncmp(key->key, argument, strlen(argument));
	return count;
}

/* The number of requests that reached machines: with the argument probes, the probes; with any
 * other, the direct commands. */
static double machine_requests(struct world *world, const char *argument)
{
	if (!strcmp(argument, "probes"))
		return (double)world->standin.probes;
	return (double)world->standin.direct_commands;
}

static double starts_after_cancellation(struct world *world, const char *argument)
{
	(void)argument;
	return (double)world->standin.starts_after_cancellation;
}

static double all_starts(struct world *world, const char *argument)
{
	(void)argument;
	return (double)world->standin.starts_total;
}

/* The number of machines that have ever existed. */
static double machines_rented(struct world *world, const char *argument)
{
	(void)argument;
	return world->standin.machine_count;
}

/* The number of machines that are up and of the type in the argument, or of any type for `any`. */
static double machines_up(struct world *world, const char *argument)
{
	bool any = !strcmp(argument, "any");
	int count = 0;

	for (int i = 0; i < world->standin.machine_count; i++) {
		const struct standin_machine *machine = &world->standin.machines[i];

		count +=
		    machine->power == POWER_UP && (any || !strcmp(machine->type->name, argument));
	}
	return count;
}

/* 1 if the rule that the argument names was broken, else 0. */
static double rule_broken(struct world *world, const char *argument)
{
	for (int rule = 0; rule < RULE_COUNT; rule++)
		if (!strcmp(rule_names[rule], argument))
			return world->standin.rules_broken[rule] > 0;
	return 0;
}

static const struct measure measures[] = {
    {"done", client_knows_done},
    {"cancelled", client_knows_cancelled},
    {"tasks_done", tasks_done},
    {"starts", task_starts},
    {"served_share", served_share},
    {"wait", wait_time},
    {"running_shown", tasks_shown_running},
    {"running", tasks_running},
    {"leaders", leaders},
    {"direct_commands", direct_commands},
    {"share_switches", share_switches},
    {"answers", client_answers},
    {"leader_key_writes", leader_key_writes},
    {"leader_claims", leader_claims},
    {"longest_report", longest_report},
    {"state", state_service_count},
    {"keys", keys_with_prefix},
    {"machine_requests", machine_requests},
    {"starts_after_cancellation", starts_after_cancellation},
    {"all_starts", all_starts},
    {"machines_rented", machines_rented},
    {"machines", machines_up},
    {"broken", rule_broken},
};

/* Returns the measure with this name; NULL if there is none. */
static const struct measure *measure_named(const char *name)
{
	for (size_t i = 0; i < sizeof(measures) / sizeof(*measures); i++)
		if (!strcmp(measures[i].name, name))
			return &measures[i];
	return NULL;
}

/* Compares a measured with an expected number. Any comparison but == and >= stands for <=. */
static bool comparison_is_true(double actual, const char *comparison, double expected)
{
	if (!strcmp(comparison, "=="))
		return fabs(actual - expected) < EQUAL_WITHIN;
	if (!strcmp(comparison, ">="))
		return actual >= expected;
	return actual <= expected;
}

/* expect MEASURE ARGUMENT ==|>=|<= NUMBER */
static void expect(struct world *world, const struct scenario_line *line)
{
	const char *name = line_word(line, 1);
	const char *argument = line_word(line, 2);
	const char *comparison = line_word(line, 3);
	const char *expected = line_word(line, 4);
	const struct measure *measure = measure_named(name);
	double actual;

	if (!measure) {
		world_fail(world, "unknown measure \"%s\"", name);
		return;
	}
	actual = measure->value(world, argument);
	if (!comparison_is_true(actual, comparison, atof(expected)))
		world_fail(world, "%s %s is %g, expected %s %s", name, argument, actual, comparison,
			   expected);
}

const struct scenario_keyword expectation_keywords[] = {
    {"expect", 4, expect},
    {NULL, 0, NULL},
};

void expect_rules_kept(struct world *world, const char *permitted)
{
	struct standin *standin = &world->standin;
	int failures_before = world->failures;

	standin_check_served(standin);
	if (!standin->starts_total)
		standin_record_broken_rule(standin, RULE_NOTHING_RAN,
					   "no task started in the whole scenario");
	for (int rule = 0; rule < RULE_COUNT; rule++)
		if (standin->rules_broken[rule] && !strstr(permitted, rule_names[rule]))
			world_fail(world, "rule %s broken %d times, expected 0", rule_names[rule],
				   standin->rules_broken[rule]);
	if (world->failures > failures_before)
		fprintf(stderr, "%s: newest message of the checker, on rule %s\n",
			world->scenario_path, standin->broken_rule_message);
}
