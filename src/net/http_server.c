/* Parses and dispatches callers' requests, and writes the responses. */
#include "net/http_server.h"

#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#include "constants.h"
#include "net/clock.h"
#include "net/http.h"
#include "net/http_chunks.h"
#include "util/log.h"
#include "util/xalloc.h"

enum {
	STATUS_BAD_REQUEST = 400,
	STATUS_PAYLOAD_TOO_LARGE = 413,
	STATUS_URI_TOO_LONG = 414,
	STATUS_HEADERS_TOO_LARGE = 431,
	STATUS_NOT_IMPLEMENTED = 501,
};

/* Bytes that a request's body may have. The protocol limits the bodies of users and agents;
 * messages between controllers grow with the fleet. */
static size_t body_max(const struct server_connection *connection)
{
	return connection->side == NET_BACK ? HTTP_REPLY_MAX : HTTP_BODY_MAX;
}

/* Bytes of input that may wait: a head and a body, and a chunk's line or a trailer. */
static size_t input_max(const struct server_connection *connection)
{
	return HTTP_HEAD_MAX + body_max(connection) + HTTP_HEAD_MAX;
}

/* Sends as much output as the socket accepts. Closes the connection if it broke, or if its last
 * response is sent completely. */
static void flush_or_close(struct http_server *server, struct server_connection *connection)
{
	enum connection_result result =
	    connection_flush(server->connections->set, &connection->base);
	bool finished = connection->close_after_response && !connection->awaits_response &&
			!connection->base.output.len;

	if (result == CONNECTION_BROKEN || finished)
		server_connection_close(server->connections, connection);
}

/* Appends a response to the connection's output. */
static void write_response(struct server_connection *connection, int status, int retry_after_s,
			   const char *body, size_t body_len)
{
	struct buf *output = &connection->base.output;

	buf_addf(output,
		 "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n",
		 status, http_reason(status), body_len);
	if (retry_after_s > 0)
		buf_addf(output, "Retry-After: %d\r\n", retry_after_s);
	if (connection->close_after_response)
		buf_addf(output, "Connection: close\r\n");
	buf_add(output, "\r\n", 2);
	buf_add(output, body, body_len);
}

/* Answers the request under way. The connection may be closed afterwards. */
static void respond(struct http_server *server, struct server_connection *connection, int status,
		    int retry_after_s, const char *body, size_t body_len)
{
	connection->awaits_response = false;
	server_connection_mark_active(server->connections, connection);
	if (connection_limit_should_close_caller(server->limit))
		connection->close_after_response = true;
	write_response(connection, status, retry_after_s, body, body_len);
	flush_or_close(server, connection);
	if (!connection->base.closed)
		connection_free_empty_buffers(&connection->base);
}

void http_server_respond(struct http_server *server, uint64_t connection_id, int status,
			 int retry_after_s, const char *body, size_t body_len)
{
	struct server_connection *connection =
	    server_connections_find(server->connections, connection_id);

	if (connection && connection->awaits_response)
		respond(server, connection, status, retry_after_s, body, body_len);
}

/* Counts a rejected request, and logs at most one in a second. */
static void log_rejection(struct http_server *server, const struct server_connection *connection,
			  int status)
{
	double now = net_now();

	server->rejected++;
	server->unlogged++;
	if (now - server->rejection_logged_at < REJECTION_LINE_INTERVAL_S)
		return;
	log_info("http_rejected", "status=%d bytes=%zu rejected=%llu unlogged=%llu", status,
		 connection->base.input.len, (unsigned long long)server->rejected,
		 (unsigned long long)server->unlogged - 1);
	server->rejection_logged_at = now;
	server->unlogged = 0;
}

/* Answers a request that is malformed or too large, and closes the connection: it is unknown where
 * the next request would begin. */
static void reject_request(struct http_server *server, struct server_connection *connection,
			   int status)
{
	/* The response has this body whatever its status is. */
	static const char body[] = "{\"error\":\"bad request\"}";

	log_rejection(server, connection, status);
	connection->close_after_response = true;
	respond(server, connection, status, 0, body, sizeof(body) - 1);
	server_connection_close(server->connections, connection);
}

