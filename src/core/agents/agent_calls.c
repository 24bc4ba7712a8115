#include "core/agents/agent_calls.h"

#include <stdio.h>

#include "core/state.h"

/*
 * A call to an agent that does not answer holds its socket until the call times out. Without a
 * limit, the failure of many machines at once would take the sockets that users' requests and
 * agents' reports need.
 */
bool agent_call_limit_reached(const struct core *core)
{
	return core->agents.calls_in_flight >= core->conf->max_connections * AGENT_CALL_CONNS_SHARE;
}

struct call *agent_call_begin(struct core *core, const struct machine *machine, const char *path,
			      char *body, double timeout_s, answer_fn on_answer)
{
	const char *method = body ? "POST" : "GET";
	struct call *call = core_call(core, machine->addr, method, format_path("%s", path), body,
				      timeout_s, on_answer, NULL);

	core->agents.calls_in_flight++;
	snprintf(call->key, sizeof(call->key), "%s", machine->id);
	call->token = election_token(core);
	call->incarnation = machine->agent.incarnation;
	call->sequence = machine->agent.sequence;
	return call;
}

struct machine *agent_call_end(struct core *core, const struct call *call)
{
	core->agents.calls_in_flight--;
	if (election_call_is_stale(core, call))
		return NULL;
	return machine_find(core, call->key);
}
