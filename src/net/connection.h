/*
 * What all connections of the event loop have in common: the socket, its place in epoll and its
 * buffers. Listening sockets use it for their place in epoll alone. The kinds of connection are
 * structures whose first member is a `struct connection`. Events of epoll point to that member, and
 * its `kind` tells which structure it belongs to.
 */
#ifndef PLOVERLOFT_CONNECTION_H
#define PLOVERLOFT_CONNECTION_H

#include <stdbool.h>
#include <stddef.h>

#include "util/buf.h"

struct epoll_event;

/* The numbers are shown in the log. */
enum connection_kind {
	CONNECTION_LISTENER = 0,
	CONNECTION_SERVER = 1, /* a caller's: see server_connections.h */
	CONNECTION_CLIENT = 2, /* for our own calls: see client_pool.h */
};

enum connection_result {
	CONNECTION_OK,
	CONNECTION_BROKEN /* closed by the other side, failed, or it sent too much: to be closed */
};

/* How far a connection is read at once. */
enum read_extent {
	READ_AVAILABLE, /* what is there, with no call more to see that nothing else is */
	READ_TO_END	/* until nothing is left, so that the end of the stream is noticed too */
};

/* The epoll instance of a loop, and how many connections are open in it, listeners not counted. */
struct connection_set {
	int epoll_fd;
	int open_count;
};

struct connection {
	int fd; /* owned */
	enum connection_kind kind;
	bool closed;	   /* its socket is gone; memory is freed at the end of the iteration */
	bool awaits_write; /* epoll reports when the socket can take more */
	struct buf input;  /* received, not yet consumed */
	struct buf output; /* to be sent */
};

/* An empty set with an epoll descriptor of its own. */
void connection_set_init(struct connection_set *set);
/* Closes the epoll descriptor; the connections are closed before. */
void connection_set_free(struct connection_set *set);

/*
 * Waits up to `wait_ms` for events of epoll. Returns how many of the `events_max` were filled, or
 * -1; the data.ptr of each is its `struct connection`.
 */
int connection_set_wait(const struct connection_set *set, struct epoll_event *events,
			int events_max, int wait_ms);

/* Has epoll report what happens on a listening socket. */
void connection_set_add_listener(struct connection_set *set, struct connection *listener);

/* Counts a connection and has epoll report what happens on it. */
void connection_set_add(struct connection_set *set, struct connection *connection);

/* Closes the socket of a connection that was added and marks it as closed. */
void connection_set_close(struct connection_set *set, struct connection *connection);

/*
 * Appends to `input` what has come; a NUL follows it in memory. More than `input_max` bytes there
 * make the connection count as broken.
 */
enum connection_result connection_read(struct connection *connection, size_t input_max,
				       enum read_extent extent);

/* Sends as much of `output` as the socket takes; epoll reports when it can take the rest. */
enum connection_result connection_flush(const struct connection_set *set,
					struct connection *connection);

/* Frees the buffers that are empty: thousands of connections are idle. */
void connection_release_buffers(struct connection *connection);

/* Frees the buffers with what they hold. */
void connection_free_buffers(struct connection *connection);

#endif
