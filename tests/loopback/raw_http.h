/* Requests whose bytes a test chooses, over sockets of its own, while the stand-ins run. */
#ifndef PLOVERLOFT_RAW_HTTP_H
#define PLOVERLOFT_RAW_HTTP_H

#include <stdbool.h>
#include <stddef.h>

#include "loopback/loopback.h"

/* Bytes of an answer that are kept, with a NUL. */
#define RAW_ANSWER_MAX 2048

/* The answer to a request. */
struct raw_answer {
	int status; /* 0: none came in time, or the connection was closed before */
	char text[RAW_ANSWER_MAX];
	double after_s; /* time from the request's last byte to the answer */
};

/* Returns a nonblocking socket that is connected to the address "127.0.0.1:PORT"; -1 on failure,
 * which is printed. */
int raw_connect(const char *address);

/* Sends as much as the socket takes at once. Returns whether that was all. */
bool raw_send(int fd, const char *bytes, size_t len);

/* Sends a request in pieces of up to `piece` bytes, and waits for the answer for `timeout_s`. */
struct raw_answer raw_exchange(struct loopback *loopback, int fd, const char *request, size_t len,
			       size_t piece, double timeout_s);

/* Sends the request in one piece on a connection of its own. */
struct raw_answer raw_request(struct loopback *loopback, int controller, const char *request,
			      size_t len, double timeout_s);

#endif
