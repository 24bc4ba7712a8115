/* How many connections may be open at once. See connection_limit.h. */
#include "net/connection_limit.h"

#include "constants.h"
#include "net/clock.h"
#include "util/log.h"

static void log_evicted(enum connection_kind kind, double idle_since)
{
	log_debug("connection_evicted", "kind=%d idle=%.1f", kind, net_now() - idle_since);
}

/*
 * Sockets run short, as when many machines vanished without closing theirs. The least recently used
 * connection is closed, our own before callers', so that /ready, users and the state service always
 * get a socket, whatever callers that may not exist any more still hold.
 */
static bool evict_longest_idle(struct connection_limit *limit)
{
	struct client_connection *client = client_pool_longest_idle(limit->clients);
	struct server_connection *server;

	if (client) {
		log_evicted(CONNECTION_CLIENT, client->idle_since);
		client_pool_close(limit->clients, client);
		return true;
	}
	server = server_connections_longest_idle(limit->servers);
	if (server) {
		log_evicted(CONNECTION_SERVER, server->active_at);
		server_connection_close(limit->servers, server);
		return true;
	}
	log_error("connection_limit", "conns=%d", limit->set->open_count);
	return false;
}

/* The sockets that callers may have together. */
static int caller_max(const struct connection_limit *limit)
{
	return limit->max - NET_CONNS_RESERVED;
}

bool connection_limit_admit(struct connection_limit *limit, enum connection_kind kind)
{
	int max = kind == CONNECTION_SERVER ? caller_max(limit) : limit->max;

	return limit->set->open_count < max || evict_longest_idle(limit);
}

/*
 * Callers come in a cycle: closing the least recently active would meet each just before its next
 * request, and all would have to connect again. So idle connections of our own are closed first,
 * and then the caller that is answered now, by a header in the response: its next request is the
 * furthest ahead. Only as many callers reconnect as there are too many.
 */
bool connection_limit_sheds_caller(struct connection_limit *limit)
{
	int max = caller_max(limit);
	struct client_connection *idle;

	if (limit->set->open_count <= max - max / NET_SPARE_CONNS_DIVISOR)
		return false;
	idle = client_pool_longest_idle(limit->clients);
	if (!idle)
		return true;
	client_pool_close(limit->clients, idle);
	return false;
}
