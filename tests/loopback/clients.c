/* Calls of users and agents to the controllers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/runtime/http_status.h"
#include "loopback/loopback.h"
#include "util/xalloc.h"
#include "wire/names.h"

#define REPORT_TIMEOUT_S 4.0
#define USER_TIMEOUT_S 3.0
#define ANSWER_TEXT_MAX 512 /* bytes of an answer to a user, with its NUL */
#define PATH_MAX_BYTES 128

enum call_kind { CALL_REPORT = 1, CALL_SUBMIT, CALL_POLL, CALL_CANCEL };

/*
 * A call's id holds its kind in the highest bits. Below it a user's call holds the number of the
 * job, and an agent's report the index of the machine and the sequence number.
 */
#define CALL_KIND_SHIFT 56
#define CALL_MACHINE_SHIFT 40
#define CALL_MACHINE_MASK 0xffffu
#define CALL_SEQUENCE_MASK 0xffffffffffull
#define CALL_JOB_MASK 0xffu

static void format_job_id(char id[ID_MAX], int job)
{
	snprintf(id, ID_MAX, W_JOB_PREFIX "%d", job);
}

struct standin_job *loopback_job(struct loopback *loopback, int job)
{
	char id[ID_MAX];

	format_job_id(id, job);
	return standin_job_find(&loopback->standin, id);
}

/* --- agents --- */

void loopback_send_report(void *context, int machine, int controller, const char *body)
{
	struct loopback *loopback = context;
	uint64_t sequence = loopback->standin.machines[machine].sequence;
	struct net_call call = {
	    .id = (uint64_t)CALL_REPORT << CALL_KIND_SHIFT |
		  (uint64_t)machine << CALL_MACHINE_SHIFT | sequence,
	    .addr = loopback->controllers[controller].front,
	    .method = "POST",
	    .path = W_PATH_HEARTBEAT,
	    .body = body,
	    .len = strlen(body),
	    .timeout_s = REPORT_TIMEOUT_S,
	};

	net_send(loopback->net, &call);
}

/*
 * Passes the answer to a report to its agent, if it is the agent's newest report. A report without
 * an answer counts as refused with status 503.
 */
static void handle_report_reply(struct loopback *loopback, uint64_t id, int status,
				const char *body)
{
	int index = (int)(id >> CALL_MACHINE_SHIFT & CALL_MACHINE_MASK);
	const struct standin_machine *machine = &loopback->standin.machines[index];

	if (machine->report_sequence != (id & CALL_SEQUENCE_MASK))
		return;
	loopback_note_answered_start(loopback, index, body);
	status = status > 0 ? status : STATUS_UNAVAILABLE;
	body = *body ? body : "{}";
	if (loopback_hold_answer(loopback, index, status, body))
		return;
	standin_agent_handle_answer(&loopback->standin, index, machine->report_incarnation,
				    machine->report_sequence, status, body);
}

/* --- users --- */

static void send_user_call(struct loopback *loopback, enum call_kind kind, int job, int controller,
			   const char *method, const char *path, const char *body)
{
	struct net_call call = {
	    .id = (uint64_t)kind << CALL_KIND_SHIFT | (uint64_t)job,
	    .addr = loopback->controllers[controller].front,
	    .method = method,
	    .path = path,
	    .body = body,
	    .len = strlen(body),
	    .timeout_s = USER_TIMEOUT_S,
	};

	net_send(loopback->net, &call);
}

/* The job's times that may be < 0 stay 0: the checks that read them do not run in these tests. */
void loopback_add_job(struct loopback *loopback, int number, enum job_kind kind, uint32_t tasks,
		      double run_s)
{
	struct standin_job *job = xcalloc(1, sizeof(*job));
	struct job_spec *spec = &job->spec;

	format_job_id(spec->id, number);
	snprintf(spec->class_name, sizeof(spec->class_name), "any");
	snprintf(spec->team, sizeof(spec->team), "core");
	snprintf(spec->image, sizeof(spec->image), "img");
	spec->kind = kind;
	spec->priority = PRIO_NORMAL;
	spec->task_count = tasks;
	spec->cpus = 1;
	spec->mem_gb = 1;
	spec->estimate_s = run_s;
	spec->deadline_s = -1;
	job->run_s = run_s;
	job->done = xcalloc(1, tasks / 8 + 1);
	HASH_ADD_STR(loopback->standin.jobs, spec.id, job);
}

void loopback_submit(struct loopback *loopback, int number, int controller)
{
	struct standin_job *job = loopback_job(loopback, number);
	char *body = wire_serialize(wire_job_encode(&job->spec));

	job->submitted = true;
	send_user_call(loopback, CALL_SUBMIT, number, controller, "POST", W_PATH_JOBS, body);
	free(body);
}

void loopback_poll(struct loopback *loopback, int number, int controller)
{
	char path[PATH_MAX_BYTES];

	snprintf(path, sizeof(path), W_PATH_JOBS "/" W_JOB_PREFIX "%d", number);
	send_user_call(loopback, CALL_POLL, number, controller, "GET", path, "");
}

void loopback_cancel(struct loopback *loopback, int number, int controller)
{
	char path[PATH_MAX_BYTES];

	loopback_job(loopback, number)->cancel_requested = true;
	snprintf(path, sizeof(path), W_PATH_JOBS "/" W_JOB_PREFIX "%d" W_PATH_CANCEL, number);
	send_user_call(loopback, CALL_CANCEL, number, controller, "POST", path, "");
}

/* True if the text of an answer shows the job as done. */
static bool shows_done(const char *text)
{
	return strstr(text, "\"" W_JOB_DONE "\"}") || strstr(text, ":\"" W_JOB_DONE "\"");
}

/* --- answers --- */

/*
 * Passes the answer to a user's call to the checker of the rules. The time at which the request was
 * sent is not kept: the checker gets the present time for it.
 */
static void handle_user_reply(struct loopback *loopback, enum call_kind kind, int number,
			      int status, const char *text)
{
	struct standin *standin = &loopback->standin;
	char id[ID_MAX];

	format_job_id(id, number);
	switch (kind) {
	case CALL_SUBMIT:
		standin_submission_answered(standin, id, status);
		break;
	case CALL_CANCEL:
		standin_cancellation_answered(standin, id, status, text, standin->now);
		break;
	case CALL_POLL:
		standin_poll_answered(standin, id, status, text, standin->now);
		loopback->known_done[number] |= shows_done(text);
		break;
	case CALL_REPORT:
		break;
	}
}

void loopback_handle_reply(void *context, uint64_t id, int status, const char *body, size_t len)
{
	struct loopback *loopback = context;
	enum call_kind kind = (enum call_kind)(id >> CALL_KIND_SHIFT);
	char text[ANSWER_TEXT_MAX];

	snprintf(text, sizeof(text), "%.*s", (int)len, body);
	if (kind == CALL_REPORT)
		handle_report_reply(loopback, id, status, len ? body : "");
	else
		handle_user_reply(loopback, kind, (int)(id & CALL_JOB_MASK), status, text);
	if (status > 0 && status < LOOPBACK_STATUSES)
		loopback->answer_counts[status]++;
}
