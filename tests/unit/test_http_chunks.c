/*
 * Tests of the decoder of chunked bodies. If it took malformed chunks for a body, or ended a body
 * at another place than the sender, the rest would count as a request of its own.
 */
#include "support.h"

#include <stdlib.h>
#include <string.h>

#include "constants.h"
#include "net/http_chunks.h"
#include "util/xalloc.h"

#define BODY_LIMIT 100 /* bytes */

/* The result of decoding a body. */
struct decoded {
	enum http_result result;
	char body[BODY_LIMIT + 1];
	char rest[BODY_LIMIT + 1]; /* what follows the body */
};

/* Copies `len` bytes as a string, as far as they fit. */
static void copy_text(char *to, const char *from, size_t len)
{
	len = len < BODY_LIMIT ? len : BODY_LIMIT;
	memcpy(to, from, len);
	to[len] = 0;
}

/* Decodes the text as it arrives, `step` bytes at a time. */
static struct decoded decode_in_steps(const char *text, size_t step)
{
	size_t total = strlen(text), received = 0, len = 0, decoded_len = 0;
	char *body = xmalloc(total);
	struct decoded decoded = {.result = HTTP_INCOMPLETE};

	while (decoded.result == HTTP_INCOMPLETE && received < total) {
		size_t more = total - received < step ? total - received : step;

		memcpy(body + len, text + received, more);
		received += more;
		len += more;
		decoded.result = http_chunks_decode(body, &len, &decoded_len, BODY_LIMIT);
	}
	copy_text(decoded.body, body, decoded_len);
	copy_text(decoded.rest, body + decoded_len, len - decoded_len);
	free(body);
	return decoded;
}

static void test_bodies_decoded(void **state)
{
	static const struct {
		const char *text;
		const char *body;
	} cases[] = {
	    {"0\r\n\r\n", ""},
	    {"3\r\nabc\r\n0\r\n\r\n", "abc"},
	    {"1\r\na\r\n1\r\nb\r\n000\r\n\r\n", "ab"},
	    {"A\r\n0123456789\r\n0a;x=\"y\"\r\nabcdefghij\r\n0\r\n\r\n", "0123456789abcdefghij"},
	    {"2 ;x\r\n\r\n\r\n0;last\r\nName: value\r\nOther: 1\r\n\r\n", "\r\n"},
	    {"00000000000000000000000000000001\r\nx\r\n0\r\n\r\n", "x"},
	};

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
		for (size_t step = 1; step <= strlen(cases[i].text); step++) {
			struct decoded decoded = decode_in_steps(cases[i].text, step);

			assert_int_equal(decoded.result, HTTP_OK);
			assert_string_equal(decoded.body, cases[i].body);
			assert_string_equal(decoded.rest, "");
		}
	}
}

static void test_next_message_kept(void **state)
{
	static const char text[] = "1\r\na\r\n0\r\n\r\nGET /";
	struct decoded decoded = decode_in_steps(text, strlen(text));

	(void)state;
	assert_int_equal(decoded.result, HTTP_OK);
	assert_string_equal(decoded.body, "a");
	assert_string_equal(decoded.rest, "GET /");
}

static void test_malformed_chunks_refused(void **state)
{
	static const struct {
		const char *text;
		enum http_result expected;
	} cases[] = {
	    {"\r\n", HTTP_BAD},
	    {"x\r\n", HTTP_BAD},
	    {"-1\r\n", HTTP_BAD},
	    {"+1\r\n", HTTP_BAD},
	    {" 1\r\n", HTTP_BAD},
	    {"0x1\r\n", HTTP_BAD},
	    {"1\na\r\n", HTTP_BAD},
	    {"1\r\nab\r\n", HTTP_BAD},
	    {"1\r\na\n0\r\n\r\n", HTTP_BAD},
	    {"0\r\n\n", HTTP_BAD},
	    {"65\r\n", HTTP_TOO_LARGE},
	    {"ffffffffffffffffffff\r\n", HTTP_TOO_LARGE},
	    {"1\r\na\r\n64\r\n", HTTP_TOO_LARGE},
	    {"3\r\nab", HTTP_INCOMPLETE},
	    {"0\r\n", HTTP_INCOMPLETE},
	};
	int failures = 0;

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(cases); i++)
		for (size_t step = 1; step <= strlen(cases[i].text); step++)
			failures += count_mismatch(cases[i].text,
						   decode_in_steps(cases[i].text, step).result,
						   cases[i].expected);
	assert_int_equal(failures, 0);
}

/* Returns the result of decoding the text `start`, followed by a line without an end. */
static enum http_result decode_endless(const char *start, size_t start_len)
{
	size_t len = HTTP_HEAD_MAX + 100;
	char *body = xmalloc(len);
	size_t decoded_len = 0;
	enum http_result result;

	memset(body, 'a', len);
	memcpy(body, start, start_len);
	result = http_chunks_decode(body, &len, &decoded_len, BODY_LIMIT);
	free(body);
	return result;
}

static void test_endless_lines_refused(void **state)
{
	(void)state;
	assert_int_equal(decode_endless("1;", sizeof("1;") - 1), HTTP_BAD);
	assert_int_equal(decode_endless("0\r\n", sizeof("0\r\n") - 1), HTTP_HEAD_TOO_LARGE);
	assert_int_equal(decode_endless("0\r\na: b\r\n", sizeof("0\r\na: b\r\n") - 1),
			 HTTP_HEAD_TOO_LARGE);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_bodies_decoded),
	    cmocka_unit_test(test_next_message_kept),
	    cmocka_unit_test(test_malformed_chunks_refused),
	    cmocka_unit_test(test_endless_lines_refused),
	};

	return cmocka_run_group_tests_name("http_chunks", tests, NULL, NULL);
}
