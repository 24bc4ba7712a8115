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
	struct core *core = calloc(1, sizeof(*core));

	if (!core)
		abort();
	core->conf = conf;
	core->now = now.steady;
	core->wall = now.wall;
	core->next_call = 1;
	core->election.format = FORMAT_LARGE_CHUNKS;
	core->peers.incarnation = seed;
	core->rand48[0] = (unsigned short)seed;
	core->rand48[1] = (unsigned short)(seed >> 16);
	core->rand48[2] = (unsigned short)(seed >> 32);
	core->teams = calloc(conf->nteams + 1, sizeof(*core->teams));
	if (!core->teams)
		abort();
	core->peers.list = calloc(conf->npeers + 1, sizeof(*core->peers.list));
	if (!core->peers.list)
		abort();
	for (size_t i = 0; i < conf->npeers; i++)
		core->peers.list[i].confirmed_until = -1;
	core->store_answered_at = core->now;
	core->api.counts_received_at = core->api.counts_wanted_at = core->now - COUNTS_DEMAND_S;
	core->share_switching.peer_live =
	    calloc(conf->npeers + 1, sizeof(*core->share_switching.peer_live));
	if (!core->share_switching.peer_live)
		abort();
	for (size_t i = 0; i < conf->nteams; i++)
		core->teams[i].conf = &conf->teams[i];
	return core;
}

double core_random(struct core *core)
{
	return erand48(core->rand48);
}

void rate_limiter_refill(const struct core *core, struct rate_limiter *a, double rate)
{
	a->tokens = fmin(rate, a->tokens + (core->now - a->refilled_at) * rate);
	a->refilled_at = core->now;
}

char *format_path(const char *fmt, ...)
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

static struct core_action *action_add(struct core *core, enum core_action_kind kind, uint64_t id)
{
	struct core_action *action = calloc(1, sizeof(*action));

	if (!action)
		abort();
	action->kind = kind;
	action->id = id;
	DL_APPEND(core->actions, action);
	return action;
}

struct call *core_call(struct core *core, const char *addr, const char *method, char *path,
		       char *body, double timeout_s, answer_fn fn, void *arg)
{
	struct call *call = calloc(1, sizeof(*call));
	struct core_action *action;

	if (!call)
		abort();
	call->id = core->next_call++;
	call->on_answer = fn;
	call->arg = arg;
	call->term = core->election.term;
	call->sent_at = core->now;
	call->timeout_s = timeout_s;
	HASH_ADD(hh, core->calls, id, sizeof(call->id), call);
	action = action_add(core, ACT_SEND, call->id);
	snprintf(action->addr, sizeof(action->addr), "%s", addr);
	action->method = method;
	action->path = path;
	action->body = body;
	action->len = body ? strlen(body) : 0;
	action->timeout_s = timeout_s;
	return call;
}

struct call *core_call_packed(struct core *core, const char *addr, const char *path, uint8_t *buf,
			      size_t len, answer_fn fn, void *arg)
{
	struct call *call =
	    core_call(core, addr, "POST", format_path("%s", path), NULL, CALL_PEER_S, fn, arg);
	struct core_action *action = core->actions->prev;

	action->body = (char *)buf;
	action->len = len;
	return call;
}

void core_reply_packed(struct core *core, uint64_t conn, uint8_t *buf, size_t len)
{
	struct core_action *action;

	core_reply(core, conn, 200, 0, NULL);
	action = core->actions->prev;
	action->body = (char *)buf;
	action->len = len;
}

void core_reply(struct core *core, uint64_t conn, int status, int retry_after, char *body)
{
	struct core_action *action = action_add(core, ACT_ANSWER, conn);
	size_t len = body ? strlen(body) : 0;

	if (peers_wrap_answer(core, conn, &status, retry_after, &body, &len))
		retry_after = 0;
	action->status = status;
	action->retry_after = retry_after;
	action->body = body;
	action->len = len;
}

void core_reply_error(struct core *core, uint64_t conn, int status, int retry_after,
		      const char *why)
{
	core_reply(core, conn, status, retry_after, format_path("{\"error\":\"%s\"}", why));
}

static void set_time(struct core *core, struct core_time now)
{
	if (now.steady > core->now)
		core->now = now.steady;
	core->wall = now.wall;
}

void core_request(struct core *core, struct core_time now, const struct core_request *request)
{
	set_time(core, now);
	if (!strcmp(request->path, W_PATH_HEARTBEAT)) {
		if (strcmp(request->method, "POST"))
			core_reply_error(core, request->conn, 405, 0, "method");
		else
			agent_heartbeat(core, request);
	} else if (request->side == CORE_BACK && !strcmp(request->path, PAIR_PATH)) {
		share_switching_request(core, request);
	} else if (request->side == CORE_BACK) {
		peers_request(core, request);
	} else {
		api_request(core, request);
	}
	core_tick(core, now);
}

void core_answer(struct core *core, struct core_time now, const struct core_answer *a)
{
	struct call *call;

	set_time(core, now);
	HASH_FIND(hh, core->calls, &a->id, sizeof(a->id), call);
	if (!call)
		return;
	HASH_DEL(core->calls, call);
	call->on_answer(core, call, a->status, a->body, a->len);
	free(call);
	core_tick(core, now);
}

void core_tick(struct core *core, struct core_time now)
{
	set_time(core, now);
	election_tick(core);
	format_tick(core);
	catalog_tick(core);
	api_tick(core);
	peers_tick(core);
	if (core->election.role != ROLE_LEADER)
		return;
	jobs_watch_tick(core);
	machines_tick(core);
	replica_supervision_tick(core);
	job_tick(core);
	cycle_tick(core);
	autoscale_tick(core);
	share_switching_tick(core);
	write_queue_tick(core);
	direct_commands_tick(core);
}

/* The parts look at their own due times; a coarse beat covers them, rounds and commits come first.
 */
double core_next(const struct core *core)
{
	double next = core->now + TICK_S;

	if (core->election.role == ROLE_LEADER && core->cycles.requested &&
	    core->cycles.next_at < next)
		next = core->cycles.next_at;
	return next;
}

struct core_action *core_take(struct core *core)
{
	struct core_action *action = core->actions;

	if (action)
		DL_DELETE(core->actions, action);
	return action;
}

void core_action_free(struct core_action *action)
{
	free(action->path);
	free(action->body);
	free(action);
}

void core_free(struct core *core)
{
	struct core_action *action;
	struct call *call, *tmp;

	leader_state_clear(core);
	api_clear(core);
	peers_clear(core);
	while ((action = core_take(core)))
		core_action_free(action);
	HASH_ITER (hh, core->calls, call, tmp) {
		HASH_DEL(core->calls, call);
		if (call->free_arg)
			call->free_arg(call->arg);
		free(call);
	}
	wire_types_free(core->catalog.types, core->catalog.type_count);
	free(core->teams);
	free(core->share_switching.peer_live);
	free(core->peers.list);
	free(core);
}
