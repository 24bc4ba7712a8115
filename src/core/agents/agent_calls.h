/*
 * Calls that the leader makes to agents on its own account: direct commands and probes. All hold a
 * socket until they are answered or given up, and share one allowance of sockets.
 */
#ifndef PLOVERLOFT_AGENT_CALLS_H
#define PLOVERLOFT_AGENT_CALLS_H

#include <stdbool.h>

#include "core/model/machine.h"
#include "core/runtime/call.h"

/* The allowance of sockets is used up: no further call is to be made for now. */
bool agent_calls_exhausted(const struct core *core);
/*
 * Calls the machine's agent: a POST of `body`, which the call owns from then on, or a GET if it is
 * NULL. The call keeps what is known of the agent now, since an answer must be newer than that.
 */
struct call *agent_call(struct core *core, const struct machine *machine, const char *path,
			char *body, double timeout_s, answer_fn on_answer);
/*
 * The call has ended: its socket is free again. Returns the machine that was called, or NULL if the
 * answer is void, since the machine is forgotten or the call was made in an earlier term.
 */
struct machine *agent_call_end(struct core *core, const struct call *call);

#endif
