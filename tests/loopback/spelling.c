/* Draws the spellings of messages, see spelling.h. */
#include "loopback/spelling.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define UNKNOWN_DEPTH_MAX 5   /* levels of a random unknown value */
#define DEEP_NESTING 200      /* levels of an unknown value that is nested deeply */
#define DEEP_SHARE 20	      /* one of so many unknown values is nested deeply */
#define MEMBERS_MAX 64	      /* members of an object, with the unknown ones */
#define UNKNOWN_MEMBERS_MAX 4 /* unknown members that are added to an object */
#define CHUNK_MAX 700	      /* bytes of a chunk of a body */
#define UNREADABLE_SHARE 4    /* one of so many unknown values can't be kept by a program */
#define ESCAPED_SHARE 6	      /* one of so many characters is escaped */

/* Legal values that many programs can't keep. */
static const char *const unreadable_values[] = {
    "18446744073709551615",
    "-9223372036854775809",
    "123456789012345678901234567890",
    "1e400",
    "-1E+999",
    "0.1e-999",
    "\"\\u0000\"",
    "\"a\\ud800\"",
    "\"\\udfff\\ud83d\"",
    "{\"a\":1,\"a\":{\"a\":2,\"a\":3}}",
    "[[],{\"\":\"\"},[{}]]",
    "\"\\/\\b\\f\\n\\r\\t\\\"\\\\\"",
};

size_t spelling_draw(struct spelling *spelling, size_t count)
{
	return (size_t)(erand48(spelling->seed) * (double)count);
}

static void add(struct buf *out, const char *text)
{
	buf_add(out, text, strlen(text));
}

static bool one_in(struct spelling *spelling, size_t count)
{
	return spelling_draw(spelling, count) == 0;
}

static const char *draw_text(struct spelling *spelling, const char *const *texts, size_t count)
{
	return texts[spelling_draw(spelling, count)];
}

#define DRAW(spelling, texts) draw_text((spelling), (texts), sizeof(texts) / sizeof(*(texts)))

/* --- JSON --- */

static void add_blanks(struct spelling *spelling, struct buf *out)
{
	static const char *const blanks[] = {"", "", "", " ", "\t", "\r\n", " \n  "};

	add(out, DRAW(spelling, blanks));
}

/* Appends the text in quotes, with random escapes. It has only characters of ASCII. */
static void add_text(struct spelling *spelling, struct buf *out, const char *text)
{
	bool escapes = one_in(spelling, 2);

	add(out, "\"");
	for (; *text; text++) {
		const char *format = one_in(spelling, 2) ? "\\u%04x" : "\\u%04X";

		if (escapes && one_in(spelling, ESCAPED_SHARE))
			buf_addf(out, format, (unsigned)*text);
		else
			buf_addf(out, "%c", *text);
	}
	add(out, "\"");
}

static void add_integer(struct spelling *spelling, struct buf *out, long long value)
{
	static const char *const endings[] = {"", "", ".0", ".000", "e0", "E+0", "0e-1", "00E-02"};
	static const char *const zeros[] = {"0", "-0", "0.0", "0e5", "0E-05", "-0.000"};

	if (value)
		buf_addf(out, "%lld%s", value, DRAW(spelling, endings));
	else
		add(out, DRAW(spelling, zeros));
}

static void add_real(struct spelling *spelling, struct buf *out, double value)
{
	if (value == (double)(long long)value)
		add_integer(spelling, out, (long long)value);
	else if (one_in(spelling, 2))
		buf_addf(out, "%.17g", value);
	else
		buf_addf(out, "%.17E", value);
}

static void add_deep_nesting(struct buf *out)
{
	for (int i = 0; i < DEEP_NESTING; i++)
		add(out, i % 2 ? "[" : "{\"x\":");
	add(out, "0");
	for (int i = DEEP_NESTING - 1; i >= 0; i--)
		add(out, i % 2 ? "]" : "}");
}

static void add_unknown_scalar(struct spelling *spelling, struct buf *out)
{
	static const char *const scalars[] = {"null", "true",	      "false",	  "-7",
					      "1.25", "\"日本語 ✓\"", "\"job-1\""};

	add_blanks(spelling, out);
	if (one_in(spelling, UNREADABLE_SHARE))
		add(out, DRAW(spelling, unreadable_values));
	else
		add(out, DRAW(spelling, scalars));
	add_blanks(spelling, out);
}

/* Replaces the value in `value` by a list or an object that holds it and another one. Inside an
 * unknown value, also the names of known fields mean nothing. */
