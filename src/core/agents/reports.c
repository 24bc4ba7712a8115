#include "core/agents/reports.h"

#include <string.h>

#include "core/agents/agent_restart.h"
#include "core/agents/probes.h"
#include "core/agents/reachability.h"
#include "core/agents/reconciliation.h"
#include "core/state.h"
#include "util/log.h"

bool report_is_current(const struct core *core, const struct machine *machine,
		       const struct report *report)
{
	return report->token >= election_min_report_token(core) &&
	       report->token >= machine->agent.min_token && !machine->agent.restarted;
}

bool report_is_newer(const struct report *report, uint64_t incarnation, uint64_t sequence)
{
	if (report->incarnation != incarnation)
		return report->incarnation > incarnation;
	return report->sequence > sequence;
}

/*
 * A heartbeat with a newer incarnation shows that the agent's lease has expired because our answers
 * did not arrive. An answer to our own message shows that our messages arrive. The first message of
 * an agent in the term is assumed to show that too.
 */
static void update_reachability(struct core *core, struct machine *machine,
				const struct report *report, enum report_origin origin)
{
	bool first = machine->agent.last_message_at < 0;
	bool lease_expired =
	    machine->agent.incarnation && report->incarnation > machine->agent.incarnation;

	if (origin == REPORT_HEARTBEAT && lease_expired)
		machine_mark_unreachable(core, machine, "lease_expired");
	else if (origin == REPORT_SOLICITED || first)
		machine_mark_reachable(core, machine);
}

/* Records that the report is the newest message of its agent. */
static void record_message(struct core *core, struct machine *machine, const struct report *report,
			   enum report_origin origin)
{
	struct machine_agent *agent = &machine->agent;

	agent->incarnation = report->incarnation;
	agent->sequence = report->sequence;
	if (report->token > agent->token) {
		agent->token = report->token;
		agent->token_shown_at = core->now;
	}
	agent->last_message_at = core->now;
	machine->probes.unanswered = 0;
	if (origin != REPORT_HEARTBEAT)
		return;
	agent->heartbeat_sequence = report->sequence;
	agent->last_heartbeat_at = core->now;
}

static void record_machine_up(struct core *core, struct machine *machine)
{
	machine->cloud.idle_since = core->now;
	machine->agent.up_at = core->now;
	log_info("machine_up", "machine=%s type=%s zone=%s spot=%d after=%.1f", machine->id,
		 machine->type_name, machine->zone, machine->spot,
		 core->now - machine->cloud.rented_at);
	core->events->placement_needed(core);
}

static void update_preemption_notice(struct core *core, struct machine *machine,
				     const struct report *report)
{
	if (report->notice_s >= 0 && machine->agent.notice_s < 0) {
		log_info("machine_notice", "machine=%s seconds=%.1f", machine->id,
			 report->notice_s);
		core->agents.replicas_must_move |= machine->replica_count > 0;
		core->events->placement_needed(core);
	}
	machine->agent.notice_s = report->notice_s;
	machine->agent.notice_received_at = core->now;
}

/*
 * An agent that answers us but has sent no heartbeat to this controller in this term may still
 * report to an earlier leader. Once the agent has seen our token, the agent ignores that leader's
 * answers and reports to this controller.
 */
static void announce_token(struct core *core, struct machine *machine, const struct report *report)
{
	if (machine->agent.last_heartbeat_at >= 0 || report->token >= election_token(core))
		return;
	machine->commands.announce_token = true;
	commands_request(core, machine);
}

bool report_apply(struct core *core, struct machine *machine, const struct report *report,
		  enum report_origin origin)
{
	bool first = machine->agent.last_message_at < 0;

	if (!report_is_newer(report, machine->agent.incarnation, machine->agent.sequence))
		return false;
	update_reachability(core, machine, report, origin);
	record_message(core, machine, report, origin);
	if (first)
		record_machine_up(core, machine);
	update_preemption_notice(core, machine, report);
	if (origin == REPORT_SOLICITED)
		announce_token(core, machine, report);
	reconcile_report(core, machine, report, origin);
	if (origin == REPORT_HEARTBEAT)
		machine_check_ignored_starts(core, machine);
	if (!machine->agent.reachable)
		probe_machine(core, machine);
	return true;
}

/*
 * An answer to our own message cannot be a late copy. If the report in it is not newer than what
 * was the agent's newest message when the call was made, the agent was restarted. The answer is
 * ignored if the call was made under an older token than the one that this controller obtained
 * after the agent's last restart.
 */
static void apply_answer(struct core *core, struct machine *machine, const struct call *call,
			 const struct report *report)
{
	if (machine->agent.restarted || machine->agent.min_token > call->token)
		return;
	machine_set_identity(core, machine, report->addr, report->type, report->zone, report->spot);
	if (report_is_newer(report, call->incarnation, call->sequence))
		report_apply(core, machine, report, REPORT_SOLICITED);
	else
		agent_mark_restarted(core, machine);
}

void report_apply_solicited(struct core *core, struct machine *machine, const struct call *call,
			    const struct call_answer *answer)
{
	struct report report;

	if (wire_report_decode(answer->body, answer->len, &report))
		return;
	if (!strcmp(report.machine, machine->id))
		apply_answer(core, machine, call, &report);
	wire_report_free(&report);
}
