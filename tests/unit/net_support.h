/* Loops and connections over the loopback interface, for the tests of the network code. */
#ifndef PLOVERLOFT_UNIT_NET_SUPPORT_H
#define PLOVERLOFT_UNIT_NET_SUPPORT_H

#include <netinet/in.h>

#include "constants.h"
#include "net/net.h"

#define READY_REQUEST "GET /ready HTTP/1.1\r\n\r\n"
#define CALL_TIMEOUT_S 5 /* of the calls that tests make: far more than they take */
#define IDLE_S 60	 /* no connection of a test idles that long */

/* An address on the loopback interface, as the socket calls and as net_call take it. */
struct loopback_address {
	struct sockaddr_in socket;
	char text[NET_ADDR_MAX];
};

/* Listens on a free port and returns its address. */
struct loopback_address loopback_listen(struct net *net, enum net_side side);

/* A connection to the address, which the caller closes. */
int loopback_connect(const struct loopback_address *address);

/* A loop that answers each request with status 200 and "{}", and counts what it sees. */
struct test_server {
	struct net *net;
	struct loopback_address address;
	int requests; /* that came from callers */
	int replies;  /* of status 200, to calls of its own */
};

/* Listens for users and workers, with sockets for `callers` of them. */
void test_server_start(struct test_server *server, int callers);
void test_server_stop(struct test_server *server);

/* Lets the loop handle what came, `turns` times. */
void test_server_turn(struct test_server *server, int turns);

#endif
