/*
 * Calls that the core makes to other parties, answers to requests, and rate allowances.
 */
#ifndef PLOVERLOFT_CALL_H
#define PLOVERLOFT_CALL_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "conf/conf.h"
#include "core/core.h"
#include "core/runtime/http_status.h"
#include "wire/wire.h"

#define KEY_MAX 200 /* bytes of a key, from the protocol */

struct call;

enum call_outcome {
	CALL_ANSWERED,
	CALL_UNANSWERED, /* it may have been carried out, or may yet be */
	CALL_NOT_SENT	 /* it never left */
};

/* How a call ended. The body is owned by the caller, and ends with a NUL that `len` leaves out. */
struct call_answer {
	enum call_outcome outcome;
	int status; /* see enum http_status; 0 unless answered */
	const char *body;
	size_t len;
};

/* Takes the end of a call, which is freed afterwards. */
typedef void (*answer_fn)(struct core *core, struct call *call, const struct call_answer *answer);

/* A call without an answer yet. */
struct call {
	uint64_t id;
	answer_fn on_answer;
	void *arg;
	void (*free_arg)(void *arg); /* frees arg if no answer is waited for any more */
	uint64_t term;	/* leadership under which it was made: answers of an older one are void */
	double sent_at; /* steady */
	double timeout_s;
	uint64_t incarnation, sequence; /* asked of a worker: what was known of it by then */
	bool has_start;			/* direct commands: a start is among them */
	uint64_t token;			/* direct commands: sent under it */
	char key[CONF_NAME_MAX + ID_MAX];
	UT_hash_handle hh;
};

/* What may be done now of something that a rate allows: a second's worth gathers at most. */
struct rate_limiter {
	double tokens, refilled_at;
};

/* Makes a call; `path` and `body` are owned by it from then on. */
struct call *core_call(struct core *core, const char *addr, const char *method, char *path,
		       char *body, double timeout_s, answer_fn fn, void *arg);
/* To and from other controllers: a packed message, which the action owns from then on. */
struct call *core_call_packed(struct core *core, const char *addr, const char *path, uint8_t *buf,
			      size_t len, answer_fn fn, void *arg);
void core_reply_packed(struct core *core, uint64_t conn, uint8_t *buf, size_t len);
/* Answers to calls made before are void from now on: leadership began or was given up. */
void core_begin_term(struct core *core);
/* The call was made in the present term. */
bool core_call_is_current(const struct core *core, const struct call *call);
/* Answers a request; `body` is owned by the answer from then on. retry_after: seconds, 0: none. */
void core_reply(struct core *core, uint64_t conn, int status, int retry_after, char *body);
/* Answers with {"error": why}. */
void core_reply_error(struct core *core, uint64_t conn, int status, int retry_after,
		      const char *why);
/* A number from [0, 1). */
double core_random(struct core *core);
/* Adds what the rate has allowed since the last time. */
void rate_limiter_refill(const struct core *core, struct rate_limiter *a, double rate);
/* A formatted path that the caller owns. */
char *format_path(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

#endif
