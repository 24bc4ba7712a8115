/* Servers and connections on the loopback interface. See net_support.h. */
#include "net_support.h"

#include "support.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time that one event-loop iteration waits for events. */
#define ITERATION_WAIT_S 0.001

/*
 * Returns an address whose port was free a moment ago. Listening on port 0 would not do, because
 * net_listen does not say which port the system assigned.
 */
static struct sockaddr_in free_port(void)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_true(fd >= 0);
	assert_int_equal(bind(fd, (struct sockaddr *)&address, length), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &length), 0);
	close(fd);
	return address;
}

struct loopback_address loopback_listen(struct net *net, enum net_side side)
{
	struct loopback_address address = {.socket = free_port()};

	snprintf(address.text, sizeof(address.text), "127.0.0.1:%d",
		 ntohs(address.socket.sin_port));
	assert_int_equal(net_listen(net, side, address.text), 0);
	return address;
}

int loopback_connect(const struct loopback_address *address)
{
	const struct sockaddr *to = (const struct sockaddr *)&address->socket;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_true(fd >= 0);
	assert_int_equal(connect(fd, to, sizeof(address->socket)), 0);
	return fd;
}

static void answer_request(void *context, uint64_t connection, enum net_side side,
			   const char *method, const char *path, const char *body, size_t length)
{
	struct test_server *server = context;

	(void)side, (void)method, (void)path, (void)body, (void)length;
	server->requests++;
	if (server->delays_answers)
		return;
	net_answer(server->net, connection, 200, 0, "{}", 2);
}

static void count_reply(void *context, uint64_t id, int status, const char *body, size_t length)
{
	struct test_server *server = context;

	(void)id, (void)body, (void)length;
	server->replies += status == 200;
}

static void count_closed(void *context, uint64_t connection)
{
	struct test_server *server = context;

	(void)connection;
	server->closed++;
}

void test_server_start(struct test_server *server, int callers)
{
	static const struct net_callbacks callbacks = {
	    .request = answer_request, .reply = count_reply, .closed = count_closed};

	*server = (struct test_server){0};
	server->net = net_new(&callbacks, server, callers + NET_CONNS_RESERVED, IDLE_S);
	server->address = loopback_listen(server->net, NET_FRONT);
}

void test_server_stop(struct test_server *server)
{
	net_free(server->net);
}

void test_server_iterate(struct test_server *server, int iterations)
{
	for (int i = 0; i < iterations; i++)
		net_poll(server->net, ITERATION_WAIT_S);
}
