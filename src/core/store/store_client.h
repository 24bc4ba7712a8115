/*
 * Requests to the state service, and the prefixes of its keys.
 */
#ifndef PLOVERLOFT_STORE_CLIENT_H
#define PLOVERLOFT_STORE_CLIENT_H

#include "core/runtime/call.h"

/* All that users may ask about lies under one prefix, so that one read of changes tells it. */
#define KEY_JOBS "u/"
#define KEY_OPEN_JOBS "u/j/"
#define KEY_FINAL_JOBS "u/f/"

struct call *store_get(struct core *core, const char *key, answer_fn fn, void *arg);
struct call *store_range(struct core *core, const char *prefix, const char *after, answer_fn fn,
			 void *arg);
struct call *store_commit(struct core *core, char *body, answer_fn fn, void *arg);
struct call *store_watch(struct core *core, const char *prefix, uint64_t from, int wait_ms,
			 answer_fn fn, void *arg);
/* The last answer of the state service was a refusal or none. */
bool store_is_unavailable(const struct core *core);
/* Seconds since it last served this controller. */
double store_silence_s(const struct core *core);
/* Notes whether the state service serves this controller, by the status of an answer. */
void store_note_answer(struct core *core, const struct call_answer *answer);

#endif
