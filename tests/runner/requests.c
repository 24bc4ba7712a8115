/* The handlers of the lines that make clients send requests, and of those that break a rule on
 * purpose. */
#include "requests.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clients.h"
#include "controllers.h"
#include "util/xalloc.h"

#define BODY_OPTION "body="

static enum job_kind job_kind(const char *word)
{
	if (!strcmp(word, "gang"))
		return JOB_GANG;
	if (!strcmp(word, "service"))
		return JOB_SERVICE;
	return JOB_ARRAY;
}

static enum job_priority job_priority(struct world *world, const char *word)
{
	static const char *const names[] = {"production", "high", "normal", "low"};

	for (size_t i = 0; i < sizeof(names) / sizeof(*names); i++)
		if (!strcmp(names[i], word))
			return (enum job_priority)i;
	world_fail(world, "unknown priority \"%s\"", word);
	return PRIO_NORMAL;
}

/* Returns how the tasks of a service end by themselves, from the option ends=. */
static enum task_end_reason task_end(const char *word)
{
	if (!strcmp(word, "done"))
		return END_DONE;
	if (!strcmp(word, "error"))
		return END_ERROR;
	return END_NONE;
}

static void copy_option(char *out, size_t size, const struct scenario_line *line, const char *name,
			const char *default_value)
{
	snprintf(out, size, "%s", line_option(line, name, default_value));
}

static void parse_job(struct world *world, struct job_spec *spec, const struct scenario_line *line,
		      const char *id)
{
	snprintf(spec->id, sizeof(spec->id), "%s", id);
	copy_option(spec->class_name, sizeof(spec->class_name), line, "class", "any");
	copy_option(spec->team, sizeof(spec->team), line, "team", "core");
	copy_option(spec->image, sizeof(spec->image), line, "image", "img");
	copy_option(spec->zone, sizeof(spec->zone), line, "zone", "");
	if (line_option(line, "type", NULL))
		name_list_add(&spec->types, line_option(line, "type", ""));
	spec->kind = job_kind(line_option(line, "kind", "array"));
	spec->priority = job_priority(world, line_option(line, "prio", "normal"));
	spec->task_count = (uint32_t)line_option_number(line, "tasks", 1);
	spec->cpus = line_option_number(line, "cpus", 1);
	spec->gpus = line_option_number(line, "gpus", 0);
	spec->mem_gb = line_option_number(line, "mem", 1);
	spec->image_gb = line_option_number(line, "gb", 0.5);
	spec->estimate_s = line_option_number(line, "run", 5);
	spec->checkpoint_s = line_option_number(line, "checkpoint", 0);
	spec->save_s = line_option_number(line, "save", 1);
	spec->deadline_s = line_option_number(line, "deadline", -1);
	spec->one_zone = line_option_number(line, "together", 0) > 0;
	spec->spread = line_option_number(line, "spread", 0) > 0;
	spec->spot = line_option_number(line, "spot", 0) > 0;
}

/* Adds a job to those that the stand-ins know, unless they know it already. */
static void declare_job(struct world *world, const struct scenario_line *line, const char *id)
{
	struct standin_job *job = standin_job_find(&world->standin, id);

	if (job)
		return;
	job = xcalloc(1, sizeof(*job));
	parse_job(world, &job->spec, line, id);
	job->run_s = job->spec.estimate_s;
	job->accepted_at = -1;
	job->answered_at = -1;
	job->began_at = -1;
	job->idle_room_since = -1;
	job->always_fails = line_option_set(line, "bad");
	job->run_end_reason = task_end(line_option(line, "ends", ""));
	job->done = xcalloc(1, job->spec.task_count / 8 + 1);
	HASH_ADD_STR(world->standin.jobs, spec.id, job);
}

/* Returns the index of the controller that the option node= names; HOST_ANY without the option. */
static int controller_option(struct world *world, const struct scenario_line *line)
{
	const char *word = line_option(line, "node", NULL);

	return word ? controller_named(world, word) : HOST_ANY;
}

/* submit N ... [copies=C]: submits C jobs with the numbers N, N + 1 and so on */
static void submit(struct world *world, const struct scenario_line *line)
{
	int controller = controller_option(world, line);
	int copies = (int)line_option_number(line, "copies", 1);

	for (int i = 0; i < copies; i++) {
		char id[ID_MAX];

		format_job_id(id, line_integer(line, 1) + i);
		declare_job(world, line, id);
		client_request_job(world, CLIENT_SUBMIT, id, controller);
	}
}

/* poll N [node=]: requests the state of job N */
static void poll_job(struct world *world, const struct scenario_line *line)
{
	char id[ID_MAX];

	format_job_id(id, line_integer(line, 1));
	client_request_job(world, CLIENT_POLL, id, controller_option(world, line));
}

/* cancel N [node=]: requests the cancellation of job N */
static void cancel(struct world *world, const struct scenario_line *line)
{
	char id[ID_MAX];

	format_job_id(id, line_integer(line, 1));
	client_request_job(world, CLIENT_CANCEL, id, controller_option(world, line));
}

/* request METHOD PATH [node=] [body=...]: sends a raw request; the body extends to the end of the
 * line */
static void send_raw_request(struct world *world, const struct scenario_line *line)
{
	const char *body = strstr(line->text, BODY_OPTION);
	int controller = controller_option(world, line);

	if (controller == HOST_ANY)
		controller = controller_leader(world);
	if (controller < 0)
		controller = 0;
	client_request_raw(world, controller, line_word(line, 1), line_word(line, 2),
			   body ? body + strlen(BODY_OPTION) : NULL);
}

/*
 * Breaks a rule on purpose, to show that the check of the rule can fail.
 * break start JOB MACHINE TASK: the machine starts a task without a command
 * break accept JOB: the checker is informed that a user was told that the job is accepted
 * break answer JOB STATUS [BODY]: the checker is informed of this answer to a user's poll
 */
static void break_rule(struct world *world, const struct scenario_line *line)
{
	const char *what = line_word(line, 1);
	struct standin *standin = &world->standin;
	char id[ID_MAX];

	format_job_id(id, line_integer(line, 2));
	if (!strcmp(what, "start"))
		standin_force_start(standin, &standin->machines[line_integer(line, 3)], id,
				    (uint32_t)line_integer(line, 4));
	else if (!strcmp(what, "accept"))
		standin_submission_answered(standin, id, ANSWER_CREATED);
	else
		standin_poll_answered(standin, id, line_integer(line, 3), line_word(line, 4),
				      world->now_s);
}

const struct scenario_keyword request_keywords[] = {
    {"submit", 1, submit},    {"poll", 1, poll_job},
    {"cancel", 1, cancel},    {"request", 2, send_raw_request},
    {"break", 2, break_rule}, {NULL, 0, NULL},
};
