/*
 * Records the actions of a scenario's controllers, calls and answers, so that the behaviour of two
 * versions can be compared.
 */
#ifndef PLOVERLOFT_BEHAVIOUR_TRACE_H
#define PLOVERLOFT_BEHAVIOUR_TRACE_H

#include <stdint.h>

#include "core/core.h"

struct behaviour_trace;

/*
 * Creates a trace that keeps a running digest (64-bit xxhash) of all actions. `path` names a file
 * to which each action is also written as a line of text; NULL: no file. Returns NULL and sets
 * errno if the file cannot be opened. The caller frees the trace with behaviour_trace_free.
 */
struct behaviour_trace *behaviour_trace_new(const char *path);
/* Adds an action of the controller with this index, at `at_s` seconds of simulated time. */
void behaviour_trace_add(struct behaviour_trace *trace, double at_s, int controller,
			 const struct core_action *action);
/* Returns the digest of all actions so far. */
uint64_t behaviour_trace_digest(const struct behaviour_trace *trace);
/* Closes the file and frees the trace. */
void behaviour_trace_free(struct behaviour_trace *trace);

#endif
