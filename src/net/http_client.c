/* Sends our own calls and handles their responses, failures and deadlines. */
#include "net/http_client.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>

#include <utlist.h>

#include "constants.h"
#include "net/clock.h"
#include "net/http.h"
#include "net/http_chunks.h"
#include "net/tcp.h"

/* Bytes of input that may wait: a head and a body, and a chunk's line or a trailer. */
#define RESPONSE_INPUT_MAX (HTTP_HEAD_MAX + HTTP_REPLY_MAX + HTTP_HEAD_MAX)

/* Tells the callback that a call ended without a response. */
static void report_failure(struct http_client *client, uint64_t call_id,
			   enum net_call_failure failure)
{
	client->callbacks->reply(client->callback_context, call_id, failure, "", 0);
}

/* Closes a connection whose call ends without a response, and tells the callback. */
static void fail_call(struct http_client *client, struct client_connection *connection)
{
	/* Nothing was sent on a connection that was never established. */
	enum net_call_failure failure =
	    connection->state == CLIENT_CONNECTING ? NET_NOT_SENT : NET_NO_REPLY;

	client_pool_close(client->pool, connection);
	report_failure(client, connection->call_id, failure);
}

/* Closes a connection that broke. Its call, if one is under way, fails. */
static void close_broken(struct http_client *client, struct client_connection *connection)
{
	if (connection->state == CLIENT_IDLE)
		client_pool_close(client->pool, connection);
	else
		fail_call(client, connection);
}

/* Starts a new connection to the endpoint. Returns NULL if the address is malformed, the limit does
 * not allow a connection, or no socket could be opened. */
static struct client_connection *connect_to(struct http_client *client, struct endpoint *endpoint)
{
	struct sockaddr_in address;

	if (tcp_address_parse(endpoint->address, &address) ||
	    !connection_limit_admit(client->limit, CONNECTION_CLIENT))
		return NULL;
	return client_pool_connect(client->pool, endpoint, &address);
}

/* Returns an idle connection to the address, or starts a new one; NULL if that is not possible. */
static struct client_connection *obtain_connection(struct http_client *client, const char *address)
{
	/* This reference keeps the endpoint, which may be new, until a connection refers to it. If
	 * no connection does in the end, the endpoint is freed again. */
	struct endpoint *endpoint = client_pool_acquire_endpoint(client->pool, address);
	struct client_connection *connection = client_pool_pop_idle(client->pool, endpoint);

	if (!connection)
		connection = connect_to(client, endpoint);
	client_pool_release_endpoint(client->pool, endpoint);
	return connection;
}

/* Appends the call's request to the connection's output. */
static void write_request(struct client_connection *connection, const struct net_call *call)
{
	struct buf *output = &connection->base.output;

	buf_addf(output, "%s %s HTTP/1.1\r\nHost: %s\r\n", call->method, call->path,
		 connection->endpoint->address);
	if (call->len || strcmp(call->method, "GET"))
		buf_addf(output, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
			 call->len);
	buf_add(output, "\r\n", 2);
	buf_add(output, call->body, call->len);
}

void http_client_send(struct http_client *client, const struct net_call *call)
{
	struct client_connection *connection = obtain_connection(client, call->addr);

	if (!connection) {
		report_failure(client, call->id, NET_NOT_SENT);
		return;
	}
	client_pool_begin_call(client->pool, connection, call->id, net_now() + call->timeout_s);
	write_request(connection, call);
	if (connection->state == CLIENT_CONNECTING)
		return; /* the request is sent once the connection is established */
	if (connection_flush(client->pool->set, &connection->base) == CONNECTION_BROKEN)
		fail_call(client, connection);
}

/* Ends the call with its response. The received bytes are moved out of the connection before the
 * callback runs, since the callback may send another call on the same connection. */
static void deliver_response(struct http_client *client, struct client_connection *connection,
			     const struct http_msg *response)
{
	uint64_t call_id = connection->call_id;
	struct buf received = connection->base.input;

	memset(&connection->base.input, 0, sizeof(connection->base.input));
	/* Bytes behind the response belong to no request, so nothing that may follow on this
	 * connection can be trusted. */
	if (response->close || received.len > response->head_len + response->body_len)
		client_pool_close(client->pool, connection);
	else
		client_pool_end_call(client->pool, connection);
	client->callbacks->reply(client->callback_context, call_id, response->status,
				 response->body, response->body_len);
	buf_free(&received);
}

/* Parses the response at the start of the input. */
static enum http_result parse_response(struct client_connection *connection,
				       struct http_msg *response)
{
	struct buf *input = &connection->base.input;
	enum http_result result =
	    http_parse(response, buf_contents(input), input->len, HTTP_RESPONSE, HTTP_REPLY_MAX);
	size_t len = input->len - response->head_len;

	if (result != HTTP_CHUNKED)
		return result;
	result = http_chunks_decode(buf_contents(input) + response->head_len, &len,
				    &connection->decoded_len, HTTP_REPLY_MAX);
	input->len = response->head_len + len;
	response->body_len = connection->decoded_len;
	/* The callback needs a NUL behind the body, where a removed line was. */
	if (result == HTTP_OK)
		buf_contents(input)[response->head_len + response->body_len] = 0;
	return result;
}

/* Handles the bytes received so far on the connection. */
static void handle_input(struct http_client *client, struct client_connection *connection)
{
	struct http_msg response;
	enum http_result result;

	if (connection->state == CLIENT_IDLE) {
		/* No request was sent, so these bytes belong to none. */
		client_pool_close(client->pool, connection);
		return;
	}
	result = parse_response(connection, &response);
	if (result == HTTP_OK)
		deliver_response(client, connection, &response);
	else if (result != HTTP_INCOMPLETE || connection->base.input.len > RESPONSE_INPUT_MAX)
		fail_call(client, connection);
}

/* Returns true if the connection is established. Otherwise the connection is still being made, or
 * the attempt to connect and with it the call has failed. */
static bool finish_connecting(struct http_client *client, struct client_connection *connection,
			      uint32_t events)
{
	if (!(events & (EPOLLOUT | EPOLLERR | EPOLLHUP)))
		return false;
	if (tcp_connect_failed(connection->base.fd)) {
		fail_call(client, connection);
		return false;
	}
	connection->state = CLIENT_CALLING;
	return true;
}

void http_client_handle_events(struct http_client *client, struct client_connection *connection,
			       uint32_t events)
{
	struct connection *base = &connection->base;

	if (base->closed)
		return;
	if (connection->state == CLIENT_CONNECTING &&
	    !finish_connecting(client, connection, events))
		return;
	if ((events & EPOLLOUT) && connection_flush(client->pool->set, base) == CONNECTION_BROKEN) {
		close_broken(client, connection);
		return;
	}
	if (!(events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
		return;
	if (connection_read(base, RESPONSE_INPUT_MAX, READ_AVAILABLE) == CONNECTION_BROKEN)
		close_broken(client, connection);
	else
		handle_input(client, connection);
}

void http_client_expire_calls(struct http_client *client, double now)
{
	struct client_connection *calls = client_pool_calls(client->pool), *connection, *next;

	DL_FOREACH_SAFE (calls, connection, next)
		if (connection->deadline_at <= now && !connection->base.closed)
			fail_call(client, connection);
}
