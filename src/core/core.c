#include "core/core.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"

struct core *core_new(const struct conf *conf, uint64_t seed, struct core_time now)
{
	struct core *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->conf = conf;
	c->now = now.steady;
	c->wall = now.wall;
	c->next_call = 1;
	c->el.format = FORMAT_CHUNKS;
	c->incarnation = seed;
	c->rand48[0] = (unsigned short)seed;
	c->rand48[1] = (unsigned short)(seed >> 16);
	c->rand48[2] = (unsigned short)(seed >> 32);
	c->teams = calloc(conf->nteams + 1, sizeof(*c->teams));
	if (!c->teams)
		abort();
	c->peers = calloc(conf->npeers + 1, sizeof(*c->peers));
	if (!c->peers)
		abort();
	for (size_t i = 0; i < conf->npeers; i++)
		c->peers[i].heard = -1;
	c->state_heard = c->now;
	c->counts_at = c->counts_wanted = c->now - COUNTS_ASKED_S;
	c->peer_live = calloc(conf->npeers + 1, sizeof(*c->peer_live));
	if (!c->peer_live)
		abort();
	for (size_t i = 0; i < conf->nteams; i++)
		c->teams[i].conf = &conf->teams[i];
	return c;
}

double core_random(struct core *c)
{
	return erand48(c->rand48);
}

void allowance_fill(const struct core *c, struct allowance *a, double rate)
{
	a->left = fmin(rate, a->left + (c->now - a->filled) * rate);
	a->filled = c->now;
}

char *fmt_path(const char *fmt, ...)
{
	char *s = malloc(HTTP_PATH_MAX);
	va_list ap;

	if (!s)
		abort();
	va_start(ap, fmt);
	vsnprintf(s, HTTP_PATH_MAX, fmt, ap);
	va_end(ap);
	return s;
}

static struct core_action *action_add(struct core *c, enum core_action_kind kind, uint64_t id)
{
	struct core_action *a = calloc(1, sizeof(*a));

	if (!a)
		abort();
	a->kind = kind;
	a->id = id;
	DL_APPEND(c->actions, a);
	return a;
}

struct call *core_call(struct core *c, const char *addr, const char *method, char *path, char *body,
		       double timeout_s, call_fn fn, void *arg)
{
	struct call *call = calloc(1, sizeof(*call));
	struct core_action *a;

	if (!call)
		abort();
	call->id = c->next_call++;
	call->fn = fn;
	call->arg = arg;
	call->term = c->el.term;
	call->sent = c->now;
	HASH_ADD(hh, c->calls, id, sizeof(call->id), call);
	a = action_add(c, ACT_SEND, call->id);
	snprintf(a->addr, sizeof(a->addr), "%s", addr);
	a->method = method;
	a->path = path;
	a->body = body;
	a->len = body ? strlen(body) : 0;
	a->timeout_s = timeout_s;
	return call;
}

struct call *core_call_packed(struct core *c, const char *addr, const char *path, uint8_t *buf,
			      size_t len, call_fn fn, void *arg)
{
	struct call *call =
	    core_call(c, addr, "POST", fmt_path("%s", path), NULL, CALL_PEER_S, fn, arg);
	struct core_action *a = c->actions->prev;

	a->body = (char *)buf;
	a->len = len;
	return call;
}

void core_reply_packed(struct core *c, uint64_t conn, uint8_t *buf, size_t len)
{
	struct core_action *a;

	core_reply(c, conn, 200, 0, NULL);
	a = c->actions->prev;
	a->body = (char *)buf;
	a->len = len;
}

void core_reply(struct core *c, uint64_t conn, int status, int retry_after, char *body)
{
	struct core_action *a = action_add(c, ACT_ANSWER, conn);
	size_t len = body ? strlen(body) : 0;

	if (peers_wrap(c, conn, &status, retry_after, &body, &len))
		retry_after = 0;
	a->status = status;
	a->retry_after = retry_after;
	a->body = body;
	a->len = len;
}

void core_reply_error(struct core *c, uint64_t conn, int status, int retry_after, const char *why)
{
	core_reply(c, conn, status, retry_after, fmt_path("{\"error\":\"%s\"}", why));
}

static void set_time(struct core *c, struct core_time now)
{
	if (now.steady > c->now)
		c->now = now.steady;
	c->wall = now.wall;
}

void core_request(struct core *c, struct core_time now, const struct core_request *r)
{
	set_time(c, now);
	if (!strcmp(r->path, W_PATH_BEAT)) {
		if (strcmp(r->method, "POST"))
			core_reply_error(c, r->conn, 405, 0, "method");
		else
			workers_beat(c, r);
	} else if (r->side == CORE_BACK && !strcmp(r->path, PAIR_PATH)) {
		pair_request(c, r);
	} else if (r->side == CORE_BACK) {
		peers_request(c, r);
	} else {
		users_request(c, r);
	}
	core_tick(c, now);
}

void core_answer(struct core *c, struct core_time now, const struct core_answer *a)
{
	struct call *call;

	set_time(c, now);
	HASH_FIND(hh, c->calls, &a->id, sizeof(a->id), call);
	if (!call)
		return;
	HASH_DEL(c->calls, call);
	call->fn(c, call, a->status, a->body, a->len);
	free(call);
	core_tick(c, now);
}

void core_tick(struct core *c, struct core_time now)
{
	set_time(c, now);
	election_tick(c);
	format_tick(c);
	catalog_tick(c);
	users_tick(c);
	peers_tick(c);
	if (c->el.role != ROLE_LEAD)
		return;
	load_tick(c);
	machine_tick(c);
	job_tick(c);
	round_tick(c);
	rent_tick(c);
	pair_tick(c);
	commit_tick(c);
	workers_tick(c);
}

/* The parts look at their own due times; a coarse beat covers them, rounds and commits come first.
 */
double core_next(const struct core *c)
{
	double next = c->now + TICK_S;

	if (c->el.role == ROLE_LEAD && c->round_due && c->next_round < next)
		next = c->next_round;
	return next;
}

struct core_action *core_take(struct core *c)
{
	struct core_action *a = c->actions;

	if (a)
		DL_DELETE(c->actions, a);
	return a;
}

void core_action_free(struct core_action *a)
{
	free(a->path);
	free(a->body);
	free(a);
}

void core_free(struct core *c)
{
	struct core_action *a;
	struct call *call, *tmp;

	leader_clear(c);
	users_clear(c);
	peers_clear(c);
	while ((a = core_take(c)))
		core_action_free(a);
	HASH_ITER (hh, c->calls, call, tmp) {
		HASH_DEL(c->calls, call);
		if (call->drop)
			call->drop(call->arg);
		free(call);
	}
	free(c->types);
	free(c->teams);
	free(c->peer_live);
	free(c->peers);
	free(c);
}
