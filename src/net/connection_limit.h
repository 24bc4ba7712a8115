/*
 * How many connections may be open at once, and which are closed when that many are: the least
 * recently used, our own before callers'. A connection that is in use is never closed for another.
 */
#ifndef PLOVERLOFT_CONNECTION_LIMIT_H
#define PLOVERLOFT_CONNECTION_LIMIT_H

#include <stdbool.h>

#include "net/client_pool.h"
#include "net/connection.h"
#include "net/server_connections.h"

struct connection_limit {
	int max; /* connections, NET_CONNS_RESERVED of them for our own calls alone */
	const struct connection_set *set;
	struct server_connections *servers;
	struct client_pool *clients;
};

/*
 * Whether one more connection of this kind may be opened. If need be another is closed for it; if
 * none is idle, that is logged and the answer is no.
 */
bool connection_limit_admit(struct connection_limit *limit, enum connection_kind kind);

/*
 * Called with each response to a caller. Returns whether that caller is to be disconnected after
 * it, because nearly all sockets for callers are in use; where one of our own is idle, that is
 * closed instead.
 */
bool connection_limit_sheds_caller(struct connection_limit *limit);

#endif
