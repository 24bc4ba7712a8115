/*
 * The core: a state machine. It is given what arrived and the time, and returns what to send and
 * answer. It reads no clock, no socket and no global.
 */
#ifndef PLOVERLOFT_CORE_H
#define PLOVERLOFT_CORE_H

#include <stddef.h>
#include <stdint.h>

#include "conf/conf.h"

struct core;

enum core_action_kind { ACT_SEND, ACT_ANSWER };

struct core_action {
	enum core_action_kind kind;
	uint64_t id; /* of the call, or the connection answered */
	char addr[CONF_NAME_MAX];
	const char *method;
	char *path;
	char *body;
	size_t len;
	double timeout_s;
	int status;
	int retry_after; /* seconds; 0: none */
	struct core_action *prev, *next;
};

enum core_side { CORE_FRONT, CORE_BACK };

struct core_request {
	uint64_t conn;
	enum core_side side;
	const char *method;
	const char *path;
	const char *body;
	size_t len;
};

/* Answer to a call. status 0: no answer, it may still be carried out. -1: it never left. */
struct core_answer {
	uint64_t id;
	int status;
	const char *body;
	size_t len;
};

struct core_time {
	double steady; /* seconds */
	double wall;   /* seconds since 1970 */
};

struct core *core_new(const struct conf *conf, uint64_t seed, struct core_time now);
void core_free(struct core *core);
void core_request(struct core *core, struct core_time now, const struct core_request *request);
void core_answer(struct core *core, struct core_time now, const struct core_answer *a);
void core_tick(struct core *core, struct core_time now);
/* The steady time by which the next tick is wanted. */
double core_next(const struct core *core);
/* The next action, NULL if none; the caller frees it. */
struct core_action *core_take(struct core *core);
void core_action_free(struct core_action *action);

#endif
