/*
 * Tests of which callers' connections are closed when there are more callers than sockets.
 *
 * Machines that vanish leave their agents' connections open: if none were closed, new callers would
 * get no answer. If the longest idle caller were always closed, callers that send requests in
 * rounds would each lose the connection just before their next request, and all would reconnect in
 * every round.
 */
#include "support.h"

#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net_support.h"

#define CALLER_SOCKETS 8	  /* sockets for callers */
#define CALLERS 12		  /* callers that connect; none closes its connection */
#define ANSWER_ITERATIONS_MAX 200 /* event-loop iterations until an answer must have arrived */
#define ANSWER_ITERATION_WAIT_S 0.005

/*
 * Sends a request on the connection. Returns whether an answer arrives before the connection is
 * closed and within ANSWER_ITERATIONS_MAX iterations.
 */
static bool is_answered(struct test_server *server, int fd)
{
	char answer[256];

	if (send(fd, READY_REQUEST, strlen(READY_REQUEST), MSG_NOSIGNAL) < 0)
		return false;
	for (int i = 0; i < ANSWER_ITERATIONS_MAX; i++) {
		ssize_t received;

		net_poll(server->net, ANSWER_ITERATION_WAIT_S);
		received = recv(fd, answer, sizeof(answer), MSG_DONTWAIT);
		if (received >= 0)
			return received > 0;
	}
	return false;
}

/* Each new caller is answered: the connection of the longest idle caller is closed for it. */
static void test_longest_idle_caller_closed(void **state)
{
	struct test_server server;
	int callers[CALLERS], answered = 0;

	(void)state;
	test_server_start(&server, CALLER_SOCKETS);
	for (int i = 0; i < CALLERS; i++) {
		callers[i] = loopback_connect(&server.address);
		answered += is_answered(&server, callers[i]);
		/* All sockets are in use now. After this request the second caller is the longest
		 * idle one. */
		if (i == CALLER_SOCKETS - 1)
			assert_true(is_answered(&server, callers[0]));
	}
	assert_int_equal(answered, CALLERS);
	assert_true(is_answered(&server, callers[0]));
	assert_false(is_answered(&server, callers[1]));
	assert_true(is_answered(&server, callers[CALLERS - 1]));
	for (int i = 0; i < CALLERS; i++)
		close(callers[i]);
	test_server_stop(&server);
}

#define ROUND_CALLER_SOCKETS 100 /* sockets for callers */
#define ROUND_CALLERS 130	 /* callers; in each round each of them sends one request */
#define ROUNDS 5
/* Reconnections allowed in each round beyond one for each caller without a socket. */
#define ROUND_EXTRA_RECONNECTS 4
/* Event-loop iterations until an answer must have arrived. */
#define ROUND_ANSWER_ITERATIONS_MAX 50

enum request_result { REQUEST_UNANSWERED, REQUEST_ANSWERED, REQUEST_ANSWERED_NEW_CONNECTION };

/*
 * Receives the answer on `fd` into `answer`, with a NUL after it. Returns its length in bytes, or 0
 * or less if none arrived.
 */
static ssize_t receive_answer(struct test_server *server, int fd, char *answer, size_t size)
{
	ssize_t received = -1;

	for (int i = 0; i < ROUND_ANSWER_ITERATIONS_MAX && received < 0; i++) {
		test_server_iterate(server, 1);
		received = recv(fd, answer, size - 1, MSG_DONTWAIT);
	}
	answer[received > 0 ? received : 0] = 0;
	return received;
}

/*
 * Sends a caller's request on its connection, or on a new one if *fd is -1. Closes the connection
 * and sets *fd to -1 if the server asks for it or does not answer.
 */
static enum request_result send_request(struct test_server *server, int *fd)
{
	char answer[512];
	bool is_new = *fd < 0;
	ssize_t received;

	if (is_new)
		*fd = loopback_connect(&server->address);
	send(*fd, READY_REQUEST, strlen(READY_REQUEST), MSG_NOSIGNAL);
	received = receive_answer(server, *fd, answer, sizeof(answer));
	if (received <= 0 || strstr(answer, "Connection: close")) {
		close(*fd);
		*fd = -1;
	}
	if (received <= 0)
		return REQUEST_UNANSWERED;
	return is_new ? REQUEST_ANSWERED_NEW_CONNECTION : REQUEST_ANSWERED;
}

/*
 * In each round only about as many callers reconnect as there are more callers than sockets. The
 * server tells each of them in its last answer ("Connection: close").
 */
static void test_only_excess_callers_reconnect(void **state)
{
	struct test_server server;
	int callers[ROUND_CALLERS], unanswered = 0, connections = 0, first_round_connections = 0;

	(void)state;
	test_server_start(&server, ROUND_CALLER_SOCKETS);
	memset(callers, -1, sizeof(callers));
	for (int i = 0; i < ROUNDS * ROUND_CALLERS; i++) {
		enum request_result result = send_request(&server, &callers[i % ROUND_CALLERS]);

		unanswered += result == REQUEST_UNANSWERED;
		connections += result == REQUEST_ANSWERED_NEW_CONNECTION;
		if (i == ROUND_CALLERS - 1)
			first_round_connections = connections;
	}
	assert_int_equal(first_round_connections, ROUND_CALLERS);
	assert_int_equal(unanswered, 0);
	assert_true(connections - first_round_connections <=
		    (ROUNDS - 1) * (ROUND_CALLERS - ROUND_CALLER_SOCKETS + ROUND_EXTRA_RECONNECTS));
	for (int i = 0; i < ROUND_CALLERS; i++)
		if (callers[i] >= 0)
			close(callers[i]);
	test_server_stop(&server);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_longest_idle_caller_closed),
	    cmocka_unit_test(test_only_excess_callers_reconnect),
	};

	return cmocka_run_group_tests_name("net_limits", tests, NULL, NULL);
}
