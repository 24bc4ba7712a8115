/* Keeps the connections for our own calls in lists: the idle ones of each endpoint, all idle ones,
 * and those with a call under way. */
#include "net/client_pool.h"

#include <stdio.h>
#include <stdlib.h>

#include <utlist.h>

#include "net/clock.h"
#include "net/tcp.h"
#include "util/xalloc.h"

void client_pool_init(struct client_pool *pool, struct connection_set *set)
{
	*pool = (struct client_pool){.set = set};
}

void client_pool_free(struct client_pool *pool)
{
	while (pool->calls)
		client_pool_close(pool, pool->calls);
	while (pool->idle)
		client_pool_close(pool, pool->idle);
	client_pool_free_closed(pool);
}

struct endpoint *client_pool_acquire_endpoint(struct client_pool *pool, const char *address)
{
	struct endpoint *endpoint;

	HASH_FIND_STR(pool->endpoints, address, endpoint);
	if (!endpoint) {
		endpoint = xcalloc(1, sizeof(*endpoint));
		snprintf(endpoint->address, sizeof(endpoint->address), "%s", address);
		HASH_ADD_STR(pool->endpoints, address, endpoint);
	}
	endpoint->references++;
	return endpoint;
}

void client_pool_release_endpoint(struct client_pool *pool, struct endpoint *endpoint)
{
	if (--endpoint->references)
		return;
	HASH_DEL(pool->endpoints, endpoint);
	free(endpoint);
}

/* Adds the connection to the idle ones of its endpoint and of the pool. */
static void idle_add(struct client_pool *pool, struct client_connection *connection)
{
	connection->idle_since = net_now();
	DL_PREPEND(connection->endpoint->idle, connection);
	DL_APPEND2(pool->idle, connection, idle_prev, idle_next);
}

/* Removes the connection from the idle ones of its endpoint and of the pool. */
static void idle_remove(struct client_pool *pool, struct client_connection *connection)
{
	DL_DELETE(connection->endpoint->idle, connection);
	DL_DELETE2(pool->idle, connection, idle_prev, idle_next);
}

struct client_connection *client_pool_pop_idle(struct client_pool *pool, struct endpoint *endpoint)
{
	struct client_connection *connection = endpoint->idle;

	if (connection)
		idle_remove(pool, connection);
	return connection;
}

struct client_connection *client_pool_connect(struct client_pool *pool, struct endpoint *endpoint,
					      const struct sockaddr_in *address)
{
	struct client_connection *connection;
	int fd = tcp_connect(address);

	if (fd < 0)
		return NULL;
	connection = xcalloc(1, sizeof(*connection));
	connection->base.fd = fd;
	connection->base.kind = CONNECTION_CLIENT;
	connection->base.awaits_write = true;
	connection->state = CLIENT_CONNECTING;
	connection->endpoint = endpoint;
	endpoint->references++;
	connection_set_add(pool->set, &connection->base);
	return connection;
}

void client_pool_begin_call(struct client_pool *pool, struct client_connection *connection,
			    uint64_t call_id, double deadline_at)
{
	if (connection->state == CLIENT_IDLE)
		connection->state = CLIENT_CALLING;
	connection->call_id = call_id;
	connection->decoded_len = 0;
	connection->deadline_at = deadline_at;
	DL_APPEND(pool->calls, connection);
}

void client_pool_end_call(struct client_pool *pool, struct client_connection *connection)
{
	DL_DELETE(pool->calls, connection);
	connection->state = CLIENT_IDLE;
	connection_free_empty_buffers(&connection->base);
	idle_add(pool, connection);
}

struct client_connection *client_pool_calls(const struct client_pool *pool)
{
	return pool->calls;
}

struct client_connection *client_pool_longest_idle(const struct client_pool *pool)
{
	return pool->idle;
}

void client_pool_close(struct client_pool *pool, struct client_connection *connection)
{
	if (connection->base.closed)
		return;
	connection_set_close(pool->set, &connection->base);
	if (connection->state == CLIENT_IDLE)
		idle_remove(pool, connection);
	else
		DL_DELETE(pool->calls, connection);
	DL_APPEND(pool->closed, connection);
}

void client_pool_close_idle(struct client_pool *pool, double now)
{
	struct client_connection *connection, *next;

	DL_FOREACH_SAFE2 (pool->idle, connection, next, idle_next) {
		if (now - connection->idle_since <= NET_CLIENT_IDLE_MAX_S)
			break;
		client_pool_close(pool, connection);
	}
}

void client_pool_free_closed(struct client_pool *pool)
{
	struct client_connection *connection, *next;

	DL_FOREACH_SAFE (pool->closed, connection, next) {
		client_pool_release_endpoint(pool, connection->endpoint);
		connection_free_buffers(&connection->base);
		free(connection);
	}
	pool->closed = NULL;
}
