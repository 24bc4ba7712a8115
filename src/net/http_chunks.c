/* Decodes chunked bodies. Extensions of chunks and trailer fields are ignored. */
#include "net/http_chunks.h"

#include <stdbool.h>
#include <string.h>

#include "constants.h"

#define LINE_END "\r\n"
#define LINE_END_LEN (sizeof(LINE_END) - 1)
#define HEX_BASE 16

/* One chunk, as offsets in the body. */
struct chunk {
	size_t data_at; /* where its data begin */
	size_t size;	/* bytes of its data; 0: the last chunk */
};

/* Returns the value of a hexadecimal digit, or -1. */
static int digit_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/* Finds the end of the line that begins at `at` and may have `max` bytes. Sets `*next` to the
 * offset behind the line. */
static enum http_result find_line_end(const char *body, size_t len, size_t at, size_t max,
				      size_t *next)
{
	const char *newline = memchr(body + at, '\n', len - at);
	size_t line_len = newline ? (size_t)(newline - body) - at : len - at;

	if (line_len > max)
		return HTTP_HEAD_TOO_LARGE;
	if (!newline)
		return HTTP_INCOMPLETE;
	if (!line_len || newline[-1] != '\r')
		return HTTP_BAD;
	*next = at + line_len + 1;
	return HTTP_OK;
}

/* Whether `c` may follow the size of a chunk: an extension, blanks before one, or the line's end.
 */
static bool ends_size(char c)
{
	return c == ';' || c == ' ' || c == '\t' || c == '\r';
}

/* Parses the line "SIZE[;EXTENSIONS]" at the offset `at`. */
static enum http_result parse_chunk_line(const char *body, size_t len, size_t at, size_t max_body,
					 struct chunk *chunk)
{
	enum http_result result =
	    find_line_end(body, len, at, HTTP_CHUNK_LINE_MAX, &chunk->data_at);
	size_t digit = at;

	if (result != HTTP_OK)
		return result == HTTP_HEAD_TOO_LARGE ? HTTP_BAD : result;
	chunk->size = 0;
	for (; digit_value(body[digit]) >= 0; digit++) {
		chunk->size = chunk->size * HEX_BASE + (size_t)digit_value(body[digit]);
		if (chunk->size > max_body)
			return HTTP_TOO_LARGE;
	}
	return digit > at && ends_size(body[digit]) ? HTTP_OK : HTTP_BAD;
}

/* Checks that the chunk is complete and its data end with the end of a line. */
static enum http_result check_chunk_data(const char *body, size_t len, const struct chunk *chunk)
{
	size_t received = len - chunk->data_at;

	if (received < chunk->size + LINE_END_LEN)
		return HTTP_INCOMPLETE;
	if (memcmp(body + chunk->data_at + chunk->size, LINE_END, LINE_END_LEN) != 0)
		return HTTP_BAD;
	return HTTP_OK;
}

/* Skips the trailer at `*at`, up to the empty line behind it. */
static enum http_result skip_trailer(const char *body, size_t len, size_t *at)
{
	size_t begin = *at, line, next = begin;
	enum http_result result;

	do {
		line = next;
		result = find_line_end(body, len, line, HTTP_HEAD_MAX - (line - begin), &next);
	} while (result == HTTP_OK && next - line > LINE_END_LEN && next - begin <= HTTP_HEAD_MAX);
	if (result == HTTP_OK && next - line > LINE_END_LEN)
		return HTTP_HEAD_TOO_LARGE;
	if (result == HTTP_OK)
		*at = next;
	return result;
}

enum http_result http_chunks_decode(char *body, size_t *len, size_t *decoded, size_t max_body)
{
	size_t at = *decoded;
	struct chunk chunk;
	enum http_result result;

	for (;;) {
		result = parse_chunk_line(body, *len, at, max_body - *decoded, &chunk);
		if (result != HTTP_OK || !chunk.size)
			break;
		result = check_chunk_data(body, *len, &chunk);
		if (result != HTTP_OK)
			break;
		memmove(body + *decoded, body + chunk.data_at, chunk.size);
		*decoded += chunk.size;
		at = chunk.data_at + chunk.size + LINE_END_LEN;
	}
	if (result == HTTP_OK) {
		size_t end = chunk.data_at;

		result = skip_trailer(body, *len, &end);
		if (result == HTTP_OK)
			at = end;
	}
	memmove(body + *decoded, body + at, *len - at);
	*len -= at - *decoded;
	return result;
}
