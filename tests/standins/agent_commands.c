/* The commands that agents carry out: to start a task, to stop it, and to forget an exited one. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "standins/agents.h"
#include "standins/rules.h"
#include "standins/standin.h"
#include "util/xalloc.h"
#include "wire/names.h"

#define TASK_NAME_PATTERN "%47[^/]/%u" /* a job's id of at most ID_MAX - 1 bytes, and the index */
/* Attempt number of a job's first task if it is started without a command. */
#define FORCED_ATTEMPT 999999999u

_Static_assert(ID_MAX == 48, "TASK_NAME_PATTERN contains ID_MAX - 1");

/* The attempt of a task that a command is about. */
struct command_target {
	char job[ID_MAX];
	uint32_t index;
	uint64_t attempt;
};

static bool is_target(const struct standin_task *task, const struct command_target *target)
{
	return task->index == target->index && task->attempt == target->attempt &&
	       !strcmp(task->job_id, target->job);
}

/* --- starts --- */

/* True if the machine has an attempt of the task that has not exited. */
static bool has_active_attempt(const struct standin_machine *machine,
			       const struct command_target *target)
{
	for (const struct standin_task *task = machine->tasks; task; task = task->next)
		if (task->state != TASK_EXITED && task->index == target->index &&
		    !strcmp(task->job_id, target->job))
			return true;
	return false;
}

/* True if the machine has free capacity for a task of the job. */
static bool has_capacity_for(const struct standin_machine *machine, const struct standin_job *job)
{
	double cpus = machine->type->cpus;
	double gpus = machine->type->gpus;
	double mem_gb = machine->type->mem_gb;

	for (const struct standin_task *task = machine->tasks; task; task = task->next) {
		if (task->state == TASK_EXITED)
			continue;
		cpus -= task->job->spec.cpus;
		gpus -= task->job->spec.gpus;
		mem_gb -= task->job->spec.mem_gb;
	}
	return job->spec.cpus <= cpus + AMOUNT_TOLERANCE &&
	       job->spec.gpus <= gpus + AMOUNT_TOLERANCE &&
	       job->spec.mem_gb <= mem_gb + AMOUNT_TOLERANCE;
}

/* The reason for which the agent refuses a start, or END_NONE. */
static enum task_end_reason refusal_reason(const struct standin_machine *machine,
					   const struct standin_job *job,
					   const struct command_target *target)
{
	if (!job->submitted || target->index >= job->spec.task_count)
		return END_UNKNOWN_JOB;
	if (has_active_attempt(machine, target))
		return END_BUSY;
	if (!has_capacity_for(machine, job))
		return END_NO_ROOM;
	return END_NONE;
}

/* Adds an attempt of a task to the machine, which begins to fetch the image. */
static struct standin_task *add_task(struct standin *standin, struct standin_machine *machine,
				     struct standin_job *job, const struct command_target *target)
{
	struct standin_task *task = xcalloc(1, sizeof(*task));

	snprintf(task->job_id, sizeof(task->job_id), "%s", target->job);
	task->index = target->index;
	task->attempt = target->attempt;
	task->started_at = standin->now;
	task->image_ready_at = standin->now + job->spec.image_gb / machine->type->fetch_gb_per_s;
	task->machine = machine;
	task->next = machine->tasks;
	machine->tasks = task;
	task->job = job;
	DL_APPEND2(job->tasks, task, job_prev, job_next);
	machine->changed_since_report = true;
	return task;
}

/*
 * Carries out a start. A repeated start of the same attempt has no effect, and a start of a job
 * that the stand-ins do not know is ignored. A refused attempt is added as exited, so that the
 * agent reports the reason.
 */
