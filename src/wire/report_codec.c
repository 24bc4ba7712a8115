/* Decodes reports of agents, and encodes the answers to them and direct commands. */
#include "wire/report_codec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "constants.h"
#include "util/xalloc.h"
#include "wire/json_fields.h"
#include "wire/json_parser.h"
#include "wire/json_text.h"
#include "wire/names.h"

/* A task's name on the wire is its job's id and its index: "job-000412/3". */
#define TASK_SEPARATOR '/'
#define TASK_FORMAT "%s/%u"

static const char *const task_state_names[] = {[TASK_FETCHING] = W_TASK_FETCHING,
					       [TASK_WAITING] = W_TASK_WAITING,
					       [TASK_RUNNING] = W_TASK_RUNNING,
					       [TASK_SAVING] = W_TASK_SAVING,
					       [TASK_EXITED] = W_TASK_EXITED};
static const char *const end_reason_names[] = {[END_NONE] = "",
					       [END_DONE] = W_END_DONE,
					       [END_STOPPED] = W_END_STOPPED,
					       [END_PEERS_LOST] = W_END_PEERS_LOST,
					       [END_GANG_TIMEOUT] = W_END_GANG_TIMEOUT,
					       [END_ERROR] = W_END_ERROR,
					       [END_NO_ROOM] = W_END_NO_ROOM,
					       [END_BUSY] = W_END_BUSY,
					       [END_UNKNOWN_JOB] = W_END_UNKNOWN_JOB};
static const char *const op_names[] = {
    [OP_START] = W_OP_START, [OP_STOP] = W_OP_STOP, [OP_FORGET] = W_OP_FORGET};

static const struct name_table task_states = NAME_TABLE(task_state_names);
static const struct name_table end_reasons = NAME_TABLE(end_reason_names);

/* Splits a task's name. `job` has a size of ID_MAX bytes. Returns -1 if the name is NULL or not
 * valid. */
static int decode_task_name(const char *name, char *job, uint32_t *task)
{
	const char *separator = name ? strrchr(name, TASK_SEPARATOR) : NULL;
	size_t job_length;
	unsigned long index;
	char *end;

	if (!separator)
		return -1;
	job_length = (size_t)(separator - name);
	if (!job_length || job_length >= ID_MAX)
		return -1;
	memcpy(job, name, job_length);
	job[job_length] = 0;
	index = strtoul(separator + 1, &end, 10);
	if (end == separator + 1 || *end || index >= JOB_TASKS_MAX)
		return -1;
	*task = (uint32_t)index;
	return 0;
}

/* Decodes how the task ended. A reason that is a text, but none of end_reasons, is END_NONE. */
static int decode_end(const json_t *object, struct report_task *task)
{
	int reason = field_enum(object, W_END_REASON, &end_reasons);

	if (!field_is_absent(object, W_END_REASON) && !field_string(object, W_END_REASON))
		return -1;
	task->end_reason = reason < 0 ? END_NONE : (enum task_end_reason)reason;
	return field_is_absent(object, W_SAVED) ? 0 : field_bool(object, W_SAVED, &task->saved);
}

static int decode_task(const json_t *object, void *out)
{
	struct report_task *task = out;
	int state = field_enum(object, W_STATE, &task_states);

	if (decode_task_name(field_string(object, W_TASK), task->job, &task->task) ||
	    field_count(object, W_ATTEMPT, &task->attempt) || state < 0)
		return -1;
	task->state = (enum task_state)state;
	return decode_end(object, task);
}

