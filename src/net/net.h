/*
 * The loop and its connections: two listening sockets, kept client connections per address.
 * Requests that arrive and answers to our own are handed to the callbacks; nothing is decided here.
 */
#ifndef PLOVERLOFT_NET_H
#define PLOVERLOFT_NET_H

#include <stddef.h>
#include <stdint.h>

#include "net/clock.h"

struct net;

enum net_side { NET_FRONT, NET_BACK };

struct net_ops {
	void (*request)(void *ctx, uint64_t conn, enum net_side side, const char *method,
			const char *path, const char *body, size_t len);
	/* status 0: no answer; it may have been carried out, or may yet be. A NUL follows the body.
	 */
	void (*reply)(void *ctx, uint64_t id, int status, const char *body, size_t len);
};

struct net_call {
	uint64_t id;
	const char *addr;
	const char *method;
	const char *path;
	const char *body;
	size_t len;
	double timeout_s;
};

/* A caller's connection is closed once it idled `idle_s`, or when sockets run short. */
struct net *net_new(const struct net_ops *ops, void *ctx, int max_conns, double idle_s);
void net_free(struct net *n);
int net_listen(struct net *n, enum net_side side, const char *addr);
void net_send(struct net *n, const struct net_call *call);
void net_answer(struct net *n, uint64_t conn, int status, int retry_after, const char *body,
		size_t len);
/* Waits up to `wait_s`, handles what came. */
void net_poll(struct net *n, double wait_s);

#endif
