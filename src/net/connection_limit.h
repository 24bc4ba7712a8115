/*
 * Bounds the number of open connections, and selects the connection to close when the bound is
 * reached: the one that has been idle longest, our own before callers'. A connection with a request
 * or response under way is never closed for another one.
 */
#ifndef PLOVERLOFT_CONNECTION_LIMIT_H
#define PLOVERLOFT_CONNECTION_LIMIT_H

#include <stdbool.h>

#include "net/client_pool.h"
#include "net/connection.h"
#include "net/server_connections.h"

/* The limit and the connections that it is applied to. */
struct connection_limit {
	int max; /* maximum number of open connections; NET_CONNS_RESERVED of them for our own calls
		  * only */
	/* The sets of connections are not owned. */
	const struct connection_set *set;
	struct server_connections *servers;
	struct client_pool *clients;
};

/*
 * Returns true if one more connection of this kind may be opened. If the limit is reached, an idle
 * connection is closed to admit the new one; if no connection is idle, this is logged and false is
 * returned.
 */
bool connection_limit_admit(struct connection_limit *limit, enum connection_kind kind);

/*
 * Called for each response to a caller. Returns true if the caller's connection should be closed
 * after the response, because nearly all sockets for callers are in use. If a connection of our own
 * is idle, that one is closed instead and false is returned.
 */
bool connection_limit_should_close_caller(struct connection_limit *limit);

#endif
