/*
 * Calls that have not ended yet, and the queue of actions: calls to send and answers to requests.
 */
#include "core/runtime/call.h"

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

char *format_path(const char *format, ...)
{
	char *path = xmalloc(HTTP_PATH_MAX);
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(path, HTTP_PATH_MAX, format, arguments);
	va_end(arguments);
	return path;
}

static struct core_action *action_add(struct core *core, enum core_action_kind kind, uint64_t id)
{
	struct core_action *action = xcalloc(1, sizeof(*action));

	action->kind = kind;
	action->id = id;
	DL_APPEND(core->actions, action);
	return action;
}

static struct core_action *last_action(const struct core *core)
{
	return core->actions->prev;
}

/* --- calls --- */

static struct call *call_add(struct core *core, double timeout_s, answer_fn on_answer, void *arg)
{
	struct call *call = xcalloc(1, sizeof(*call));

	call->id = core->next_call++;
	call->on_answer = on_answer;
	call->arg = arg;
	call->term = core->term;
	call->sent_at = core->now;
	call->timeout_s = timeout_s;
	HASH_ADD(hh, core->calls, id, sizeof(call->id), call);
	return call;
}

struct call *core_call(struct core *core, const char *addr, const char *method, char *path,
		       char *body, double timeout_s, answer_fn on_answer, void *arg)
{
	struct call *call = call_add(core, timeout_s, on_answer, arg);
	struct core_action *action = action_add(core, ACT_SEND, call->id);

	snprintf(action->addr, sizeof(action->addr), "%s", addr);
	action->method = method;
	action->path = path;
	action->body = body;
	action->len = body ? strlen(body) : 0;
	action->timeout_s = timeout_s;
	return call;
}

struct call *core_call_packed(struct core *core, const char *addr, const char *path,
			      uint8_t *packed, size_t len, answer_fn on_answer, void *arg)
{
	struct call *call = core_call(core, addr, "POST", format_path("%s", path), NULL,
				      CALL_PEER_TIMEOUT_S, on_answer, arg);
	struct core_action *action = last_action(core);

	action->body = (char *)packed;
	action->len = len;
	return call;
}

bool core_call_end(struct core *core, uint64_t id, const struct call_answer *answer)
{
	struct call *call;

	HASH_FIND(hh, core->calls, &id, sizeof(id), call);
	if (!call)
		return false;
	HASH_DEL(core->calls, call);
	call->on_answer(core, call, answer);
	free(call);
	return true;
}

void core_calls_clear(struct core *core)
{
	struct call *call, *next;

	HASH_ITER (hh, core->calls, call, next) {
		HASH_DEL(core->calls, call);
		if (call->free_arg)
			call->free_arg(call->arg);
		free(call);
	}
}

void core_invalidate_calls(struct core *core)
{
	core->term++;
}

bool core_call_is_current(const struct core *core, const struct call *call)
{
	return call->term == core->term;
}

/* --- answers to requests --- */

void core_reply(struct core *core, uint64_t connection, int status, int retry_after, char *body)
{
	struct core_action *action = action_add(core, ACT_ANSWER, connection);
	size_t len = body ? strlen(body) : 0;

	if (core->events->wrap_forwarded_answer(core, connection, &status, retry_after, &body,
						&len))
		retry_after = 0; /* no header: the message to the peer contains the delay */
	action->status = status;
	action->retry_after = retry_after;
	action->body = body;
	action->len = len;
}

void core_reply_error(struct core *core, uint64_t connection, int status, int retry_after,
		      const char *text)
{
	core_reply(core, connection, status, retry_after, format_path("{\"error\":\"%s\"}", text));
}

void core_reply_packed(struct core *core, uint64_t connection, uint8_t *packed, size_t len)
{
	struct core_action *action;

	core_reply(core, connection, STATUS_OK, 0, NULL);
	action = last_action(core);
	action->body = (char *)packed;
	action->len = len;
}