/* Consumes a complete request from the input and passes it to the callback. */
static void dispatch_request(struct http_server *server, struct server_connection *connection,
			     const struct http_msg *request)
{
	char path[HTTP_PATH_MAX];
	size_t body_len = request->body_len;
	char *body = xmalloc(body_len + 1);

	memcpy(path, request->path, request->path_len);
	path[request->path_len] = 0;
	memcpy(body, request->body, body_len);
	body[body_len] = 0;
	/* After this, request->path and request->body are no longer valid. */
	buf_consume(&connection->base.input, request->head_len + body_len);
	connection->awaits_response = true;
	connection->close_after_response = request->close;
	connection->continue_sent = false;
	connection->decoded_len = 0;
	server->callbacks->request(server->callback_context, connection->id, connection->side,
				   request->method, path, body, body_len);
	free(body);
}

/* Decodes the chunks of the request's body that have been received. */
static enum http_result decode_chunks(struct server_connection *connection,
				      struct http_msg *request)
{
	struct buf *input = &connection->base.input;
	size_t len = input->len - request->head_len;
	enum http_result result =
	    http_chunks_decode(buf_contents(input) + request->head_len, &len,
			       &connection->decoded_len, body_max(connection));

	input->len = request->head_len + len;
	request->body_len = connection->decoded_len;
	return result;
}

/* Parses the request at the start of the input. */
static enum http_result parse_request(struct server_connection *connection,
				      struct http_msg *request)
{
	const struct buf *input = &connection->base.input;
	enum http_result result = http_parse(request, buf_contents(input), input->len, HTTP_REQUEST,
					     body_max(connection));

	return result == HTTP_CHUNKED ? decode_chunks(connection, request) : result;
}

/* Invites a caller that waits for it to send the body. The connection may be closed afterwards. */
static void send_continue(struct http_server *server, struct server_connection *connection,
			  const struct http_msg *request)
{
	static const char response[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (!request->head_len || !request->expects_continue || connection->continue_sent)
		return;
	connection->continue_sent = true;
	buf_add(&connection->base.output, response, sizeof(response) - 1);
	flush_or_close(server, connection);
}

/* The status with which a request is rejected that can't be parsed. */
static int rejection_status(enum http_result result)
{
	switch (result) {
	case HTTP_TOO_LARGE:
		return STATUS_PAYLOAD_TOO_LARGE;
	case HTTP_HEAD_TOO_LARGE:
		return STATUS_HEADERS_TOO_LARGE;
	case HTTP_UNSUPPORTED:
		return STATUS_NOT_IMPLEMENTED;
	default:
		return STATUS_BAD_REQUEST;
	}
}

/*
 * Dispatches the complete requests in the input one at a time, and stops at one that is not
 * answered at once. Requests behind that one stay in the input until more bytes arrive after its
 * response.
 */
static void handle_input(struct http_server *server, struct server_connection *connection)
{
	const struct buf *input = &connection->base.input;
	struct http_msg request;

	while (!connection->base.closed && !connection->awaits_response && input->len) {
		enum http_result result = parse_request(connection, &request);

		if (result == HTTP_INCOMPLETE) {
			send_continue(server, connection, &request);
			return;
		}
		if (result != HTTP_OK) {
			reject_request(server, connection, rejection_status(result));
			return;
		}
		if (request.path_len >= HTTP_PATH_MAX) {
			reject_request(server, connection, STATUS_URI_TOO_LONG);
			return;
		}
		dispatch_request(server, connection, &request);
	}
}

/* Closes a connection that failed or that its caller has closed. */
static void drop_connection(struct http_server *server, struct server_connection *connection)
{
	server_connection_close(server->connections, connection);
	if (connection->awaits_response && server->callbacks->closed)
		server->callbacks->closed(server->callback_context, connection->id);
}

void http_server_handle_events(struct http_server *server, struct server_connection *connection,
			       uint32_t events, enum read_extent extent)
{
	struct connection *base = &connection->base;
	bool was_empty = base->input.len == 0;
	enum connection_result result;

	if (!base->closed && (events & EPOLLOUT))
		flush_or_close(server, connection);
	if (base->closed || !(events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
		return;
	result = connection_read(base, input_max(connection), extent);
	if (result == CONNECTION_BROKEN) {
		drop_connection(server, connection);
		return;
	}
	if (was_empty && base->input.len)
		server_connection_mark_active(server->connections, connection);
	handle_input(server, connection);
	if (result == CONNECTION_FULL && !base->closed && base->input.len > input_max(connection))
		drop_connection(server, connection);
}
