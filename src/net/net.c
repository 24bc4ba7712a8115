#include "net/net.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <uthash.h>
#include <utlist.h>

#include "constants.h"
#include "net/clock.h"
#include "net/http.h"
#include "net/tcp.h"
#include "util/buf.h"
#include "util/log.h"

enum conn_kind { CONN_LISTEN, CONN_SERVER, CONN_CLIENT };

struct pool;

struct conn {
	int fd;
	enum conn_kind kind;
	enum net_side side;
	uint64_t id; /* server: names the connection to the core */
	int busy;    /* server: a request awaits its answer; client: a call is out */
	int connecting;
	int close_after;
	int want_out;
	int dead;
	double since;	 /* start of the half-read request, of idleness, or of the call */
	double deadline; /* client: end of the call */
	uint64_t call_id;
	struct pool *pool;
	struct buf in, out;
	struct conn *prev, *next;
	struct conn *iprev, *inext; /* client: among the idle ones of all addresses */
	UT_hash_handle hh;
};

/* The connections to one address; it goes with the last of them. */
struct pool {
	char addr[NET_ADDR_MAX];
	struct conn *idle;
	int nconns;
	UT_hash_handle hh;
};

struct net {
	int ep;
	const struct net_ops *ops;
	void *ctx;
	int max_conns;
	double idle_s; /* seconds a caller's connection may idle */
	int nconns;
	uint64_t next_id;
	double next_sweep;
	double turned;	      /* when the last turn ended */
	int late;	      /* what is read now may have waited longer than its caller does */
	struct conn *servers; /* list, by `since`: who was silent longest comes first */
	struct conn *by_id;   /* hash of servers */
	struct conn *calls;   /* list of busy clients */
	struct conn *idle;    /* list of all idle clients, longest idle first */
	struct conn *dead;    /* list, freed after the round */
	struct pool *pools;
	struct conn listeners[2];
	struct epoll_event *events; /* of one turn: at most one a connection */
};

struct net *net_new(const struct net_ops *ops, void *ctx, int max_conns, double idle_s)
{
	struct net *n = calloc(1, sizeof(*n));

	if (!n)
		abort();
	n->ep = epoll_create1(EPOLL_CLOEXEC);
	n->ops = ops;
	n->ctx = ctx;
	n->max_conns = max_conns;
	n->idle_s = idle_s;
	n->events = calloc((size_t)max_conns, sizeof(*n->events));
	if (!n->events)
		abort();
	n->next_id = 1;
	n->listeners[0].fd = n->listeners[1].fd = -1;
	return n;
}

static void watch(struct net *n, struct conn *c, int op)
{
	struct epoll_event ev = {.events = EPOLLIN | (c->want_out ? EPOLLOUT : 0), .data.ptr = c};

	epoll_ctl(n->ep, op, c->fd, &ev);
}

int net_listen(struct net *n, enum net_side side, const char *addr)
{
	struct conn *c = &n->listeners[side];
	struct sockaddr_in sa;

	if (tcp_address_parse(addr, &sa))
		return -1;
	c->fd = tcp_listen(&sa, n->max_conns);
	c->kind = CONN_LISTEN;
	c->side = side;
	if (c->fd < 0)
		return -1;
	watch(n, c, EPOLL_CTL_ADD);
	return 0;
}

static void idle_add(struct net *n, struct conn *c)
{
	c->since = net_now();
	DL_PREPEND(c->pool->idle, c);
	DL_APPEND2(n->idle, c, iprev, inext);
}

static void idle_remove(struct net *n, struct conn *c)
{
	DL_DELETE(c->pool->idle, c);
	DL_DELETE2(n->idle, c, iprev, inext);
}

/* A caller did something: it is now the last to be silent. */
static void server_stir(struct net *n, struct conn *c)
{
	c->since = net_now();
	DL_DELETE(n->servers, c);
	DL_APPEND(n->servers, c);
}

/* An idle connection holds no buffers: there are thousands of them. */
static void conn_rest(struct conn *c)
{
	if (!c->in.len)
		buf_free(&c->in);
	if (!c->out.len)
		buf_free(&c->out);
}

static void conn_close(struct net *n, struct conn *c)
{
	if (c->dead)
		return;
	c->dead = 1;
	/* Closing alone leaves it with epoll while a forked child still holds the descriptor. */
	epoll_ctl(n->ep, EPOLL_CTL_DEL, c->fd, NULL);
	close(c->fd);
	n->nconns--;
	if (c->kind == CONN_SERVER) {
		HASH_DEL(n->by_id, c);
		DL_DELETE(n->servers, c);
	} else if (c->busy) {
		DL_DELETE(n->calls, c);
	} else {
		idle_remove(n, c);
	}
	DL_APPEND(n->dead, c);
}

