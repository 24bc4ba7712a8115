/* Calls to other parties, answers to requests, random numbers and rate limiters. */
#include "core/runtime/call.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/xalloc.h"

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
	char *s = xmalloc(HTTP_PATH_MAX);
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(s, HTTP_PATH_MAX, fmt, ap);
	va_end(ap);
	return s;
}

void core_begin_term(struct core *core)
{
	core->term++;
}

bool core_call_is_current(const struct core *core, const struct call *call)
{
	return call->term == core->term;
}

static struct core_action *action_add(struct core *core, enum core_action_kind kind, uint64_t id)
{
	struct core_action *action = xcalloc(1, sizeof(*action));

	action->kind = kind;
	action->id = id;
	DL_APPEND(core->actions, action);
	return action;
}

struct call *core_call(struct core *core, const char *addr, const char *method, char *path,
		       char *body, double timeout_s, answer_fn fn, void *arg)
{
	struct call *call = xcalloc(1, sizeof(*call));
	struct core_action *action;

	call->id = core->next_call++;
	call->on_answer = fn;
	call->arg = arg;
	call->term = core->term;
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

	core_reply(core, conn, STATUS_OK, 0, NULL);
	action = core->actions->prev;
	action->body = (char *)buf;
	action->len = len;
}

void core_reply(struct core *core, uint64_t conn, int status, int retry_after, char *body)
{
	struct core_action *action = action_add(core, ACT_ANSWER, conn);
	size_t len = body ? strlen(body) : 0;

	if (core->events->wrap_forwarded_answer(core, conn, &status, retry_after, &body, &len))
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
