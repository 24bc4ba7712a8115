/*
 * The core: the controller as a state machine. Its inputs are requests, ends of calls and the time;
 * its outputs are actions: calls to send and answers to requests. It reads no clock, no socket and
 * no global variable.
 *
 * core_request, core_answer and core_tick also do the periodic work that is due at the given time.
 * After each of them, the caller takes actions until there are none left, and asks for the time of
 * the next tick.
 */
#ifndef PLOVERLOFT_CORE_H
#define PLOVERLOFT_CORE_H

#include <stddef.h>
#include <stdint.h>

#include "conf/conf.h"

struct core;

enum core_action_kind {
	ACT_SEND,  /* send a call, and pass its end to core_answer */
	ACT_ANSWER /* answer a request that was passed to core_request */
};

/* An output of the core, which the caller carries out. */
struct core_action {
	enum core_action_kind kind;
	uint64_t id;		  /* id of the call, or of the connection to answer */
	char addr[CONF_NAME_MAX]; /* calls: address of the receiver */
	const char *method;	  /* calls: HTTP method, a static string */
	char *path;		  /* calls: path and query; owned */
	char *body;		  /* body of the call or the answer; NULL: none; owned */
	size_t len;		  /* bytes of the body */
	double timeout_s;	  /* calls: time after which the call counts as not answered */
	int status;		  /* answers: HTTP status */
	int retry_after;	  /* answers: Retry-After in seconds; 0: no such header */
	struct core_action *prev, *next;
};

/* The listener on which a request arrived. */
enum core_side {
	CORE_FRONT, /* for users and agents */
	CORE_BACK   /* for other controllers */
};

/* A request that arrived. Its strings must be valid during core_request only. */
struct core_request {
	uint64_t connection; /* id of the connection to answer */
	enum core_side side;
	const char *method;
	const char *path;
	const char *body;
	size_t len;
};

/*
 * The end of a call. A `status` above 0 is the status of the HTTP answer. 0: no answer came, and
 * the receiver may have carried the call out, or may yet. -1: the call was never sent.
 */
struct core_answer {
	uint64_t id; /* id of the call that ended, as in its struct core_action */
	int status;
	const char *body;
	size_t len;
};

/* The time of an input, by two clocks. */
struct core_time {
	double steady; /* seconds of the steady (monotonic) clock */
	double wall;   /* seconds since 1970 of the wall clock */
};

/*
 * Makes a core, which the caller frees with core_free. `seed` must differ between processes: it
 * seeds random numbers and is this process's incarnation for other controllers. `conf` must outlive
 * the core.
 */
struct core *core_new(const struct conf *conf, uint64_t seed, struct core_time now);
/* Frees the core and the actions that were not taken. */
void core_free(struct core *core);
/* Handles a request that arrived. An action answers the request, now or after a later input. */
void core_request(struct core *core, struct core_time now, const struct core_request *request);
/* Handles the end of a call. The end is ignored if no call with its id is in flight. */
void core_answer(struct core *core, struct core_time now, const struct core_answer *answer);
/* Handles that a caller has closed a connection whose request is not answered yet. */
void core_connection_closed(struct core *core, struct core_time now, uint64_t connection);
/* Does the periodic work that is due at the given time. */
void core_tick(struct core *core, struct core_time now);
/* The steady time by which core_tick should be called next. */
double core_next_tick_at(const struct core *core);
/* Removes and returns the oldest action; NULL if there is none. The caller frees it with
 * core_action_free. */
struct core_action *core_pop_action(struct core *core);
/* Frees an action with its path and body. */
void core_action_free(struct core_action *action);

#endif
