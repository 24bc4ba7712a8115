/* The order in which a turn of the loop serves what came: own answers, callers, who gave up. */
#include "support.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net_support.h"

#define CROWD (NET_CALLER_EVENTS_MAX + 20) /* more callers than a turn serves */
#define SPARE_SOCKETS 8
#define CALL_TURNS 20	/* enough to connect to the other server and send the call */
#define OTHER_TURNS 200 /* at most, until the other server has answered */
#define OTHER_TURN_WAIT_S 0.005
#define FIRST_TURN_WAIT_S 0.1
#define REMAINING_TURNS 10
#define LATE_TURNS 5
#define LATE_FACTOR 1.2 /* beyond NET_LOOP_LAG_S, so that the loop takes itself for late */

/* Connects `count` callers, one a turn. */
static void connect_callers(struct test_server *server, int *callers, int count)
{
	for (int i = 0; i < count; i++) {
		callers[i] = loopback_connect(&server->address);
		test_server_turn(server, 1);
	}
}

/* Sends a request of each caller; the loop is not turned. */
static void send_requests(const int *callers, int count)
{
	const size_t length = strlen(READY_REQUEST);

	for (int i = 0; i < count; i++)
		assert_int_equal(send(callers[i], READY_REQUEST, length, MSG_NOSIGNAL), length);
}

static void close_callers(const int *callers, int count)
{
	for (int i = 0; i < count; i++)
		close(callers[i]);
}

/*
 * More callers than a turn serves have asked, and an answer to an own call has come: it is taken
 * in the first turn, with callers up to the turn's bound, and all the others in the turns after.
 */
static void test_own_answers_before_callers(void **state)
{
	struct test_server server, other;
	struct net_call call = {.id = 1, .method = "GET", .path = "/", .timeout_s = CALL_TIMEOUT_S};
	int callers[CROWD];

	(void)state;
	test_server_start(&server, CROWD + SPARE_SOCKETS);
	test_server_start(&other, SPARE_SOCKETS);
	call.addr = other.address.text;
	connect_callers(&server, callers, CROWD);
	net_send(server.net, &call);
	test_server_turn(&server, CALL_TURNS);
	send_requests(callers, CROWD);
	for (int i = 0; i < OTHER_TURNS && !other.requests; i++)
		net_poll(other.net, OTHER_TURN_WAIT_S);
	net_poll(server.net, FIRST_TURN_WAIT_S);
	assert_int_equal(server.replies, 1);
	assert_in_range(server.requests, 1, NET_CALLER_EVENTS_MAX);
	test_server_turn(&server, REMAINING_TURNS);
	assert_int_equal(server.requests, CROWD);
	close_callers(callers, CROWD);
	test_server_stop(&server);
	test_server_stop(&other);
}

/* A loop that is late, as a small controller's in a burst, leaves out who has closed meanwhile. */
static void test_late_loop_leaves_out_who_closed(void **state)
{
	struct test_server server;
	int callers[2];

	(void)state;
	test_server_start(&server, SPARE_SOCKETS);
	connect_callers(&server, callers, 2);
	send_requests(callers, 2);
	close(callers[0]);
	usleep((useconds_t)(NET_LOOP_LAG_S * LATE_FACTOR * 1e6));
	test_server_turn(&server, LATE_TURNS);
	assert_int_equal(server.requests, 1);
	close(callers[1]);
	test_server_stop(&server);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_own_answers_before_callers),
	    cmocka_unit_test(test_late_loop_leaves_out_who_closed),
	};

	return cmocka_run_group_tests_name("net_turns", tests, NULL, NULL);
}
