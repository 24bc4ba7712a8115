/*
 * The connections that we made for our own calls. One call is under way on a connection at a time;
 * without one it is kept for the next call to the same endpoint.
 */
#ifndef PLOVERLOFT_CLIENT_POOL_H
#define PLOVERLOFT_CLIENT_POOL_H

#include <stdint.h>

#include <uthash.h>

#include "constants.h"
#include "net/connection.h"

struct sockaddr_in;

enum client_state {
	CLIENT_CONNECTING, /* a call waits for the connection to come about */
	CLIENT_CALLING,	   /* a call was sent, at least in part */
	CLIENT_IDLE
};

/* An address that we call. It is freed with the last that refers to it. */
struct endpoint {
	char address[NET_ADDR_MAX];
	struct client_connection *idle; /* list, the most recently used first */
	int references;			/* its connections, and client_pool_hold_endpoint() */
	UT_hash_handle hh;		/* by address */
};

struct client_connection {
	struct connection base; /* first: see connection.h */
	enum client_state state;
	uint64_t call_id;   /* of the call under way */
	double deadline_at; /* when that is given up */
	double idle_since;  /* when the last call ended */
	struct endpoint *endpoint;
	/* Of the calls under way, of the endpoint's idle connections, or of the closed ones. */
	struct client_connection *prev, *next;
	struct client_connection *idle_prev, *idle_next; /* of the idle ones of all endpoints */
};

/* The connection that `base`, of the kind CONNECTION_CLIENT, is the beginning of. */
static inline struct client_connection *client_connection_of(struct connection *base)
{
	return (struct client_connection *)base;
}

struct client_pool {
	struct connection_set *set;	  /* not owned */
	struct endpoint *endpoints;	  /* hash */
	struct client_connection *calls;  /* list of those with a call under way */
	struct client_connection *idle;	  /* list, the longest idle first */
	struct client_connection *closed; /* list; freed at the end of the iteration */
};

/* An empty pool; the connection set outlives it. */
void client_pool_init(struct client_pool *pool, struct connection_set *set);

/* Closes and frees all connections; calls under way end without a word. */
void client_pool_free(struct client_pool *pool);

/* The endpoint of an address, new if need be. It stays until client_pool_release_endpoint(). */
struct endpoint *client_pool_hold_endpoint(struct client_pool *pool, const char *address);
/* Drops a reference to the endpoint, which is freed with its last one. */
void client_pool_release_endpoint(struct client_pool *pool, struct endpoint *endpoint);

/* An idle connection to the endpoint, or NULL. The caller begins a call on it at once. */
struct client_connection *client_pool_take_idle(struct client_pool *pool,
						struct endpoint *endpoint);

/* A new connection to the endpoint, or NULL. The caller begins a call on it at once. */
struct client_connection *client_pool_connect(struct client_pool *pool, struct endpoint *endpoint,
					      const struct sockaddr_in *address);

/* A call begins on a connection that was just taken or made. */
void client_pool_begin_call(struct client_pool *pool, struct client_connection *connection,
			    uint64_t call_id, double deadline_at);

/* The call is over and its answer is no longer in the buffer; the connection is kept. */
void client_pool_end_call(struct client_pool *pool, struct client_connection *connection);

/* The first of the connections with a call under way; `next` leads to the others. */
struct client_connection *client_pool_calls(const struct client_pool *pool);

/* Whoever has been idle longest, or NULL. */
struct client_connection *client_pool_longest_idle(const struct client_pool *pool);

/* Closes the connection if it is open. Its memory stays until client_pool_reap(). */
void client_pool_close(struct client_pool *pool, struct client_connection *connection);

/* Closes those that have been idle for more than NET_CLIENT_IDLE_MAX_S. */
void client_pool_close_idle(struct client_pool *pool, double now);

/* Frees the closed ones. No event may be pending for them any more. */
void client_pool_reap(struct client_pool *pool);

#endif
