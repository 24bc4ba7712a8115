/*
 * The requests of callers: taken from their connections one at a time, handed to the callback, and
 * answered on the same connection.
 */
#ifndef PLOVERLOFT_HTTP_SERVER_H
#define PLOVERLOFT_HTTP_SERVER_H

#include <stddef.h>
#include <stdint.h>

#include "net/connection.h"
#include "net/connection_limit.h"
#include "net/net.h"
#include "net/server_connections.h"

struct http_server {
	struct server_connections *connections;
	struct connection_limit *limit;
	const struct net_ops *ops;
	void *ops_context;
};

/* Handles the events that epoll reported for a connection: a mask of EPOLLIN and others. */
void http_server_handle_events(struct http_server *server, struct server_connection *connection,
			       uint32_t events, enum read_extent extent);

/* See net_answer(). */
void http_server_respond(struct http_server *server, uint64_t connection_id, int status,
			 int retry_after_s, const char *body, size_t body_len);

#endif
