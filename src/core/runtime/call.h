/*
 * Calls that the core makes to other parties, and its answers to their requests. Both are queued as
 * actions, which the caller of the core carries out.
 */
#ifndef PLOVERLOFT_CALL_H
#define PLOVERLOFT_CALL_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "conf/conf.h"
#include "core/core.h"
#include "core/runtime/http_status.h"
#include "core/runtime/rate_limiter.h"
#include "wire/wire.h"

#define KEY_MAX 200 /* bytes of a key, from the protocol */

struct call;

enum call_outcome {
	CALL_ANSWERED,
	CALL_UNANSWERED, /* it may have been carried out, or may yet be */
	CALL_NOT_SENT	 /* it was never sent, and will not be carried out */
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

/* A call without an answer yet. It is owned by the core. */
struct call {
	uint64_t id;
	answer_fn on_answer;
	void *arg;		     /* on_answer takes it over, if free_arg is set */
	void (*free_arg)(void *arg); /* frees it when the core ends before; NULL: nothing to free */
	uint64_t term;	/* leadership under which it was made: answers of an older one are void */
	double sent_at; /* steady */
	double timeout_s;
	/* calls to agents: the newest message when the call was made */
	uint64_t incarnation, sequence;
	bool has_start;			  /* direct commands: a start is among them */
	uint64_t token;			  /* calls to agents: sent under it */
	char key[CONF_NAME_MAX + ID_MAX]; /* what the call is about, for its on_answer */
	UT_hash_handle hh;
};

/* Makes a call; `path` and `body` are owned by it from then on. A body of NULL: none. */
struct call *core_call(struct core *core, const char *addr, const char *method, char *path,
		       char *body, double timeout_s, answer_fn on_answer, void *arg);
/* Posts a packed message to another controller; the call owns `packed` from then on. */
struct call *core_call_packed(struct core *core, const char *addr, const char *path,
			      uint8_t *packed, size_t len, answer_fn on_answer, void *arg);
/* Ends a call by its on_answer, and frees it; false if there is no such call. */
bool core_call_end(struct core *core, uint64_t id, const struct call_answer *answer);
/* Frees all calls without ending them. */
void core_calls_clear(struct core *core);
/* Answers to calls made before are void from now on: leadership began or was given up. */
void core_begin_term(struct core *core);
/* The call was made in the present term. */
bool core_call_is_current(const struct core *core, const struct call *call);

/* Answers a request; `body` is owned by the answer from then on. retry_after: seconds, 0: none. */
void core_reply(struct core *core, uint64_t connection, int status, int retry_after, char *body);
/* Answers with {"error": text}. */
void core_reply_error(struct core *core, uint64_t connection, int status, int retry_after,
		      const char *text);
/* Answers another controller with a packed message, which the answer owns from then on. */
void core_reply_packed(struct core *core, uint64_t connection, uint8_t *packed, size_t len);

/* A random number from [0, 1). */
double core_random(struct core *core);
/* A formatted path that the caller owns. */
char *format_path(const char *format, ...) __attribute__((format(printf, 1, 2)));

#endif
