/*
 * Tests of the bodies of requests and replies over real connections.
 *
 * A connection's buffer is used again for the next reply. If no NUL followed the body, a callback
 * that reads it as text would also read the rest of an earlier, longer reply. The limit of a
 * request's size depends on the listener: a limit that is too low for controllers would cut them
 * off from each other in a large fleet, and one that is too high would let an agent or user exhaust
 * the memory.
 */
#include "support.h"

#include <stdlib.h>
#include <string.h>

#include "net_support.h"
#include "util/xalloc.h"

#define CONNECTIONS 100
#define CALL_ITERATIONS_MAX 500	    /* event-loop iterations until a reply must have arrived */
#define CALL_ITERATION_WAIT_S 0.005 /* time that one iteration waits for events */

#define LONG_ANSWER "{\"text\":\"a long answer that fills the buffer\"}"
#define SHORT_ANSWER "{}"

/* Two calls on one connection: the server's first reply is long and its second is short. */
struct two_calls {
	struct net *server;
	int requests;		/* received by the server */
	int replies;		/* received by the client */
	int unexpected_replies; /* replies with an id that belongs to no call */
	struct {
		int status;
		size_t length;	    /* of the body, as passed to the callback */
		size_t text_length; /* of the body up to its NUL */
	} reply[2];
};

static void answer_long_then_short(void *context, uint64_t connection, enum net_side side,
				   const char *method, const char *path, const char *body,
				   size_t length)
{
	struct two_calls *calls = context;
	const char *reply = calls->requests == 0 ? LONG_ANSWER : SHORT_ANSWER;

	(void)side, (void)method, (void)path, (void)body, (void)length;
	calls->requests++;
	net_answer(calls->server, connection, 200, 0, reply, strlen(reply));
}

static void record_reply(void *context, uint64_t id, int status, const char *body, size_t length)
{
	struct two_calls *calls = context;

	calls->replies++;
	if (id >= ARRAY_LENGTH(calls->reply)) {
		calls->unexpected_replies++;
		return;
	}
	calls->reply[id].status = status;
	calls->reply[id].length = length;
	calls->reply[id].text_length = strlen(body);
}

/* Makes both calls, the second after the reply to the first. */
static void call_twice(struct two_calls *calls)
{
	static const struct net_callbacks server_callbacks = {.request = answer_long_then_short};
	static const struct net_callbacks client_callbacks = {.reply = record_reply};
	struct net *client = net_new(&client_callbacks, calls, CONNECTIONS, IDLE_S);
	struct loopback_address address;

	calls->server = net_new(&server_callbacks, calls, CONNECTIONS, IDLE_S);
	address = loopback_listen(calls->server, NET_FRONT);
	for (int i = 0; i < 2; i++) {
		struct net_call call = {
		    .id = (uint64_t)i,
		    .addr = address.text,
		    .method = "GET",
		    .path = "/",
		    .body = "",
		    .timeout_s = CALL_TIMEOUT_S,
		};

		net_send(client, &call);
		for (int iteration = 0; iteration < CALL_ITERATIONS_MAX && calls->replies == i;
		     iteration++) {
			net_poll(client, CALL_ITERATION_WAIT_S);
			net_poll(calls->server, CALL_ITERATION_WAIT_S);
		}
	}
	net_free(client);
	net_free(calls->server);
}

/* A callback may read a reply as text: no bytes of the previous reply may follow it. */
static void test_reply_ends_with_nul(void **state)
{
	struct two_calls calls = {0};

	(void)state;
	call_twice(&calls);
	assert_int_equal(calls.replies, 2);
	assert_int_equal(calls.unexpected_replies, 0);
	assert_int_equal(calls.reply[0].status, 200);
	assert_int_equal(calls.reply[0].length, strlen(LONG_ANSWER));
	assert_int_equal(calls.reply[0].text_length, strlen(LONG_ANSWER));
	assert_int_equal(calls.reply[1].status, 200);
	assert_int_equal(calls.reply[1].length, strlen(SHORT_ANSWER));
	assert_int_equal(calls.reply[1].text_length, strlen(SHORT_ANSWER));
}

#define LARGE_BODY (4 * HTTP_BODY_MAX)
#define NO_STATUS (-2) /* the call has not ended; no enum net_call_failure has this value */

/* One call with a body of LARGE_BODY bytes. */
struct large_call {
	struct net *server;
	size_t received; /* bytes of the body that reached the server's callback */
	int status;	 /* of the reply; NO_STATUS until the call ends */
};

static void handle_large_request(void *context, uint64_t connection, enum net_side side,
				 const char *method, const char *path, const char *body,
				 size_t length)
{
	struct large_call *large = context;

	(void)side, (void)method, (void)path, (void)body;
	large->received = length;
	net_answer(large->server, connection, 200, 0, "{}", 2);
}

static void record_reply_status(void *context, uint64_t id, int status, const char *body,
				size_t length)
{
	struct large_call *large = context;

	(void)id, (void)body, (void)length;
	large->status = status;
}

/* Makes the call to a server's listener for users and agents or to that for controllers. */
static struct large_call call_with_large_body(enum net_side side)
{
	static const struct net_callbacks server_callbacks = {.request = handle_large_request};
	static const struct net_callbacks client_callbacks = {.reply = record_reply_status};
	struct large_call large = {.status = NO_STATUS};
	struct net *client = net_new(&client_callbacks, &large, CONNECTIONS, IDLE_S);
	char *body = xcalloc(1, LARGE_BODY);
	struct loopback_address address;
	struct net_call call = {
	    .method = "POST",
	    .path = "/",
	    .body = body,
	    .len = LARGE_BODY,
	    .timeout_s = CALL_TIMEOUT_S,
	};

	large.server = net_new(&server_callbacks, &large, CONNECTIONS, IDLE_S);
	address = loopback_listen(large.server, side);
	call.addr = address.text;
	net_send(client, &call);
	for (int iteration = 0; iteration < CALL_ITERATIONS_MAX && large.status == NO_STATUS;
	     iteration++) {
		net_poll(client, CALL_ITERATION_WAIT_S);
		net_poll(large.server, CALL_ITERATION_WAIT_S);
	}
	free(body);
	net_free(client);
	net_free(large.server);
	return large;
}

/* Messages between controllers grow with the fleet, so their limit is above HTTP_BODY_MAX. */
static void test_large_body_of_controller_accepted(void **state)
{
	struct large_call call = call_with_large_body(NET_BACK);

	(void)state;
	assert_int_equal(call.status, 200);
	assert_int_equal(call.received, LARGE_BODY);
}

/* Requests of users and agents may have at most HTTP_BODY_MAX bytes. */
static void test_large_body_of_agent_refused(void **state)
{
	struct large_call call = call_with_large_body(NET_FRONT);

	(void)state;
	assert_int_not_equal(call.status, 200);
	assert_int_equal(call.received, 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_reply_ends_with_nul),
	    cmocka_unit_test(test_large_body_of_controller_accepted),
	    cmocka_unit_test(test_large_body_of_agent_refused),
	};

	return cmocka_run_group_tests_name("net_bodies", tests, NULL, NULL);
}
