/*
 * The connections that callers made: users, agents, other controllers. They are kept by the id
 * that requests are answered under, and by how long they have been silent.
 */
#ifndef PLOVERLOFT_SERVER_CONNECTIONS_H
#define PLOVERLOFT_SERVER_CONNECTIONS_H

#include <stdint.h>

#include <uthash.h>

#include "net/connection.h"
#include "net/net.h"

struct server_connection {
	struct connection base; /* first: see connection.h */
	uint64_t id;		/* not used again within the process */
	enum net_side side;
	bool awaits_response;	   /* a request was dispatched */
	bool close_after_response; /* once the response is sent */
	double active_at;	   /* when a message began to come, or a response was given */
	struct server_connection *prev, *next; /* by activity; once closed: the closed ones */
	UT_hash_handle hh;		       /* by id */
};

/* The connection that `base`, of the kind CONNECTION_SERVER, is the beginning of. */
static inline struct server_connection *server_connection_of(struct connection *base)
{
	return (struct server_connection *)base;
}

struct server_connections {
	struct connection_set *set; /* not owned */
	uint64_t next_id;
	struct server_connection *by_activity; /* list, the least recently active first */
	struct server_connection *by_id;       /* hash */
	struct server_connection *closed;      /* list; freed at the end of the iteration */
};

/* No connections; `set` outlives them. */
void server_connections_init(struct server_connections *connections, struct connection_set *set);

/* Closes and frees all connections. */
void server_connections_free(struct server_connections *connections);

/* Takes over the socket `fd` of a caller that came in on `side`. */
struct server_connection *server_connections_add(struct server_connections *connections, int fd,
						 enum net_side side);

/* The open connection with this id, or NULL. */
struct server_connection *server_connections_find(const struct server_connections *connections,
						  uint64_t id);

/* The connection was active just now. */
void server_connection_touch(struct server_connections *connections,
			     struct server_connection *connection);

/* Closes the connection if it is open. Its memory stays until server_connections_reap(). */
void server_connection_close(struct server_connections *connections,
			     struct server_connection *connection);

/* The longest silent of those on which no request and no response is under way, or NULL. */
struct server_connection *
server_connections_longest_idle(const struct server_connections *connections);

/*
 * Closes those that have been idle for more than `idle_max_s` seconds, and those on which a request
 * is half received, or a response is not taken, for more than NET_MESSAGE_TIMEOUT_S.
 */
void server_connections_close_silent(struct server_connections *connections, double now,
				     double idle_max_s);

/* Frees the closed ones. No event may be pending for them any more. */
void server_connections_reap(struct server_connections *connections);

#endif
