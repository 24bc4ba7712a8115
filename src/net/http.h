/* HTTP/1.1 messages: one incremental parser for requests and responses, without allocation. */
#ifndef PLOVERLOFT_HTTP_H
#define PLOVERLOFT_HTTP_H

#include <stddef.h>

enum http_result { HTTP_MORE, HTTP_OK, HTTP_BAD, HTTP_TOO_LARGE };

struct http_msg {
	char method[8];
	const char *path;
	size_t path_len;
	int status;
	int close;
	size_t head_len;
	size_t body_len;
	const char *body;
};

/* Reads one message from the start of `data`; head_len + body_len bytes are its own on HTTP_OK. */
enum http_result http_parse(struct http_msg *m, const char *data, size_t len, int response,
			    size_t max_body);
const char *http_reason(int status);

#endif
