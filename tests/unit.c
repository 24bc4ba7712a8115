/* Parsers against malformed and hostile input, and small pieces that scenarios do not reach. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "conf/conf.h"
#include "constants.h"
#include "core/agents/report_cache.h"
#include "core/state.h"
#include "net/http.h"
#include "net/net.h"
#include "wire/names.h"
#include "wire/wire.h"

static int failures, checks;

static void check(int ok, const char *what, const char *detail)
{
	checks++;
	if (ok)
		return;
	failures++;
	fprintf(stderr, "FAIL %s: %s\n", what, detail);
}

/* Every message is parsed from a block of exactly its size, so that a read beyond it is seen. */
static enum http_result parse(struct http_msg *m, const char *text, size_t len, int response)
{
	char *copy = malloc(len ? len : 1);
	enum http_result r;

	memcpy(copy, text, len);
	r = http_parse(m, copy, len, response, 1000);
	free(copy);
	return r;
}

static void test_http_requests(void)
{
	static const struct {
		const char *text;
		enum http_result want;
	} cases[] = {
	    {"GET / HTTP/1.1\r\n\r\n", HTTP_OK},
	    {"GET / HTTP/1.1\n\n", HTTP_OK},
	    {"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", HTTP_OK},
	    {"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", HTTP_MORE},
	    {"POST /a HTTP/1.1\r\nContent-Le", HTTP_MORE},
	    {"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", HTTP_BAD},
	    {"POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", HTTP_BAD},
	    {"POST /a HTTP/1.1\r\nContent-Length: 1e3\r\n\r\n", HTTP_BAD},
	    {"POST /a HTTP/1.1\r\nContent-Length: \r\n\r\n", HTTP_BAD},
	    {"POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", HTTP_BAD},
	    {"POST /a HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", HTTP_TOO_LARGE},
	    {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", HTTP_BAD},
	    {"GET / HTTP/2.0\r\n\r\n", HTTP_BAD},
	    {"GET / HTTP/1.1 x\r\n\r\n", HTTP_BAD},
	    {"GET  / HTTP/1.1\r\n\r\n", HTTP_BAD},
	    {"get / HTTP/1.1\r\n\r\n", HTTP_BAD},
	    {"GET http://x/ HTTP/1.1\r\n\r\n", HTTP_BAD},
	    {"GET /\x01 HTTP/1.1\r\n\r\n", HTTP_BAD},
	    {"GET / HTTP/1.1\r\n: v\r\n\r\n", HTTP_BAD},
	    {"GET / HTTP/1.1\r\nno colon\r\n\r\n", HTTP_BAD},
	    {"GET / HTTP/1.1\r\n folded: v\r\n\r\n", HTTP_BAD},
	    {"GET / HTTP/1.1\r\nA b: v\r\n\r\n", HTTP_BAD},
	    {"\r\n\r\n", HTTP_BAD},
	    {"\x16\x03\x01\x02\n", HTTP_BAD},
	    {"METHODTOOLONG / HTTP/1.1\r\n\r\n", HTTP_BAD},
	};
	struct http_msg m;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		check(parse(&m, cases[i].text, strlen(cases[i].text), 0) == cases[i].want,
		      "http request", cases[i].text);
	check(parse(&m, "GET /\0x HTTP/1.1\r\n\r\n", 21, 0) == HTTP_BAD, "http", "NUL in path");
}

/* Whatever is cut off must ask for more or be refused, never be taken for whole. */
static void test_http_pieces(void)
{
	const char *text = "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
	struct http_msg m;

	for (size_t n = 0; n < strlen(text); n++)
		check(parse(&m, text, n, 0) == HTTP_MORE, "http piece", text + n);
	check(parse(&m, text, strlen(text), 0) == HTTP_OK && m.body_len == 4, "http whole", text);
}

static void test_http_head_limit(void)
{
	size_t n = HTTP_HEAD_MAX + 100;
	char *big = malloc(n);
	struct http_msg m;

	memset(big, 'a', n);
	check(http_parse(&m, big, n, 0, 1000) == HTTP_BAD, "http", "endless line");
	/* NOLINTNEXTLINE(bugprone-not-null-terminated-result): a message of exactly this size */
	memcpy(big, "GET / HTTP/1.1\r\nX: ", 19);
	check(http_parse(&m, big, n, 0, 1000) == HTTP_BAD, "http", "endless header");
	free(big);
}

static void test_http_responses(void)
{
	struct http_msg m;
	const char *ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";

	check(parse(&m, ok, strlen(ok), 1) == HTTP_OK && m.status == 200 && m.close, "response",
	      ok);
	check(parse(&m, "HTTP/1.1 2x0 OK\r\n\r\n", 19, 1) == HTTP_BAD, "response", "status");
	check(parse(&m, "HTTP/1.1\r\n\r\n", 12, 1) == HTTP_BAD, "response", "no status");
}

/* Single bytes changed at random in a valid request: any answer, but no read out of bounds. */
static void test_http_mutations(void)
{
	const char *text = "POST /api/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
	unsigned short seed[3] = {1, 2, 3};
	char copy[128];
	struct http_msg m;
	int ok = 0;

	for (int i = 0; i < 20000; i++) {
		/* NOLINTNEXTLINE(bugprone-not-null-terminated-result): its size is exact */
		memcpy(copy, text, strlen(text));
		for (int k = 0; k < 3; k++)
			copy[(size_t)(erand48(seed) * (double)strlen(text))] =
			    (char)(erand48(seed) * 256);
		ok += parse(&m, copy, strlen(text), 0) == HTTP_OK;
	}
	check(ok > 0 && ok < 20000, "http", "mutations are told apart");
}

static const char *good_job =
    "{\"uid\":\"job-1\",\"naipe\":\"c\",\"grupo\":\"t\",\"feitio\":\"array\",\"vez\":\"normal\","
    "\"partes\":3,\"cores\":1.0,\"gpus\":0,\"memGb\":2,\"molde\":\"i\",\"pullGb\":1,"
    "\"feitiosMaquina\":null,\"praca\":null,\"together\":false,\"scatter\":false,"
    "\"avulsas\":true,\"previstoS\":10,\"marcoS\":0,\"gravarS\":0,\"prazoS\":null}";

static int job_with(const char *key, const char *value)
{
	json_t *o = wire_parse(good_job, strlen(good_job));
	struct job_spec spec;
	const char *why;
	int rc;

	if (value)
		json_object_set_new(o, key, json_loads(value, JSON_DECODE_ANY, NULL));
	else
		json_object_del(o, key);
	rc = wire_job_decode(o, &spec, &why);
	wire_job_free(&spec);
	json_decref(o);
	return rc;
}

static void test_jobs(void)
{
	static const char *const bad[][2] = {
	    {"uid", "\"job-\""},
	    {"uid", "\"job-1x\""},
	    {"uid", "\"jab-1\""},
	    {"uid", "7"},
	    {"partes", "0"},
	    {"partes", "-1"},
	    {"partes", "1.5"},
	    {"partes", "100001"},
	    {"partes", "\"3\""},
	    {"cores", "-1"},
	    {"cores", "\"NaN\""},
	    {"cores", "1e300"},
	    {"memGb", "null"},
	    {"feitio", "\"other\""},
	    {"vez", "\"soon\""},
	    {"together", "0"},
	    {"avulsas", "null"},
	    {"feitiosMaquina", "[]"},
	    {"feitiosMaquina", "[1]"},
	    {"praca", "\"\""},
	    {"praca", "3"},
	    {"prazoS", "-2"},
	    {"molde", "\"\""},
	    {"grupo", "null"},
	};
	static const char *const needed[] = {
	    "uid",     "naipe",	  "grupo",     "feitio", "vez",	   "partes",
	    "cores",   "gpus",	  "memGb",     "molde",	 "pullGb", "together",
	    "scatter", "avulsas", "previstoS", "marcoS", "gravarS"};
	static const char *const optional[] = {"feitiosMaquina", "praca", "prazoS"};

	check(job_with("other", "[{}]") == 0, "job", "unknown field is ignored");
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		check(job_with(bad[i][0], bad[i][1]) != 0, bad[i][0], bad[i][1]);
	for (size_t i = 0; i < sizeof(needed) / sizeof(needed[0]); i++)
		check(job_with(needed[i], NULL) != 0, "job without", needed[i]);
	for (size_t i = 0; i < sizeof(optional) / sizeof(optional[0]); i++)
		check(job_with(optional[i], NULL) == 0, "job without", optional[i]);
	check(!wire_parse("{\"a\":NaN}", 9), "json", "NaN");
	check(!wire_parse("{\"a\":1}x", 8), "json", "trailing");
	check(!wire_parse("", 0), "json", "empty");
}

static void test_job_roundtrip(void)
{
	json_t *o = wire_parse(good_job, strlen(good_job)), *again, *third;
	struct job_spec a, b;
	const char *why;

	check(!wire_job_decode(o, &a, &why), "job", "decode");
	again = wire_job_encode(&a);
	check(!wire_job_decode(again, &b, &why), "job", "decode again");
	third = wire_job_encode(&b);
	check(json_equal(again, third), "job", "round trip");
	wire_job_free(&a);
	wire_job_free(&b);
	json_decref(o);
	json_decref(again);
	json_decref(third);
}

#define MANY_NAMES 100

/* Neither the types that a job allows nor the zones of a type have a bound. */
static void test_many_names(void)
{
	json_t *o = wire_parse(good_job, strlen(good_job)), *names = json_array(), *type;
	struct machine_type *types;
	struct job_spec spec;
	const char *why;
	size_t n = 0;

	for (int i = 0; i < MANY_NAMES; i++)
		json_array_append_new(names, json_sprintf("name-%d", i));
	json_object_set(o, W_TYPES, names);
	check(!wire_job_decode(o, &spec, &why), "names", "a job of many types");
	check(spec.types.count == MANY_NAMES && name_list_has(&spec.types, "name-99") &&
		  !name_list_has(&spec.types, "name-100"),
	      "names", "all of them");
	wire_job_free(&spec);
	json_decref(o);
	type = json_pack("{s:[{s:s,s:i,s:i,s:i,s:o}]}", W_TYPES, W_NAME, "g", W_CPUS, 8, W_MEMORY,
			 16, W_PRICE, 1, W_ZONES, names);
	check(!wire_types_decode(type, &types, &n) && n == 1, "names", "a type of many zones");
	check(n == 1 && types[0].zones.count == MANY_NAMES, "names", "all of them");
	if (n)
		wire_types_free(types, n);
	json_decref(type);
}

static void test_reports(void)
{
	static const char *const bad[] = {
	    "",
	    "{}",
	    "[]",
	    "{\"poleiro\":\"vm-1\"}",
	    "{\"poleiro\":\"vm-1\",\"endpoint\":\"a:1\",\"feitioMaquina\":\"g\",\"praca\":\"a\","
	    "\"avulsas\":false,\"turno\":1,\"compasso\":1,\"batuta\":1,"
	    "\"partes\":[{\"parte\":\"job-1\",\"entrada\":1,\"estado\":\"running\"}]}",
	    "{\"poleiro\":\"vm-1\",\"endpoint\":\"a:1\",\"feitioMaquina\":\"g\",\"praca\":\"a\","
	    "\"avulsas\":false,\"turno\":1,\"compasso\":1,\"batuta\":1,"
	    "\"partes\":[{\"parte\":\"job-1/0\",\"entrada\":1,\"estado\":\"dancing\"}]}",
	};
	struct report r;

	/* A report half understood would make absence of proof look like proof. */
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		check(wire_report_decode(bad[i], strlen(bad[i]), &r) != 0, "report", bad[i]);
}

static void test_bits(void)
{
	uint8_t bits[64], back[64];
	unsigned short seed[3] = {5, 6, 7};

	for (uint32_t n = 1; n <= 512; n += 7) {
		char *text;

		memset(bits, 0, sizeof(bits));
		memset(back, 0, sizeof(back));
		for (uint32_t k = 0; k < n; k++)
			if (erand48(seed) < 0.4)
				bits[k / 8] |= (uint8_t)(1u << (k % 8));
		text = bits_encode(bits, n);
		check(!bits_decode(text, back, n) && !memcmp(bits, back, sizeof(bits)), "bits",
		      text);
		free(text);
	}
	check(bits_decode("!", back, 8) != 0, "bits", "bad letter");
	check(bits_decode("____", back, 8) != 0, "bits", "too many");
}

/* The thesis's formula: nothing towards the larger, certain where the gap is wide. */
static void test_rho(void)
{
	check(share_switch_probability(3, 3) == 0 && share_switch_probability(4, 3) == 0 &&
		  share_switch_probability(0, 5) == 0,
	      "rho", "none");
	check(share_switch_probability(1, 5) == 1, "rho", "capped at one");
	check(share_switch_probability(3, 4) > 0.2916 && share_switch_probability(3, 4) < 0.2917,
	      "rho", "(16-9)/24");
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

#define REPORT_HEAD                                                                                \
	"{\"" W_MACHINE "\":\"vm-000001\",\"" W_ADDR "\":\"10.1.0.1:9000\",\"" W_TYPE              \
	"\":\"g\",\"" W_ZONE "\":\"a\",\"" W_SPOT "\":false,\"" W_INCARNATION "\":1,\"" W_SEQUENCE \
	"\":"
#define REPORT_TAIL ",\"" W_TOKEN "\":41,\"" W_TASKS "\":[]}"

/* Stores the first text and looks for the second: the sequence number found, or 0. */
static uint64_t recognised(const char *first, const char *second)
{
	struct report_cache cache = {NULL};
	struct report_cache_entry *slot = NULL;
	const struct report *found;
	struct report report;
	uint64_t sequence = 0;

	if (!wire_report_decode(first, strlen(first), &report)) {
		report_cache_store(&cache, &slot, first, strlen(first), &report);
		wire_report_free(&report);
	}
	found = report_cache_find(&cache, second, strlen(second));
	if (found)
		sequence = found->sequence;
	report_cache_remove(&cache, &slot);
	return sequence;
}

static void test_report_cache(void)
{
	static const char first[] = REPORT_HEAD "88" REPORT_TAIL;
	static const char nested[] = REPORT_HEAD "88,\"x\":{\"" W_SEQUENCE "\":5}" REPORT_TAIL;
	char large[REPORT_CACHE_TEXT_MAX + 400];

	check(recognised(first, REPORT_HEAD "89" REPORT_TAIL) == 89, "report cache", "next");
	check(recognised(first, REPORT_HEAD "1000" REPORT_TAIL) == 1000, "report cache", "longer");
	check(!recognised(first, REPORT_HEAD REPORT_TAIL), "report cache", "no number");
	check(!recognised(first, REPORT_HEAD "-9" REPORT_TAIL), "report cache", "negative");
	check(!recognised(first, REPORT_HEAD "9.5" REPORT_TAIL), "report cache", "fraction");
	check(!recognised(first, REPORT_HEAD "99999999999999999999999" REPORT_TAIL), "report cache",
	      "too large");
	check(!recognised(first, REPORT_HEAD "89,\"" W_TOKEN "\":42,\"" W_TASKS "\":[]}"),
	      "report cache", "another token");
	check(!recognised(first, REPORT_HEAD "89" REPORT_TAIL " "), "report cache", "trailing");
	check(!recognised(first, REPORT_HEAD "89"), "report cache", "cut");
	check(!recognised(nested, nested), "report cache", "a second number of that name");
	snprintf(large, sizeof(large), REPORT_HEAD "88,\"x\":\"%0*d\"" REPORT_TAIL,
		 REPORT_CACHE_TEXT_MAX, 0);
	check(!recognised(large, large), "report cache", "too long");
}

int main(void)
{
	test_http_requests();
	test_http_pieces();
	test_http_head_limit();
	test_http_responses();
	test_http_mutations();
	test_jobs();
	test_job_roundtrip();
	test_many_names();
	test_reports();
	test_report_cache();
	test_answers_end();
	test_large_bodies();
	test_bits();
	test_rho();
	test_sockets_short();
	test_sockets_in_turn();
	test_own_answers_first();
	test_late_gave_up();
	printf("%d passed, %d failed\n", checks - failures, failures);
	return failures != 0;
}
