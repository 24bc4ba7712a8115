/*
 * Parses HTTP/1.1 messages line by line, by RFC 9112. A message with contradicting lengths, or with
 * both a length and a transfer encoding, is rejected: otherwise it could count as two messages
 * (request smuggling).
 */
#include "net/http.h"

#include <ctype.h>
#include <stdbool.h>
#include <string.h>
#include <strings.h>

#include "constants.h"

#define VERSION_PREFIX "HTTP/1."
#define VERSION_LEN (sizeof(VERSION_PREFIX "1") - 1)
#define SCHEME_PREFIX "http://"
#define ASCII_DELETE 0x7f
#define STATUS_DIGITS 3
#define STATUS_LINE_LEN_MIN (VERSION_LEN + 1 + STATUS_DIGITS)
/* Maximum number of digits of a Content-Length: it allows lengths far above each limit on bodies,
 * but far below an overflow of size_t. */
#define CONTENT_LENGTH_DIGITS_MAX 12

/* A part of the message: `len` bytes from `at`, without a NUL. */
struct span {
	const char *at;
	size_t len;
};

/* Facts from the headers parsed so far that struct http_msg does not contain. */
struct header_state {
	bool has_length;
	bool is_chunked;
	bool has_unsupported_encoding;
};

/* The bytes from `from` to before `to`. */
static struct span span_between(const char *from, const char *to)
{
	return (struct span){from, (size_t)(to - from)};
}

/* `whole` without its first `len` bytes. */
static struct span span_after(struct span whole, size_t len)
{
	return (struct span){whole.at + len, whole.len - len};
}

