/* Counts the submissions and reports that this controller refuses, and logs them at a limited rate.
 */
#ifndef PLOVERLOFT_REFUSAL_LOG_H
#define PLOVERLOFT_REFUSAL_LOG_H

#include <stddef.h>
#include <stdint.h>

#include "core/runtime/rate_limiter.h"

struct core;

struct refusal_log {
	struct rate_limiter lines; /* limits the lines that are written */
	uint64_t refused;	   /* requests refused since the start of this process */
	uint64_t unlogged;	   /* requests refused since the last line, without a line */
};

/* A request that was refused. Its strings must be valid during core_log_refusal only. */
struct refusal {
	const char *kind;   /* what was refused: "submission" or "report" */
	const char *job;    /* id of the job; "-": not known */
	int status;	    /* HTTP status of the answer */
	const char *reason; /* text of the answer */
	const char *body;   /* the request's body: `len` bytes */
	size_t len;
	size_t failed_at; /* offset in the body that shows the reason; at most `len` */
};

/* Counts the refusal, and logs it unless too many were logged in the last second. */
void core_log_refusal(struct core *core, const struct refusal *refusal);

#endif
