/* Delivers messages to controllers, stand-ins and clients. */
#include "delivery.h"

#include <stdlib.h>
#include <string.h>

#include "clients.h"
#include "connections.h"
#include "controllers.h"
#include "faults.h"
#include "message_queue.h"
#include "network.h"
#include "outbox.h"
#include "util/xalloc.h"
#include "wire/names.h"

#define SLOW_REPLY_S 0.3	  /* additional latency of a slow reply of the state service */
#define DUPLICATE_MIN_DELAY_S 0.5 /* least delay of the copy of a report */
#define HANG_RETRY_S 0.25	  /* interval between tries to deliver to a hanging machine */

/* A request to a stand-in that has no reply yet. The stand-in's handle is the address of this. */
struct standin_request {
	int controller;	      /* index of the controller that sent the request */
	int host;	      /* number of the stand-in's host, which received it */
	uint64_t call;	      /* id of the controller's call; 0: the reply is dropped */
	uint64_t incarnation; /* of the controller's process that made the call */
};

/* --- requests between controllers --- */

static void deliver_peer_request(struct world *world, const struct message *message)
{
	struct core_request request = {
	    .side = CORE_BACK,
	    .method = message->method,
	    .path = message->path,
	    .body = message->body,
	    .len = message->body_length,
	};
	struct peer_request *pending = xcalloc(1, sizeof(*pending));

	pending->connection = PEER_CONNECTIONS + ++world->last_peer_connection;
	pending->call = message->id;
	pending->incarnation = message->incarnation;
	pending->from = message->from;
	HASH_ADD(hh, world->peer_requests, connection, sizeof(pending->connection), pending);
	request.connection = pending->connection;
	controller_request(world, message->to, &request);
}

void peer_requests_free(struct world *world)
{
	struct peer_request *pending, *next;

	HASH_ITER (hh, world->peer_requests, pending, next) {
		HASH_DEL(world->peer_requests, pending);
		free(pending);
	}
}

/* --- requests to the stand-ins --- */

/* Queues a request to a hanging machine again. The machine reads it up to HANG_RETRY_S after it
 * stops hanging, possibly later than newer requests. */
static void requeue_request(struct world *world, const struct message *message)
{
	struct message *again = message_new(world, MESSAGE_REQUEST, message->from, message->to,
					    world->now_s + HANG_RETRY_S);

	again->id = message->id;
	again->incarnation = message->incarnation;
	again->method = xstrdup(message->method);
	again->path = xstrdup(message->path);
	message_set_body(again, message->body, message->body_length);
}

/* Returns the handle that the stand-in passes back with its reply. standin_reply frees it. */
static uint64_t standin_request_new(const struct message *message)
{
	struct standin_request *pending = xcalloc(1, sizeof(*pending));

	pending->controller = message->from;
	pending->host = message->to;
	pending->call = message->id;
	pending->incarnation = message->incarnation;
	return (uintptr_t)pending;
}

/* Keeps a copy of a message to a machine, if it carries a start. A scenario may capture it. */
static void note_start(struct world *world, const struct message *message)
{
	int machine = message->to - HOST_MACHINES;
	struct start_message *newest;

	if (machine >= CAPTURED_MACHINES || !message->body ||
	    !strstr(message->body, "\"" W_OP_START "\""))
		return;
	newest = &world->newest_starts[machine];
	free(newest->body);
	newest->kind = message->kind;
	newest->id = message->id;
	newest->body = xstrdup(message->body);
}

/* Keeps a copy of a direct message, which a scenario may capture. */
static void note_commands(struct world *world, const struct message *message)
{
	int machine = message->to - HOST_MACHINES;

	if (machine >= CAPTURED_MACHINES || strcmp(message->path, W_PATH_COMMANDS))
		return;
	free(world->newest_commands[machine]);
	world->newest_commands[machine] = xstrdup(message->body);
	note_start(world, message);
}

static void deliver_machine_request(struct world *world, const struct message *message)
{
	struct standin_machine *machine = &world->standin.machines[message->to - HOST_MACHINES];

	if (machine->power != POWER_UP)
		return;
	if (machine->hanging) {
		requeue_request(world, message);
		return;
	}
	note_commands(world, message);
	standin_agent_handle_request(&world->standin, machine, standin_request_new(message),
				     message->path, message->body);
}

static void deliver_request(struct world *world, const struct message *message)
{
	if (message->to < HOST_STATE)
		deliver_peer_request(world, message);
	else if (message->to == HOST_STATE)
		standin_state_handle_request(&world->standin, message->from,
					     standin_request_new(message), message->method,
					     message->path, message->body);
	else if (message->to == HOST_CLOUD)
		standin_cloud_handle_request(&world->standin, standin_request_new(message),
					     message->method, message->path, message->body);
	else
		deliver_machine_request(world, message);
}

