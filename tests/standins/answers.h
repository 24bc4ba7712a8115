/* Sends the answers of the stand-ins to the requests that they get. */
#ifndef PLOVERLOFT_STANDINS_ANSWERS_H
#define PLOVERLOFT_STANDINS_ANSWERS_H

#include <stdint.h>

#include <jansson.h>

#include "core/runtime/http_status.h"

struct standin;

/* Answers the request with this handle through standin->callbacks, and releases `body`. */
void standin_answer(struct standin *standin, uint64_t handle, enum http_status status,
		    json_t *body);

/* The same with an error object as the body. Its text `why` may be empty. */
void standin_answer_error(struct standin *standin, uint64_t handle, enum http_status status,
			  const char *why);

#endif