static void pool_put(struct net *n, struct pool *p)
{
	if (--p->nconns)
		return;
	HASH_DEL(n->pools, p);
	free(p);
}

/*
 * Sockets run short, as when many machines went silent without closing theirs: whoever has idled
 * longest gives way, our own kept connections first, so that /ready, users and the state service
 * are never crowded out by callers that may not exist any more.
 */
static int make_room(struct net *n)
{
	struct conn *c = n->idle;

	if (!c) {
		DL_FOREACH (n->servers, c)
			if (!c->busy && !c->in.len && !c->out.len)
				break;
	}
	if (!c) {
		log_error("conn_limit", "conns=%d", n->nconns);
		return -1;
	}
	log_debug("conn_evicted", "kind=%d idle=%.1f", c->kind, net_now() - c->since);
	conn_close(n, c);
	return 0;
}

static void free_dead(struct net *n)
{
	struct conn *c, *tmp;

	DL_FOREACH_SAFE (n->dead, c, tmp) {
		DL_DELETE(n->dead, c);
		if (c->pool)
			pool_put(n, c->pool);
		buf_free(&c->in);
		buf_free(&c->out);
		free(c);
	}
}

/* The call ends without an answer, or its connection broke. */
static void call_fail(struct net *n, struct conn *c)
{
	uint64_t id = c->call_id;

	conn_close(n, c);
	n->ops->reply(n->ctx, id, 0, "", 0);
}

static void conn_broken(struct net *n, struct conn *c)
{
	if (c->kind == CONN_CLIENT && c->busy)
		call_fail(n, c);
	else
		conn_close(n, c);
}

static int conn_flush(struct net *n, struct conn *c)
{
	int want;

	while (c->out.len) {
		ssize_t w = send(c->fd, buf_at(&c->out), c->out.len, MSG_NOSIGNAL);

		if (w < 0 && errno == EINTR)
			continue;
		if (w < 0 && errno != EAGAIN)
			return -1;
		if (w < 0)
			break;
		buf_drop(&c->out, (size_t)w);
	}
	want = c->out.len > 0;
	if (want != c->want_out) {
		c->want_out = want;
		watch(n, c, EPOLL_CTL_MOD);
	}
	if (!want && c->kind == CONN_SERVER && c->close_after && !c->busy)
		return -1;
	return 0;
}

/*
 * Nearly all sockets are in use. Callers come in turn: closing who was silent longest would meet
 * each just before its next request, and all would have to connect again. So kept connections of
 * our own go, and then the caller that is answered now, which is told so and has its next request
 * far ahead: only as many as are too many connect anew.
 */
static int crowded(struct net *n)
{
	int room = n->max_conns - NET_CONNS_RESERVED;

	if (n->nconns <= room - room / NET_CROWD_PART)
		return 0;
	if (!n->idle)
		return 1;
	conn_close(n, n->idle);
	return 0;
}

void net_answer(struct net *n, uint64_t id, int status, int retry_after, const char *body,
		size_t len)
{
	struct conn *c;

	HASH_FIND(hh, n->by_id, &id, sizeof(id), c);
	if (!c || !c->busy)
		return;
	c->busy = 0;
	server_stir(n, c);
	if (crowded(n))
		c->close_after = 1;
	buf_addf(&c->out,
		 "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n",
		 status, http_reason(status), len);
	if (retry_after > 0)
		buf_addf(&c->out, "Retry-After: %d\r\n", retry_after);
	if (c->close_after)
		buf_addf(&c->out, "Connection: close\r\n");
	buf_add(&c->out, "\r\n", 2);
	buf_add(&c->out, body, len);
	if (conn_flush(n, c))
		conn_close(n, c);
	else
		conn_rest(c);
}

static void server_refuse(struct net *n, struct conn *c, int status)
{
	static const char body[] = "{\"error\":\"bad request\"}";

	c->busy = 1;
	c->close_after = 1;
	net_answer(n, c->id, status, 0, body, sizeof(body) - 1);
	if (!c->dead)
		conn_close(n, c);
}

/* Users and workers are held to the protocol's limit; what controllers tell grows with the fleet.
 */
static size_t body_max(const struct conn *c)
{
	return c->side == NET_BACK ? HTTP_REPLY_MAX : HTTP_BODY_MAX;
}

