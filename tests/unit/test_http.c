/*
 * Tests of the HTTP parser with malformed, incomplete, oversized and randomly changed messages.
 *
 * Any bytes may arrive on a socket. If the parser accepted a request whose length is ambiguous, the
 * rest of its body would be taken for the next request; if it read beyond the received bytes, the
 * controller could crash. The sanitizers report such reads.
 */
#include "support.h"

#include <stdlib.h>
#include <string.h>

#include "constants.h"
#include "net/http.h"
#include "util/xalloc.h"

#define BODY_LIMIT 1000 /* bytes */

/* Parses a copy in a block of exactly the message's size: the sanitizers report reads beyond it. */
static enum http_result parse_bytes(struct http_msg *message, const char *bytes, size_t length,
				    enum http_message_kind kind)
{
	char *copy = xmalloc(length);
	enum http_result result;

	memcpy(copy, bytes, length);
	result = http_parse(message, copy, length, kind, BODY_LIMIT);
	free(copy);
	return result;
}

static enum http_result parse_text(struct http_msg *message, const char *text,
				   enum http_message_kind kind)
{
	return parse_bytes(message, text, strlen(text), kind);
}

struct request_case {
	const char *name;
	const char *text;
	enum http_result expected;
};

/* Returns the number of requests whose result is not the expected one, and prints each of them. */
static int count_wrong_results(const struct request_case *cases, size_t count)
{
	struct http_msg message;
	int failures = 0;

	for (size_t i = 0; i < count; i++)
		failures +=
		    count_mismatch(cases[i].name, parse_text(&message, cases[i].text, HTTP_REQUEST),
				   cases[i].expected);
	return failures;
}

