/* More callers than there are sockets: who is closed, and how. */
#include "support.h"

#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net_support.h"

#define ROOM 8	   /* sockets for callers */
#define CALLERS 12 /* all keep their connections */
#define ANSWER_TURNS 200
#define ANSWER_TURN_WAIT_S 0.005

/* Sends a request; whether an answer came before the connection's end and the last turn. */
static bool is_answered(struct test_server *server, int fd)
{
	char answer[256];

	if (send(fd, READY_REQUEST, strlen(READY_REQUEST), MSG_NOSIGNAL) < 0)
		return false;
	for (int i = 0; i < ANSWER_TURNS; i++) {
		ssize_t received;

		net_poll(server->net, ANSWER_TURN_WAIT_S);
		received = recv(fd, answer, sizeof(answer), MSG_DONTWAIT);
		if (received >= 0)
			return received > 0;
	}
	return false;
}

/* Each new caller is answered, in place of the one that has been silent longest. */
static void test_longest_silent_caller_closed(void **state)
{
	struct test_server server;
	int callers[CALLERS], answered = 0;

	(void)state;
	test_server_start(&server, ROOM);
	for (int i = 0; i < CALLERS; i++) {
		callers[i] = loopback_connect(&server.address);
		answered += is_answered(&server, callers[i]);
		/* No socket is left now: the first caller is no longer the one silent longest. */
		if (i == ROOM - 1)
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

#define ROUND_ROOM 100	  /* sockets for callers */
#define ROUND_CALLERS 130 /* send a request each in turn, round after round */
#define ROUNDS 5
#define ROUND_SPARE 4 /* connections a round beyond one for each caller too many */
#define ROUND_ANSWER_TURNS 50

enum request_result { REQUEST_UNANSWERED, REQUEST_ANSWERED, REQUEST_ANSWERED_NEW_CONNECTION };

/* The bytes of the answer that came to `fd`, 0 or less without one; `answer` ends with a NUL. */
static ssize_t receive_answer(struct test_server *server, int fd, char *answer, size_t size)
{
	ssize_t received = -1;

	for (int i = 0; i < ROUND_ANSWER_TURNS && received < 0; i++) {
		test_server_turn(server, 1);
		received = recv(fd, answer, size - 1, MSG_DONTWAIT);
	}
	answer[received > 0 ? received : 0] = 0;
	return received;
}

/* Uses the caller's connection, a new one if it has none; closes it if the server says so. */
static enum request_result send_request(struct test_server *server, int *fd)
{
	char answer[512];
	bool connects = *fd < 0;
	ssize_t received;

	if (connects)
		*fd = loopback_connect(&server->address);
	send(*fd, READY_REQUEST, strlen(READY_REQUEST), MSG_NOSIGNAL);
	received = receive_answer(server, *fd, answer, sizeof(answer));
	if (received <= 0 || strstr(answer, "Connection: close")) {
		close(*fd);
		*fd = -1;
	}
	if (received <= 0)
		return REQUEST_UNANSWERED;
	return connects ? REQUEST_ANSWERED_NEW_CONNECTION : REQUEST_ANSWERED;
}

/* Only as many callers as there are too many connect again, each told so by its last answer. */
static void test_only_excess_callers_reconnect(void **state)
{
	struct test_server server;
	int callers[ROUND_CALLERS], unanswered = 0, connected = 0, connected_first = 0;

	(void)state;
	test_server_start(&server, ROUND_ROOM);
	memset(callers, -1, sizeof(callers));
	for (int i = 0; i < ROUNDS * ROUND_CALLERS; i++) {
		enum request_result result = send_request(&server, &callers[i % ROUND_CALLERS]);

		unanswered += result == REQUEST_UNANSWERED;
		connected += result == REQUEST_ANSWERED_NEW_CONNECTION;
		if (i == ROUND_CALLERS - 1)
			connected_first = connected;
	}
	assert_int_equal(connected_first, ROUND_CALLERS);
	assert_int_equal(unanswered, 0);
	assert_true(connected - connected_first <=
		    (ROUNDS - 1) * (ROUND_CALLERS - ROUND_ROOM + ROUND_SPARE));
	for (int i = 0; i < ROUND_CALLERS; i++)
		if (callers[i] >= 0)
			close(callers[i]);
	test_server_stop(&server);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_longest_silent_caller_closed),
	    cmocka_unit_test(test_only_excess_callers_reconnect),
	};

	return cmocka_run_group_tests_name("net_limits", tests, NULL, NULL);
}
