/* The routes of the users' interface. */
#include "core/api/api.h"

#include <string.h>

#include "core/api/user_requests.h"
#include "core/state.h"
#include "util/xalloc.h"
#include "wire/names.h"

/* False, with an answer sent, if the request has another method. */
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

/* A poll, or a cancellation. */
static void handle_job(struct core *core, const struct core_request *request, enum user_kind kind,
		       const char *id)
{
	if (!check_method(core, request, kind == USER_CANCEL ? "POST" : "GET"))
		return;
	if (wire_job_id_is_valid(id))
		user_request_lookup(core, user_request_new(core, request->connection, kind, id));
	else
		core_reply_error(core, request->connection, STATUS_NOT_FOUND, 0, "no such job");
}

/* `rest` is what follows the path of all jobs: an id, and for a cancellation its path. */
static void route_job(struct core *core, const struct core_request *request, const char *rest)
{
	char id[ID_MAX + 1];
	const char *slash = strchr(rest, '/');
	size_t len = slash ? (size_t)(slash - rest) : strlen(rest);

	if (len >= sizeof(id))
		len = sizeof(id) - 1; /* longer than any id: not valid, whatever follows */
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
