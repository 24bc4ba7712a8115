/*
 * Requests to the state service, and the prefixes of its keys.
 *
 * Each function returns the call, which is freed once its answer was taken; the callback takes the
 * answer (see runtime/call.h). Texts are copied unless stated otherwise.
 */
#ifndef PLOVERLOFT_STORE_CLIENT_H
#define PLOVERLOFT_STORE_CLIENT_H

#include "core/runtime/call.h"

/* All that users may poll lies under one prefix, so that one read of changes shows it. */
#define KEY_JOBS "u/"
#define KEY_OPEN_JOBS "u/j/"
#define KEY_FINAL_JOBS "u/f/"

/* Reads one key. The call keeps it in `key`. */
struct call *store_get(struct core *core, const char *key, answer_fn on_answer, void *arg);
/* Reads one page of the keys with the prefix, from behind `after` on; NULL or empty: the first. */
struct call *store_range(struct core *core, const char *prefix, const char *after,
			 answer_fn on_answer, void *arg);
/* Sends a transaction; `body` is owned by the call from then on. */
struct call *store_commit(struct core *core, char *body, answer_fn on_answer, void *arg);
/*
 * Reads the changes of the keys with the prefix after the revision. The answer comes when there are
 * some, and after `wait_ms` milliseconds in any case.
 */
struct call *store_watch(struct core *core, const char *prefix, uint64_t after_revision,
			 int wait_ms, answer_fn on_answer, void *arg);

/* The last answer of the state service was a refusal or none. */
bool store_is_unavailable(const struct core *core);
/* Seconds since it last served this controller. */
double store_silence_s(const struct core *core);
/* Notes whether the state service serves this controller, by the status of an answer. */
void store_note_answer(struct core *core, const struct call_answer *answer);

#endif
