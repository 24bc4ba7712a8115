/* Sends requests byte by byte if need be, and receives their answers. */
#include "loopback/raw_http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define STEP_S 0.002 /* seconds for which the stand-ins run between two looks at the socket */
#define STATUS_LINE_PREFIX "HTTP/1.1 "
#define INTERIM_ANSWER "HTTP/1.1 100 Continue\r\n\r\n"

int raw_connect(const char *address)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	const char *colon = strchr(address, ':');
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int at_once = 1;

	to.sin_port = htons((uint16_t)atoi(colon + 1));
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || connect(fd, (struct sockaddr *)&to, sizeof(to)) ||
	    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &at_once, sizeof(at_once)) ||
	    fcntl(fd, F_SETFL, O_NONBLOCK)) {
		fprintf(stderr, "cannot connect to %s: %s\n", address, strerror(errno));
		return -1;
	}
	return fd;
}

bool raw_send(int fd, const char *bytes, size_t len)
{
	return send(fd, bytes, len, MSG_NOSIGNAL) == (ssize_t)len;
}

/* Sends all bytes, unless the other side closes the connection. */
static void send_pieces(struct loopback *loopback, int fd, const char *bytes, size_t len,
			size_t piece)
{
	for (size_t sent = 0; sent < len;) {
		size_t next = len - sent < piece ? len - sent : piece;
		ssize_t taken = send(fd, bytes + sent, next, MSG_NOSIGNAL);

		if (taken < 0 && errno != EAGAIN)
			return;
		sent += taken > 0 ? (size_t)taken : 0;
		if (taken < 0)
			loopback_run(loopback, STEP_S);
	}
}

/* Whether `text` has a whole answer: its head, and a body, which ends in a brace. */
static bool is_complete(const char *text)
{
	const char *body = strstr(text, "\r\n\r\n");
	size_t len = strlen(text);

	return body && len && text[len - 1] == '}';
}

/* Removes an interim answer from the start of the text. */
static void remove_interim(char *text, size_t *len)
{
	size_t interim = strlen(INTERIM_ANSWER);

	if (*len < interim || memcmp(text, INTERIM_ANSWER, interim) != 0)
		return;
	memmove(text, text + interim, *len - interim + 1);
	*len -= interim;
}

static void receive(struct loopback *loopback, int fd, struct raw_answer *answer, double timeout_s)
{
	double started_at = net_now();
	size_t len = 0;
	ssize_t received = -1;

	errno = EAGAIN;
	while (!is_complete(answer->text) && net_now() - started_at < timeout_s &&
	       (received > 0 || errno == EAGAIN) && received != 0) {
		loopback_run(loopback, STEP_S);
		received = recv(fd, answer->text + len, sizeof(answer->text) - 1 - len, 0);
		len += received > 0 ? (size_t)received : 0;
		answer->text[len] = 0;
		remove_interim(answer->text, &len);
	}
	answer->after_s = net_now() - started_at;
	if (is_complete(answer->text))
		answer->status = atoi(answer->text + strlen(STATUS_LINE_PREFIX));
}

struct raw_answer raw_exchange(struct loopback *loopback, int fd, const char *request, size_t len,
			       size_t piece, double timeout_s)
{
	struct raw_answer answer = {0};

	send_pieces(loopback, fd, request, len, piece);
	receive(loopback, fd, &answer, timeout_s);
	return answer;
}

struct raw_answer raw_request(struct loopback *loopback, int controller, const char *request,
			      size_t len, double timeout_s)
{
	struct raw_answer answer = {0};
	int fd = raw_connect(loopback->controllers[controller].front);

	if (fd < 0)
		return answer;
	answer = raw_exchange(loopback, fd, request, len, len, timeout_s);
	close(fd);
	return answer;
}