static void start_task(struct standin *standin, struct standin_machine *machine,
		       const struct command_target *target)
{
	struct standin_job *job = standin_job_find(standin, target->job);
	struct standin_task *task;
	enum task_end_reason refused;

	for (task = machine->tasks; task; task = task->next)
		if (is_target(task, target))
			return;
	if (!job)
		return;
	refused = refusal_reason(machine, job, target);
	task = add_task(standin, machine, job, target);
	if (refused != END_NONE)
		task_exit(task, refused);
}

void standin_force_start(struct standin *standin, struct standin_machine *machine, const char *job,
			 uint32_t index)
{
	struct command_target target = {
	    .index = index,
	    .attempt = FORCED_ATTEMPT + (uint64_t)index,
	};

	snprintf(target.job, sizeof(target.job), "%s", job);
	start_task(standin, machine, &target);
	machine->tasks->state = TASK_RUNNING;
	check_task_start(standin, machine->tasks);
}

/* --- stops --- */

/* The task begins to save its state, and exits when that is done. */
static void begin_save(struct standin *standin, struct standin_task *task)
{
	task->state = TASK_SAVING;
	task->save_until = standin->now + task->job->spec.save_s;
	task->machine->changed_since_report = true;
}

/* True if the task can save its state within `grace_s` seconds. */
static bool can_save(const struct standin_task *task, double grace_s)
{
	const struct job_spec *spec = &task->job->spec;

	return task->state == TASK_RUNNING && spec->checkpoint_s > 0 && grace_s >= spec->save_s;
}

/*
 * Stops one attempt. One that already saves its state is only ended by a stop without a grace
 * period.
 */
static void stop_task(struct standin *standin, struct standin_task *task, double grace_s)
{
	if (task->state == TASK_EXITED || (task->state == TASK_SAVING && grace_s > 0))
		return;
	if (can_save(task, grace_s))
		begin_save(standin, task);
	else
		task_exit(task, END_STOPPED);
}

static void stop_tasks(struct standin *standin, struct standin_machine *machine,
		       const struct command_target *target, double grace_s)
{
	for (struct standin_task *task = machine->tasks; task; task = task->next)
		if (is_target(task, target))
			stop_task(standin, task, grace_s);
}

/* --- exited tasks --- */

/* Removes an exited attempt from the machine, so that its agent no longer reports it. */
static void forget_task(struct standin_machine *machine, const struct command_target *target)
{
	struct standin_task **link = &machine->tasks;

	for (; *link; link = &(*link)->next) {
		struct standin_task *task = *link;

		if (task->state != TASK_EXITED || !is_target(task, target))
			continue;
		*link = task->next;
		task_free(task);
		machine->changed_since_report = true;
		return;
	}
}

/* --- commands --- */

/* The attempt that the command names. A malformed command aborts the test. */
static struct command_target decode_target(const json_t *command)
{
	const char *name = json_string_value(json_object_get(command, W_TASK));
	struct command_target target = {0};

	if (!name || sscanf(name, TASK_NAME_PATTERN, target.job, &target.index) != 2)
		abort();
	target.attempt = (uint64_t)json_integer_value(json_object_get(command, W_ATTEMPT));
	return target;
}

static void run_command(struct standin *standin, struct standin_machine *machine,
			const json_t *command)
{
	const char *op = json_string_value(json_object_get(command, W_OP));
	struct command_target target = decode_target(command);

	if (!op)
		abort();
	if (!strcmp(op, W_OP_START))
		start_task(standin, machine, &target);
	else if (!strcmp(op, W_OP_FORGET))
		forget_task(machine, &target);
	else
		stop_tasks(standin, machine, &target,
			   json_number_value(json_object_get(command, W_GRACE)));
}

void agent_run_commands(struct standin *standin, struct standin_machine *machine,
			const json_t *body, uint64_t token)
{
	json_t *command;
	size_t i;

	if (token > machine->token) {
		machine->token = token;
		machine->changed_since_report = true;
	}
	json_array_foreach (json_object_get(body, W_COMMANDS), i, command)
		run_command(standin, machine, command);
}
