/*
 * Requests to the state service, and the prefixes of its keys.
 */
#ifndef PLOVERLOFT_STORE_H
#define PLOVERLOFT_STORE_H

#include "core/call.h"

/* All that users may ask about lies under one prefix, so that one read of changes tells it. */
#define JOBS_ALL "u/"
#define JOBS_OPEN "u/j/"
#define JOBS_OVER "u/f/"

struct call *store_get(struct core *core, const char *key, call_fn fn, void *arg);
struct call *store_range(struct core *core, const char *prefix, const char *after, call_fn fn,
			 void *arg);
struct call *store_commit(struct core *core, char *body, call_fn fn, void *arg);
struct call *store_watch(struct core *core, const char *prefix, uint64_t from, int wait_ms,
			 call_fn fn, void *arg);
/* Notes whether the state service serves this controller, by the status of an answer. */
void store_heard(struct core *core, int status);

#endif
