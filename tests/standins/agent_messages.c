/*
 * The messages of agents: reports and their answers, and the answers to probes and direct
 * commands.
 */
#include <stdlib.h>
#include <string.h>

#include "standins/agents.h"
#include "standins/answers.h"
#include "standins/standin.h"
#include "wire/names.h"

/* Time without an answer after which a report counts as lost. */
#define REPORT_TIMEOUT_S 4.0
/* Delay of the next report, to the next controller, after one was lost or refused. */
#define REPORT_RETRY_S 1.0
/* Delay of the next report, to the leader that the answer names, after a redirect. */
#define REPORT_REDIRECT_S 0.1
/* Least time from one report to the next that is sent early because the machine has changed. */
#define REPORT_MIN_INTERVAL_S 0.5

static const char *const task_state_names[] = {
    [TASK_FETCHING] = W_TASK_FETCHING, [TASK_WAITING] = W_TASK_WAITING,
    [TASK_RUNNING] = W_TASK_RUNNING,   [TASK_SAVING] = W_TASK_SAVING,
    [TASK_EXITED] = W_TASK_EXITED,
};

static const char *const end_reason_names[] = {
    [END_NONE] = "",
    [END_DONE] = W_END_DONE,
    [END_STOPPED] = W_END_STOPPED,
    [END_PEERS_LOST] = W_END_PEERS_LOST,
    [END_GANG_TIMEOUT] = W_END_GANG_TIMEOUT,
    [END_ERROR] = W_END_ERROR,
    [END_NO_ROOM] = W_END_NO_ROOM,
    [END_BUSY] = W_END_BUSY,
    [END_UNKNOWN_JOB] = W_END_UNKNOWN_JOB,
};

static uint64_t integer_field(const json_t *object, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(object, name));
}

/* --- content of a message --- */

static json_t *encode_task(const struct standin_task *task)
{
	json_t *name = json_sprintf("%s/%u", task->job_id, task->index);
	json_t *encoded =
	    json_pack("{s:o,s:I,s:s}", W_TASK, name, W_ATTEMPT, (json_int_t)task->attempt, W_STATE,
		      task_state_names[task->state]);

	if (task->state == TASK_EXITED)
		json_object_set_new(encoded, W_END_REASON,
				    json_string(end_reason_names[task->end_reason]));
	if (task->saved)
		json_object_set_new(encoded, W_SAVED, json_true());
	return encoded;
}

static json_t *encode_tasks(const struct standin_machine *machine)
{
	json_t *tasks = json_array();

	for (const struct standin_task *task = machine->tasks; task; task = task->next)
		json_array_append_new(tasks, encode_task(task));
	return tasks;
}

/* Seconds until the cloud reclaims the machine, or null without a notice. */
static json_t *encode_notice(const struct standin *standin, const struct standin_machine *machine)
{
	if (machine->notice_until < 0)
		return json_null();
	return json_real(machine->notice_until - standin->now);
}

/* The next message of the machine's agent, with all its tasks and a new sequence number. */
static json_t *next_message(const struct standin *standin, struct standin_machine *machine)
{
	json_t *message;

	machine->sequence++;
	message =
	    json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:o}", W_MACHINE, machine->id, W_ADDR,
		      machine->addr, W_MACHINE_TYPE, machine->type->name, W_ZONE, machine->zone,
		      W_SPOT, (int)machine->spot, W_INCARNATION, (json_int_t)machine->incarnation,
		      W_SEQUENCE, (json_int_t)machine->sequence, W_TOKEN,
		      (json_int_t)machine->token, W_TASKS, encode_tasks(machine));
	json_object_set_new(message, W_PREEMPTION_NOTICE, encode_notice(standin, machine));
	return message;
}

/* --- probes and direct commands --- */

/*
 * Carries out direct commands and returns the status of the answer. They are rejected if they are
 * for another incarnation of the agent, or from a deposed leader: under an older token than the
 * agent has seen.
 */
static enum http_status handle_direct_commands(struct standin *standin,
					       struct standin_machine *machine,
					       const json_t *request)
{
	uint64_t token = integer_field(request, W_TOKEN);

	if (!json_object_get(request, W_TOKEN) || !json_object_get(request, W_INCARNATION))
		return STATUS_BAD_REQUEST;
	if (token < machine->token || integer_field(request, W_INCARNATION) != machine->incarnation)
		return STATUS_CONFLICT;
	agent_run_commands(standin, machine, request, token);
	return STATUS_OK;
}

