/* Measures of a scenario, and the comparison with what it expects. */
#include "expectations.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EQUAL_WITHIN 1e-9  /* numbers closer than this are equal */
#define NO_SUCH_JOB (-1.0) /* measured where a job is not known */

/* A measure of what happened so far; `argument` is the word behind its name. */
struct measure {
	const char *name;
	double (*value)(struct world *world, const char *argument);
};

/* --- of one job, whose number is the argument --- */

/* NULL if it was never submitted. */
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

/* Tasks shown as running by the newest answer to its client. */
static double tasks_shown_running(struct world *world, const char *argument)
{
	const struct standin_job *job = job_numbered(world, argument);

	return job ? job->known_running : NO_SUCH_JOB;
}

/* Share of a service's replica time in which a replica ran. */
static double served_share(struct world *world, const char *argument)
{
	const struct standin_job *job = job_numbered(world, argument);

	return job && job->required_replica_s > 0 ? job->running_replica_s / job->required_replica_s
						  : 0;
}

/* Seconds from its acceptance until it began. */
static double wait_time(struct world *world, const char *argument)
{
	const struct standin_job *job = job_numbered(world, argument);

	return job && job->began_at >= 0 ? job->began_at - job->accepted_at : INFINITY;
}

/* Its tasks that run on machines now. */
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

/* --- of the controllers --- */

static double leaders(struct world *world, const char *argument)
{
	int count = 0;

	(void)argument;
	for (int i = 0; i < world->controller_count; i++)
		count += world->controllers[i].up && inspect_leads(world->controllers[i].core);
	return count;
}

static double direct_commands(struct world *world, const char *argument)
{
	double count = 0;

	(void)argument;
	for (int i = 0; i < world->controller_count; i++)
		if (world->controllers[i].up)
			count += inspect_direct_commands(world->controllers[i].core);
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

/* Answers to clients with the status that the argument names. */
static double client_answers(struct world *world, const char *argument)
{
	return world->answer_counts[atoi(argument)];
}

/* --- of the stand-ins --- */

static double leader_key_writes(struct world *world, const char *argument)
{
	(void)argument;
	return (double)world->standin.state_service.leader_key_writes;
}

/* puts, toolarge, requests or refused */
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

/* Records whose key begins with the argument. */
static double keys_with_prefix(struct world *world, const char *argument)
{
	const struct standin_key *key = world->standin.state_service.keys;
	int count = 0;

	for (; key; key = key->hh.next)
		count += !strncmp(key->key, argument, strlen(argument));
	return count;
}

/* Requests to machines: show for questions, else direct commands. */
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

/* Machines that there ever were. */
static double machines_rented(struct world *world, const char *argument)
{
	(void)argument;
	return world->standin.machine_count;
}

/* Machines that are up, of the type that the argument names, or of any. */
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

/* Whether the rule that the argument names was broken. */
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
    {"state", state_service_count},
    {"keys", keys_with_prefix},
    {"machine_requests", machine_requests},
    {"starts_after_cancellation", starts_after_cancellation},
    {"all_starts", all_starts},
    {"machines_rented", machines_rented},
    {"machines", machines_up},
    {"broken", rule_broken},
};

/* NULL if there is none of this name. */
static const struct measure *measure_named(const char *name)
{
	for (size_t i = 0; i < sizeof(measures) / sizeof(*measures); i++)
		if (!strcmp(measures[i].name, name))
			return &measures[i];
	return NULL;
}

static bool holds(double actual, const char *comparison, double expected)
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
		world_fail(world, "unknown measure: %s", name);
		return;
	}
	actual = measure->value(world, argument);
	if (!holds(actual, comparison, atof(expected)))
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

	standin_check_served(standin);
	if (!standin->starts_total)
		standin_rule_broken(standin, RULE_NOTHING_RAN, "no start");
	for (int rule = 0; rule < RULE_COUNT; rule++)
		if (standin->rules_broken[rule] && !strstr(permitted, rule_names[rule]))
			world_fail(world, "rule broken: %s", standin->broken_rule_message);
}
