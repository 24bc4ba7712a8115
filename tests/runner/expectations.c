/* Measures of a scenario, and the comparison with what it expects. */
#include "expectations.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool compare(double have, const char *op, double want)
{
	if (!strcmp(op, "=="))
		return fabs(have - want) < 1e-9;
	if (!strcmp(op, ">="))
		return have >= want;
	return have <= want;
}

#define UNKNOWN_MEASURE (-2.0)

/* What is known of one job; UNKNOWN_MEASURE if `what` is no measure of jobs. */
static double measure_job(struct world *world, const char *what, const char *arg)
{
	char id[ID_MAX];
	struct si_job *j;
	double n = 0;

	format_job_id(id, atoi(arg));
	j = si_job(&world->standin, id);
	if (!strcmp(what, "done"))
		return j && j->told_done;
	if (!strcmp(what, "cancelled"))
		return j && j->told_cancelled;
	if (!strcmp(what, "tasksdone"))
		return j ? (double)j->ndone : -1;
	if (!strcmp(what, "starts"))
		return j ? (double)j->starts : -1;
	if (!strcmp(what, "served")) /* share of a service's replica time */
		return j && j->replica_s > 0 ? j->served_s / j->replica_s : 0;
	if (!strcmp(what, "wait")) /* seconds from its acceptance until it began */
		return j && j->began_at >= 0 ? j->began_at - j->accepted_at : INFINITY;
	if (!strcmp(what, "shown"))
		return j ? (double)j->shown_running : -1;
	if (!strcmp(what, "running")) {
		for (int i = 0; i < world->standin.nmachines; i++)
			for (struct si_task *t = world->standin.machines[i].tasks; t; t = t->next)
				n += t->state == TS_RUNNING && !strcmp(t->job, id);
		return n;
	}
	return UNKNOWN_MEASURE;
}

static double measure(struct world *world, const char *what, const char *arg)
{
	double n = measure_job(world, what, arg);

	if (n > UNKNOWN_MEASURE)
		return n;
	n = 0;
	if (!strcmp(what, "directs")) {
		for (int i = 0; i < world->controller_count; i++)
			n += world->controllers[i].up
				 ? inspect_direct_commands(world->controllers[i].core)
				 : 0;
		return n;
	}
	if (!strcmp(what, "rented"))
		return world->standin.nmachines;
	if (!strcmp(what, "takeovers"))
		return (double)world->standin.state.leader_puts;
	if (!strcmp(what, "answers"))
		return world->answer_counts[atoi(arg)];
	if (!strcmp(what, "state"))
		return !strcmp(arg, "puts")	  ? (double)world->standin.state.puts
		       : !strcmp(arg, "toolarge") ? (double)world->standin.state.too_large
		       : !strcmp(arg, "requests") ? (double)world->standin.state.requests
						  : (double)world->standin.state.refused;
	if (!strcmp(what, "keys")) { /* that start so */
		for (struct si_key *key = world->standin.state.keys; key; key = key->hh.next)
			n += !strncmp(key->key, arg, strlen(arg));
		return n;
	}
	if (!strcmp(what, "asked"))
		return !strcmp(arg, "show") ? (double)world->standin.shows
					    : (double)world->standin.directs;
	if (!strcmp(what, "latestarts"))
		return (double)world->standin.starts_cancelled;
	if (!strcmp(what, "allstarts"))
		return (double)world->standin.starts_total;
	if (!strcmp(what, "leaders")) {
		for (int i = 0; i < world->controller_count; i++)
			n += world->controllers[i].up && inspect_leads(world->controllers[i].core);
		return n;
	}
	if (!strcmp(what, "machines")) {
		for (int i = 0; i < world->standin.nmachines; i++)
			n += world->standin.machines[i].power == SI_UP &&
			     (!strcmp(arg, "any") ||
			      !strcmp(world->standin.machines[i].type->name, arg));
		return n;
	}
	if (!strcmp(what, "switches")) {
		for (int i = 0; i < world->controller_count; i++)
			n += world->controllers[i].up
				 ? inspect_pairing_switches(world->controllers[i].core)
				 : 0;
		return n;
	}
	if (!strcmp(what, "broken")) {
		for (int r = 0; r < RULES; r++)
			if (!strcmp(rule_names[r], arg))
				n += world->standin.broken[r] > 0;
		return n;
	}
	world_fail(world, "unknown measure: %s", what);
	return -1;
}

/* expect WHAT ARG OP NUMBER */
static void do_expect(struct world *world, const struct scenario_line *line)
{
	double have = measure(world, line->words[1], line->words[2]);
	char text[160];

	if (compare(have, line->words[3], atof(line->words[4])))
		return;
	snprintf(text, sizeof(text), "%s %s is %g, expected %s %s", line->words[1], line->words[2],
		 have, line->words[3], line->words[4]);
	world_fail(world, "%s", text);
}

const struct scenario_keyword expectation_keywords[] = {
    {"expect", 4, do_expect},
    {NULL, 0, NULL},
};

void expect_rules_kept(struct world *world, const char *permitted)
{
	struct standin *standin = &world->standin;

	si_check_served(standin);
	if (!standin->starts_total)
		si_broken(standin, RULE_NOTHING_RAN, "no start");
	for (int rule = 0; rule < RULES; rule++)
		if (standin->broken[rule] && !strstr(permitted, rule_names[rule]))
			world_fail(world, "rule broken: %s", standin->why);
}