static void server_input(struct net *n, struct conn *c)
{
	struct http_msg m;
	char path[HTTP_PATH_MAX];

	while (!c->dead && !c->busy && c->in.len) {
		enum http_result r = http_parse(&m, buf_at(&c->in), c->in.len, 0, body_max(c));
		char *body;

		if (r == HTTP_MORE)
			return;
		if (r != HTTP_OK || m.path_len >= sizeof(path)) {
			server_refuse(n, c, r == HTTP_TOO_LARGE ? 413 : 400);
			return;
		}
		memcpy(path, m.path, m.path_len);
		path[m.path_len] = 0;
		body = malloc(m.body_len + 1);
		if (!body)
			abort();
		memcpy(body, m.body, m.body_len);
		body[m.body_len] = 0;
		buf_drop(&c->in, m.head_len + m.body_len);
		c->busy = 1;
		c->close_after = m.close;
		n->ops->request(n->ctx, c->id, c->side, m.method, path, body, m.body_len);
		free(body);
	}
}

static void client_input(struct net *n, struct conn *c)
{
	struct http_msg m;
	enum http_result r;
	struct buf in;
	uint64_t id = c->call_id;

	if (!c->busy) {
		conn_close(n, c); /* nothing was asked: closed, or a stranger's words */
		return;
	}
	r = http_parse(&m, buf_at(&c->in), c->in.len, 1, HTTP_REPLY_MAX);
	if (r == HTTP_MORE)
		return;
	if (r != HTTP_OK) {
		call_fail(n, c);
		return;
	}
	in = c->in;
	memset(&c->in, 0, sizeof(c->in));
	if (m.close || in.len > m.head_len + m.body_len) {
		conn_close(n, c);
	} else {
		DL_DELETE(n->calls, c);
		c->busy = 0;
		conn_rest(c);
		idle_add(n, c);
	}
	n->ops->reply(n->ctx, id, m.status, m.body, m.body_len);
	buf_free(&in);
}

static void conn_read(struct net *n, struct conn *c)
{
	for (;;) {
		char *p = buf_room(&c->in, NET_READ_CHUNK + 1);
		ssize_t r = recv(c->fd, p, NET_READ_CHUNK, 0);

		if (r < 0 && errno == EINTR)
			continue;
		if (r < 0 && errno == EAGAIN)
			break;
		if (r <= 0) {
			conn_broken(n, c);
			return;
		}
		if (!c->in.len && c->kind == CONN_SERVER)
			server_stir(n, c);
		c->in.len += (size_t)r;
		/* A longer message came before on this connection: none of it may follow this one.
		 */
		p[r] = 0;
		if (c->in.len > HTTP_REPLY_MAX + HTTP_HEAD_MAX ||
		    (c->kind == CONN_SERVER && c->in.len > body_max(c) + HTTP_HEAD_MAX)) {
			conn_broken(n, c);
			return;
		}
		/*
		 * Late, the end of the stream is looked for too: who gave up and closed needs no
		 * answer. A busy leader that answered them all would serve nobody in time.
		 */
		if (r < NET_READ_CHUNK && !(n->late && c->kind == CONN_SERVER))
			break;
	}
	if (c->kind == CONN_SERVER)
		server_input(n, c);
	else
		client_input(n, c);
}

static void accept_one(struct net *n, struct conn *l, int fd)
{
	struct conn *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	tcp_set_no_delay(fd);
	c->fd = fd;
	c->kind = CONN_SERVER;
	c->side = l->side;
	c->id = n->next_id++;
	c->since = net_now();
	n->nconns++;
	HASH_ADD(hh, n->by_id, id, sizeof(c->id), c);
	DL_APPEND(n->servers, c);
	watch(n, c, EPOLL_CTL_ADD);
}

static void net_accept(struct net *n, struct conn *l)
{
	for (int i = 0; i < NET_ACCEPT_BATCH; i++) {
		int fd = tcp_accept(l->fd);

		if (fd < 0)
			return;
		/* Sockets for our own calls are kept back. */
		if (n->nconns >= n->max_conns - NET_CONNS_RESERVED && make_room(n)) {
			close(fd);
			return;
		}
		accept_one(n, l, fd);
	}
}

static struct pool *pool_get(struct net *n, const char *addr)
{
	struct pool *p;

	HASH_FIND_STR(n->pools, addr, p);
	if (p)
		return p;
	p = calloc(1, sizeof(*p));
	if (!p)
		abort();
	snprintf(p->addr, sizeof(p->addr), "%s", addr);
	HASH_ADD_STR(n->pools, addr, p);
	return p;
}

static struct conn *client_open(struct net *n, struct pool *p)
{
	struct sockaddr_in sa;
	struct conn *c;
	int fd;

	if (tcp_address_parse(p->addr, &sa) || (n->nconns >= n->max_conns && make_room(n)))
		return NULL;
	fd = tcp_connect(&sa);
	if (fd < 0)
		return NULL;
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	c->fd = fd;
	c->kind = CONN_CLIENT;
	c->pool = p;
	p->nconns++;
	c->connecting = 1;
	c->want_out = 1;
	n->nconns++;
	watch(n, c, EPOLL_CTL_ADD);
	return c;
}

