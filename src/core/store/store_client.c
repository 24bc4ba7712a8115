#include <stdio.h>
#include <string.h>

#include "core/state.h"
#include "wire/names.h"

/* Notes whether the state service serves us; a 503 may concern this controller alone. */
void store_note_answer(struct core *core, const struct call_answer *answer)
{
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

struct call *store_get(struct core *core, const char *key, answer_fn fn, void *arg)
{
	struct call *call =
	    core_call(core, core->conf->state, "GET", format_path(W_PATH_KEYS "/%s", key), NULL,
		      CALL_STATE_S, fn, arg);

	snprintf(call->key, sizeof(call->key), "%s", key);
	return call;
}

struct call *store_range(struct core *core, const char *prefix, const char *after, answer_fn fn,
			 void *arg)
{
	char *path;

	if (after && *after)
		path = format_path(W_PATH_KEYS "?" W_PREFIX "=%s&" W_AFTER "=%s&" W_LIMIT "=%d",
				   prefix, after, RANGE_LIMIT);
	else
		path =
		    format_path(W_PATH_KEYS "?" W_PREFIX "=%s&" W_LIMIT "=%d", prefix, RANGE_LIMIT);
	return core_call(core, core->conf->state, "GET", path, NULL, CALL_STATE_S, fn, arg);
}

struct call *store_commit(struct core *core, char *body, answer_fn fn, void *arg)
{
	return core_call(core, core->conf->state, "POST", format_path(W_PATH_TXN), body,
			 CALL_STATE_S, fn, arg);
}

struct call *store_watch(struct core *core, const char *prefix, uint64_t from, int wait_ms,
			 answer_fn fn, void *arg)
{
	char *path = format_path(W_PATH_WATCH "?" W_PREFIX "=%s&" W_AFTER "=%llu&" W_WAIT "=%d",
				 prefix, (unsigned long long)from, wait_ms);

	return core_call(core, core->conf->state, "GET", path, NULL,
			 wait_ms / 1000.0 + LEADER_WATCH_SLACK_S, fn, arg);
}
