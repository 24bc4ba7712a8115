/*
 * Routes users' requests by path and method.
 */
#include "core/api/api.h"

#include <string.h>

#include "core/api/user_requests.h"
#include "core/state.h"
#include "util/xalloc.h"
#include "wire/names.h"

/* Returns true if the request has the method. Otherwise answers "method", which means that the path
 * does not allow the request's method. */
static bool check_method(struct core *core, const struct core_request *request, const char *method)
{
	if (!strcmp(request->method, method))
		return true;
	core_reply_error(core, request->connection, STATUS_METHOD_NOT_ALLOWED, 0, "method");
	return false;
}

static void reply_no_such_path(struct core *core, const struct core_request *request)
{
	core_reply_error(core, request->connection, STATUS_NOT_FOUND, 0, "no such path");
}

/* Answers 200 if users' requests should be sent to this controller, else 503; see peers_ready. */
static void handle_ready(struct core *core, const struct core_request *request)
{
	enum http_status status = peers_ready(core) ? STATUS_OK : STATUS_UNAVAILABLE;

	if (check_method(core, request, "GET"))
		core_reply(core, request->connection, status, 0, xstrdup("{}"));
}

static void handle_submission(struct core *core, const struct core_request *request)
{
	if (check_method(core, request, "POST"))
		submissions_receive(core, request);
}

/* Handles a poll or a cancellation. A request whose id does not have the form of job ids is
 * answered like one for an unknown job. */
static void handle_job(struct core *core, const struct core_request *request,
		       enum user_request_kind kind, const char *id)
{
	if (!check_method(core, request, kind == USER_CANCEL ? "POST" : "GET"))
		return;
	if (wire_job_id_is_valid(id))
		user_request_lookup(core, user_request_new(core, request->connection, kind, id));
	else
		core_reply_error(core, request->connection, STATUS_NOT_FOUND, 0, "no such job");
}

/* Routes a request about one job. `rest` is the part of the path after the path of all jobs: the
 * job's id, followed by W_PATH_CANCEL in a cancellation. */
static void route_job(struct core *core, const struct core_request *request, const char *rest)
{
	char id[ID_MAX + 1];
	const char *slash = strchr(rest, '/');
	size_t len = slash ? (size_t)(slash - rest) : strlen(rest);

	if (len >= sizeof(id))
		len = sizeof(id) - 1; /* the id is cut, but still too long to be valid */
	memcpy(id, rest, len);
	id[len] = 0;
	if (!slash)
		handle_job(core, request, USER_POLL, id);
	else if (!strcmp(slash, W_PATH_CANCEL))
		handle_job(core, request, USER_CANCEL, id);
	else
		reply_no_such_path(core, request);
}

void api_request(struct core *core, const struct core_request *request)
{
	size_t prefix_len = strlen(W_PATH_JOBS "/");

	if (!strcmp(request->path, W_PATH_READY))
		handle_ready(core, request);
	else if (!strcmp(request->path, W_PATH_JOBS))
		handle_submission(core, request);
	else if (!strncmp(request->path, W_PATH_JOBS "/", prefix_len))
		route_job(core, request, request->path + prefix_len);
	else
		reply_no_such_path(core, request);
}

void api_init(struct core *core)
{
	task_counts_init(core);
}

void api_tick(struct core *core)
{
	submissions_tick(core);
	job_index_tick(core);
}

void api_clear(struct core *core)
{
	submissions_clear(core);
	lookups_clear(core);
	job_index_clear(core);
}
