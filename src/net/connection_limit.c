/* Bounds the number of open connections by closing idle ones. */
#include "net/connection_limit.h"

#include "constants.h"
#include "net/clock.h"
#include "util/log.h"

static void log_eviction(enum connection_kind kind, double idle_since)
{
	log_debug("connection_evicted", "kind=%d idle=%.1f", kind, net_now() - idle_since);
}

/*
 * Closes the connection that has been idle longest, one of our own if any is idle. Returns false
 * if there is no idle connection. Sockets run short when, for example, many machines vanish without
 * closing their connections. Eviction ensures that requests for /ready, users and calls to the
 * state service always get a socket, however many connections are left of callers that may no
 * longer exist.
 */
static bool evict_longest_idle(struct connection_limit *limit)
{
	struct client_connection *client = client_pool_longest_idle(limit->clients);
	struct server_connection *server;

	if (client) {
		log_eviction(CONNECTION_CLIENT, client->idle_since);
		client_pool_close(limit->clients, client);
		return true;
	}
	server = server_connections_longest_idle(limit->servers);
	if (server) {
		log_eviction(CONNECTION_SERVER, server->active_at);
		server_connection_close(limit->servers, server);
		return true;
	}
	log_error("connection_limit", "conns=%d", limit->set->open_count);
	return false;
}

/* If so many connections of both kinds are open, another caller is admitted only after an idle
 * connection was closed. */
static int caller_admission_max(const struct connection_limit *limit)
{
	return limit->max - NET_CONNS_RESERVED;
}

bool connection_limit_admit(struct connection_limit *limit, enum connection_kind kind)
{
	int max = kind == CONNECTION_SERVER ? caller_admission_max(limit) : limit->max;

	return limit->set->open_count < max || evict_longest_idle(limit);
}

/*
 * Callers such as agents send requests periodically, so the least recently active one is about to
 * send its next request. If that one were always closed, every caller would have to reconnect each
 * time. Therefore idle connections of our own are closed first, and after them the connection of
 * the caller that is being answered, by a header in the response: the next request of that caller
 * is the furthest ahead. So only as many callers have to reconnect as exceed the limit.
 */
bool connection_limit_should_close_caller(struct connection_limit *limit)
{
	int max = caller_admission_max(limit);
	struct client_connection *idle;

	if (limit->set->open_count <= max - max / NET_SPARE_CONNS_DIVISOR)
		return false;
	idle = client_pool_longest_idle(limit->clients);
	if (!idle)
		return true;
	client_pool_close(limit->clients, idle);
	return false;
}