/* True if the span is `text`, ignoring case. */
static bool span_is(struct span span, const char *text)
{
	return span.len == strlen(text) && !strncasecmp(span.at, text, span.len);
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* The span without the blanks at both ends. */
static struct span span_trim(struct span span)
{
	while (span.len && is_blank(span.at[0]))
		span = span_after(span, 1);
	while (span.len && is_blank(span.at[span.len - 1]))
		span.len--;
	return span;
}

/* True if the span has only printable ASCII characters and no space. */
static bool is_visible(struct span span)
{
	for (size_t i = 0; i < span.len; i++)
		if ((unsigned char)span.at[i] <= ' ' || (unsigned char)span.at[i] >= ASCII_DELETE)
			return false;
	return true;
}

/* True if the span starts with '/' and has no spaces or control characters. Bytes beyond ASCII are
 * allowed here, since the handler of the request rejects them. */
static bool is_path(struct span span)
{
	for (size_t i = 0; i < span.len; i++)
		if ((unsigned char)span.at[i] <= ' ' || span.at[i] == ASCII_DELETE)
			return false;
	return span.len > 0 && span.at[0] == '/';
}

/*
 * Reduces a target in absolute form, "http://AUTHORITY/PATH", to its path and query. A target in
 * another form stays as it is.
 */
static struct span remove_authority(struct span target)
{
	size_t prefix = strlen(SCHEME_PREFIX);
	struct span rest;
	size_t authority = 0;

	if (target.len <= prefix || strncasecmp(target.at, SCHEME_PREFIX, prefix))
		return target;
	rest = span_after(target, prefix);
	while (authority < rest.len && rest.at[authority] != '/' && rest.at[authority] != '?')
		authority++;
	if (!authority)
		return target;
	if (authority == rest.len || rest.at[authority] == '?')
		return (struct span){"/", 1};
	return span_after(rest, authority);
}

/* Parses "HTTP/1.x" with any digit. With 1.0 the sender closes the connection after the exchange,
 * unless a later Connection header says keep-alive. */
static int parse_version(struct http_msg *msg, struct span version)
{
	char minor;

	if (version.len != VERSION_LEN ||
	    memcmp(version.at, VERSION_PREFIX, strlen(VERSION_PREFIX)))
		return -1;
	minor = version.at[VERSION_LEN - 1];
	msg->is_version_1_0 = minor == '0';
	msg->close = msg->is_version_1_0;
	return isdigit((unsigned char)minor) ? 0 : -1;
}

/* Parses a method, which consists of upper-case letters. */
static int parse_method(struct http_msg *msg, struct span method)
{
	if (method.len == 0 || method.len >= sizeof(msg->method))
		return -1;
	for (size_t i = 0; i < method.len; i++)
		if (!isupper((unsigned char)method.at[i]))
			return -1;
	memcpy(msg->method, method.at, method.len);
	msg->method[method.len] = 0;
	return 0;
}

/* Parses "METHOD TARGET HTTP/1.x". */
static int parse_request_line(struct http_msg *msg, struct span line)
{
	const char *end = line.at + line.len;
	const char *method_end = memchr(line.at, ' ', line.len);
	const char *path_end;
	struct span path;

	if (!method_end || parse_method(msg, span_between(line.at, method_end)))
		return -1;
	path_end = memchr(method_end + 1, ' ', (size_t)(end - method_end - 1));
	if (!path_end)
		return -1;
	path = remove_authority(span_between(method_end + 1, path_end));
	if (!is_path(path))
		return -1;
	msg->path = path.at;
	msg->path_len = path.len;
	return parse_version(msg, span_between(path_end + 1, end));
}

/* Parses "HTTP/1.x NNN". The minor version may be any character, and any text may follow. */
static int parse_status_line(struct http_msg *msg, struct span line)
{
	const char *digits;

	if (line.len < STATUS_LINE_LEN_MIN ||
	    memcmp(line.at, VERSION_PREFIX, strlen(VERSION_PREFIX)) || line.at[VERSION_LEN] != ' ')
		return -1;
	digits = line.at + VERSION_LEN + 1;
	for (int i = 0; i < STATUS_DIGITS; i++) {
		if (!isdigit((unsigned char)digits[i]))
			return -1;
		msg->status = msg->status * 10 + (digits[i] - '0');
	}
	msg->is_version_1_0 = line.at[VERSION_LEN - 1] == '0';
	msg->close = msg->is_version_1_0;
	return 0;
}

/* Parses a decimal number without sign or blanks. */
static int parse_length(struct span digits, size_t *out)
{
	size_t length = 0;

	while (digits.len > 1 && digits.at[0] == '0')
		digits = span_after(digits, 1);
	if (digits.len == 0 || digits.len > CONTENT_LENGTH_DIGITS_MAX)
		return -1;
	for (size_t i = 0; i < digits.len; i++) {
		if (!isdigit((unsigned char)digits.at[i]))
			return -1;
		length = length * 10 + (size_t)(digits.at[i] - '0');
	}
	*out = length;
	return 0;
}

/* Parses a Content-Length. Repeated headers of this name must be equal, else the message could
 * count as two. */
static int parse_content_length(struct http_msg *msg, struct header_state *state, struct span value)
{
	size_t length;

	if (parse_length(value, &length) || (state->has_length && length != msg->body_len))
		return -1;
	state->has_length = true;
	msg->body_len = length;
	return 0;
}

/* Removes the next element of a comma-separated list from the front of `list`, and sets `element`
 * to it without blanks. Returns false at the end of the list. */
static bool next_element(struct span *list, struct span *element)
{
	const char *comma;

	if (!list->len)
		return false;
	comma = memchr(list->at, ',', list->len);
	*element = span_trim(comma ? span_between(list->at, comma) : *list);
	*list = comma ? span_after(*list, (size_t)(comma - list->at) + 1)
		      : span_after(*list, list->len);
	return true;
}

/* Parses the options of a Connection header. Those that do not matter here are ignored. */
static void parse_connection(struct http_msg *msg, struct span value)
{
	struct span option;

	while (next_element(&value, &option)) {
		if (span_is(option, "close"))
			msg->close = 1;
		else if (span_is(option, "keep-alive"))
			msg->close = 0;
	}
}

/* Parses a Transfer-Encoding, of which only "chunked", given once, is supported. */
static void parse_transfer_encoding(struct header_state *state, struct span value)
{
	if (!span_is(value, "chunked") || state->is_chunked)
		state->has_unsupported_encoding = true;
	state->is_chunked = true;
}

/* Parses "NAME: VALUE". Headers that do not matter here are ignored. */
static int parse_header(struct http_msg *msg, struct header_state *state, struct span line)
{
	const char *colon = memchr(line.at, ':', line.len);
	struct span name, value;

	if (!colon || colon == line.at)
		return -1;
	name = span_between(line.at, colon);
	if (!is_visible(name))
		return -1;
	value = span_trim(span_after(line, name.len + 1));
	if (span_is(name, "content-length"))
		return parse_content_length(msg, state, value);
	if (span_is(name, "transfer-encoding"))
		parse_transfer_encoding(state, value);
	else if (span_is(name, "connection"))
		parse_connection(msg, value);
	else if (span_is(name, "expect") && span_is(value, "100-continue"))
		msg->expects_continue = !msg->is_version_1_0;
	return 0;
}

/*
 * Removes the next line from the front of `rest`, and sets `line` to it without its LF or CR LF.
 * Returns HTTP_INCOMPLETE if the line is incomplete, and HTTP_HEAD_TOO_LARGE if it ends more than
 * HTTP_HEAD_MAX bytes after `head`, where the message starts.
 */
static enum http_result next_line(const char *head, struct span *rest, struct span *line)
{
	const char *newline = memchr(rest->at, '\n', rest->len);

	if (!newline)
		return (size_t)(rest->at - head) + rest->len > HTTP_HEAD_MAX ? HTTP_HEAD_TOO_LARGE
									     : HTTP_INCOMPLETE;
	if ((size_t)(newline - head) > HTTP_HEAD_MAX)
		return HTTP_HEAD_TOO_LARGE;
	*line = span_between(rest->at, newline);
	*rest = span_after(*rest, line->len + 1);
	if (line->len && line->at[line->len - 1] == '\r')
		line->len--;
	return HTTP_OK;
}

/* Parses the first line. A request may come after empty lines. */
static enum http_result parse_start_line(struct http_msg *msg, const char *head, struct span *rest,
					 enum http_message_kind kind)
{
	struct span line;
	enum http_result result = next_line(head, rest, &line);
	int refused;

	while (kind == HTTP_REQUEST && result == HTTP_OK && !line.len)
		result = next_line(head, rest, &line);
	if (result != HTTP_OK)
		return result;
	if (kind == HTTP_RESPONSE)
		refused = parse_status_line(msg, line);
	else
		refused = parse_request_line(msg, line);
	return refused ? HTTP_BAD : HTTP_OK;
}

/* Parses the headers up to the empty line behind them. */
static enum http_result parse_headers(struct http_msg *msg, struct header_state *state,
				      const char *head, struct span *rest)
{
	struct span line;
	enum http_result result;

	while ((result = next_line(head, rest, &line)) == HTTP_OK && line.len)
		if (parse_header(msg, state, line))
			return HTTP_BAD;
	return result;
}

enum http_result http_parse(struct http_msg *msg, const char *data, size_t len,
			    enum http_message_kind kind, size_t max_body)
{
	struct header_state state = {0};
	struct span rest = {data, len};
	enum http_result result;

	memset(msg, 0, sizeof(*msg));
	result = parse_start_line(msg, data, &rest, kind);
	if (result == HTTP_OK)
		result = parse_headers(msg, &state, data, &rest);
	if (result != HTTP_OK)
		return result;
	if (state.is_chunked && (state.has_length || msg->is_version_1_0))
		return HTTP_BAD;
	if (state.has_unsupported_encoding)
		return HTTP_UNSUPPORTED;
	msg->head_len = (size_t)(rest.at - data);
	msg->body = rest.at;
	if (state.is_chunked)
		return HTTP_CHUNKED;
	if (msg->body_len > max_body)
		return HTTP_TOO_LARGE;
	return rest.len >= msg->body_len ? HTTP_OK : HTTP_INCOMPLETE;
}

const char *http_reason(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 201:
		return "Created";
	case 400:
		return "Bad Request";
	case 404:
		return "Not Found";
	case 405:
		return "Method Not Allowed";
	case 413:
		return "Payload Too Large";
	case 414:
		return "URI Too Long";
	case 421:
		return "Misdirected Request";
	case 422:
		return "Unprocessable Entity";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 501:
		return "Not Implemented";
	case 503:
		return "Service Unavailable";
	default:
		return "Status";
	}
}