void standin_agent_handle_request(struct standin *standin, struct standin_machine *machine,
				  uint64_t handle, const char *path, const char *body)
{
	enum http_status status;
	json_t *request;

	if (machine->power != POWER_UP)
		return;
	if (!strcmp(path, W_PATH_PROBE)) {
		standin->probes++;
		standin_answer(standin, handle, STATUS_OK, next_message(standin, machine));
		return;
	}
	standin->direct_commands += !strcmp(path, W_PATH_COMMANDS);
	request = wire_parse(body, strlen(body));
	status = handle_direct_commands(standin, machine, request);
	json_decref(request);
	standin_answer(standin, handle, status, next_message(standin, machine));
}

/* --- answers to reports --- */

static void try_next_controller(struct standin *standin, struct standin_machine *machine)
{
	machine->controller = (machine->controller + 1) % standin->controller_count;
	machine->next_report_at = standin->now + REPORT_RETRY_S;
}

/*
 * Renews the agent's lease and carries out the commands. An answer without a fencing token, or with
 * an older one than the agent has seen, is ignored: it is not from the present leader. The lease
 * counts from when the report was sent.
 */
static void apply_answer(struct standin *standin, struct standin_machine *machine,
			 const json_t *body)
{
	uint64_t token = integer_field(body, W_TOKEN);

	if (!token || token < machine->token)
		return;
	machine->lease_renewed_at = machine->report_sent_at;
	agent_run_commands(standin, machine, body, token);
}

/* Index of the controller with this name, or -1. `name` may be NULL. */
static int controller_named(const struct standin *standin, const char *name)
{
	for (int i = 0; name && i < standin->controller_count; i++)
		if (!strcmp(standin->controller_names[i], name))
			return i;
	return -1;
}

/*
 * Handles an answer with another status than 200: the next report goes to the leader that a
 * redirect names, or else to the next controller.
 */
static void handle_refusal(struct standin *standin, struct standin_machine *machine, int status,
			   const json_t *body)
{
	const char *name = json_string_value(json_object_get(body, W_REPORT_TO));
	int leader = controller_named(standin, name);

	if (status != STATUS_MISDIRECTED || leader < 0 || leader == machine->controller) {
		try_next_controller(standin, machine);
		return;
	}
	machine->controller = leader;
	machine->next_report_at = standin->now + REPORT_REDIRECT_S;
}

void standin_agent_handle_answer(struct standin *standin, int machine_index, uint64_t incarnation,
				 uint64_t sequence, int status, const char *body)
{
	struct standin_machine *machine = &standin->machines[machine_index];
	json_t *parsed;

	if (machine->power != POWER_UP || !machine->report_unanswered ||
	    machine->report_sequence != sequence || machine->report_incarnation != incarnation ||
	    machine->incarnation != incarnation)
		return;
	machine->report_unanswered = false;
	parsed = body ? wire_parse(body, strlen(body)) : NULL;
	if (status == STATUS_OK)
		apply_answer(standin, machine, parsed);
	else
		handle_refusal(standin, machine, status, parsed);
	json_decref(parsed);
}

/* --- reports --- */

static void send_report(struct standin *standin, struct standin_machine *machine)
{
	char *text;

	machine->changed_since_report = false;
	machine->report_unanswered = true;
	machine->report_sent_at = standin->now;
	machine->next_report_at = standin->now + standin->conf->report_s;
	text = wire_serialize(next_message(standin, machine));
	machine->report_sequence = machine->sequence;
	machine->report_incarnation = machine->incarnation;
	standin->callbacks->report(standin->context, (int)(machine - standin->machines),
				   machine->controller, text);
	free(machine->report_text);
	machine->report_text = text;
}

void agent_report_if_due(struct standin *standin, struct standin_machine *machine)
{
	double age_s = standin->now - machine->report_sent_at;
	bool due = standin->now >= machine->next_report_at;
	bool early = machine->changed_since_report && age_s >= REPORT_MIN_INTERVAL_S;

	if (machine->report_unanswered) {
		if (age_s > REPORT_TIMEOUT_S) {
			machine->report_unanswered = false;
			try_next_controller(standin, machine);
		}
		return;
	}
	if (due || early)
		send_report(standin, machine);
}
