/*
 * Parses HTTP/1.1 requests and responses. The parser allocates no memory: its results point into
 * the caller's data. It keeps no state: an incomplete message is parsed again from its start when
 * more of it has been received.
 */
#ifndef PLOVERLOFT_HTTP_H
#define PLOVERLOFT_HTTP_H

#include <stddef.h>

#define HTTP_METHOD_SIZE 8 /* bytes of a method, with its NUL */

/* The kind of message to parse. */
enum http_message_kind { HTTP_REQUEST = 0, HTTP_RESPONSE = 1 };

/* The result of parsing a message. */
enum http_result {
	HTTP_INCOMPLETE,     /* the message is incomplete so far */
	HTTP_OK,	     /* the message is complete */
	HTTP_CHUNKED,	     /* the head is complete; http_chunks_decode decodes the body */
	HTTP_BAD,	     /* not a message of HTTP/1.x, or its length is ambiguous */
	HTTP_TOO_LARGE,	     /* the body is longer than the caller allows */
	HTTP_HEAD_TOO_LARGE, /* the head exceeds HTTP_HEAD_MAX */
	HTTP_UNSUPPORTED     /* the body has a transfer encoding other than chunked */
};

/* A parsed message. */
struct http_msg {
	char method[HTTP_METHOD_SIZE]; /* method of a request */
	const char *path; /* path and query of a request: `path_len` bytes without a NUL */
	size_t path_len;
	int expects_continue; /* 1: the sender waits for "100 Continue" before it sends the body */
	int status;	      /* status of a response */
	int is_version_1_0;   /* 1: a message of HTTP/1.0; else 0 */
	int close;	      /* 1: the sender closes the connection after this exchange; else 0 */
	size_t head_len;      /* bytes of the message before its body */
	const char *body;     /* `body_len` bytes without a NUL */
	size_t body_len;
};

/*
 * Parses the message at the start of `data`, of which `len` bytes have been received. On HTTP_OK,
 * `msg` is filled in: the message has head_len + body_len bytes, and the pointers are valid as long
 * as `data` is. On HTTP_CHUNKED, `msg` is filled in but for its body. On HTTP_INCOMPLETE, head_len
 * is 0 if the head is incomplete; else only the body is. With any other result the contents of
 * `msg` are undefined. A body of more than `max_body` bytes is too large.
 */
enum http_result http_parse(struct http_msg *msg, const char *data, size_t len,
			    enum http_message_kind kind, size_t max_body);

/* The reason phrase of a status, a static string. "Status" for a status that is never sent. */
const char *http_reason(int status);

#endif
