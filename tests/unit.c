/* Parsers against malformed and hostile input, and small pieces that scenarios do not reach. */
#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "constants.h"
#include "net/net.h"

static int failures, checks;

static void check(int ok, const char *what, const char *detail)
{
	checks++;
	if (ok)
		return;
	failures++;
	fprintf(stderr, "FAIL %s: %s\n", what, detail);
}

/* --- sockets running short --- */

#define SHORT_CALLERS 12 /* callers that stay, where sockets are there for SHORT_ROOM */
#define SHORT_ROOM 8

static void short_request(void *ctx, uint64_t conn, enum net_side side, const char *method,
			  const char *path, const char *body, size_t len)
{
	(void)side, (void)method, (void)path, (void)body, (void)len;
	net_answer(*(struct net **)ctx, conn, 200, 0, "{}", 2);
}

static void short_listen(struct net *n, struct sockaddr_in *sa, enum net_side side)
{
	socklen_t len = sizeof(*sa);
	char addr[64];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	*sa =
	    (struct sockaddr_in){.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	if (bind(fd, (struct sockaddr *)sa, len) || getsockname(fd, (struct sockaddr *)sa, &len))
		abort();
	close(fd);
	snprintf(addr, sizeof(addr), "127.0.0.1:%d", ntohs(sa->sin_port));
	check(!net_listen(n, side, addr), "sockets", "listen");
}

/* Asks once and tells whether an answer came while the loop was turned. */
static bool short_asked(struct net *n, int fd)
{
	static const char ask[] = "GET /ready HTTP/1.1\r\n\r\n";
	char in[256];

	if (send(fd, ask, sizeof(ask) - 1, MSG_NOSIGNAL) < 0)
		return false;
	for (int i = 0; i < 200; i++) {
		ssize_t r;

		net_poll(n, 0.005);
		r = recv(fd, in, sizeof(in), MSG_DONTWAIT);
		if (r >= 0)
			return r > 0;
	}
	return false;
}

/*
 * More callers stay than there are sockets: each new one is answered, and who was silent longest is
 * closed for it; who spoke in between stays.
 */
static void test_sockets_short(void)
{
	struct net *n;
	static const struct net_ops ops = {short_request, NULL};
	int fds[SHORT_CALLERS], answered = 0;
	struct sockaddr_in sa;

	n = net_new(&ops, &n, SHORT_ROOM + NET_CONNS_RESERVED, 60);
	short_listen(n, &sa, NET_FRONT);
	for (int i = 0; i < SHORT_CALLERS; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		if (connect(fds[i], (struct sockaddr *)&sa, sizeof(sa)))
			abort();
		answered += short_asked(n, fds[i]);
		if (i == SHORT_ROOM - 1)
			check(short_asked(n, fds[0]), "sockets", "the first speaks again");
	}
	check(answered == SHORT_CALLERS, "sockets", "every new caller is answered");
	check(short_asked(n, fds[0]), "sockets", "who spoke last stays");
	check(!short_asked(n, fds[1]), "sockets", "who was silent longest is closed");
	check(short_asked(n, fds[SHORT_CALLERS - 1]), "sockets", "the newest stays");
	for (int i = 0; i < SHORT_CALLERS; i++)
		close(fds[i]);
	net_free(n);
}

/* --- more callers than sockets, in turn --- */

#define TURN_ROOM 100	 /* sockets for callers */
#define TURN_CALLERS 130 /* who come one after the other, again and again */
#define TURN_ROUNDS 5

/* Asks once; connects if need be. 1: connected anew, -1: was closed without a word. */
static int turn_ask(struct net *n, int *fd, const struct sockaddr_in *sa)
{
	static const char ask[] = "GET /ready HTTP/1.1\r\n\r\n";
	char buf[512];
	int anew = *fd < 0;
	ssize_t r = -1;

	if (anew) {
		*fd = socket(AF_INET, SOCK_STREAM, 0);
		if (connect(*fd, (const struct sockaddr *)sa, sizeof(*sa)))
			abort();
	}
	send(*fd, ask, sizeof(ask) - 1, MSG_NOSIGNAL);
	for (int i = 0; i < 50 && r < 0; i++) {
		net_poll(n, 0.001);
		r = recv(*fd, buf, sizeof(buf) - 1, MSG_DONTWAIT);
	}
	buf[r > 0 ? r : 0] = 0;
	if (r <= 0 || strstr(buf, "Connection: close")) {
		close(*fd);
		*fd = -1;
	}
	return r <= 0 ? -1 : anew;
}

static void test_sockets_in_turn(void)
{
	static const struct net_ops ops = {short_request, NULL};
	struct net *n;
	int fds[TURN_CALLERS], anew = 0, broken = 0, first = 0;
	struct sockaddr_in sa;

	n = net_new(&ops, &n, TURN_ROOM + NET_CONNS_RESERVED, 60);
	short_listen(n, &sa, NET_FRONT);
	memset(fds, -1, sizeof(fds));
	for (int k = 0; k < TURN_ROUNDS * TURN_CALLERS; k++) {
		int r = turn_ask(n, &fds[k % TURN_CALLERS], &sa);

		broken += r < 0;
		anew += r > 0;
		if (k == TURN_CALLERS - 1)
			first = anew;
	}
	check(first == TURN_CALLERS, "turn", "all are answered at first");
	check(broken == 0, "turn", "nobody is closed without a word");
	check(anew - first <= (TURN_ROUNDS - 1) * (TURN_CALLERS - TURN_ROOM + 4), "turn",
	      "only those too many connect anew");
	for (int i = 0; i < TURN_CALLERS; i++)
		if (fds[i] >= 0)
			close(fds[i]);
	net_free(n);
}

/* --- our own answers before callers --- */

#define CROWD (NET_TURN + 20)

struct crowd {
	struct net *net;
	int requests, replies;
};

static void crowd_request(void *ctx, uint64_t conn, enum net_side side, const char *method,
			  const char *path, const char *body, size_t len)
{
	struct crowd *c = ctx;

	(void)side, (void)method, (void)path, (void)body, (void)len;
	c->requests++;
	net_answer(c->net, conn, 200, 0, "{}", 2);
}

static void crowd_reply(void *ctx, uint64_t id, int status, const char *body, size_t len)
{
	struct crowd *c = ctx;

	(void)id, (void)body, (void)len;
	c->replies += status == 200;
}

/*
 * More callers than a turn serves have asked, and an answer to a call of ours has come: it is taken
 * in the first turn, callers up to the turn's bound, all the others in the turns after it.
 */
static void test_own_answers_first(void)
{
	static const struct net_ops ops = {crowd_request, crowd_reply};
	static const char ask[] = "GET /ready HTTP/1.1\r\n\r\n";
	struct crowd us = {0}, other = {0};
	struct sockaddr_in sa, to;
	int fds[CROWD];
	char addr[64];
	struct net_call call = {
	    .id = 1, .addr = addr, .method = "GET", .path = "/", .timeout_s = 5};

	us.net = net_new(&ops, &us, CROWD + NET_CONNS_RESERVED + 8, 60);
	other.net = net_new(&ops, &other, NET_CONNS_RESERVED + 8, 60);
	short_listen(us.net, &sa, NET_FRONT);
	short_listen(other.net, &to, NET_FRONT);
	snprintf(addr, sizeof(addr), "127.0.0.1:%d", ntohs(to.sin_port));
	for (int i = 0; i < CROWD; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		if (connect(fds[i], (struct sockaddr *)&sa, sizeof(sa)))
			abort();
		net_poll(us.net, 0.001);
	}
	net_send(us.net, &call);
	for (int i = 0; i < 20; i++)
		net_poll(us.net, 0.001);
	for (int i = 0; i < CROWD; i++)
		check(send(fds[i], ask, sizeof(ask) - 1, MSG_NOSIGNAL) > 0, "turn", "ask");
	for (int i = 0; i < 200 && !other.requests; i++)
		net_poll(other.net, 0.005);
	net_poll(us.net, 0.1);
	check(us.replies == 1, "turn", "our own answer is taken first");
	check(us.requests > 0 && us.requests <= NET_TURN, "turn", "callers up to the bound");
	for (int i = 0; i < 10; i++)
		net_poll(us.net, 0.001);
	check(us.requests == CROWD, "turn", "all the others soon after");
	for (int i = 0; i < CROWD; i++)
		close(fds[i]);
	net_free(us.net);
	net_free(other.net);
}

/* Late in its turns, as a small controller in a burst, the loop leaves out who has closed
 * meanwhile. */
static void test_late_gave_up(void)
{
	static const struct net_ops ops = {crowd_request, crowd_reply};
	static const char ask[] = "GET /ready HTTP/1.1\r\n\r\n";
	struct crowd us = {0};
	struct sockaddr_in sa;
	int fds[2];

	us.net = net_new(&ops, &us, NET_CONNS_RESERVED + 8, 60);
	short_listen(us.net, &sa, NET_FRONT);
	for (int i = 0; i < 2; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		if (connect(fds[i], (struct sockaddr *)&sa, sizeof(sa)))
			abort();
		net_poll(us.net, 0.001);
	}
	for (int i = 0; i < 2; i++)
		check(send(fds[i], ask, sizeof(ask) - 1, MSG_NOSIGNAL) > 0, "late", "ask");
	close(fds[0]);
	usleep((useconds_t)(NET_LATE_S * 1.2e6));
	for (int i = 0; i < 5; i++)
		net_poll(us.net, 0.001);
	check(us.requests == 1, "late", "who waits is answered, who gave up is not");
	close(fds[1]);
	net_free(us.net);
}

/* A server whose first answer is long and whose second, on the same connection, is short. */
struct two_answers {
	struct net *server;
	int asked, answered;
	size_t len[2], text_len[2]; /* of each answer: as told, and up to its NUL */
};

static void two_request(void *ctx, uint64_t conn, enum net_side side, const char *method,
			const char *path, const char *body, size_t len)
{
	static const char first[] = "{\"text\":\"a long answer that fills the buffer\"}";
	struct two_answers *two = ctx;
	bool longer = !two->asked++;

	(void)side, (void)method, (void)path, (void)body, (void)len;
	net_answer(two->server, conn, 200, 0, longer ? first : "{}", longer ? strlen(first) : 2);
}

static void two_reply(void *ctx, uint64_t id, int status, const char *body, size_t len)
{
	struct two_answers *two = ctx;

	check(status == 200 && id < 2, "answers end", "status");
	two->len[id % 2] = len;
	two->text_len[id % 2] = strlen(body);
	two->answered++;
}

/* Readers may take an answer as text: nothing of the one before may follow it. */
static void test_answers_end(void)
{
	static const struct net_ops server_ops = {two_request, NULL},
				    client_ops = {NULL, two_reply};
	struct two_answers two = {0};
	struct net *client = net_new(&client_ops, &two, 100, 60);
	struct sockaddr_in sa;
	char addr[32];

	two.server = net_new(&server_ops, &two, 100, 60);
	short_listen(two.server, &sa, NET_FRONT);
	snprintf(addr, sizeof(addr), "127.0.0.1:%d", ntohs(sa.sin_port));
	for (int i = 0; i < 2; i++) {
		struct net_call call = {(uint64_t)i, addr, "GET", "/", "", 0, 5};

		net_send(client, &call);
		for (int k = 0; k < 500 && two.answered == i; k++) {
			net_poll(client, 0.005);
			net_poll(two.server, 0.005);
		}
	}
	check(two.answered == 2, "answers end", "both came");
	check(two.text_len[0] == two.len[0], "answers end", "the long one");
	check(two.text_len[1] == 2 && two.len[1] == 2, "answers end", "the short one");
	net_free(client);
	net_free(two.server);
}

#define LARGE_BODY (4 * HTTP_BODY_MAX)

struct large_call {
	struct net *server;
	size_t taken;
	int status;
};

static void large_request(void *ctx, uint64_t conn, enum net_side side, const char *method,
			  const char *path, const char *body, size_t len)
{
	struct large_call *large = ctx;

	(void)side, (void)method, (void)path, (void)body;
	large->taken = len;
	net_answer(large->server, conn, 200, 0, "{}", 2);
}

static void large_reply(void *ctx, uint64_t id, int status, const char *body, size_t len)
{
	struct large_call *large = ctx;

	(void)id, (void)body, (void)len;
	large->status = status;
}

/* The status of a request of LARGE_BODY bytes, and how many were taken. */
static struct large_call large_call(enum net_side side)
{
	static const struct net_ops server_ops = {large_request, NULL},
				    client_ops = {NULL, large_reply};
	struct large_call large = {NULL, 0, -2};
	struct net *client = net_new(&client_ops, &large, 100, 60);
	struct net_call call = {0, NULL, "POST", "/", calloc(1, LARGE_BODY), LARGE_BODY, 5};
	struct sockaddr_in sa;
	char addr[32];

	large.server = net_new(&server_ops, &large, 100, 60);
	short_listen(large.server, &sa, side);
	snprintf(addr, sizeof(addr), "127.0.0.1:%d", ntohs(sa.sin_port));
	call.addr = addr;
	net_send(client, &call);
	for (int k = 0; k < 500 && large.status == -2; k++) {
		net_poll(client, 0.005);
		net_poll(large.server, 0.005);
	}
	free((char *)call.body);
	net_free(client);
	net_free(large.server);
	return large;
}

/* What controllers tell each other grows with the fleet; users and workers are held to 64 KiB. */
static void test_large_bodies(void)
{
	struct large_call back = large_call(NET_BACK), front = large_call(NET_FRONT);

	check(back.status == 200 && back.taken == LARGE_BODY, "large bodies", "a controller's");
	check(front.status != 200 && !front.taken, "large bodies", "a worker's");
}

int main(void)
{
	test_answers_end();
	test_large_bodies();
	test_sockets_short();
	test_sockets_in_turn();
	test_own_answers_first();
	test_late_gave_up();
	printf("%d passed, %d failed\n", checks - failures, failures);
	return failures != 0;
}
