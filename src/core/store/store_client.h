/*
 * Requests to the state service, prefixes of keys, and whether the state service is available.
 *
 * Each request function returns its call, which is freed after `on_answer` has handled the answer
 * (see runtime/call.h). Strings are copied unless stated otherwise.
 */
#ifndef PLOVERLOFT_STORE_CLIENT_H
#define PLOVERLOFT_STORE_CLIENT_H

#include "core/runtime/call.h"

/* Prefix of the open and final records of jobs, which users may poll: one watch covers all of
 * them. */
#define KEY_JOBS "u/"
#define KEY_OPEN_JOBS "u/j/"
#define KEY_FINAL_JOBS "u/f/"

/* Reads one key. The call keeps the key in its field `key`. */
struct call *store_get(struct core *core, const char *key, answer_fn on_answer, void *arg);
/* Reads one page of the keys with the prefix: the page after the key `after`, or the first page if
 * `after` is NULL or empty. */
struct call *store_range(struct core *core, const char *prefix, const char *after,
			 answer_fn on_answer, void *arg);
/* Sends a transaction. The call owns `body` from then on. */
struct call *store_commit(struct core *core, char *body, answer_fn on_answer, void *arg);
/*
 * Watches the keys with the prefix: reads the changes of these keys after the revision. The answer
 * comes as soon as there are changes, and after `wait_ms` milliseconds at the latest.
 */
struct call *store_watch(struct core *core, const char *prefix, uint64_t after_revision,
			 int wait_ms, answer_fn on_answer, void *arg);

/* Returns true if the last answer passed to store_update_availability is missing, or a 503. */
bool store_is_unavailable(const struct core *core);
/* Returns the seconds since an answer other than a 503 was last passed to
 * store_update_availability; before the first such answer, the seconds since the core was made. */
double store_silence_s(const struct core *core);
/* Updates whether the state service is available, by the outcome of a call to it. */
void store_update_availability(struct core *core, const struct call_answer *answer);

#endif
