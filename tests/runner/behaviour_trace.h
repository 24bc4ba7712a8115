/*
 * Records what the controllers of a scenario send and answer, so that two versions can be compared.
 */
#ifndef PLOVERLOFT_BEHAVIOUR_TRACE_H
#define PLOVERLOFT_BEHAVIOUR_TRACE_H

#include <stdint.h>

#include "core/core.h"

struct behaviour_trace;

/*
 * A trace that keeps a running digest (64-bit xxhash) of all actions. `path` names a file that also
 * gets each of them as a line of text; NULL: none. Returns NULL if the file can't be written. The
 * caller frees the trace with behaviour_trace_free.
 */
struct behaviour_trace *behaviour_trace_new(const char *path);
/* Adds an action that the controller `node` took at `at_s`, in seconds of simulated time. */
void behaviour_trace_add(struct behaviour_trace *trace, double at_s, int node,
			 const struct core_action *action);
/* The digest of all actions so far. */
uint64_t behaviour_trace_digest(const struct behaviour_trace *trace);
/* Closes the file and frees the trace. */
void behaviour_trace_free(struct behaviour_trace *trace);

#endif