static void test_request_accepted(void **state)
{
	static const struct request_case cases[] = {
	    {"absolute URL", "GET http://x/ HTTP/1.1\r\n\r\n", HTTP_OK},
	    {"absolute URL without a path", "GET HTTP://x:80 HTTP/1.1\r\n\r\n", HTTP_OK},
	    {"chunked body", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	     HTTP_CHUNKED},
	    {"CRLF line ends", "GET / HTTP/1.1\r\n\r\n", HTTP_OK},
	    {"LF line ends", "GET / HTTP/1.1\n\n", HTTP_OK},
	    {"body", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", HTTP_OK},
	};

	(void)state;
	assert_int_equal(count_wrong_results(cases, ARRAY_LENGTH(cases)), 0);
}

static void test_request_incomplete(void **state)
{
	static const struct request_case cases[] = {
	    {"body cut off", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", HTTP_INCOMPLETE},
	    {"empty lines", "\r\n\r\n", HTTP_INCOMPLETE},
	    {"header cut off", "POST /a HTTP/1.1\r\nContent-Le", HTTP_INCOMPLETE},
	};

	(void)state;
	assert_int_equal(count_wrong_results(cases, ARRAY_LENGTH(cases)), 0);
}

static void test_request_body_length_refused(void **state)
{
	static const struct request_case cases[] = {
	    {"two lengths",
	     "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", HTTP_BAD},
	    {"negative length", "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", HTTP_BAD},
	    {"exponent in length", "POST /a HTTP/1.1\r\nContent-Length: 1e3\r\n\r\n", HTTP_BAD},
	    {"empty length", "POST /a HTTP/1.1\r\nContent-Length: \r\n\r\n", HTTP_BAD},
	    {"length out of range",
	     "POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", HTTP_BAD},
	    {"length above the limit", "POST /a HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
	     HTTP_TOO_LARGE},
	    {"length and chunked body",
	     "POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	     HTTP_BAD},
	    {"chunked body and length",
	     "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
	     HTTP_BAD},
	    {"chunked body of HTTP/1.0",
	     "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", HTTP_BAD},
	    {"chunked twice",
	     "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
	     HTTP_UNSUPPORTED},
	    {"other encoding", "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
	     HTTP_UNSUPPORTED},
	    {"lengths in a list", "POST /a HTTP/1.1\r\nContent-Length: 3, 4\r\n\r\nabcd", HTTP_BAD},
	    {"zeros and a length out of range",
	     "POST /a HTTP/1.1\r\nContent-Length: 00000000000009999999999999\r\n\r\n", HTTP_BAD},
	};

	(void)state;
	assert_int_equal(count_wrong_results(cases, ARRAY_LENGTH(cases)), 0);
}

static void test_request_line_refused(void **state)
{
	static const struct request_case cases[] = {
	    {"other version", "GET / HTTP/2.0\r\n\r\n", HTTP_BAD},
	    {"fourth word", "GET / HTTP/1.1 x\r\n\r\n", HTTP_BAD},
	    {"two spaces", "GET  / HTTP/1.1\r\n\r\n", HTTP_BAD},
	    {"lower-case method", "get / HTTP/1.1\r\n\r\n", HTTP_BAD},
	    {"absolute URL without an authority", "GET http:///a HTTP/1.1\r\n\r\n", HTTP_BAD},
	    {"absolute URL of another scheme", "GET https://x/ HTTP/1.1\r\n\r\n", HTTP_BAD},
	    {"space in an absolute URL", "GET http://x/ a HTTP/1.1\r\n\r\n", HTTP_BAD},
	    {"no path", "GET x HTTP/1.1\r\n\r\n", HTTP_BAD},
	    {"version without a digit", "GET / HTTP/1.x\r\n\r\n", HTTP_BAD},
	    {"control character in path", "GET /\x01 HTTP/1.1\r\n\r\n", HTTP_BAD},
	    {"TLS handshake", "\x16\x03\x01\x02\n", HTTP_BAD},
	    {"long method", "METHODTOOLONG / HTTP/1.1\r\n\r\n", HTTP_BAD},
	};

	(void)state;
	assert_int_equal(count_wrong_results(cases, ARRAY_LENGTH(cases)), 0);
}

static void test_request_header_refused(void **state)
{
	static const struct request_case cases[] = {
	    {"empty name", "GET / HTTP/1.1\r\n: v\r\n\r\n", HTTP_BAD},
	    {"no colon", "GET / HTTP/1.1\r\nno colon\r\n\r\n", HTTP_BAD},
	    {"folded line", "GET / HTTP/1.1\r\n folded: v\r\n\r\n", HTTP_BAD},
	    {"space in name", "GET / HTTP/1.1\r\nA b: v\r\n\r\n", HTTP_BAD},
	};

	(void)state;
	assert_int_equal(count_wrong_results(cases, ARRAY_LENGTH(cases)), 0);
}

static void test_request_nul_in_path_refused(void **state)
{
	static const char bytes[] = "GET /\0x HTTP/1.1\r\n\r\n";
	struct http_msg message;

	(void)state;
	assert_int_equal(parse_bytes(&message, bytes, sizeof(bytes) - 1, HTTP_REQUEST), HTTP_BAD);
}

/* For a request that is cut off at any byte the parser asks for more, and never accepts it. */
static void test_request_prefixes_ask_for_more(void **state)
{
	static const char text[] = "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
	struct http_msg message;
	int failures = 0;

	(void)state;
	/* A row's name is the part of the request that is missing. */
	for (size_t length = 0; length < strlen(text); length++)
		failures +=
		    count_mismatch(text + length, parse_bytes(&message, text, length, HTTP_REQUEST),
				   HTTP_INCOMPLETE);
	assert_int_equal(failures, 0);
	assert_int_equal(parse_text(&message, text, HTTP_REQUEST), HTTP_OK);
	assert_int_equal(message.body_len, 4);
}

/* Parses `start` followed by a line without an end, which together exceed the head's limit. */
static enum http_result parse_endless(const char *start, size_t start_length)
{
	size_t length = HTTP_HEAD_MAX + 100;
	char *bytes = xmalloc(length);
	struct http_msg message;
	enum http_result result;

	memset(bytes, 'a', length);
	memcpy(bytes, start, start_length);
	result = http_parse(&message, bytes, length, HTTP_REQUEST, BODY_LIMIT);
	free(bytes);
	return result;
}

static void test_endless_line_refused(void **state)
{
	(void)state;
	assert_int_equal(parse_endless("", 0), HTTP_HEAD_TOO_LARGE);
}

static void test_endless_header_refused(void **state)
{
	static const char start[] = "GET / HTTP/1.1\r\nX: ";

	(void)state;
	assert_int_equal(parse_endless(start, sizeof(start) - 1), HTTP_HEAD_TOO_LARGE);
}

static void test_response_accepted(void **state)
{
	struct http_msg message;

	(void)state;
	assert_int_equal(
	    parse_text(&message,
		       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}",
		       HTTP_RESPONSE),
	    HTTP_OK);
	assert_int_equal(message.status, 200);
	assert_true(message.close);
}

static void test_response_bad_status_refused(void **state)
{
	struct http_msg message;

	(void)state;
	assert_int_equal(parse_text(&message, "HTTP/1.1 2x0 OK\r\n\r\n", HTTP_RESPONSE), HTTP_BAD);
}

static void test_response_without_status_refused(void **state)
{
	struct http_msg message;

	(void)state;
	assert_int_equal(parse_text(&message, "HTTP/1.1\r\n\r\n", HTTP_RESPONSE), HTTP_BAD);
}

#define MUTATIONS 20000
#define BYTES_CHANGED 3 /* in each mutated request */

/*
 * Random bytes of a valid request are changed. Each result is valid, as long as the parser does not
 * read out of bounds; some of the requests must be accepted and some not.
 */
static void test_mutated_requests_accepted_or_refused(void **state)
{
	static const char text[] =
	    "POST /api/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
	const size_t length = strlen(text);
	unsigned short seed[3] = {1, 2, 3};
	char mutated[sizeof(text)];
	struct http_msg message;
	int accepted = 0;

	(void)state;
	for (int i = 0; i < MUTATIONS; i++) {
		memcpy(mutated, text, sizeof(text));
		for (int k = 0; k < BYTES_CHANGED; k++) {
			size_t position = (size_t)(erand48(seed) * (double)length);

			mutated[position] = (char)(erand48(seed) * 256);
		}
		accepted += parse_bytes(&message, mutated, length, HTTP_REQUEST) == HTTP_OK;
	}
	assert_in_range(accepted, 1, MUTATIONS - 1);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_request_accepted),
	    cmocka_unit_test(test_request_incomplete),
	    cmocka_unit_test(test_request_body_length_refused),
	    cmocka_unit_test(test_request_line_refused),
	    cmocka_unit_test(test_request_header_refused),
	    cmocka_unit_test(test_request_nul_in_path_refused),
	    cmocka_unit_test(test_request_prefixes_ask_for_more),
	    cmocka_unit_test(test_endless_line_refused),
	    cmocka_unit_test(test_endless_header_refused),
	    cmocka_unit_test(test_response_accepted),
	    cmocka_unit_test(test_response_bad_status_refused),
	    cmocka_unit_test(test_response_without_status_refused),
	    cmocka_unit_test(test_mutated_requests_accepted_or_refused),
	};

	return cmocka_run_group_tests_name("http", tests, NULL, NULL);
}
