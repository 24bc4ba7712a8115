/*
 * Sends requests to the state service, and tracks whether it is available to this controller.
 */
#include "core/store/store_client.h"

#include <stdio.h>

#include "core/state.h"
#include "wire/names.h"

/* --- availability of the state service --- */

void store_update_availability(struct core *core, const struct call_answer *answer)
{
	/*
	 * A 503 counts as if no answer had come: the state service may answer 503 to this
	 * controller while it serves the others.
	 */
	core->store_unavailable =
	    answer->outcome != CALL_ANSWERED || answer->status == STATUS_UNAVAILABLE;
	if (!core->store_unavailable)
		core->store_answered_at = core->now;
}

bool store_is_unavailable(const struct core *core)
{
	return core->store_unavailable;
}

double store_silence_s(const struct core *core)
{
	return core->now - core->store_answered_at;
}

/* --- requests --- */

struct call *store_get(struct core *core, const char *key, answer_fn on_answer, void *arg)
{
	char *path = format_path(W_PATH_KEYS "/%s", key);
	struct call *call = core_call(core, core->conf->store_addr, "GET", path, NULL,
				      CALL_STORE_TIMEOUT_S, on_answer, arg);

	snprintf(call->key, sizeof(call->key), "%s", key);
	return call;
}

struct call *store_range(struct core *core, const char *prefix, const char *after,
			 answer_fn on_answer, void *arg)
{
	char *path;

	if (after && *after)
		path = format_path(W_PATH_KEYS "?" W_PREFIX "=%s&" W_AFTER "=%s&" W_LIMIT "=%d",
				   prefix, after, PAGE_ITEMS_MAX);
	else
		path = format_path(W_PATH_KEYS "?" W_PREFIX "=%s&" W_LIMIT "=%d", prefix,
				   PAGE_ITEMS_MAX);
	return core_call(core, core->conf->store_addr, "GET", path, NULL, CALL_STORE_TIMEOUT_S,
			 on_answer, arg);
}

struct call *store_commit(struct core *core, char *body, answer_fn on_answer, void *arg)
{
	return core_call(core, core->conf->store_addr, "POST", format_path(W_PATH_TXN), body,
			 CALL_STORE_TIMEOUT_S, on_answer, arg);
}

struct call *store_watch(struct core *core, const char *prefix, uint64_t after_revision,
			 int wait_ms, answer_fn on_answer, void *arg)
{
	char *path =
	    format_path(W_PATH_WATCH "?" W_PREFIX "=%s&" W_AFTER "=%llu&" W_WATCH_WAIT "=%d",
			prefix, (unsigned long long)after_revision, wait_ms);
	double timeout_s = wait_ms / 1000.0 + STORE_WATCH_MARGIN_S;

	return core_call(core, core->conf->store_addr, "GET", path, NULL, timeout_s, on_answer,
			 arg);
}
