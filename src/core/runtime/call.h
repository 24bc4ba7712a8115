/*
 * Calls from the core to the state service, the cloud, agents and other controllers, and its
 * answers to requests. Both are queued as actions, which the caller of the core carries out.
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

/* Bytes of a key of the state service, as the protocol limits them. */
#define KEY_MAX 200

struct call;

enum call_outcome {
	CALL_ANSWERED,	 /* an answer came, with any status */
	CALL_UNANSWERED, /* no answer came; the call may have been carried out, or may yet be */
	CALL_NOT_SENT	 /* the call was never sent, so the receiver will not carry it out */
};

/* How a call ended. The caller owns the body. A NUL follows it, which `len` does not count. */
struct call_answer {
	enum call_outcome outcome;
	int status; /* HTTP status of the answer, see enum http_status; 0: no answer came */
	const char *body;
	size_t len;
};

/* Handles the end of a call. The call is freed afterwards. */
typedef void (*answer_fn)(struct core *core, struct call *call, const struct call_answer *answer);

/* A call that has not ended yet. The core owns it. */
struct call {
	uint64_t id;
	answer_fn on_answer;
	void *arg; /* argument for on_answer, which owns it if free_arg is set */
	/* Frees `arg` if the core is freed before the call ends; NULL: nothing to free. */
	void (*free_arg)(void *arg);
	uint64_t term;	/* core->term when the call was made, see core_call_is_current */
	double sent_at; /* steady time at which the call was made */
	double timeout_s;
	/* Calls to agents: incarnation and sequence of the agent's newest message when the call
	 * was made. */
	uint64_t incarnation, sequence;
	uint64_t token; /* calls to agents: the fencing token under which the call was made */
	/* For on_answer: the key that was read, or the id of the machine. */
	char key[CONF_NAME_MAX + ID_MAX];
	UT_hash_handle hh;
};

/* Makes a call and takes ownership of `path` and `body`. `body` may be NULL: no body. */
struct call *core_call(struct core *core, const char *addr, const char *method, char *path,
		       char *body, double timeout_s, answer_fn on_answer, void *arg);
/* Sends an encoded message to another controller by POST and takes ownership of `packed`. */
struct call *core_call_packed(struct core *core, const char *addr, const char *path,
			      uint8_t *packed, size_t len, answer_fn on_answer, void *arg);
/* Calls the on_answer of the call with this id and frees the call; false if there is no such call.
 */
bool core_call_end(struct core *core, uint64_t id, const struct call_answer *answer);
/* Frees all calls without calling their on_answer. */
void core_calls_clear(struct core *core);
/*
 * Called when a term of this controller begins or ends: from now on, core_call_is_current is false
 * for all earlier calls, whose answers must not be applied to the leader's state.
 */
void core_invalidate_calls(struct core *core);
/* True if no term of this controller began or ended since the call was made. */
bool core_call_is_current(const struct core *core, const struct call *call);

/* Answers a request and takes ownership of `body`; NULL: no body. retry_after: in seconds; 0: no
 * such header. */
void core_reply(struct core *core, uint64_t connection, int status, int retry_after, char *body);
/* Answers a request with the JSON body {"error": text}. `text` is short and needs no JSON escapes.
 */
void core_reply_error(struct core *core, uint64_t connection, int status, int retry_after,
		      const char *text);
/* Answers another controller with an encoded message and takes ownership of `packed`. */
void core_reply_packed(struct core *core, uint64_t connection, uint8_t *packed, size_t len);

/* A pseudo-random number from [0, 1), which follows from the seed given to core_new. */
double core_random(struct core *core);
/* Formats a string of less than HTTP_PATH_MAX bytes; a longer one is cut. The caller owns it. */
char *format_path(const char *format, ...) __attribute__((format(printf, 1, 2)));

#endif
