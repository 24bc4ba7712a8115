/*
 * The network layer: an event loop over epoll with two listening sockets for callers (users, agents
 * and other controllers) and persistent connections for our own calls. All messages are HTTP/1.1
 * over TCP. Requests that arrive and the ends of our calls are passed to callbacks; this layer does
 * not interpret them. A loop is used by one thread, and only net_poll() blocks.
 */
#ifndef PLOVERLOFT_NET_H
#define PLOVERLOFT_NET_H

#include <stddef.h>
#include <stdint.h>

#include "net/clock.h"

struct net;

/* The listening socket that a caller connected to. */
enum net_side {
	NET_FRONT, /* for users and agents: bodies of up to HTTP_BODY_MAX bytes */
	NET_BACK   /* for other controllers: bodies of up to HTTP_REPLY_MAX bytes */
};

/* Number of values of enum net_side. */
#define NET_SIDE_COUNT 2

/* The status of a call that ended without an HTTP status. */
enum net_call_failure {
	NET_NOT_SENT = -1, /* nothing was sent, so the receiver cannot carry the call out */
	NET_NO_REPLY = 0   /* the receiver may have carried the call out, or may yet do so */
};

/*
 * Callbacks of the event loop. `ctx` is the one that was given to net_new(). Strings and bodies are
 * valid during the callback only. A NUL follows each body; `len` does not count it. Callbacks may
 * call net_send() and net_answer(), but not net_poll().
 */
struct net_callbacks {
	/* A request arrived. It is answered with net_answer() and `conn`, at once or later. */
	void (*request)(void *ctx, uint64_t conn, enum net_side side, const char *method,
			const char *path, const char *body, size_t len);
	/*
	 * A call ended. Called exactly once for each net_send(), unless net_free() comes first.
	 * `status` is the HTTP status or an enum net_call_failure; with the latter the body is
	 * empty.
	 */
	void (*reply)(void *ctx, uint64_t id, int status, const char *body, size_t len);
	/* A caller closed the connection `conn`, or it failed, before its request was answered.
	 * NULL: not needed. */
	void (*closed)(void *ctx, uint64_t conn);
};

/* A call to send. Its strings and its body are copied. */
struct net_call {
	uint64_t id;	  /* chosen by the sender; passed to the reply callback */
	const char *addr; /* "ADDRESS:PORT" with a numeric IPv4 address */
	const char *method;
	const char *path;
	const char *body;
	size_t len;	  /* bytes of the body */
	double timeout_s; /* time until the call ends without a reply; precise to NET_SWEEP_MS */
};

/*
 * Makes an event loop, which the caller frees with net_free(). It has at most `max_conns` open
 * connections, of which NET_CONNS_RESERVED can be used by our own calls only. A caller's connection
 * is closed once it has been idle for `caller_idle_max_s` seconds, or earlier when sockets run
 * short. `callbacks` is not copied and must outlive the loop.
 */
struct net *net_new(const struct net_callbacks *callbacks, void *ctx, int max_conns,
		    double caller_idle_max_s);

/* Closes all sockets and frees the loop. Calls in flight end without their callback. */
void net_free(struct net *net);

/*
 * Opens the listening socket of a side on "ADDRESS:PORT". To be called once for each side. Returns
 * 0, or -1 if the address is malformed or cannot be listened on.
 */
int net_listen(struct net *net, enum net_side side, const char *addr);

/* Sends a call. If sending fails at once, the reply callback runs before the function returns. */
void net_send(struct net *net, const struct net_call *call);

/*
 * Answers the request that arrived on the connection `conn` with a JSON body. Does nothing if the
 * connection is closed or the request is already answered. `retry_after` is the value of the
 * Retry-After header in seconds; 0: no such header.
 */
void net_answer(struct net *net, uint64_t conn, int status, int retry_after, const char *body,
		size_t len);

/* Runs one event-loop iteration: waits for events for up to `wait_s` seconds, but at most
 * NET_SWEEP_MS, then handles them and the timeouts that have passed. */
void net_poll(struct net *net, double wait_s);

#endif
