/*
 * HTTP/1.1 messages: one incremental parser for requests and responses. It allocates nothing; what
 * it finds points into the caller's data.
 */
#ifndef PLOVERLOFT_HTTP_H
#define PLOVERLOFT_HTTP_H

#include <stddef.h>

#define HTTP_METHOD_SIZE 8 /* bytes of a method, with its NUL */

enum http_message_kind { HTTP_REQUEST = 0, HTTP_RESPONSE = 1 };

enum http_result {
	HTTP_MORE, /* the message is not complete yet */
	HTTP_OK,
	HTTP_BAD,      /* no message of HTTP/1.x, a head above HTTP_HEAD_MAX, or a chunked body */
	HTTP_TOO_LARGE /* the body is longer than the caller takes */
};

struct http_msg {
	char method[HTTP_METHOD_SIZE]; /* requests */
	const char *path; /* requests: path and query, `path_len` bytes, not terminated */
	size_t path_len;
	int status;	  /* responses */
	int close;	  /* whether the sender closes the connection after this exchange */
	size_t head_len;  /* bytes before the body */
	const char *body; /* `body_len` bytes, not terminated */
	size_t body_len;
};

/*
 * Parses the message that begins at `data`, of which `len` bytes are there. On HTTP_OK all of `msg`
 * is set, and the message takes head_len + body_len bytes; the pointers are valid as long as `data`
 * is. With other results the contents of `msg` mean nothing. Bodies above `max_body` bytes are too
 * large.
 */
enum http_result http_parse(struct http_msg *msg, const char *data, size_t len,
			    enum http_message_kind kind, size_t max_body);

/* The reason phrase of a status, as a constant string; "Status" for those that are never sent. */
const char *http_reason(int status);

#endif
