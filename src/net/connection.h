/*
 * The common part of all connections of the event loop: the socket, its registration with epoll and
 * its buffers. Listening sockets use only the registration. Each kind of connection is a structure
 * whose first member is a `struct connection`. Events of epoll point to that member, and its `kind`
 * tells which structure it belongs to.
 */
#ifndef PLOVERLOFT_CONNECTION_H
#define PLOVERLOFT_CONNECTION_H

#include <stdbool.h>
#include <stddef.h>

#include "util/buf.h"

struct epoll_event;

/* The kinds of sockets. The log shows the values as field `kind` of the event connection_evicted.
 */
enum connection_kind {
	CONNECTION_LISTENER = 0,
	CONNECTION_SERVER = 1, /* made by a caller: see server_connections.h */
	CONNECTION_CLIENT = 2, /* made for our own calls: see client_pool.h */
};

/* The result of a read or write on a connection. */
enum connection_result {
	CONNECTION_OK,
	/* The input is longer than the caller allows. Bytes may be left in the socket. */
	CONNECTION_FULL,
	/* The other side closed the connection, or the connection failed. The caller has to close
	 * the connection. */
	CONNECTION_BROKEN
};

/* How much a single call of connection_read() reads. */
enum read_extent {
	/* Until a read returns less than a full chunk. This saves one more system call, which would
	 * most likely return nothing. */
	READ_AVAILABLE,
	/* Until nothing is left, so that the end of the stream is noticed too. */
	READ_TO_END
};

/* The open connections of an event loop. */
struct connection_set {
	int epoll_fd;	/* owned */
	int open_count; /* open connections; listening sockets are not counted */
};

/* One connection, or a listening socket. */
struct connection {
	int fd; /* owned */
	enum connection_kind kind;
	/* The socket is closed. The memory is freed at the end of the event-loop iteration, since
	 * events that are not yet handled may point to it. */
	bool closed;
	bool awaits_write; /* epoll reports when the socket becomes writable */
	struct buf input;  /* bytes received and not yet consumed */
	struct buf output; /* bytes to be sent */
};

/* Initialises an empty set and opens its epoll descriptor. */
void connection_set_init(struct connection_set *set);
/* Closes the epoll descriptor of the set. The connections must already be closed. */
void connection_set_free(struct connection_set *set);

/*
 * Waits up to `wait_ms` milliseconds for events. Writes at most `events_max` of them to `events`
 * and returns their number, or -1 on failure. The data.ptr of each event is its `struct
 * connection`.
 */
int connection_set_wait(const struct connection_set *set, struct epoll_event *events,
			int events_max, int wait_ms);

/* Registers a listening socket with epoll. */
void connection_set_add_listener(struct connection_set *set, struct connection *listener);

/* Registers a connection with epoll and counts it as open. */
void connection_set_add(struct connection_set *set, struct connection *connection);

/* Closes the socket of an added connection and marks the connection as closed. */
void connection_set_close(struct connection_set *set, struct connection *connection);

/*
 * Reads from the socket and appends to `input`. A NUL follows the contents of `input` in memory.
 * Stops with CONNECTION_FULL once `input` is longer than `input_max` bytes.
 */
enum connection_result connection_read(struct connection *connection, size_t input_max,
				       enum read_extent extent);

/* Sends as much of `output` as the socket accepts. If some is left, epoll reports when the socket
 * becomes writable again. */
enum connection_result connection_flush(const struct connection_set *set,
					struct connection *connection);

/* Frees the memory of the buffers that are empty, since thousands of connections may be idle. */
void connection_free_empty_buffers(struct connection *connection);

/* Frees both buffers with their contents. */
void connection_free_buffers(struct connection *connection);

#endif
