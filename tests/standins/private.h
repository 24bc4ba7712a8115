/* What the stand-ins share with each other; see standin.h for what tests use. */
#ifndef PLOVERLOFT_STANDIN_PRIVATE_H
#define PLOVERLOFT_STANDIN_PRIVATE_H

#include <stdbool.h>

#include <jansson.h>

#include "standins/standin.h"

/* standin.c */
void *zalloc(size_t n);

/* standin_state.c */
char *dump(json_t *o);
void answer(struct standin *s, uint64_t handle, int status, json_t *o);
void answer_error(struct standin *s, uint64_t handle, int status, const char *why);
void state_tick(struct standin *s);

/* standin_workers.c */
void drop_tasks(struct standin_machine *m);
/* Replica time that is asked of services, and what of it is served. */
void count_served(struct standin *s, double dt);
void worker_tick(struct standin *s, struct standin_machine *m, double dt);

/* standin_rules.c */
void check_start(struct standin *s, struct standin_machine *m, struct standin_task *t);
void check_cancelled(struct standin *s);

#endif
