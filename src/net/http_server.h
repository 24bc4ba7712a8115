/*
 * The server side of HTTP: reads callers' requests from their connections, passes them to the
 * callback one at a time for each connection, and sends the responses.
 */
#ifndef PLOVERLOFT_HTTP_SERVER_H
#define PLOVERLOFT_HTTP_SERVER_H

#include <stddef.h>
#include <stdint.h>

#include "net/connection.h"
#include "net/connection_limit.h"
#include "net/net.h"
#include "net/server_connections.h"

/* The parts of the network layer that the server side uses. The pointers are not owned. */
struct http_server {
	struct server_connections *connections;
	struct connection_limit *limit;
	const struct net_callbacks *callbacks;
	void *callback_context; /* `ctx` of the callbacks */
	uint64_t rejected;	/* requests rejected as malformed or too large */
	uint64_t unlogged;	/* of those, the ones since the last line of the log */
	double rejection_logged_at;
};

/* Handles the events that epoll reported for a connection. `events` is a mask of EPOLLIN and
 * others; `extent` tells how far the connection is read. */
void http_server_handle_events(struct http_server *server, struct server_connection *connection,
			       uint32_t events, enum read_extent extent);

/* Answers the request that arrived on a connection, as net_answer() does. */
void http_server_respond(struct http_server *server, uint64_t connection_id, int status,
			 int retry_after_s, const char *body, size_t body_len);

#endif
