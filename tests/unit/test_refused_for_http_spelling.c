/*
 * Tests that a message is not refused for how HTTP/1.1 (RFC 9112) lets its sender spell it, and
 * that it means the same in each spelling: requests of callers, and responses to our own calls.
 */
#include "support.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_target.h"
#include "net_support.h"

#define TEXT_SIZE 4096
#define ITERATIONS_MAX 200     /* of the event loop, until an answer must have arrived */
#define ITERATION_WAIT_S 0.002 /* time that one iteration waits for events */

/* An event loop that answers each request with its method, path and body, as far as they fit. */
struct echo {
	struct net *net;
	struct loopback_address address;
	int reply_status; /* of the call that ended; -2: none has ended */
	char reply[TEXT_SIZE];
};

static void echo_request(void *context, uint64_t connection, enum net_side side, const char *method,
			 const char *path, const char *body, size_t length)
{
	struct echo *echo = context;
	char text[TEXT_SIZE];
	int text_length =
	    snprintf(text, sizeof(text), "%s %s %.*s.", method, path, (int)length, body);

	(void)side;
	if (text_length >= (int)sizeof(text))
		text_length = (int)sizeof(text) - 1;
	net_answer(echo->net, connection, 200, 0, text, (size_t)text_length);
}

static void keep_reply(void *context, uint64_t id, int status, const char *body, size_t length)
{
	struct echo *echo = context;

	(void)id;
	echo->reply_status = status;
	snprintf(echo->reply, sizeof(echo->reply), "%.*s.", (int)length, body);
}

static void echo_start(struct echo *echo)
{
	static const struct net_callbacks callbacks = {.request = echo_request,
						       .reply = keep_reply};

	*echo = (struct echo){.reply_status = -2};
	echo->net = net_new(&callbacks, echo, 4 + NET_CONNS_RESERVED, IDLE_S);
	echo->address = loopback_listen(echo->net, NET_FRONT);
}

/* Receives until `text` holds a whole answer of the echo, which ends in a period. */
static void receive_answer(struct echo *echo, int fd, char *text)
{
	size_t length = 0;

	for (int i = 0; i < ITERATIONS_MAX && !(length && text[length - 1] == '.'); i++) {
		ssize_t received;

		net_poll(echo->net, ITERATION_WAIT_S);
		received = recv(fd, text + length, TEXT_SIZE - 1 - length, MSG_DONTWAIT);
		length += received > 0 ? (size_t)received : 0;
		text[length] = 0;
	}
}

/* Sends the request `step` bytes at a time, until it is sent or the connection is closed. */
static void send_in_steps(struct echo *echo, int fd, const char *request, size_t step)
{
	size_t length = strlen(request);

	for (size_t sent = 0; sent < length; sent += step) {
		size_t more = length - sent < step ? length - sent : step;

		if (send(fd, request + sent, more, MSG_NOSIGNAL) < 0)
			return;
		net_poll(echo->net, 0);
	}
}

/* Whether the request, sent `step` bytes at a time, and an ordinary one after it on the same
 * connection are answered as expected. */
static bool is_answered(const char *request, const char *expected, size_t step)
{
	struct echo echo;
	char first[TEXT_SIZE] = "", second[TEXT_SIZE] = "";
	const char *answer;
	int fd;

	echo_start(&echo);
	fd = loopback_connect(&echo.address);
	send_in_steps(&echo, fd, request, step);
	receive_answer(&echo, fd, first);
	send(fd, READY_REQUEST, strlen(READY_REQUEST), MSG_NOSIGNAL);
	receive_answer(&echo, fd, second);
	close(fd);
	net_free(echo.net);
	answer = strstr(first, "HTTP/1.1 200");
	return answer && strstr(answer, expected) && strstr(second, "GET /ready .");
}

static void test_request_spellings_accepted(void **state)
{
	static const struct {
		const char *name;
		const char *request;
		const char *expected;
	} cases[] = {
	    {"chunked body",
	     "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{\"a\r\n"
	     "4;ext\r\n\":1}\r\n0\r\nTrailer: 1\r\n\r\n",
	     "POST /a {\"a\":1}."},
	    {"chunked body, header spelled otherwise",
	     "POST /a HTTP/1.1\r\nhost:x\r\ntransfer-encoding:\tChunked "
	     "\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	     "POST /a {}."},
	    {"absolute target", "GET http://10.0.0.1:8080/api/jobs/job-1 HTTP/1.1\r\n\r\n",
	     "GET /api/jobs/job-1 ."},
	    {"absolute target without a path", "GET HTTP://x HTTP/1.1\r\n\r\n", "GET / ."},
	    {"empty lines before", "\r\n\r\nGET /a HTTP/1.1\r\n\r\n", "GET /a ."},
	    {"newer minor version", "GET /a HTTP/1.2\r\n\r\n", "GET /a ."},
	    {"length with zeros", "POST /a HTTP/1.1\r\nCONTENT-LENGTH:0000000000000002\r\n\r\n{}",
	     "POST /a {}."},
	    {"length twice", "POST /a HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
	     "POST /a {}."},
	    {"list of connection options",
	     "GET /a HTTP/1.1\r\nConnection: TE, Keep-Alive\r\nTE: trailers\r\n\r\n", "GET /a ."},
	    {"headers that do not matter",
	     "GET /a HTTP/1.1\r\nX:\r\nCookie: a=b; c\r\nAccept: */*;q=0.1\r\n\r\n", "GET /a ."},
	    {"expectation",
	     "POST /a HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n{}",
	     "POST /a {}."},
	};
	int failures = 0;

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(cases); i++)
		for (size_t step = 1; step < TEXT_SIZE; step *= 7)
			failures += count_mismatch(
			    cases[i].name, is_answered(cases[i].request, cases[i].expected, step),
			    true);
	assert_int_equal(failures, 0);
}

