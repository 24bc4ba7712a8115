/* A listening socket: takes callers' connections as far as the limit allows. */
#ifndef PLOVERLOFT_LISTENER_H
#define PLOVERLOFT_LISTENER_H

#include "net/connection.h"
#include "net/connection_limit.h"
#include "net/net.h"
#include "net/server_connections.h"

struct listener {
	struct connection base; /* first: see connection.h; its fd is -1 while it is closed */
	enum net_side side;
};

/* The listener that `base`, of the kind CONNECTION_LISTENER, is the beginning of. */
static inline struct listener *listener_of(struct connection *base)
{
	return (struct listener *)base;
}

/* Leaves the listener closed. */
void listener_init(struct listener *listener, enum net_side side);

/* Listens on "ADDRESS:PORT". 0, or -1 if that cannot be. */
int listener_open(struct listener *listener, struct connection_set *set, const char *address,
		  int backlog);

/* Takes up to NET_ACCEPT_BATCH connections; those above the limit are closed. */
void listener_accept(const struct listener *listener, struct connection_limit *limit,
		     struct server_connections *connections);

/* Closes the socket. */
void listener_free(struct listener *listener);

#endif