/* Decodes the fields of a report about the machine itself. */
static int decode_machine(const json_t *object, struct report *report)
{
	if (field_nonempty_text(object, W_MACHINE, report->machine, sizeof(report->machine)) ||
	    field_text(object, W_ADDR, report->addr, sizeof(report->addr)) ||
	    field_text(object, W_MACHINE_TYPE, report->type, sizeof(report->type)) ||
	    field_text(object, W_ZONE, report->zone, sizeof(report->zone)) ||
	    field_bool(object, W_SPOT, &report->spot) ||
	    field_count(object, W_INCARNATION, &report->incarnation) ||
	    field_count(object, W_SEQUENCE, &report->sequence) ||
	    field_count(object, W_TOKEN, &report->token))
		return -1;
	report->notice_s = -1;
	if (field_is_absent(object, W_PREEMPTION_NOTICE))
		return 0;
	return field_finite_number(object, W_PREEMPTION_NOTICE, &report->notice_s);
}

/*
 * One invalid task makes the whole report invalid. If the task were left out instead, the report
 * would seem to prove that the machine does not run it.
 */
static int decode_report(const json_t *object, struct report *report)
{
	const json_t *tasks = json_object_get(object, W_TASKS);

	if (decode_machine(object, report))
		return -1;
	if (tasks && !json_is_array(tasks))
		return -1;
	report->tasks =
	    elements_decode(tasks, sizeof(*report->tasks), decode_task, &report->task_count);
	return report->task_count == json_array_size(tasks) ? 0 : -1;
}

int wire_report_decode(const char *body, size_t len, struct report *report)
{
	size_t failed_at;

	return wire_report_decode_at(body, len, report, &failed_at);
}

int wire_report_decode_at(const char *body, size_t len, struct report *report, size_t *failed_at)
{
	json_t *object = wire_parse_at(body, len, failed_at);
	int refused;

	memset(report, 0, sizeof(*report));
	refused = json_is_object(object) ? decode_report(object, report) : -1;
	json_decref(object);
	if (refused)
		wire_report_free(report);
	return refused;
}

void wire_report_free(struct report *report)
{
	free(report->tasks);
	report->tasks = NULL;
	report->task_count = 0;
}

static json_t *encode_command(const struct command *command)
{
	json_t *object = json_object();

	json_object_set_new(object, W_OP, json_string(op_names[command->op]));
	json_object_set_new(object, W_TASK, json_sprintf(TASK_FORMAT, command->job, command->task));
	json_object_set_new(object, W_ATTEMPT, json_integer((json_int_t)command->attempt));
	if (command->op == OP_STOP)
		json_object_set_new(object, W_GRACE, json_real(command->grace_s));
	return object;
}

static json_t *encode_commands(const struct command *commands, size_t count)
{
	json_t *array = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(array, encode_command(&commands[i]));
	return array;
}

/* Encodes an answer without commands, which most reports get. The answer is printed directly, since
 * no text in it needs quoting. */
static char *heartbeat_answer_empty(uint64_t token)
{
	char *text;

	if (asprintf(&text, "{\"" W_TOKEN "\":%llu,\"" W_COMMANDS "\":[]}",
		     (unsigned long long)token) < 0)
		abort();
	return text;
}

char *wire_heartbeat_answer(uint64_t token, const struct command *commands, size_t count)
{
	json_t *object;

	if (!count)
		return heartbeat_answer_empty(token);
	object = json_object();
	json_object_set_new(object, W_TOKEN, json_integer((json_int_t)token));
	json_object_set_new(object, W_COMMANDS, encode_commands(commands, count));
	return wire_serialize(object);
}

char *wire_direct_commands(uint64_t token, uint64_t incarnation, const struct command *commands,
			   size_t count)
{
	json_t *object = json_object();

	json_object_set_new(object, W_TOKEN, json_integer((json_int_t)token));
	json_object_set_new(object, W_INCARNATION, json_integer((json_int_t)incarnation));
	json_object_set_new(object, W_COMMANDS, encode_commands(commands, count));
	return wire_serialize(object);
}

char *wire_redirect_answer(const char *leader)
{
	json_t *object = json_object();

	if (leader && *leader)
		json_object_set_new(object, W_REPORT_TO, json_string(leader));
	return wire_serialize(object);
}
