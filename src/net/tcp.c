/* Opens, connects and accepts non-blocking TCP sockets over IPv4. */
#include "net/tcp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "constants.h"

#define TCP_PORT_MAX 65535

int tcp_address_parse(const char *text, struct sockaddr_in *address)
{
	char host[NET_ADDR_MAX];
	const char *colon = strrchr(text, ':');
	size_t host_len;
	long port;

	if (!colon)
		return -1;
	host_len = (size_t)(colon - text);
	if (host_len >= sizeof(host))
		return -1;
	memcpy(host, text, host_len);
	host[host_len] = 0;
	port = strtol(colon + 1, NULL, 10);
	if (port <= 0 || port > TCP_PORT_MAX)
		return -1;
	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, host, &address->sin_addr) == 1 ? 0 : -1;
}

static int open_socket(void)
{
	return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

int tcp_listen(const struct sockaddr_in *address, int backlog)
{
	const int enabled = 1;
	int fd = open_socket();

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) || listen(fd, backlog)) {
		close(fd);
		return -1;
	}
	return fd;
}

int tcp_accept(int listener_fd)
{
	return accept4(listener_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

int tcp_connect(const struct sockaddr_in *address)
{
	int fd = open_socket();

	if (fd < 0)
		return -1;
	tcp_set_no_delay(fd);
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

int tcp_connect_failed(int fd)
{
	int error = 0;
	socklen_t len = sizeof(error);

	getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len);
	return error != 0;
}

void tcp_set_no_delay(int fd)
{
	const int enabled = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}
