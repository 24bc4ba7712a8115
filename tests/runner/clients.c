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
	struct client_request *client = xcalloc(1, sizeof(*client));

	client->kind = kind;
	snprintf(client->job, sizeof(client->job), "%s", job);
	client->controller = controller;
	DL_APPEND(world->clients, client);
	return client;
}

static void client_request_free(struct world *world, struct client_request *client)
{
	DL_DELETE(world->clients, client);
	free(client);
}

/* Opens a connection to a controller and sends a request on it; `body` may be NULL. */
static void send_request(struct world *world, struct client_request *client, int controller,
			 const char *method, const char *path, const char *body)
{
	struct core_request request = {
	    .side = CORE_FRONT,
	    .method = method,
	    .path = path,
	    .body = body ? body : "",
	    .len = body ? strlen(body) : 0,
	};

	client->connection = ++world->last_client_connection;
	request.connection = client->connection;
	controller_request(world, controller, &request);
	outbox_send(world, controller);
}

static void send_submission(struct world *world, struct client_request *client, int controller)
{
	struct standin_job *job = standin_job_find(&world->standin, client->job);
	json_t *spec = wire_job_encode(&job->spec);
	char *body = json_dumps(spec, JSON_COMPACT);

	json_decref(spec);
	job->submitted = true;
	send_request(world, client, controller, "POST", W_PATH_JOBS, body);
	free(body);
}

static void send_poll(struct world *world, struct client_request *client, int controller)
{
	char path[HTTP_PATH_MAX];

	snprintf(path, sizeof(path), W_PATH_JOBS "/%s", client->job);
	send_request(world, client, controller, "GET", path, NULL);
}

static void send_cancellation(struct world *world, struct client_request *client, int controller)
{
	struct standin_job *job = standin_job_find(&world->standin, client->job);
	char path[HTTP_PATH_MAX];

	snprintf(path, sizeof(path), W_PATH_JOBS "/%s%s", client->job, W_PATH_CANCEL);
	if (job)
		job->cancel_requested = true;
	send_request(world, client, controller, "POST", path, NULL);
}

static bool is_reachable(const struct world *world, int controller)
{
	const struct controller *target = &world->controllers[controller];

	return target->up && world->now_s >= target->frozen_until_s &&
	       !network_cut_between(world, HOST_CLIENTS, controller);
}

static int choose_controller(struct world *world, const struct client_request *client)
{
	if (client->controller != HOST_ANY)
		return client->controller;
	return (int)(world_random(world) * world->controller_count);
}

/* Sends the request, or marks it for a retry if the controller cannot be reached. */
static void try_request(struct world *world, struct client_request *client)
{
	int controller = choose_controller(world, client);

	client->sent_at_s = world->now_s;
	client->retry = !is_reachable(world, controller);
	if (client->retry)
		return;
	switch (client->kind) {
	case CLIENT_SUBMIT:
		send_submission(world, client, controller);
		break;
	case CLIENT_POLL:
		send_poll(world, client, controller);
		break;
	case CLIENT_CANCEL:
		send_cancellation(world, client, controller);
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
	struct client_request *client = client_request_new(world, CLIENT_RAW, "", controller);

	/* The first tick later than CLIENT_TIMEOUT_S drops the request: scenarios rely on that. */
	client->sent_at_s = 0;
	send_request(world, client, controller, method, path, body);
}

static void notify_checker(struct world *world, const struct client_request *client,
			   const struct message *answer)
{
	struct standin *standin = &world->standin;
	bool accepted = answer->status == ANSWER_OK || answer->status == ANSWER_CREATED;

	switch (client->kind) {
	case CLIENT_SUBMIT:
		standin_submission_answered(standin, client->job, answer->status);
		if (accepted)
			standin_lookup_answered(standin, client->job, ANSWER_OK, answer->body,
						client->sent_at_s);
		break;
	case CLIENT_POLL:
		standin_lookup_answered(standin, client->job, answer->status, answer->body,
					client->sent_at_s);
		break;
	case CLIENT_CANCEL:
		standin_cancellation_answered(standin, client->job, answer->status, answer->body,
					      client->sent_at_s);
		break;
	case CLIENT_RAW:
		break;
	}
}

/* True if the client retries the request after an answer with this status. */
static bool is_retried(const struct client_request *client, int status)
{
	if (client->kind != CLIENT_SUBMIT && client->kind != CLIENT_CANCEL)
		return false;
	if (status == ANSWER_TOO_MANY_REQUESTS || status == ANSWER_UNAVAILABLE)
		return true;
	return client->kind == CLIENT_CANCEL && status == ANSWER_NOT_FOUND;
}

void client_answer(struct world *world, const struct message *answer)
{
	struct client_request *client;

	DL_SEARCH_SCALAR(world->clients, client, connection, answer->id);
	if (!client)
		return;
	if (answer->status > 0 && answer->status < STATUS_COUNT)
		world->answer_counts[answer->status]++;
	notify_checker(world, client, answer);
	client->connection = 0;
	client->retry = is_retried(client, answer->status);
	if (!client->retry)
		client_request_free(world, client);
}

/* True for requests that are not retried: polls, which are sent anew each second, and raw ones. */
static bool is_never_retried(const struct client_request *client)
{
	return client->kind == CLIENT_POLL || client->kind == CLIENT_RAW;
}

static void retry_unanswered(struct world *world)
{
	struct client_request *client, *next;

	DL_FOREACH_SAFE (world->clients, client, next) {
		bool late = world->now_s - client->sent_at_s > CLIENT_TIMEOUT_S;

		if (!client->retry && !late)
			continue;
		if (is_never_retried(client))
			client_request_free(world, client);
		else
			try_request(world, client);
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
	struct client_request *client, *next;

	DL_FOREACH_SAFE (world->clients, client, next)
		free(client);
	world->clients = NULL;
}
