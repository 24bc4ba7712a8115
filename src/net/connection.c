/* Registers sockets with epoll, and reads and writes them through buffers. */
#include "net/connection.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "constants.h"

void connection_set_init(struct connection_set *set)
{
	set->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	set->open_count = 0;
}

void connection_set_free(struct connection_set *set)
{
	close(set->epoll_fd);
}

int connection_set_wait(const struct connection_set *set, struct epoll_event *events,
			int events_max, int wait_ms)
{
	return epoll_wait(set->epoll_fd, events, events_max, wait_ms);
}

/* Tells epoll which events of the connection to report. `operation` is that of epoll_ctl(). */
static void set_epoll_events(const struct connection_set *set, struct connection *connection,
			     int operation)
{
	struct epoll_event event = {.events = EPOLLIN | (connection->awaits_write ? EPOLLOUT : 0),
				    .data.ptr = connection};

	epoll_ctl(set->epoll_fd, operation, connection->fd, &event);
}

void connection_set_add_listener(struct connection_set *set, struct connection *listener)
{
	set_epoll_events(set, listener, EPOLL_CTL_ADD);
}

void connection_set_add(struct connection_set *set, struct connection *connection)
{
	set->open_count++;
	set_epoll_events(set, connection, EPOLL_CTL_ADD);
}

void connection_set_close(struct connection_set *set, struct connection *connection)
{
	connection->closed = true;
	/* close() alone would leave the socket registered with epoll as long as a forked child has
	 * it open too. */
	epoll_ctl(set->epoll_fd, EPOLL_CTL_DEL, connection->fd, NULL);
	close(connection->fd);
	set->open_count--;
}

/* Appends a chunk to `input` with recv() and returns its result. Tries again after a signal. */
static ssize_t receive(struct connection *connection)
{
	/* One more byte is reserved for a NUL behind the contents. Without the NUL, bytes that an
	 * earlier, longer message left in memory would follow the contents. */
	char *space = buf_reserve(&connection->input, NET_READ_CHUNK_BYTES + 1);
	ssize_t received;

	do {
		received = recv(connection->fd, space, NET_READ_CHUNK_BYTES, 0);
	} while (received < 0 && errno == EINTR);
	if (received > 0) {
		space[received] = 0;
		connection->input.len += (size_t)received;
	}
	return received;
}

enum connection_result connection_read(struct connection *connection, size_t input_max,
				       enum read_extent extent)
{
	for (;;) {
		ssize_t received = receive(connection);

		if (received < 0 && errno == EAGAIN)
			return CONNECTION_OK;
		if (received <= 0)
			return CONNECTION_BROKEN;
		if (connection->input.len > input_max)
			return CONNECTION_FULL;
		if (received < NET_READ_CHUNK_BYTES && extent == READ_AVAILABLE)
			return CONNECTION_OK;
	}
}

enum connection_result connection_flush(const struct connection_set *set,
					struct connection *connection)
{
	struct buf *output = &connection->output;
	bool has_unsent;

	while (output->len) {
		ssize_t sent =
		    send(connection->fd, buf_contents(output), output->len, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent < 0 && errno != EAGAIN)
			return CONNECTION_BROKEN;
		if (sent < 0)
			break;
		buf_consume(output, (size_t)sent);
	}
	has_unsent = output->len > 0;
	if (has_unsent != connection->awaits_write) {
		connection->awaits_write = has_unsent;
		set_epoll_events(set, connection, EPOLL_CTL_MOD);
	}
	return CONNECTION_OK;
}

void connection_free_empty_buffers(struct connection *connection)
{
	if (!connection->input.len)
		buf_free(&connection->input);
	if (!connection->output.len)
		buf_free(&connection->output);
}

void connection_free_buffers(struct connection *connection)
{
	buf_free(&connection->input);
	buf_free(&connection->output);
}
