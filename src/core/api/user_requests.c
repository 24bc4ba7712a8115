/*
 * Users' requests: their answers, and the answers to those that fail.
 */
#include "core/api/user_requests.h"

#include <stdlib.h>
#include <string.h>

#include "core/api/cancellations.h"
#include "core/api/forwarding.h"
#include "core/state.h"
#include "util/xalloc.h"

/*
 * The answers to requests that fail:
 * - "no such job": the job has no record.
 * - "busy": too many lookups wait already.
 * - "unknown outcome": a submission or cancellation may have been carried out, or may yet be. The
 *   user can find out by a poll, or send it again.
 * - "state" with 503: the state service does not serve this controller. With 429: the state service
 *   limits the rate of this controller's requests.
 */
static const struct error_reply user_errors[] = {
    [USER_ERROR_NO_SUCH_JOB] = {STATUS_NOT_FOUND, 0, "no such job"},
    [USER_ERROR_BUSY] = {STATUS_TOO_MANY_REQUESTS, RETRY_AFTER_BUSY_S, "busy"},
    [USER_ERROR_UNKNOWN_OUTCOME] = {STATUS_UNAVAILABLE, RETRY_AFTER_S, "unknown outcome"},
    [USER_ERROR_STORE_UNAVAILABLE] = {STATUS_UNAVAILABLE, RETRY_AFTER_S, "state"},
    [USER_ERROR_STORE_RATE_LIMIT] = {STATUS_TOO_MANY_REQUESTS, RETRY_AFTER_S, "state"},
};

struct user_request *user_request_new(struct core *core, uint64_t connection,
				      enum user_request_kind kind, const char *id)
{
	struct user_request *request = xcalloc(1, sizeof(*request));

	request->connection = connection;
	request->kind = kind;
	request->received_at = core->now;
	request->received_wall_at = core->wall;
	memcpy(request->id, id, strnlen(id, sizeof(request->id) - 1));
	return request;
}

void user_request_free(void *arg)
{
	struct user_request *request = arg;

	if (request->spec)
		wire_job_free(request->spec);
	free(request->spec);
	free(request->body);
	free(request);
}

void user_requests_clear(struct user_request **list)
{
	struct user_request *request, *next;

	DL_FOREACH_SAFE (*list, request, next)
		user_request_free(request);
	*list = NULL;
}

void user_request_answer(struct core *core, struct user_request *request,
			 enum http_status http_status, struct job_status status)
{
	char *body =
	    wire_job_answer(request->id, status.state, status.done_count, status.running_count);

	if (status.state == JOB_STATE_CANCELLED)
		cancellations_record_confirmed(core, request->id, 0);
	core_reply(core, request->connection, http_status, 0, body);
	user_request_free(request);
}

void user_request_answer_cancelled(struct core *core, struct user_request *request)
{
	struct job_status status = {JOB_STATE_CANCELLED, 0, 0};

	user_request_answer(core, request, STATUS_OK, status);
}

bool user_request_answer_final(struct core *core, struct user_request *request)
{
	const struct indexed_job *entry = job_index_find(core, request->id);

	if (!entry || !entry->final)
		return false;
	user_request_answer(core, request, STATUS_OK, entry->status);
	return true;
}

/* Answers the request with the error `reply` and frees the request. */
static void fail_with(struct core *core, struct user_request *request, struct error_reply reply)
{
	core_reply_error(core, request->connection, reply.status, reply.retry_after_s, reply.text);
	user_request_free(request);
}

void user_request_fail(struct core *core, struct user_request *request, enum user_error error)
{
	fail_with(core, request, user_errors[error]);
}

/* The offset of the field in the body as its name is usually spelled; 0 if it is not found. */
static size_t field_offset(const char *body, const char *field)
{
	const char *found = strstr(body, field);

	return found ? (size_t)(found - body) : 0;
}

void user_request_reject(struct core *core, struct user_request *request)
{
	struct error_reply reply = admission_error(&request->admission);
	const char *field = request->admission.malformed_field;
	const struct refusal refusal = {
	    .kind = "submission",
	    .job = request->id,
	    .status = reply.status,
	    .reason = reply.text,
	    .body = request->body,
	    .len = strlen(request->body),
	    .failed_at = field ? field_offset(request->body, field) : 0,
	};

	core_log_refusal(core, &refusal);
	fail_with(core, request, reply);
}

void user_request_forward_or_fail(struct core *core, struct user_request *request,
				  const struct call_answer *answer)
{
	if (answer->status == STATUS_TOO_MANY_REQUESTS)
		user_request_fail(core, request, USER_ERROR_STORE_RATE_LIMIT);
	else if (forward_user_request(core, request))
		user_request_free(request);
	else
		user_request_fail(core, request, USER_ERROR_STORE_UNAVAILABLE);
}