static void wrap_value(struct spelling *spelling, struct buf *value)
{
	static const char *const names[] = {"uid", "partes", "compasso", "x", "", "größe"};
	struct buf inner = *value;
	bool is_list = one_in(spelling, 2);

	*value = (struct buf){0};
	if (is_list)
		add(value, "[");
	else
		buf_addf(value, "{\"%s\":", DRAW(spelling, names));
	add_unknown_scalar(spelling, value);
	if (is_list)
		add(value, ",");
	else
		buf_addf(value, ",\"%s\":", DRAW(spelling, names));
	buf_add(value, buf_contents(&inner), inner.len);
	add(value, is_list ? "]" : "}");
	buf_free(&inner);
}

static void add_unknown_value(struct spelling *spelling, struct buf *out)
{
	size_t depth = spelling_draw(spelling, UNKNOWN_DEPTH_MAX + 1);
	struct buf value = {0};

	if (one_in(spelling, DEEP_SHARE))
		add_deep_nesting(&value);
	else
		add_unknown_scalar(spelling, &value);
	for (size_t i = 0; i < depth; i++)
		wrap_value(spelling, &value);
	buf_add(out, buf_contents(&value), value.len);
	buf_free(&value);
}

/* Appends a member that no receiver knows. Its name may stand in the object already. */
static void add_unknown_member(struct spelling *spelling, struct buf *out)
{
	static const char *const names[] = {"x_labels", "x_text",  "größe", "\\ud800", "Uid",
					    "uid ",	"\\u0000", "",	    "x.uid"};

	buf_addf(out, "\"%s\":", DRAW(spelling, names));
	add_unknown_value(spelling, out);
}

static void add_scalar(struct spelling *spelling, struct buf *out, const json_t *value)
{
	if (json_is_string(value))
		add_text(spelling, out, json_string_value(value));
	else if (json_is_integer(value))
		add_integer(spelling, out, json_integer_value(value));
	else if (json_is_real(value))
		add_real(spelling, out, json_real_value(value));
	else if (json_is_boolean(value))
		add(out, json_is_true(value) ? "true" : "false");
	else
		add(out, "null");
}

static void add_list(struct spelling *spelling, struct buf *out, const json_t *list)
{
	const json_t *value;
	size_t i;

	add(out, "[");
	json_array_foreach (list, i, value) {
		add(out, i ? "," : "");
		add_blanks(spelling, out);
		add_scalar(spelling, out, value);
	}
	add(out, "]");
}

/* Appends a member of the object; NULL: an unknown one. */
static void add_member(struct spelling *spelling, struct buf *out, const json_t *object,
		       const char *name)
{
	const json_t *value;

	add_blanks(spelling, out);
	if (!name) {
		add_unknown_member(spelling, out);
		return;
	}
	add_text(spelling, out, name);
	add_blanks(spelling, out);
	add(out, ":");
	add_blanks(spelling, out);
	value = json_object_get(object, name);
	if (json_is_array(value))
		add_list(spelling, out, value);
	else
		add_scalar(spelling, out, value);
	add_blanks(spelling, out);
}

static void shuffle(struct spelling *spelling, const char **names, size_t count)
{
	for (size_t i = count; i > 1; i--) {
		size_t other = spelling_draw(spelling, i);
		const char *name = names[i - 1];

		names[i - 1] = names[other];
		names[other] = name;
	}
}

void spelling_add_object(struct spelling *spelling, struct buf *out, const json_t *object)
{
	const char *names[MEMBERS_MAX];
	size_t unknown = spelling_draw(spelling, UNKNOWN_MEMBERS_MAX + 1), count = 0;
	const char *name;
	json_t *value;

	json_object_foreach ((json_t *)object, name, value)
		names[count++] = name;
	for (size_t i = 0; i < unknown; i++)
		names[count++] = NULL;
	shuffle(spelling, names, count);
	add(out, "{");
	for (size_t i = 0; i < count; i++) {
		add(out, i ? "," : "");
		add_member(spelling, out, object, names[i]);
	}
	add(out, "}");
}

