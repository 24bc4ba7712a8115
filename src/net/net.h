/*
 * The network: an event loop with two listening sockets for callers, and kept connections for our
 * own calls, all HTTP/1.1 over TCP. Requests that arrive and replies to our calls are handed to
 * callbacks; nothing is decided here. One thread; nothing but net_poll() blocks.
 */
#ifndef PLOVERLOFT_NET_H
#define PLOVERLOFT_NET_H

#include <stddef.h>
#include <stdint.h>

#include "net/clock.h"

struct net;

/* Which of the listening sockets a caller came in by. */
enum net_side {
	NET_FRONT, /* users and agents: bodies up to HTTP_BODY_MAX */
	NET_BACK   /* other controllers: bodies up to HTTP_REPLY_MAX */
};

#define NET_SIDES 2

/* The status of a call that ended without an HTTP status. */
enum net_call_failure {
	NET_NOT_SENT = -1, /* nothing left this process: it is certain not to be carried out */
	NET_NO_REPLY = 0   /* it may have been carried out, or may yet be */
};

/*
 * `ctx` is that of net_new(); text and bodies are valid during the callback. A NUL follows the
 * body, which is not counted in `len`. Callbacks may call net_send() and net_answer(), not
 * net_poll().
 */
struct net_ops {
	/* A request: to be answered by net_answer() under `conn`, now or later. */
	void (*request)(void *ctx, uint64_t conn, enum net_side side, const char *method,
			const char *path, const char *body, size_t len);
	/*
	 * The end of a call, exactly once for each net_send() unless net_free() comes first.
	 * `status` is that of HTTP, or an enum net_call_failure, for which the body is empty.
	 */
	void (*reply)(void *ctx, uint64_t id, int status, const char *body, size_t len);
};

/* A call to send. Its texts are copied. */
struct net_call {
	uint64_t id;	  /* the caller's own, for the reply */
	const char *addr; /* "ADDRESS:PORT", numeric IPv4 */
	const char *method;
	const char *path;
	const char *body; /* `len` bytes */
	size_t len;
	double timeout_s; /* until it ends without a reply; the precision is NET_SWEEP_MS */
};

/*
 * A loop with at most `max_conns` connections, NET_CONNS_RESERVED of which are for our own calls
 * alone. A caller's connection is closed once it has idled for `idle_s` seconds, or when sockets
 * run short. `ops` is kept, not copied. Freed by net_free().
 */
struct net *net_new(const struct net_ops *ops, void *ctx, int max_conns, double idle_s);

/* Closes all sockets; calls under way end without their callback. */
void net_free(struct net *net);

/* Listens on "ADDRESS:PORT" for one side, once. 0, or -1 if that cannot be. */
int net_listen(struct net *net, enum net_side side, const char *addr);

/* Sends a call. If that fails at once, the reply callback runs before this returns. */
void net_send(struct net *net, const struct net_call *call);

/*
 * Answers the request that came under `conn`, in JSON; nothing happens if its connection is gone or
 * the request is answered already. `retry_after`: seconds for that header, 0 for none.
 */
void net_answer(struct net *net, uint64_t conn, int status, int retry_after, const char *body,
		size_t len);

/* Waits up to `wait_s` seconds, at most NET_SWEEP_MS, for events; handles those that came. */
void net_poll(struct net *net, double wait_s);

#endif
