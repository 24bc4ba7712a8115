/*
 * The event loop: what is waited for, in which order events are handled, and what is due by time.
 * See net.h. Each layer below knows only those that stand further down here:
 *
 *   listener, http_server, http_client   what is done on each kind of connection
 *   connection_limit                     which connections may be open
 *   server_connections, client_pool      the open connections of each kind
 *   connection, tcp                      sockets and buffers
 */
#include "net/net.h"

#include <stdlib.h>
#include <sys/epoll.h>

#include "constants.h"
#include "net/client_pool.h"
#include "net/connection.h"
#include "net/connection_limit.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/listener.h"
#include "net/server_connections.h"
#include "util/xalloc.h"

struct net {
	struct connection_set connections;
	struct server_connections servers;
	struct client_pool clients;
	struct connection_limit limit;
	struct http_server http_server;
	struct http_client http_client;
	struct listener listeners[NET_SIDES];
	double caller_idle_max_s;
	double iteration_ended_at;
	double next_sweep_at;
	struct epoll_event *events; /* of one iteration: at most one for each connection */
};

struct net *net_new(const struct net_ops *ops, void *ctx, int max_conns, double idle_s)
{
	struct net *net = xcalloc(1, sizeof(*net));

	connection_set_init(&net->connections);
	server_connections_init(&net->servers, &net->connections);
	client_pool_init(&net->clients, &net->connections);
	net->limit = (struct connection_limit){
	    .max = max_conns,
	    .set = &net->connections,
	    .servers = &net->servers,
	    .clients = &net->clients,
	};
	net->http_server = (struct http_server){
	    .connections = &net->servers,
	    .limit = &net->limit,
	    .ops = ops,
	    .ops_context = ctx,
	};
	net->http_client = (struct http_client){
	    .pool = &net->clients,
	    .limit = &net->limit,
	    .ops = ops,
	    .ops_context = ctx,
	};
	listener_init(&net->listeners[NET_FRONT], NET_FRONT);
	listener_init(&net->listeners[NET_BACK], NET_BACK);
	net->caller_idle_max_s = idle_s;
	net->events = xcalloc((size_t)max_conns, sizeof(*net->events));
	return net;
}

void net_free(struct net *net)
{
	server_connections_free(&net->servers);
	client_pool_free(&net->clients);
	for (int side = 0; side < NET_SIDES; side++)
		listener_free(&net->listeners[side]);
	connection_set_free(&net->connections);
	free(net->events);
	free(net);
}

int net_listen(struct net *net, enum net_side side, const char *addr)
{
	return listener_open(&net->listeners[side], &net->connections, addr, net->limit.max);
}

void net_send(struct net *net, const struct net_call *call)
{
	http_client_send(&net->http_client, call);
}

void net_answer(struct net *net, uint64_t conn, int status, int retry_after, const char *body,
		size_t len)
{
	http_server_respond(&net->http_server, conn, status, retry_after, body, len);
}

static void handle_client_events(struct net *net, int count)
{
	for (int i = 0; i < count; i++) {
		struct connection *connection = net->events[i].data.ptr;

		if (connection->kind == CONNECTION_CLIENT)
			http_client_handle_events(&net->http_client,
						  client_connection_of(connection),
						  net->events[i].events);
	}
}

static void handle_caller_event(struct net *net, const struct epoll_event *event,
				enum read_extent extent)
{
	struct connection *connection = event->data.ptr;

	if (connection->kind == CONNECTION_LISTENER)
		listener_accept(listener_of(connection), &net->limit, &net->servers);
	else
		http_server_handle_events(&net->http_server, server_connection_of(connection),
					  event->events, extent);
}

/* Up to NET_CALLER_EVENTS_MAX of them; the next wait reports the others again, in the order they
 * came. */
static void handle_caller_events(struct net *net, int count, enum read_extent extent)
{
	int left = NET_CALLER_EVENTS_MAX;

	for (int i = 0; i < count && left; i++) {
		const struct connection *connection = net->events[i].data.ptr;

		if (connection->kind == CONNECTION_CLIENT)
			continue;
		handle_caller_event(net, &net->events[i], extent);
		left--;
	}
}

static void close_overdue(struct net *net, double now)
{
	http_client_expire_calls(&net->http_client, now);
	server_connections_close_silent(&net->servers, now, net->caller_idle_max_s);
	client_pool_close_idle(&net->clients, now);
}

static int wait_for_events(struct net *net, double wait_s)
{
	int wait_ms = wait_s <= 0 ? 0 : (int)(wait_s * 1000.0) + 1;

	if (wait_ms > NET_SWEEP_MS)
		wait_ms = NET_SWEEP_MS;
	return connection_set_wait(&net->connections, net->events, net->limit.max, wait_ms);
}

/*
 * A loop that is late looks for the end of callers' streams too: one that gave up and closed needs
 * no answer. A busy leader that answered them all would serve nobody in time.
 */
static enum read_extent caller_read_extent(const struct net *net)
{
	return net_now() - net->iteration_ended_at > NET_LOOP_LAG_S ? READ_TO_END : READ_AVAILABLE;
}

/*
 * What answers our own calls goes before what others ask, and only some of that is taken in one
 * iteration: when thousands of agents report at once to a controller that is slow, its renewals
 * must not wait behind all of them.
 */
void net_poll(struct net *net, double wait_s)
{
	int count = wait_for_events(net, wait_s);
	enum read_extent extent = caller_read_extent(net);

	handle_client_events(net, count);
	handle_caller_events(net, count, extent);
	net->iteration_ended_at = net_now();
	if (net->iteration_ended_at >= net->next_sweep_at) {
		net->next_sweep_at = net->iteration_ended_at + NET_SWEEP_MS / 1000.0;
		close_overdue(net, net->iteration_ended_at);
	}
	server_connections_reap(&net->servers);
	client_pool_reap(&net->clients);
}
