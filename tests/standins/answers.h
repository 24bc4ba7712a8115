/* Answers of the stand-ins to requests. */
#ifndef PLOVERLOFT_STANDINS_ANSWERS_H
#define PLOVERLOFT_STANDINS_ANSWERS_H

#include <stdint.h>

#include <jansson.h>

#include "core/runtime/http_status.h"

struct standin;

/* Answers the request known by `handle`; takes over `body`. */
void standin_answer(struct standin *standin, uint64_t handle, enum http_status status,
		    json_t *body);

/* The same with a body that says why; `why` may be empty. */
void standin_answer_error(struct standin *standin, uint64_t handle, enum http_status status,
			  const char *why);

#endif
