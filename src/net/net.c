/*
 * The event loop: waits for events, determines the order in which they are handled, and handles
 * timeouts. The layers below it, of which each uses only those listed after it:
 *
 *   listener, http_server, http_client   handle the events of each kind of connection
 *   connection_limit                     bounds the number of open connections
 *   server_connections, client_pool      keep the open connections of each kind
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
	struct listener listeners[NET_SIDE_COUNT];
	double caller_idle_max_s;
	double iteration_ended_at;  /* when the previous iteration had handled its events */
	double next_sweep_at;	    /* when timeouts are checked next */
	struct epoll_event *events; /* events of the current iteration, up to limit.max; owned */
};

struct net *net_new(const struct net_callbacks *callbacks, void *ctx, int max_conns,
		    double caller_idle_max_s)
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
	    .callbacks = callbacks,
	    .callback_context = ctx,
	};
	net->http_client = (struct http_client){
	    .pool = &net->clients,
	    .limit = &net->limit,
	    .callbacks = callbacks,
	    .callback_context = ctx,
	};
	listener_init(&net->listeners[NET_FRONT], NET_FRONT);
	listener_init(&net->listeners[NET_BACK], NET_BACK);
	net->caller_idle_max_s = caller_idle_max_s;
	net->events = xcalloc((size_t)max_conns, sizeof(*net->events));
	return net;
}

void net_free(struct net *net)
{
	server_connections_free(&net->servers);
	client_pool_free(&net->clients);
	for (int side = 0; side < NET_SIDE_COUNT; side++)
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

/* Handles the events of connections for our own calls. */
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

/* Accepts connections on a listener, or handles an event of a caller's connection. */
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

/*
 * Handles up to NET_CALLER_EVENTS_MAX events of listeners and callers' connections. The next wait
 * reports the remaining ones again, in the order in which they came.
 */
static void handle_caller_events(struct net *net, int count, enum read_extent extent)
{
	int remaining = NET_CALLER_EVENTS_MAX;

	for (int i = 0; i < count && remaining; i++) {
		const struct connection *connection = net->events[i].data.ptr;

		if (connection->kind == CONNECTION_CLIENT)
			continue;
		handle_caller_event(net, &net->events[i], extent);
		remaining--;
	}
}

/* Ends the calls whose deadline has passed, and closes connections that are idle or stalled too
 * long. */
static void handle_timeouts(struct net *net, double now)
{
	http_client_expire_calls(&net->http_client, now);
	server_connections_close_timed_out(&net->servers, now, net->caller_idle_max_s);
	client_pool_close_idle(&net->clients, now);
}

/* Waits for events for up to `wait_s` seconds, but at most until the next sweep may be due. Returns
 * the number of events, or -1 on failure. */
static int wait_for_events(struct net *net, double wait_s)
{
	int wait_ms = wait_s <= 0 ? 0 : (int)(wait_s * 1000.0) + 1;

	if (wait_ms > NET_SWEEP_MS)
		wait_ms = NET_SWEEP_MS;
	return connection_set_wait(&net->connections, net->events, net->limit.max, wait_ms);
}

/*
 * If the event loop is late, that is more than NET_LOOP_LAG_S after its previous iteration,
 * callers' streams are read to their end. This reveals callers that gave up and closed the
 * connection, whose requests need no answer. A busy leader that answered those too would answer no
 * caller in time.
 */
static enum read_extent caller_read_extent(const struct net *net)
{
	return net_now() - net->iteration_ended_at > NET_LOOP_LAG_S ? READ_TO_END : READ_AVAILABLE;
}

/*
 * Events of our own calls are handled before those of callers, and of the latter only a bounded
 * number in one iteration: when thousands of agents report at once to a slow controller, the
 * answers to its lease renewals must not wait until all reports are handled. Closed connections are
 * freed last, when no event points to them any more.
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
		handle_timeouts(net, net->iteration_ended_at);
	}
	server_connections_free_closed(&net->servers);
	client_pool_free_closed(&net->clients);
}
