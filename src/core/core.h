/*
 * The core: a state machine. It is given what arrived and the time, and returns what to send and
 * answer. It reads no clock, no socket and no global.
 *
 * Each function that is given the time carries out what is due by then; afterwards the caller takes
 * the actions, until there are none, and asks for the time of the next tick.
 */
#ifndef PLOVERLOFT_CORE_H
#define PLOVERLOFT_CORE_H

#include <stddef.h>
#include <stdint.h>

#include "conf/conf.h"

struct core;

enum core_action_kind {
	ACT_SEND,  /* send a request, and give the answer to core_answer */
	ACT_ANSWER /* answer a request that was given to core_request */
};

/* What the caller is to carry out. */
struct core_action {
	enum core_action_kind kind;
	uint64_t id;		  /* of the call, or the connection answered */
	char addr[CONF_NAME_MAX]; /* the receiver of a request */
	const char *method;	  /* of a request; static */
	char *path;		  /* of a request */
	char *body;		  /* NULL: none */
	size_t len;		  /* bytes of the body */
	double timeout_s;	  /* of a request: then it counts as not answered */
	int status;		  /* of an answer: HTTP */
	int retry_after;	  /* of an answer: seconds; 0: none */
	struct core_action *prev, *next;
};

/* The listener that a request came by. */
enum core_side {
	CORE_FRONT, /* for users and agents */
	CORE_BACK   /* for other controllers */
};

/* A request that arrived; its strings need to last only for the call. */
struct core_request {
	uint64_t connection; /* names the connection that is to be answered */
	enum core_side side;
	const char *method;
	const char *path;
	const char *body;
	size_t len;
};

/*
 * The end of a call. status 0: no answer came, and it may still be carried out. -1: it was never
 * sent.
 */
struct core_answer {
	uint64_t id; /* of the call, from its action */
	int status;
	const char *body;
	size_t len;
};

struct core_time {
	double steady; /* seconds */
	double wall;   /* seconds since 1970 */
};

/*
 * `seed` is to differ between processes. The settings are to outlive the core, which the caller
 * frees with core_free.
 */
struct core *core_new(const struct conf *conf, uint64_t seed, struct core_time now);
/* Frees the core and the actions that were not taken. */
void core_free(struct core *core);
/* A request arrived: it is answered by an action, now or after a later call. */
void core_request(struct core *core, struct core_time now, const struct core_request *request);
/* A call has ended. An answer to a call that is not under way is ignored. */
void core_answer(struct core *core, struct core_time now, const struct core_answer *answer);
/* Carries out what is due. */
void core_tick(struct core *core, struct core_time now);
/* The steady time by which the next tick is wanted. */
double core_next(const struct core *core);
/* The next action, which the caller frees with core_action_free; NULL if there is none. */
struct core_action *core_take(struct core *core);
/* Frees an action with its path and body. */
void core_action_free(struct core_action *action);

#endif
