/* Sends, retries and polls for the clients, and evaluates the answers. */
#include "clients.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "controllers.h"
#include "network.h"
#include "outbox.h"
#include "constants.h"
#include "util/xalloc.h"
#include "wire/names.h"

/* Time without an answer after which a request is retried or dropped. */
#define CLIENT_TIMEOUT_S 5

static struct client_request *client_request_new(struct world *world, enum client_request_kind kind,
						 const char *job, int controller)
{
	struct client_request *request = xcalloc(1, sizeof(*request));

	request->kind = kind;
	snprintf(request->job, sizeof(request->job), "%s", job);
	request->controller = controller;
	DL_APPEND(world->client_requests, request);
	return request;
}

static void client_request_free(struct world *world, struct client_request *request)
{
	DL_DELETE(world->client_requests, request);
	free(request);
}

/* Opens a connection to a controller and sends a request on it; `body` may be NULL. */
static void send_request(struct world *world, struct client_request *request, int controller,
			 const char *method, const char *path, const char *body)
{
	struct core_request delivered = {
	    .side = CORE_FRONT,
	    .method = method,
	    .path = path,
	    .body = body ? body : "",
	    .len = body ? strlen(body) : 0,
	};

	request->connection = ++world->last_client_connection;
	delivered.connection = request->connection;
	controller_request(world, controller, &delivered);
	outbox_send(world, controller);
}

static void send_submission(struct world *world, struct client_request *request, int controller)
{
	struct standin_job *job = standin_job_find(&world->standin, request->job);
	json_t *spec = wire_job_encode(&job->spec);
	char *body = json_dumps(spec, JSON_COMPACT);

	json_decref(spec);
	job->submitted = true;
	send_request(world, request, controller, "POST", W_PATH_JOBS, body);
	free(body);
}

static void send_poll(struct world *world, struct client_request *request, int controller)
{
	char path[HTTP_PATH_MAX];

	snprintf(path, sizeof(path), W_PATH_JOBS "/%s", request->job);
	send_request(world, request, controller, "GET", path, NULL);
}

static void send_cancellation(struct world *world, struct client_request *request, int controller)
{
	struct standin_job *job = standin_job_find(&world->standin, request->job);
	char path[HTTP_PATH_MAX];

	snprintf(path, sizeof(path), W_PATH_JOBS "/%s%s", request->job, W_PATH_CANCEL);
	if (job)
		job->cancel_requested = true;
	send_request(world, request, controller, "POST", path, NULL);
}

static bool is_reachable(const struct world *world, int controller)
{
	const struct controller *target = &world->controllers[controller];

	return target->up && world->now_s >= target->frozen_until_s &&
	       !network_cut_between(world, HOST_CLIENTS, controller);
}

static int choose_controller(struct world *world, const struct client_request *request)
{
	if (request->controller != HOST_ANY)
		return request->controller;
	return (int)(world_random(world) * world->controller_count);
}

/* Sends the request, or marks it for a retry if the controller cannot be reached. */
static void try_request(struct world *world, struct client_request *request)
{
	int controller = choose_controller(world, request);

	request->sent_at_s = world->now_s;
	request->retry = !is_reachable(world, controller);
	if (request->retry)
		return;
	switch (request->kind) {
	case CLIENT_SUBMIT:
		send_submission(world, request, controller);
		break;
	case CLIENT_POLL:
		send_poll(world, request, controller);
		break;
	case CLIENT_CANCEL:
		send_cancellation(world, request, controller);
		break;
	case CLIENT_RAW: /* is never retried */
		break;
	}
}

void client_request_job(struct world *world, enum client_request_kind kind, const char *job,
			int controller)
{
	try_request(world, client_request_new(world, kind, job, controller));
}

void client_request_raw(struct world *world, int controller, const char *method, const char *path,
			const char *body)
{
	struct client_request *request = client_request_new(world, CLIENT_RAW, "", controller);

	/* The first tick later than CLIENT_TIMEOUT_S drops the request: scenarios rely on that. */
	request->sent_at_s = 0;
	send_request(world, request, controller, method, path, body);
}

static void notify_checker(struct world *world, const struct client_request *request,
			   const struct message *answer)
{
	struct standin *standin = &world->standin;
	bool accepted = answer->status == ANSWER_OK || answer->status == ANSWER_CREATED;

	switch (request->kind) {
	case CLIENT_SUBMIT:
		standin_submission_answered(standin, request->job, answer->status);
		if (accepted)
			standin_poll_answered(standin, request->job, ANSWER_OK, answer->body,
					      request->sent_at_s);
		break;
	case CLIENT_POLL:
		standin_poll_answered(standin, request->job, answer->status, answer->body,
				      request->sent_at_s);
		break;
	case CLIENT_CANCEL:
		standin_cancellation_answered(standin, request->job, answer->status, answer->body,
					      request->sent_at_s);
		break;
	case CLIENT_RAW:
		break;
	}
}

/* True if the client retries the request after an answer with this status. */
static bool is_retried(const struct client_request *request, int status)
{
	if (request->kind != CLIENT_SUBMIT && request->kind != CLIENT_CANCEL)
		return false;
	if (status == ANSWER_TOO_MANY_REQUESTS || status == ANSWER_UNAVAILABLE)
		return true;
	return request->kind == CLIENT_CANCEL && status == ANSWER_NOT_FOUND;
}

void client_answer(struct world *world, const struct message *answer)
{
	struct client_request *request;

	DL_SEARCH_SCALAR(world->client_requests, request, connection, answer->id);
	if (!request)
		return;
	if (answer->status > 0 && answer->status < STATUS_COUNT)
		world->answer_counts[answer->status]++;
	notify_checker(world, request, answer);
	request->connection = 0;
	request->retry = is_retried(request, answer->status);
	if (!request->retry)
		client_request_free(world, request);
}

/* True for requests that are not retried: polls, which are sent anew each second, and raw ones. */
static bool is_never_retried(const struct client_request *request)
{
	return request->kind == CLIENT_POLL || request->kind == CLIENT_RAW;
}

static void retry_unanswered(struct world *world)
{
	struct client_request *request, *next;

	DL_FOREACH_SAFE (world->client_requests, request, next) {
		bool late = world->now_s - request->sent_at_s > CLIENT_TIMEOUT_S;

		if (!request->retry && !late)
			continue;
		if (is_never_retried(request))
			client_request_free(world, request);
		else
			try_request(world, request);
	}
}

void clients_tick(struct world *world)
{
	struct standin_job *job, *next;

	retry_unanswered(world);
	HASH_ITER (hh, world->standin.jobs, job, next)
		if (job->accepted)
			client_request_job(world, CLIENT_POLL, job->spec.id, HOST_ANY);
}

void clients_cancel_at_end(struct world *world)
{
	char id[ID_MAX];
	const struct standin_job *job;

	if (!world->cancel_at_end)
		return;
	snprintf(id, sizeof(id), W_JOB_PREFIX "%06d", world->cancel_at_end);
	job = standin_job_find(&world->standin, id);
	if (!job || job->done_count < job->spec.task_count)
		return;
	world->cancel_at_end = 0;
	client_request_job(world, CLIENT_CANCEL, id, HOST_ANY);
}

void clients_free(struct world *world)
{
	struct client_request *request, *next;

	DL_FOREACH_SAFE (world->client_requests, request, next)
		free(request);
	world->client_requests = NULL;
}
