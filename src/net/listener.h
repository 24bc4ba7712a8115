/* A listening socket, which accepts callers' connections as far as the connection limit allows. */
#ifndef PLOVERLOFT_LISTENER_H
#define PLOVERLOFT_LISTENER_H

#include "net/connection.h"
#include "net/connection_limit.h"
#include "net/net.h"
#include "net/server_connections.h"

struct listener {
	struct connection base; /* must be first, see connection.h; its fd is -1 while closed */
	enum net_side side;
};

/* The listener whose first member is `base`, which must be of the kind CONNECTION_LISTENER. */
static inline struct listener *listener_of(struct connection *base)
{
	return (struct listener *)base;
}

/* Initialises a listener without a socket. listener_open() makes it listen. */
void listener_init(struct listener *listener, enum net_side side);

/* Listens on "ADDRESS:PORT". Returns 0, or -1 if the address is malformed or cannot be listened on.
 * `backlog` is the number of connections that can wait to be accepted. */
int listener_open(struct listener *listener, struct connection_set *set, const char *address,
		  int backlog);

/* Accepts up to NET_ACCEPT_BATCH connections. The first connection that the limit does not admit is
 * closed; the connections behind it keep waiting. */
void listener_accept(const struct listener *listener, struct connection_limit *limit,
		     struct server_connections *connections);

/* Closes the socket, if there is one. */
void listener_free(struct listener *listener);

#endif