void standin_reply(void *context, uint64_t handle, int status, const char *body)
{
	struct world *world = context;
	struct standin_request *pending = (struct standin_request *)(uintptr_t)handle;

	if (pending->call) {
		bool slow = pending->host == HOST_STATE &&
			    world_random(world) < world->network_faults.slow_state_replies;
		double due_at_s = network_arrival_time(world) + (slow ? SLOW_REPLY_S : 0);
		struct message *reply =
		    message_new(world, MESSAGE_REPLY, pending->host, pending->controller, due_at_s);

		reply->id = pending->call;
		reply->incarnation = pending->incarnation;
		reply->status = status;
		reply->body = xstrdup(body ? body : "");
	}
	free(pending);
}

void watch_requests_free(struct world *world)
{
	for (struct standin_watch *watch = world->standin.state_service.watches; watch;
	     watch = watch->next)
		free((struct standin_request *)(uintptr_t)watch->handle);
}

/* --- reports from machines --- */

/* Sends late copies of a report to random controllers. They arrive even if the machine has failed
 * by then. */
static void send_duplicates(struct world *world, int machine, const char *body)
{
	const struct network_faults *faults = &world->network_faults;

	for (int i = 0; i < world->controller_count; i++) {
		struct message *copy;
		double due_at_s;

		if (world_random(world) >= faults->duplicate_reports)
			continue;
		due_at_s = world->now_s + DUPLICATE_MIN_DELAY_S +
			   world_random(world) * faults->duplicate_delay_s;
		copy = message_new(world, MESSAGE_REPORT, HOST_MACHINES + machine, i, due_at_s);
		copy->report_number = DUPLICATE_REPORT_NUMBER;
		copy->body = xstrdup(body);
	}
}

void standin_report(void *context, int machine, int controller, const char *body)
{
	struct world *world = context;
	struct message *report = message_new(world, MESSAGE_REPORT, HOST_MACHINES + machine,
					     controller, network_arrival_time(world));

	report->report_number = world->standin.machines[machine].sequence;
	report->body = xstrdup(body);
	if (strlen(body) > world->longest_report)
		world->longest_report = strlen(body);
	send_duplicates(world, machine, body);
}

static void deliver_report(struct world *world, const struct message *message)
{
	struct core_request request = {
	    .connection = report_connection(message->from - HOST_MACHINES, message->report_number),
	    .side = CORE_FRONT,
	    .method = "POST",
	    .path = W_PATH_HEARTBEAT,
	    .body = message->body,
	    .len = strlen(message->body),
	};

	controller_request(world, message->to, &request);
}

/* Delivers the answer to a machine's newest report; the answer to an older one is dropped. */
static void deliver_report_reply(struct world *world, const struct message *message)
{
	int index = message->to - HOST_MACHINES;
	const struct standin_machine *machine = &world->standin.machines[index];

	if (!report_connection_is(message->id, machine->report_sequence))
		return;
	note_start(world, message);
	standin_agent_handle_answer(&world->standin, index, machine->report_incarnation,
				    machine->report_sequence, message->status, message->body);
}

/* --- replies to controllers and clients --- */

static void deliver_reply(struct world *world, const struct message *message)
{
	struct core_answer answer = {
	    .id = message->id,
	    .status = message->status,
	    .body = message->body ? message->body : "",
	};

	if (message->to == HOST_CLIENTS) {
		client_answer(world, message);
		return;
	}
	answer.len = message->body_length ? message->body_length : strlen(answer.body);
	controller_answer(world, message->to, &answer);
}

static void deliver_timeout(struct world *world, const struct message *message)
{
	struct core_answer no_answer = {.id = message->id, .status = 0, .body = "", .len = 0};

	controller_answer(world, message->to, &no_answer);
}

static void deliver_restart(struct world *world, const struct message *message)
{
	struct standin_machine *machine = &world->standin.machines[message->to - HOST_MACHINES];

	if (machine->power == POWER_UP && !machine->hanging)
		fault_restart_machine(world, machine);
}

/* False if the controller is down, or if the message ends a call of an earlier process of it. */
static bool can_be_delivered(const struct controller *controller, const struct message *message)
{
	bool is_reply = message->kind == MESSAGE_REPLY || message->kind == MESSAGE_TIMEOUT;

	if (!controller->up)
		return false;
	return !is_reply || controller->incarnation == message->incarnation;
}

void deliver_message(struct world *world, struct message *message)
{
	const struct controller *controller = controller_of_host(world, message->to);

	if (controller && !can_be_delivered(controller, message))
		return;
	switch (message->kind) {
	case MESSAGE_REQUEST:
		deliver_request(world, message);
		break;
	case MESSAGE_REPLY:
		deliver_reply(world, message);
		break;
	case MESSAGE_TIMEOUT:
		deliver_timeout(world, message);
		break;
	case MESSAGE_REPORT:
		deliver_report(world, message);
		break;
	case MESSAGE_REPORT_REPLY:
		deliver_report_reply(world, message);
		break;
	case MESSAGE_RESTART:
		deliver_restart(world, message);
		break;
	}
	if (!controller)
		return;
	if (controller->up)
		outbox_send(world, message->to);
	controller_crash_at_step(world, message->to);
}