void net_send(struct net *n, const struct net_call *call)
{
	struct pool *p = pool_get(n, call->addr);
	struct conn *c = p->idle;

	p->nconns++; /* held while it is looked at: opening may close another of its own */
	if (c)
		idle_remove(n, c);
	else
		c = client_open(n, p);
	pool_put(n, p);
	if (!c) {
		n->ops->reply(n->ctx, call->id, -1, "", 0);
		return;
	}
	c->busy = 1;
	c->call_id = call->id;
	c->since = net_now();
	c->deadline = c->since + call->timeout_s;
	DL_APPEND(n->calls, c);
	buf_addf(&c->out, "%s %s HTTP/1.1\r\nHost: %s\r\n", call->method, call->path, p->addr);
	if (call->len || strcmp(call->method, "GET"))
		buf_addf(&c->out, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
			 call->len);
	buf_add(&c->out, "\r\n", 2);
	buf_add(&c->out, call->body, call->len);
	if (!c->connecting && conn_flush(n, c))
		call_fail(n, c);
}

/* A connection that never came about carried nothing: status -1, certain not to be executed. */
static int client_connected(struct net *n, struct conn *c)
{
	if (tcp_connect_failed(c->fd)) {
		uint64_t id = c->call_id;

		conn_close(n, c);
		n->ops->reply(n->ctx, id, -1, "", 0);
		return -1;
	}
	c->connecting = 0;
	return 0;
}

static void conn_event(struct net *n, struct conn *c, uint32_t events)
{
	if (c->dead)
		return;
	if (c->connecting && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) && client_connected(n, c))
		return;
	if (c->connecting)
		return;
	if ((events & EPOLLOUT) && conn_flush(n, c)) {
		conn_broken(n, c);
		return;
	}
	if (events & (EPOLLIN | EPOLLERR | EPOLLHUP))
		conn_read(n, c);
}

static void sweep(struct net *n, double now)
{
	struct conn *c, *tmp;

	DL_FOREACH_SAFE (n->calls, c, tmp) {
		if (c->deadline <= now && !c->dead) {
			uint64_t id = c->call_id;
			int status = c->connecting ? -1 : 0;

			conn_close(n, c);
			n->ops->reply(n->ctx, id, status, "", 0);
		}
	}
	/* Longest silent first. A request half sent, or an answer nobody reads, holds a socket; so
	 * does a caller that is gone without a word. */
	DL_FOREACH_SAFE (n->servers, c, tmp) {
		if (now - c->since <= NET_SLOW_S)
			break;
		if (!c->busy && (c->in.len || c->out.len || now - c->since > n->idle_s))
			conn_close(n, c);
	}
	DL_FOREACH_SAFE2 (n->idle, c, tmp, inext) {
		if (now - c->since <= NET_IDLE_S)
			break;
		conn_close(n, c);
	}
}

/*
 * What answers our own calls goes before what others ask, and only some of that is taken in a turn:
 * when thousands of workers report at once to a controller that is slow, its renewals must not wait
 * behind all of them. What is left is told again by the next wait, first come first.
 */
static void take_events(struct net *n, int k)
{
	int left = NET_TURN;

	for (int i = 0; i < k; i++) {
		struct conn *c = n->events[i].data.ptr;

		if (c->kind == CONN_CLIENT)
			conn_event(n, c, n->events[i].events);
	}
	for (int i = 0; i < k && left; i++) {
		struct conn *c = n->events[i].data.ptr;

		if (c->kind == CONN_CLIENT)
			continue;
		left--;
		if (c->kind == CONN_LISTEN)
			net_accept(n, c);
		else
			conn_event(n, c, n->events[i].events);
	}
}

void net_poll(struct net *n, double wait_s)
{
	double now;
	int k, ms = wait_s <= 0 ? 0 : (int)(wait_s * 1000.0) + 1;

	if (ms > NET_SWEEP_MS)
		ms = NET_SWEEP_MS;
	k = epoll_wait(n->ep, n->events, n->max_conns, ms);
	n->late = net_now() - n->turned > NET_LATE_S;
	take_events(n, k);
	now = net_now();
	n->turned = now;
	if (now >= n->next_sweep) {
		n->next_sweep = now + NET_SWEEP_MS / 1000.0;
		sweep(n, now);
	}
	free_dead(n);
}

void net_free(struct net *n)
{
	while (n->servers)
		conn_close(n, n->servers);
	while (n->calls)
		conn_close(n, n->calls);
	while (n->idle)
		conn_close(n, n->idle);
	free_dead(n);
	for (int i = 0; i < 2; i++)
		if (n->listeners[i].fd >= 0)
			close(n->listeners[i].fd);
	close(n->ep);
	free(n->events);
	free(n);
}
