/*
 * Calls that the leader makes to agents: direct commands and probes. Each call holds a socket until
 * it is answered or times out, and all these calls share one limit on sockets.
 */
#ifndef PLOVERLOFT_AGENT_CALLS_H
#define PLOVERLOFT_AGENT_CALLS_H

#include <stdbool.h>

#include "core/model/machine.h"
#include "core/runtime/call.h"

/* True if the calls to agents have reached their limit on sockets, so that no further call may be
 * made for now. */
bool agent_call_limit_reached(const struct core *core);
/*
 * Calls the machine's agent: with a POST of `body`, which the call owns from then on, or with a GET
 * if `body` is NULL. The call records the current token and the incarnation and sequence number of
 * the agent's newest message, since the report in the answer must be newer than that message.
 */
struct call *agent_call_begin(struct core *core, const struct machine *machine, const char *path,
			      char *body, double timeout_s, answer_fn on_answer);
/*
 * Releases the socket of a call that has ended. Returns the machine that was called. Returns NULL
 * if the answer must be ignored: the machine was removed, or the call was made in an earlier term.
 */
struct machine *agent_call_end(struct core *core, const struct call *call);

#endif
