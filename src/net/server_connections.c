/* Keeps the connections that callers made, and closes the idle and the stalled ones. */
#include "net/server_connections.h"

#include <stdlib.h>

#include <utlist.h>

#include "constants.h"
#include "net/clock.h"
#include "net/tcp.h"
#include "util/xalloc.h"

void server_connections_init(struct server_connections *connections, struct connection_set *set)
{
	*connections = (struct server_connections){.set = set, .next_id = 1};
}

void server_connections_free(struct server_connections *connections)
{
	while (connections->by_activity)
		server_connection_close(connections, connections->by_activity);
	server_connections_free_closed(connections);
}

struct server_connection *server_connections_add(struct server_connections *connections, int fd,
						 enum net_side side)
{
	struct server_connection *connection = xcalloc(1, sizeof(*connection));

	tcp_set_no_delay(fd);
	connection->base.fd = fd;
	connection->base.kind = CONNECTION_SERVER;
	connection->side = side;
	connection->id = connections->next_id++;
	connection->active_at = net_now();
	HASH_ADD(hh, connections->by_id, id, sizeof(connection->id), connection);
	DL_APPEND(connections->by_activity, connection);
	connection_set_add(connections->set, &connection->base);
	return connection;
}

struct server_connection *server_connections_find(const struct server_connections *connections,
						  uint64_t id)
{
	struct server_connection *connection;

	HASH_FIND(hh, connections->by_id, &id, sizeof(id), connection);
	return connection;
}

void server_connection_mark_active(struct server_connections *connections,
				   struct server_connection *connection)
{
	connection->active_at = net_now();
	DL_DELETE(connections->by_activity, connection);
	DL_APPEND(connections->by_activity, connection);
}

void server_connection_close(struct server_connections *connections,
			     struct server_connection *connection)
{
	if (connection->base.closed)
		return;
	connection_set_close(connections->set, &connection->base);
	HASH_DEL(connections->by_id, connection);
	DL_DELETE(connections->by_activity, connection);
	DL_APPEND(connections->closed, connection);
}

/* True if a message is partly received or partly sent. */
static bool has_partial_message(const struct server_connection *connection)
{
	return connection->base.input.len || connection->base.output.len;
}

struct server_connection *
server_connections_longest_idle(const struct server_connections *connections)
{
	struct server_connection *connection;

	DL_FOREACH (connections->by_activity, connection)
		if (!connection->awaits_response && !has_partial_message(connection))
			return connection;
	return NULL;
}

void server_connections_close_timed_out(struct server_connections *connections, double now,
					double idle_max_s)
{
	struct server_connection *connection, *next;

	DL_FOREACH_SAFE (connections->by_activity, connection, next) {
		double inactive_s = now - connection->active_at;

		if (inactive_s <= NET_MESSAGE_TIMEOUT_S)
			break;
		if (connection->awaits_response)
			continue;
		if (has_partial_message(connection) || inactive_s > idle_max_s)
			server_connection_close(connections, connection);
	}
}

void server_connections_free_closed(struct server_connections *connections)
{
	struct server_connection *connection, *next;

	DL_FOREACH_SAFE (connections->closed, connection, next) {
		connection_free_buffers(&connection->base);
		free(connection);
	}
	connections->closed = NULL;
}
