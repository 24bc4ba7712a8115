/* The bodies of requests and answers: where they end, and how large they may be. */
#include "support.h"

#include <stdlib.h>
#include <string.h>

#include "net_support.h"
#include "util/xalloc.h"

#define CONNECTIONS 100
#define CALL_TURNS 500 /* at most, until an answer has come */
#define CALL_TURN_WAIT_S 0.005

#define LONG_ANSWER "{\"text\":\"a long answer that fills the buffer\"}"
#define SHORT_ANSWER "{}"

/* A server whose first answer is long and whose second, on the same connection, is short. */
struct two_answers {
	struct net *server;
	int requests, answers, unexpected;
	struct {
		int status;
		size_t length;	    /* as told */
		size_t text_length; /* up to the NUL */
	} answer[2];
};

static void answer_long_then_short(void *context, uint64_t connection, enum net_side side,
				   const char *method, const char *path, const char *body,
				   size_t length)
{
	struct two_answers *two = context;
	const char *answer = two->requests == 0 ? LONG_ANSWER : SHORT_ANSWER;

	(void)side, (void)method, (void)path, (void)body, (void)length;
	two->requests++;
	net_answer(two->server, connection, 200, 0, answer, strlen(answer));
}

static void take_answer(void *context, uint64_t id, int status, const char *body, size_t length)
{
	struct two_answers *two = context;

	two->answers++;
	if (id >= ARRAY_LENGTH(two->answer)) {
		two->unexpected++;
		return;
	}
	two->answer[id].status = status;
	two->answer[id].length = length;
	two->answer[id].text_length = strlen(body);
}

/* Makes both calls, one after the other. */
static void call_twice(struct two_answers *two)
{
	static const struct net_callbacks server_callbacks = {answer_long_then_short, NULL};
	static const struct net_callbacks client_callbacks = {NULL, take_answer};
	struct net *client = net_new(&client_callbacks, two, CONNECTIONS, IDLE_S);
	struct loopback_address address;

	two->server = net_new(&server_callbacks, two, CONNECTIONS, IDLE_S);
	address = loopback_listen(two->server, NET_FRONT);
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
		for (int turn = 0; turn < CALL_TURNS && two->answers == i; turn++) {
			net_poll(client, CALL_TURN_WAIT_S);
			net_poll(two->server, CALL_TURN_WAIT_S);
		}
	}
	net_free(client);
	net_free(two->server);
}

/* Readers may take an answer as text: nothing of the one before may follow it. */
static void test_answer_ends_with_nul(void **state)
{
	struct two_answers two = {0};

	(void)state;
	call_twice(&two);
	assert_int_equal(two.answers, 2);
	assert_int_equal(two.unexpected, 0);
	assert_int_equal(two.answer[0].status, 200);
	assert_int_equal(two.answer[0].length, strlen(LONG_ANSWER));
	assert_int_equal(two.answer[0].text_length, strlen(LONG_ANSWER));
	assert_int_equal(two.answer[1].status, 200);
	assert_int_equal(two.answer[1].length, strlen(SHORT_ANSWER));
	assert_int_equal(two.answer[1].text_length, strlen(SHORT_ANSWER));
}

#define LARGE_BODY (4 * HTTP_BODY_MAX)
#define NO_STATUS (-2) /* the call has not ended */

/* One call with a body of LARGE_BODY bytes. */
struct large_call {
	struct net *server;
	size_t taken; /* bytes of it that reached the server's callback */
	int status;
};

static void take_large_request(void *context, uint64_t connection, enum net_side side,
			       const char *method, const char *path, const char *body,
			       size_t length)
{
	struct large_call *large = context;

	(void)side, (void)method, (void)path, (void)body;
	large->taken = length;
	net_answer(large->server, connection, 200, 0, "{}", 2);
}

static void take_status(void *context, uint64_t id, int status, const char *body, size_t length)
{
	struct large_call *large = context;

	(void)id, (void)body, (void)length;
	large->status = status;
}

/* Makes the call to a server's side for users and workers or to that for controllers. */
static struct large_call call_with_large_body(enum net_side side)
{
	static const struct net_callbacks server_callbacks = {take_large_request, NULL};
	static const struct net_callbacks client_callbacks = {NULL, take_status};
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
	for (int turn = 0; turn < CALL_TURNS && large.status == NO_STATUS; turn++) {
		net_poll(client, CALL_TURN_WAIT_S);
		net_poll(large.server, CALL_TURN_WAIT_S);
	}
	free(body);
	net_free(client);
	net_free(large.server);
	return large;
}

/* What controllers tell each other grows with the fleet. */
static void test_large_body_of_controller_accepted(void **state)
{
	struct large_call call = call_with_large_body(NET_BACK);

	(void)state;
	assert_int_equal(call.status, 200);
	assert_int_equal(call.taken, LARGE_BODY);
}

/* Users and workers are held to HTTP_BODY_MAX. */
static void test_large_body_of_worker_refused(void **state)
{
	struct large_call call = call_with_large_body(NET_FRONT);

	(void)state;
	assert_int_not_equal(call.status, 200);
	assert_int_equal(call.taken, 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_answer_ends_with_nul),
	    cmocka_unit_test(test_large_body_of_controller_accepted),
	    cmocka_unit_test(test_large_body_of_worker_refused),
	};

	return cmocka_run_group_tests_name("net_bodies", tests, NULL, NULL);
}
