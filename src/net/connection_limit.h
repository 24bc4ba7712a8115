/*
 * How many connections may be open at once, and which are closed when that many are. Those that
 * have been idle longest give way, our own before callers'; a connection that is in use never does.
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
 * To be asked with each answer to a caller: whether the caller is to be told to connect anew,
 * because nearly all sockets for callers are in use. An idle connection of our own is closed in
 * place of that.
 */
bool connection_limit_sheds_caller(struct connection_limit *limit);

#endif
