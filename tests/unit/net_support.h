/* Helpers for tests of the network code: servers and connections on the loopback interface. */
#ifndef PLOVERLOFT_UNIT_NET_SUPPORT_H
#define PLOVERLOFT_UNIT_NET_SUPPORT_H

#include <netinet/in.h>
#include <stdbool.h>

#include "constants.h"
#include "net/net.h"

#define READY_REQUEST "GET /ready HTTP/1.1\r\n\r\n"
/* Timeout of the calls that tests make: far more than a call takes. */
#define CALL_TIMEOUT_S 5
/* Time after which an idle connection is closed: longer than any test, so that it never happens. */
#define IDLE_S 60

/* An address on the loopback interface, in the forms that socket calls and struct net_call take. */
struct loopback_address {
	struct sockaddr_in socket;
	char text[NET_ADDR_MAX];
};

/* Lets `net` listen for one side on a free port of the loopback interface. Returns the address. */
struct loopback_address loopback_listen(struct net *net, enum net_side side);

/* Returns the socket of a new connection to the address. The caller closes it. */
int loopback_connect(const struct loopback_address *address);

/* An event loop that answers each request with status 200 and "{}", and counts messages. */
struct test_server {
	struct net *net;
	struct loopback_address address;
	int requests;	     /* requests received from callers */
	int replies;	     /* replies with status 200 to the server's own calls */
	int closed;	     /* connections that callers closed before their request was answered */
	bool delays_answers; /* requests are not answered */
};

/* Starts a server that listens for users and agents, with sockets for `callers` connections. */
void test_server_start(struct test_server *server, int callers);
/* Closes the server's connections and frees its event loop. */
void test_server_stop(struct test_server *server);

/* Runs the given number of event-loop iterations. Each handles the events that have arrived. */
void test_server_iterate(struct test_server *server, int iterations);

#endif
