/*
 * The pool of connections that we made for our own calls. A connection carries one call at a time.
 * Between calls it is kept open, for the next call to the same endpoint.
 */
#ifndef PLOVERLOFT_CLIENT_POOL_H
#define PLOVERLOFT_CLIENT_POOL_H

#include <stdint.h>

#include <uthash.h>

#include "constants.h"
#include "net/connection.h"

struct sockaddr_in;

/* The state of a connection. */
enum client_state {
	CLIENT_CONNECTING, /* not yet established; a call waits until it is */
	CLIENT_CALLING,	   /* established, and a call is being sent or waits for its response */
	CLIENT_IDLE	   /* established, without a call */
};

/* An address to which calls are made. It is freed when its last reference is released. */
struct endpoint {
	char address[NET_ADDR_MAX];
	struct client_connection *idle; /* list, the most recently used first */
	int references;	   /* connections to the endpoint, and references held by callers */
	UT_hash_handle hh; /* links of the pool's `endpoints` */
};

/* One connection that we made for our own calls. */
struct client_connection {
	struct connection base; /* must be first, see connection.h */
	enum client_state state;
	uint64_t call_id;   /* id of the call under way */
	size_t decoded_len; /* bytes of its chunked response that are decoded, see http_chunks.h */
	double deadline_at; /* when the call under way ends without a reply */
	double idle_since;  /* when the last call ended; valid while idle */
	struct endpoint *endpoint;
	/* Links of the pool's `calls`, the endpoint's `idle`, or the pool's `closed`. */
	struct client_connection *prev, *next;
	struct client_connection *idle_prev, *idle_next; /* links of the pool's `idle` */
};

/* The connection whose first member is `base`, which must be of the kind CONNECTION_CLIENT. */
static inline struct client_connection *client_connection_of(struct connection *base)
{
	return (struct client_connection *)base;
}

/* The connections to all endpoints. */
struct client_pool {
	struct connection_set *set;	  /* not owned */
	struct endpoint *endpoints;	  /* hash table by address */
	struct client_connection *calls;  /* list of the connections with a call under way */
	struct client_connection *idle;	  /* list over all endpoints, the longest idle first */
	struct client_connection *closed; /* list, freed at the end of the event-loop iteration */
};

/* Initialises an empty pool. `set` must outlive it. */
void client_pool_init(struct client_pool *pool, struct connection_set *set);

/* Closes and frees all connections. Calls under way end without their callback. */
void client_pool_free(struct client_pool *pool);

/* Returns the endpoint of the address, with a reference for the caller. Creates the endpoint if
 * there is none. client_pool_release_endpoint() releases the reference. */
struct endpoint *client_pool_acquire_endpoint(struct client_pool *pool, const char *address);
/* Releases a reference to the endpoint. The endpoint is freed with its last reference. */
void client_pool_release_endpoint(struct client_pool *pool, struct endpoint *endpoint);

/* Removes and returns an idle connection to the endpoint; NULL if there is none. The caller must
 * call client_pool_begin_call() next. */
struct client_connection *client_pool_pop_idle(struct client_pool *pool, struct endpoint *endpoint);

/* Starts a new connection to the endpoint; returns NULL if that fails at once. The caller must call
 * client_pool_begin_call() next. */
struct client_connection *client_pool_connect(struct client_pool *pool, struct endpoint *endpoint,
					      const struct sockaddr_in *address);

/* Assigns a call to a connection that client_pool_pop_idle() or client_pool_connect() returned. */
void client_pool_begin_call(struct client_pool *pool, struct client_connection *connection,
			    uint64_t call_id, double deadline_at);

/* Makes the connection idle after the end of its call. The caller has already removed the response
 * from the input buffer. */
void client_pool_end_call(struct client_pool *pool, struct client_connection *connection);

/* The head of the list of connections with a call under way, linked by `next`; NULL if no call is
 * under way. */
struct client_connection *client_pool_calls(const struct client_pool *pool);

/* The connection that has been idle longest; NULL if none is idle. */
struct client_connection *client_pool_longest_idle(const struct client_pool *pool);

/* Closes the connection if it is open. Its memory remains valid until client_pool_free_closed(). */
void client_pool_close(struct client_pool *pool, struct client_connection *connection);

/* Closes the connections that have been idle for more than NET_CLIENT_IDLE_MAX_S. */
void client_pool_close_idle(struct client_pool *pool, double now);

/* Frees the closed connections. To be called when no event that epoll reported can point to them
 * any more. */
void client_pool_free_closed(struct client_pool *pool);

#endif
