/* Reports of workers, and what they prove of the tasks that are bound to them. */
#ifndef PLOVERLOFT_HEARTBEATS_H
#define PLOVERLOFT_HEARTBEATS_H

#include "core/core.h"
#include "core/model/machine.h"

/* A worker's report, or its re-sent copy: it is answered with the commands that are due. */
void agent_heartbeat(struct core *core, const struct core_request *request);
/* A worker's report in the answer to a question or to a direct command. */
void agent_take_probe_answer(struct core *core, const struct call *call, const char *body,
			     size_t len);
/* A new token is held: machines that began anew count from now on. */
void agents_token_renewed(struct core *core);

#endif
