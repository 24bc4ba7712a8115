/*
 * Tests of the order in which one event-loop iteration handles events.
 *
 * If the requests of many callers were handled before the replies to the controller's own calls, a
 * burst of requests would delay those replies, such as that to the renewal of the leader's lease.
 * If a loop that is late also handled requests of callers that have already closed their
 * connection, it would fall further behind with answers that nobody reads.
 */
#include "support.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net_support.h"

#define CALLERS (NET_CALLER_EVENTS_MAX + 20) /* more callers than one iteration serves */
#define SPARE_SOCKETS 8
/* Iterations that are enough to connect to the other server and to send the call. */
#define CALL_ITERATIONS 20
/* Iterations until the other server must have received the call. */
#define OTHER_ITERATIONS_MAX 200
#define OTHER_ITERATION_WAIT_S 0.005
#define FIRST_ITERATION_WAIT_S 0.1
#define REMAINING_ITERATIONS 10
#define LATE_ITERATIONS 5
/* Delay as a multiple of NET_LOOP_LAG_S: above 1, so that the loop counts as late. */
#define LATE_FACTOR 1.2

/* Connects `count` callers, one in each iteration. */
static void connect_callers(struct test_server *server, int *callers, int count)
{
	for (int i = 0; i < count; i++) {
		callers[i] = loopback_connect(&server->address);
		test_server_iterate(server, 1);
	}
}

/* Sends a request of each caller, without running an event-loop iteration. */
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
 * When the iteration begins, a reply to the server's own call and more requests than one iteration
 * serves have arrived. The first iteration handles the reply and at most NET_CALLER_EVENTS_MAX
 * requests; the following ones handle the other requests.
 */
static void test_own_replies_before_requests(void **state)
{
	struct test_server server, other;
	struct net_call call = {.id = 1, .method = "GET", .path = "/", .timeout_s = CALL_TIMEOUT_S};
	int callers[CALLERS];

	(void)state;
	test_server_start(&server, CALLERS + SPARE_SOCKETS);
	test_server_start(&other, SPARE_SOCKETS);
	call.addr = other.address.text;
	connect_callers(&server, callers, CALLERS);
	net_send(server.net, &call);
	test_server_iterate(&server, CALL_ITERATIONS);
	send_requests(callers, CALLERS);
	for (int i = 0; i < OTHER_ITERATIONS_MAX && !other.requests; i++)
		net_poll(other.net, OTHER_ITERATION_WAIT_S);
	net_poll(server.net, FIRST_ITERATION_WAIT_S);
	assert_int_equal(server.replies, 1);
	assert_in_range(server.requests, 1, NET_CALLER_EVENTS_MAX);
	test_server_iterate(&server, REMAINING_ITERATIONS);
	assert_int_equal(server.requests, CALLERS);
	close_callers(callers, CALLERS);
	test_server_stop(&server);
	test_server_stop(&other);
}

/*
 * A loop that is late, as on a small controller in a burst of requests, drops the requests of
 * callers that have closed their connection in the meantime.
 */
static void test_late_loop_drops_closed_callers(void **state)
{
	struct test_server server;
	int callers[2];

	(void)state;
	test_server_start(&server, SPARE_SOCKETS);
	connect_callers(&server, callers, 2);
	send_requests(callers, 2);
	close(callers[0]);
	usleep((useconds_t)(NET_LOOP_LAG_S * LATE_FACTOR * 1e6));
	test_server_iterate(&server, LATE_ITERATIONS);
	assert_int_equal(server.requests, 1);
	close(callers[1]);
	test_server_stop(&server);
}

/*
 * A caller that closes its connection while its answer is delayed is reported, so that nothing is
 * sent in that answer. One whose request was answered is not.
 */
static void test_closed_before_answer(void **state)
{
	struct test_server server;
	int callers[2];

	(void)state;
	test_server_start(&server, SPARE_SOCKETS);
	connect_callers(&server, callers, 2);
	send_requests(callers, 1);
	test_server_iterate(&server, LATE_ITERATIONS);
	close(callers[0]);
	test_server_iterate(&server, LATE_ITERATIONS);
	assert_int_equal(server.closed, 0);
	server.delays_answers = true;
	send_requests(callers + 1, 1);
	test_server_iterate(&server, LATE_ITERATIONS);
	assert_int_equal(server.closed, 0);
	close(callers[1]);
	test_server_iterate(&server, LATE_ITERATIONS);
	assert_int_equal(server.requests, 2);
	assert_int_equal(server.closed, 1);
	test_server_stop(&server);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_own_replies_before_requests),
	    cmocka_unit_test(test_late_loop_drops_closed_callers),
	    cmocka_unit_test(test_closed_before_answer),
	};

	return cmocka_run_group_tests_name("net_turns", tests, NULL, NULL);
}
