/*
 * The connections that callers (users, agents and other controllers) made. A table finds them by
 * the id with which a request is answered, and a list has them in the order of their last activity.
 */
#ifndef PLOVERLOFT_SERVER_CONNECTIONS_H
#define PLOVERLOFT_SERVER_CONNECTIONS_H

#include <stdint.h>

#include <uthash.h>

#include "net/connection.h"
#include "net/net.h"

/* One connection that a caller made. At most one of its requests is being answered at a time. */
struct server_connection {
	struct connection base; /* must be first, see connection.h */
	uint64_t id;		/* never reused within the process */
	enum net_side side;
	bool awaits_response;	   /* a request was dispatched and is not yet answered */
	bool close_after_response; /* close once the response is sent */
	bool continue_sent;	   /* "100 Continue" was sent for the request under way */
	size_t decoded_len; /* bytes of its chunked body that are decoded, see http_chunks.h */
	/* When the connection was accepted, a request began to arrive or a response was written,
	 * whichever was last. */
	double active_at;
	struct server_connection *prev, *next; /* links of `by_activity`, or of `closed` */
	UT_hash_handle hh;		       /* links of `by_id` */
};

/* The connection whose first member is `base`, which must be of the kind CONNECTION_SERVER. */
static inline struct server_connection *server_connection_of(struct connection *base)
{
	return (struct server_connection *)base;
}

/* All connections that callers made. */
struct server_connections {
	struct connection_set *set;	       /* not owned */
	uint64_t next_id;		       /* id of the next connection */
	struct server_connection *by_activity; /* list, the least recently active first */
	struct server_connection *by_id;       /* hash table */
	struct server_connection *closed;      /* freed at the end of the event-loop iteration */
};

/* Initialises an empty table. `set` must outlive it. */
void server_connections_init(struct server_connections *connections, struct connection_set *set);

/* Closes and frees all connections. */
void server_connections_free(struct server_connections *connections);

/* Adds a connection that was accepted on the listening socket of `side`, and takes ownership of its
 * socket `fd`. */
struct server_connection *server_connections_add(struct server_connections *connections, int fd,
						 enum net_side side);

/* The open connection with this id; NULL if there is none. */
struct server_connection *server_connections_find(const struct server_connections *connections,
						  uint64_t id);

/* Records activity on the connection at the present time. */
void server_connection_mark_active(struct server_connections *connections,
				   struct server_connection *connection);

/* Closes the connection if it is open. Its memory remains valid until
 * server_connections_free_closed(). */
void server_connection_close(struct server_connections *connections,
			     struct server_connection *connection);

/* The connection without a request or response under way whose last activity is longest ago; NULL
 * if there is none. */
struct server_connection *
server_connections_longest_idle(const struct server_connections *connections);

/*
 * Closes the connections that have been idle for more than `idle_max_s` seconds (a value below
 * NET_MESSAGE_TIMEOUT_S has the effect of NET_MESSAGE_TIMEOUT_S). Also closes the connections on
 * which, after more than NET_MESSAGE_TIMEOUT_S, a request is only partly received or the caller has
 * not read all of a response. A connection stays open while its request is being answered.
 */
void server_connections_close_timed_out(struct server_connections *connections, double now,
					double idle_max_s);

/* Frees the closed connections. To be called when no event that epoll reported can point to them
 * any more. */
void server_connections_free_closed(struct server_connections *connections);

#endif
