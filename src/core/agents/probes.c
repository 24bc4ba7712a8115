#include "core/agents/probes.h"

#include <math.h>

#include "core/agents/agent_calls.h"
#include "core/agents/reports.h"
#include "core/state.h"
#include "wire/names.h"

/*
 * True if the call of a probe has lasted for its full timeout. A probe that ended earlier may never
 * have been sent, for lack of a socket, and then says nothing about the machine.
 */
static bool timed_out(const struct core *core, const struct call *call)
{
	return core->now - call->sent_at >= call->timeout_s * (1 - CLOCK_DRIFT);
}

/* Counts a probe that timed out, unless a message of the agent has come since the probe was
 * sent. */
static void record_unanswered_probe(const struct core *core, const struct call *call,
				    struct machine *machine)
{
	if (call->sent_at <= machine->agent.last_message_at || !timed_out(core, call))
		return;
	if (!machine->probes.unanswered)
		machine->probes.unanswered_since = call->sent_at;
	machine->probes.unanswered++;
}

static void on_probe_answer(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct machine *machine = agent_call_end(core, call);

	if (!machine)
		return;
	if (answer->outcome != CALL_ANSWERED)
		record_unanswered_probe(core, call, machine);
	if (answer->status == STATUS_OK)
		report_apply_solicited(core, machine, call, answer);
}

/*
 * Returns the allowed rate in probes per second. This rate lets all machines be probed well within
 * an agent's lease, whatever their number. At the beginning of a term the least rate is enough,
 * since agents then find the new leader by themselves.
 */
static double probe_rate(const struct core *core)
{
	if (core->now - core->leading_since < LEADER_DISCOVERY_REPORTS * core->conf->report_s)
		return PROBES_MIN_PER_S;
	return fmax(PROBES_MIN_PER_S,
		    machine_count(core) / (PROBE_ALL_LEASES * core->conf->lease_s));
}

static void send_probe(struct core *core, struct machine *machine, double timeout_s)
{
	agent_call_begin(core, machine, W_PATH_PROBE, NULL, timeout_s, on_probe_answer);
	machine->probes.sent_at = core->now;
}

bool probe_machine(struct core *core, struct machine *machine)
{
	struct rate_limiter *limiter = &core->agents.probe_limiter;

	rate_limiter_refill(core, limiter, probe_rate(core));
	if (!*machine->addr || limiter->tokens < 1)
		return false;
	if (core->now - machine->probes.sent_at < PROBE_INTERVAL_S ||
	    agent_call_limit_reached(core))
		return false;
	limiter->tokens -= 1;
	send_probe(core, machine, CALL_AGENT_TIMEOUT_S);
	return true;
}

bool probe_replica_machine(struct core *core, struct machine *machine)
{
	if (!*machine->addr || agent_call_limit_reached(core))
		return false;
	send_probe(core, machine, REPLICA_PROBE_TIMEOUT_S);
	return true;
}
