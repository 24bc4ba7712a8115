/*
 * The client side of HTTP: sends our own calls on connections of the pool, and passes the responses
 * to the callback.
 */
#ifndef PLOVERLOFT_HTTP_CLIENT_H
#define PLOVERLOFT_HTTP_CLIENT_H

#include <stdint.h>

#include "net/client_pool.h"
#include "net/connection_limit.h"
#include "net/net.h"

/* The parts of the network layer that the client side uses. The pointers are not owned. */
struct http_client {
	struct client_pool *pool;
	struct connection_limit *limit;
	const struct net_callbacks *callbacks;
	void *callback_context; /* `ctx` of the callbacks */
};

/* Sends a call as net_send() does. If sending fails at once, the callback runs before the function
 * returns. */
void http_client_send(struct http_client *client, const struct net_call *call);

/* Handles the events that epoll reported for a connection. `events` is a mask of EPOLLIN and
 * others. */
void http_client_handle_events(struct http_client *client, struct client_connection *connection,
			       uint32_t events);

/* Ends the calls whose deadline is `now` or earlier, and closes their connections. */
void http_client_expire_calls(struct http_client *client, double now);

#endif