void spelling_add_broken(struct spelling *spelling, struct buf *out, const json_t *object)
{
	static const char *const inserted[] = {"\x01", "\xff", "\xc0\xaf", "\xed\xa0\x80"};
	static const char *const appended[] = {"x", "}", "{}", ",", "\"", "//"};
	static const char *const first[] = {
	    "'x':1,",	  "x:1,",	"\"x\" 1,",   "\"x\":01,",   "\"x\":.5,",      "\"x\":1.,",
	    "\"x\":+1,",  "\"x\":NaN,", "\"x\":0x1,", "\"x\":[1,],", "\"x\":\"\\x\",", ",",
	    "\"x\":tru,", "\"x\":,",	"\"x\":[}],", "/**/"};
	char *text = json_dumps(object, JSON_COMPACT);
	size_t len = strlen(text), at = spelling_draw(spelling, len);

	switch (spelling_draw(spelling, 4)) {
	case 0: /* cut off */
		buf_add(out, text, at);
		break;
	case 1:
		buf_addf(out, "%.*s%s%s", (int)at, text, DRAW(spelling, inserted), text + at);
		break;
	case 2:
		buf_addf(out, "%s%s", text, DRAW(spelling, appended));
		break;
	default:
		buf_addf(out, "{%s%s", DRAW(spelling, first), text + 1);
	}
	free(text);
}

/* --- HTTP --- */

/* Appends the name of a header in random upper and lower case, and the colon. */
static void add_header_name(struct spelling *spelling, struct buf *out, const char *name)
{
	static const char *const blanks[] = {"", " ", "\t", "  "};

	for (; *name; name++)
		buf_addf(out, "%c", one_in(spelling, 2) ? toupper(*name) : tolower(*name));
	buf_addf(out, ":%s", DRAW(spelling, blanks));
}

/* Appends the path with random percent-encoding of its letters. */
static void add_path(struct spelling *spelling, struct buf *out, const char *path)
{
	bool encodes = one_in(spelling, 4);

	for (; *path; path++) {
		if (encodes && isalpha((unsigned char)*path) && one_in(spelling, ESCAPED_SHARE))
			buf_addf(out, "%%%02X", (unsigned)*path);
		else
			buf_addf(out, "%c", *path);
	}
}

static void add_chunks(struct spelling *spelling, struct buf *out, const struct buf *body)
{
	static const char *const extensions[] = {"", "", "", ";a", " ;a=\"b c\""};
	size_t chunk_max = 1 + spelling_draw(spelling, CHUNK_MAX);
	const char *bytes = buf_contents(body);

	for (size_t sent = 0, len; sent < body->len; sent += len) {
		len = 1 + spelling_draw(spelling, chunk_max);
		len = body->len - sent < len ? body->len - sent : len;
		buf_addf(out, one_in(spelling, 2) ? "%zx" : "%04zX", len);
		buf_addf(out, "%s\r\n", DRAW(spelling, extensions));
		buf_add(out, bytes + sent, len);
		add(out, "\r\n");
	}
	add(out, one_in(spelling, 2) ? "0\r\n\r\n" : "000\r\nX-Trailer: 1\r\n\r\n");
}

void spelling_add_request(struct spelling *spelling, struct buf *out, const char *path,
			  const struct buf *body)
{
	static const char *const targets[] = {"", "", "http://10.0.0.1:8080", "HTTP://x"};
	static const char *const queries[] = {"", "", "?", "?retry=1&x=%20"};
	bool is_chunked = one_in(spelling, 3);

	add(out, one_in(spelling, 6) ? "\r\nPOST " : "POST ");
	add(out, DRAW(spelling, targets));
	add_path(spelling, out, path);
	buf_addf(out, "%s HTTP/1.1\r\n", DRAW(spelling, queries));
	add_header_name(spelling, out, "Host");
	add(out, "x \r\n");
	if (one_in(spelling, 3))
		add(out, "Connection: TE, keep-alive\r\nX-Empty:\r\nAccept: */*;q=0.1\r\n");
	if (one_in(spelling, 5))
		add(out, "expect: 100-continue\r\n");
	add_header_name(spelling, out, is_chunked ? "Transfer-Encoding" : "Content-Length");
	if (is_chunked)
		add(out, one_in(spelling, 2) ? "chunked\r\n\r\n" : "Chunked \r\n\r\n");
	else
		buf_addf(out, one_in(spelling, 2) ? "%zu\r\n\r\n" : "%020zu\r\n\r\n", body->len);
	if (is_chunked)
		add_chunks(spelling, out, body);
	else if (body->len)
		buf_add(out, buf_contents(body), body->len);
}

void spelling_add_plain_request(struct buf *out, const char *path, const struct buf *body)
{
	buf_addf(out, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n", path,
		 body->len);
	if (body->len)
		buf_add(out, buf_contents(body), body->len);
}
