/*
 * Routes requests of other controllers by path.
 */
#include "core/api/peer_requests.h"

#include <string.h>

#include "core/api/cancellations.h"
#include "core/api/forwarding.h"
#include "core/api/task_counts.h"
#include "core/state.h"

/* The answer "not leading" means that this controller has no task counts: it is not the leader. */
static void handle_counts(struct core *core, const struct core_request *request)
{
	if (election_is_leader(core))
		task_counts_reply(core, request->connection);
	else
		core_reply_error(core, request->connection, STATUS_MISDIRECTED, 0, "not leading");
}

/* The answer "method" means that requests between controllers must be POST. */
void peer_requests_receive(struct core *core, const struct core_request *request)
{
	if (strcmp(request->method, "POST"))
		core_reply_error(core, request->connection, STATUS_METHOD_NOT_ALLOWED, 0, "method");
	else if (!strcmp(request->path, FORWARD_PATH))
		forwarding_receive(core, request);
	else if (!strcmp(request->path, CANCELLED_PATH))
		cancellations_receive(core, request);
	else if (!strcmp(request->path, CONFIRMED_PATH))
		cancellations_reply_confirmed(core, request->connection);
	else if (!strcmp(request->path, COUNTS_PATH))
		handle_counts(core, request);
	else
		core_reply_error(core, request->connection, STATUS_NOT_FOUND, 0, "no such path");
}

void peer_requests_tick(struct core *core)
{
	task_counts_tick(core);
	cancellations_tick(core);
}

void peer_requests_clear(struct core *core)
{
	forwarding_clear(core);
	cancellations_clear(core);
}