static void test_path_spellings_accepted(void **state)
{
	static const struct {
		const char *target;
		const char *path;
	} cases[] = {
	    {"/api/jobs/job-1", "/api/jobs/job-1"},
	    {"/api/jobs/job%2D1", "/api/jobs/job-1"},
	    {"/%61%50i/%7e?x", "/aPi/~"},
	    {"/api/jobs/job-1?from=/a%20b", "/api/jobs/job-1"},
	    {"/job-1%2Fabort%2a%3F%00%ff", "/job-1%2Fabort%2a%3F%00%ff"},
	    {"/%zz%4", "/%zz%4"},
	    {"/%", "/%"},
	};

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
		char path[TEXT_SIZE];

		http_target_path(cases[i].target, path);
		assert_string_equal(path, cases[i].path);
	}
}

/* A caller that expects "100 Continue" must not have to wait before it sends the body. */
static void test_continue_sent(void **state)
{
	static const char head[] =
	    "POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
	char text[TEXT_SIZE] = "";
	struct echo echo;
	int fd;

	(void)state;
	echo_start(&echo);
	fd = loopback_connect(&echo.address);
	send_in_steps(&echo, fd, head, sizeof(head));
	for (int i = 0; i < ITERATIONS_MAX && !*text; i++) {
		net_poll(echo.net, ITERATION_WAIT_S);
		recv(fd, text, TEXT_SIZE - 1, MSG_DONTWAIT);
	}
	assert_string_equal(text, "HTTP/1.1 100 Continue\r\n\r\n");
	send_in_steps(&echo, fd, "{}", 1);
	memset(text, 0, sizeof(text));
	receive_answer(&echo, fd, text);
	assert_memory_equal(text, "HTTP/1.1 200", strlen("HTTP/1.1 200"));
	assert_non_null(strstr(text, "POST /a {}."));
	close(fd);
	net_free(echo.net);
}

/* A large body in chunks of one byte is as long as six of its bytes for each one. */
static void test_large_body_in_small_chunks(void **state)
{
	static const char head[] = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
	static const char chunk[] = "1\r\nx\r\n", end[] = "0\r\n\r\n";
	static char request[sizeof(head) + (sizeof(chunk) - 1) * HTTP_BODY_MAX + sizeof(end)];
	char *at = request + sizeof(head) - 1;
	char text[TEXT_SIZE] = "";
	struct echo echo;
	int fd;

	(void)state;
	memcpy(request, head, sizeof(head));
	for (size_t i = 0; i < HTTP_BODY_MAX; i++, at += sizeof(chunk) - 1)
		memcpy(at, chunk, sizeof(chunk));
	memcpy(at, end, sizeof(end));
	echo_start(&echo);
	fd = loopback_connect(&echo.address);
	send_in_steps(&echo, fd, request, 100000);
	for (int i = 0; i < ITERATIONS_MAX && !*text; i++) {
		net_poll(echo.net, ITERATION_WAIT_S);
		recv(fd, text, TEXT_SIZE - 1, MSG_DONTWAIT);
	}
	assert_memory_equal(text, "HTTP/1.1 200", strlen("HTTP/1.1 200"));
	close(fd);
	net_free(echo.net);
}

/* Returns the status of a call whose response has this text; -2 if the call has not ended. */
static int call_answered_with(struct echo *echo, const char *response)
{
	struct net_call call = {
	    .id = 1, .method = "GET", .path = "/a", .body = "", .timeout_s = CALL_TIMEOUT_S};
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	char text[NET_ADDR_MAX];
	int fd;

	assert_int_equal(bind(listener, (struct sockaddr *)&address, length), 0);
	assert_int_equal(listen(listener, 1), 0);
	assert_int_equal(getsockname(listener, (struct sockaddr *)&address, &length), 0);
	snprintf(text, sizeof(text), "127.0.0.1:%d", ntohs(address.sin_port));
	call.addr = text;
	net_send(echo->net, &call);
	fd = accept(listener, NULL, NULL);
	for (const char *at = response; *at; at++) {
		assert_int_equal(send(fd, at, 1, MSG_NOSIGNAL), 1);
		net_poll(echo->net, 0);
	}
	for (int i = 0; i < ITERATIONS_MAX && echo->reply_status == -2; i++)
		net_poll(echo->net, ITERATION_WAIT_S);
	close(fd);
	close(listener);
	return echo->reply_status;
}

static void test_chunked_response_accepted(void **state)
{
	struct echo echo;

	(void)state;
	echo_start(&echo);
	assert_int_equal(call_answered_with(&echo,
					    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
					    "\r\n3\r\n{\"a\r\n4\r\n\":1}\r\n0\r\n\r\n"),
			 200);
	assert_string_equal(echo.reply, "{\"a\":1}.");
	net_free(echo.net);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_request_spellings_accepted),
	    cmocka_unit_test(test_path_spellings_accepted),
	    cmocka_unit_test(test_continue_sent),
	    cmocka_unit_test(test_large_body_in_small_chunks),
	    cmocka_unit_test(test_chunked_response_accepted),
	};

	return cmocka_run_group_tests_name("refused_for_http_spelling", tests, NULL, NULL);
}
