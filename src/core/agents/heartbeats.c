#include "core/agents/heartbeats.h"

#include <string.h>

#include "core/agents/commands.h"
#include "core/agents/long_poll.h"
#include "core/agents/probes.h"
#include "core/agents/reachability.h"
#include "core/agents/redirect.h"
#include "core/agents/reports.h"
#include "core/state.h"

/*
 * Decides whether to probe an agent whose report is stale (see reports.h). An agent that was just
 * started or restarted has seen no token and is probed at once. Any other agent shows the current
 * token in its next heartbeat, so its first stale report causes no probe. A later stale report
 * causes one if no heartbeat of the agent has been applied for long.
 */
static void handle_stale_report(struct core *core, struct machine *machine,
				const struct report *report)
{
	bool first;

	if (!report->token && core->now - machine->probes.sent_at > PROBE_INTERVAL_S) {
		probe_machine(core, machine);
		return;
	}
	first = !machine->agent.stale_reports;
	machine->agent.stale_reports++;
	if (!first && machine_heartbeat_overdue(core, machine))
		probe_machine(core, machine);
}

/*
 * Returns the machine that the report is about, which is added if it is unknown. Returns NULL if
 * the machine was deleted in this term: a late copy of a report must not add it again.
 */
static struct machine *reporting_machine(struct core *core, const struct report *report)
{
	struct machine *machine = machine_find(core, report->machine);

	if (machine)
		return machine;
	if (machine_has_tombstone(core, report->machine))
		return NULL;
	return machine_find_or_add(core, report->machine);
}

/* Applies the report. Returns false if it is stale or not newer than the machine's newest message.
 */
static bool apply_heartbeat(struct core *core, struct machine *machine, const struct report *report)
{
	machine_set_identity(core, machine, report->addr, report->type, report->zone, report->spot);
	machine->agent.last_report_at = core->now;
	if (!report_is_current(core, machine, report)) {
		handle_stale_report(core, machine, report);
		return false;
	}
	if (report_apply(core, machine, report, REPORT_HEARTBEAT))
		return true;
	if (machine_heartbeat_overdue(core, machine))
		probe_machine(core, machine);
	return false;
}

/*
 * Fills *list with the commands for the answer to a report that was applied. Returns false if the
 * answer waits for starts instead.
 */
static bool collect_or_wait(struct core *core, struct machine *machine, uint64_t connection,
			    struct command_list *list)
{
	/* The agent does not wait for the answer to an earlier heartbeat any more. */
	long_poll_end(core, machine);
	commands_collect(core, machine, CHANNEL_HEARTBEAT, list);
	if (list->count || !long_poll_is_useful(core, machine))
		return true;
	long_poll_begin(core, machine, connection);
	return false;
}

/*
 * Applies the report, if it may be applied, and fills *list with the commands for the answer.
 * Returns false if the report is to be answered later.
 */
static bool handle_report(struct core *core, uint64_t connection, const struct report *report,
			  struct command_list *list)
{
	struct machine *machine = reporting_machine(core, report);

	list->count = 0;
	if (!machine)
		return true;
	if (apply_heartbeat(core, machine, report))
		return collect_or_wait(core, machine, connection, list);
	commands_collect_stops(machine, report, list);
	return true;
}

/*
 * Returns false, and has refused the report, if the token of the report is higher than this
 * controller's: then another controller leads. That holds even while a renewal of our own token has
 * no answer: no agent can have seen the new token, since this controller does not know it yet.
 */
static bool check_report_token(struct core *core, uint64_t connection, const struct report *report)
{
	if (report->token <= election_token(core))
		return true;
	election_step_down(core, STEP_DOWN_HIGHER_TOKEN_SEEN);
	/*
	 * The report is refused with 503. If it were answered 200, the agent would keep sending its
	 * reports to this controller, though the agent ignores answers with a token lower than its
	 * own.
	 */
	core_reply_error(core, connection, STATUS_UNAVAILABLE, 0, "not leading");
	return false;
}

/* Returns false if the report was refused because another controller leads. */
static bool answer_report(struct core *core, uint64_t connection, const struct report *report)
{
	struct command_list list;
	char *body;

	if (!check_report_token(core, connection, report))
		return false;
	if (!handle_report(core, connection, report, &list))
		return true;
	body = wire_heartbeat_answer(election_token(core), list.items, list.count);
	core_reply(core, connection, STATUS_OK, 0, body);
	return true;
}

/* Moves the report to the report cache if the cache can recognise a repetition of it (see
 * report_cache.h). */
static void cache_report(struct core *core, const struct core_request *request,
			 struct report *report)
{
	struct machine *machine = machine_find(core, report->machine);

	if (machine)
		report_cache_store(&core->agents.report_cache, &machine->agent.cached_report,
				   request->body, request->len, report);
}

/* The answer "report" means that the report is malformed. */
static void refuse_report(struct core *core, const struct core_request *request, size_t failed_at)
{
	const struct refusal refusal = {
	    .kind = "report",
	    .job = "-",
	    .status = STATUS_BAD_REQUEST,
	    .reason = "report",
	    .body = request->body,
	    .len = request->len,
	    .failed_at = failed_at,
	};

	core_log_refusal(core, &refusal);
	core_reply_error(core, request->connection, refusal.status, 0, refusal.reason);
}

static void decode_and_answer(struct core *core, const struct core_request *request)
{
	struct report report;
	size_t failed_at;

	if (wire_report_decode_at(request->body, request->len, &report, &failed_at)) {
		refuse_report(core, request, failed_at);
		return;
	}
	if (answer_report(core, request->connection, &report))
		cache_report(core, request, &report);
	wire_report_free(&report);
}

void agents_handle_heartbeat(struct core *core, const struct core_request *request)
{
	const struct report *cached;

	election_check_deadline(core);
	if (election_role(core) == ROLE_FOLLOWER) {
		reply_misdirected(core, request->connection);
		return;
	}
	if (election_role(core) == ROLE_RECOVERING) {
		/* Meaning: this controller holds the leader's key, but still reads the records. */
		core_reply_error(core, request->connection, STATUS_UNAVAILABLE, 0, "taking over");
		return;
	}
	cached = report_cache_find(&core->agents.report_cache, request->body, request->len);
	if (cached)
		answer_report(core, request->connection, cached);
	else
		decode_and_answer(core, request);
}
