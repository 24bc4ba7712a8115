/*
 * Reports of workers, and what they prove of the tasks that are bound to them.
 *
 * A binding ends on the worker's word alone: its task listed as ended, a newer session, or a
 * report that lacks it from a worker that has seen the token under which it could last have been
 * started. While a direct command to start is unanswered at the newest token, it may still arrive:
 * nothing is then forgotten on that machine, and absence proves nothing, until a new token fences
 * it off.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/agents/commands.h"
#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"
#include "util/xalloc.h"

static struct binding *binding_find(struct machine *machine, const struct report_task *listed)
{
	struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, machine_next)
		if (binding->task == listed->task && binding->attempt == listed->attempt &&
		    !strcmp(binding->job->spec.id, listed->job))
			return binding;
	return NULL;
}

/* --- reading a report --- */

static void note_running(struct core *core, struct binding *binding, enum task_state st)
{
	bool running = st == TASK_RUNNING || st == TASK_SAVING;

	if (st != TASK_FETCHING)
		machine_note_image(binding->machine, binding->job->spec.image);
	if (running && binding->running_since <= 0) {
		binding->running_since = core->now;
		binding->job->running_count++;
		log_info("task_running", "job=%s task=%u attempt=%llu machine=%s after=%.2f",
			 binding->job->spec.id, binding->task, (unsigned long long)binding->attempt,
			 binding->machine->id, core->wall - binding->job->submitted_at);
	}
	binding->state = st;
}

static void add_leftover(struct machine *machine, const struct report_task *listed)
{
	struct unbound_task *leftover;

	machine->agent.leftovers =
	    xreallocarray(machine->agent.leftovers, machine->agent.leftover_count + 1,
			  sizeof(*machine->agent.leftovers));
	leftover = &machine->agent.leftovers[machine->agent.leftover_count++];
	snprintf(leftover->job, sizeof(leftover->job), "%s", listed->job);
	leftover->task = listed->task;
	leftover->attempt = listed->attempt;
	leftover->ended = listed->state == TASK_EXITED;
}

static void take_task(struct core *core, struct machine *machine, const struct report_task *listed)
{
	struct binding *binding = binding_find(machine, listed);

	if (binding && listed->state != TASK_EXITED) {
		binding->observed = true;
		binding->listed_sequence = machine->agent.sequence;
		note_running(core, binding, listed->state);
		return;
	}
	add_leftover(machine, listed);
	if (binding) {
		if (listed->end_reason == END_DONE)
			machine_note_image(machine, binding->job->spec.image);
		binding_end(core, binding, listed->end_reason);
	} else if (listed->state == TASK_EXITED && listed->end_reason == END_DONE) {
		job_note_done_unbound(core, listed->job, listed->task);
	}
}

/* A bound task that this report does not list. */
static void take_absent(struct core *core, struct machine *machine, struct binding *binding,
			bool beat)
{
	if (!binding->committed || binding_start_never_sent(binding))
		return;
	/* The session that was told to start it is over. */
	if (binding->start_incarnation && machine->agent.incarnation > binding->start_incarnation) {
		binding_end(core, binding, END_NONE);
		return;
	}
	if (!beat || machine->agent.token < binding->min_token || !machine_fenced(machine) ||
	    machine->agent.sequence <= binding->start_sequence) {
		if (beat && !machine_fenced(machine) && !machine->commands.in_flight &&
		    (binding->stopping || binding->recovered))
			write_queue_request_token(core);
		return;
	}
	if (binding->recovered || binding->observed || binding->stopping)
		binding_end(core, binding, END_NONE);
	/* else its start was lost on the way: it is sent again */
}

static void take_list(struct core *core, struct machine *machine, const struct report *report,
		      bool beat)
{
	struct binding *binding;
	bool again;

	free(machine->agent.leftovers);
	machine->agent.leftovers = NULL;
	machine->agent.leftover_count = 0;
	for (size_t i = 0; i < report->task_count; i++)
		take_task(core, machine, &report->tasks[i]);
	/* Ending a binding may end others of its gang, so the walk starts anew after each. */
	do {
		again = false;
		DL_FOREACH2 (machine->bindings, binding, machine_next) {
			int before = machine->binding_count;

			if (binding->listed_sequence == machine->agent.sequence)
				continue;
			take_absent(core, machine, binding, beat);
			if (machine->binding_count != before) {
				again = true;
				break;
			}
		}
	} while (again);
}

/*
 * Late copies. A report may be a copy from seconds or minutes ago, of before a take-over, of a
 * machine that is deleted. Whoever has seen this term's token was there in this term; within the
 * term (session, sequence) orders what a machine says. A worker that has not seen it yet is
 * answered, so that it will, and its words count from then on.
 */
static bool report_counts(const struct core *core, const struct machine *machine,
			  const struct report *report)
{
	return report->token >= election_first_token(core) &&
	       report->token >= machine->agent.min_token && !machine->agent.restarted;
}

/* True unless the report is newer than the message that (session, seq) names. */
static bool report_older(const struct report *report, uint64_t session, uint64_t seq)
{
	return report->incarnation < session ||
	       (report->incarnation == session && report->sequence <= seq);
}

/*
 * One-way machines: reports arrive, answers and commands do not. Its lease runs out, its session
 * rises while we answered all along, and starts are ignored. It gets no work until the answer to
 * a question shows that it hears us.
 */
static void mark_unreachable(struct core *core, struct machine *machine, const char *why)
{
	if (machine->agent.reachable) {
		log_info("machine_unreachable", "machine=%s reason=%s", machine->id, why);
		machine->agent.unreachable_since = core->now;
	}
	machine->agent.reachable = false;
	machine->agent.ignored_starts = 0;
}

static void mark_reachable(struct core *core, struct machine *machine)
{
	if (!machine->agent.reachable)
		core->events->placement_needed(core);
	machine->agent.reachable = true;
	machine->agent.ignored_starts = machine->agent.stale_reports = 0;
}

/* A start that went with the answer to an earlier report is not on this one. */
static void check_ignored_starts(struct core *core, struct machine *machine)
{
	const struct binding *binding;
	bool ignored = false;

	DL_FOREACH2 (machine->bindings, binding, machine_next)
		ignored |= binding->start_sequence && !binding->observed &&
			   binding->listed_sequence != machine->agent.sequence;
	if (!ignored)
		machine->agent.ignored_starts = 0;
	else if (++machine->agent.ignored_starts >= MACHINE_IGNORED_STARTS)
		mark_unreachable(core, machine, "starts_ignored");
}

/* False if older than what is known: it says nothing new. */
static bool take_report(struct core *core, struct machine *machine, const struct report *report,
			bool beat)
{
	bool first = machine->agent.last_message_at < 0;

	if (report_older(report, machine->agent.incarnation, machine->agent.sequence))
		return false;
	if (beat && machine->agent.incarnation && report->incarnation > machine->agent.incarnation)
		mark_unreachable(core, machine, "lease_expired");
	else if (!beat || first)
		mark_reachable(core, machine);
	machine->agent.incarnation = report->incarnation;
	machine->agent.sequence = report->sequence;
	if (report->token > machine->agent.token)
		machine->agent.token = report->token;
	machine->agent.last_message_at = core->now;
	machine->probes.unanswered = 0;
	if (beat)
		machine->agent.last_heartbeat_at = core->now;
	if (first) {
		machine->cloud.idle_since = machine->agent.up_at = core->now;
		log_info("machine_up", "machine=%s type=%s zone=%s spot=%d after=%.1f", machine->id,
			 machine->type_name, machine->zone, machine->spot,
			 core->now - machine->cloud.rented_at);
		core->events->placement_needed(core);
	}
	if (report->notice_s >= 0 && machine->agent.notice_s < 0) {
		log_info("machine_notice", "machine=%s seconds=%.1f", machine->id,
			 report->notice_s);
		core->agents.replicas_must_move |= machine->replica_count > 0;
		core->events->placement_needed(core);
	}
	if (!beat && machine->agent.last_heartbeat_at < 0 && report->token < election_token(core)) {
		machine->commands.announce_token = true;
		commands_request(core, machine);
	}
	machine->agent.notice_s = report->notice_s;
	machine->agent.notice_received_at = core->now;
	take_list(core, machine, report, beat);
	if (beat)
		check_ignored_starts(core, machine);
	if (!machine->agent.reachable)
		probe_machine(core, machine);
	return true;
}

/*
 * A machine back within a fraction of a second begins its session and sequence anew: its reports
 * look older than what is known, as copies do. The answer to a question asked now is no copy: if
 * it too looks older than what was known when asked, the machine began anew. All that ran there is
 * gone; but a start from before may still be under way, so a new token is taken, and nothing the
 * machine or a copy says under an older one counts.
 */
static void machine_restarted(struct core *core, struct machine *machine)
{
	if (machine->agent.restarted)
		return;
	log_info("machine_restarted", "machine=%s incarnation=%llu sequence=%llu bound=%d",
		 machine->id, (unsigned long long)machine->agent.incarnation,
		 (unsigned long long)machine->agent.sequence, machine->binding_count);
	machine->agent.restarted = true;
	machine->agent.reachable = false;
	machine->agent.unreachable_since = core->now;
	write_queue_request_token(core);
}

static void reset_incarnation(struct core *core, struct machine *machine)
{
	struct binding *binding;

	machine->agent.restarted = false;
	machine->agent.min_token = election_token(core);
	machine->agent.incarnation = machine->agent.sequence = machine->agent.token = 0;
	machine->agent.last_message_at = machine->agent.last_heartbeat_at =
	    machine->agent.last_report_at = -1;
	machine->cloud.rented_at = machine->agent.up_at = core->now;
	free(machine->agent.leftovers);
	machine->agent.leftovers = NULL;
	machine->agent.leftover_count = 0;
	/* Their ends are proved by a report under the new token that lacks them. */
	DL_FOREACH2 (machine->bindings, binding, machine_next) {
		binding->recovered = true;
		binding->observed = false;
		binding->start_incarnation = binding->start_sequence = binding->listed_sequence = 0;
		binding->min_token = election_token(core);
	}
}

void agents_token_renewed(struct core *core)
{
	struct machine *machine, *tmp;

	MACHINES_FOR_EACH (core, machine, tmp)
		if (machine->agent.restarted)
			reset_incarnation(core, machine);
}

static void misdirect(struct core *core, uint64_t conn)
{
	const char *leader =
	    strcmp(election_leader(core), core->conf->name) ? election_leader(core) : "";

	core_reply(core, conn, STATUS_MISDIRECTED, 0, wire_redirect(leader));
}

/*
 * A copy of an old report says nothing as long as newer ones come; a machine that began anew sends
 * none. With a fleet's copies a question to each would cost more than the reports themselves.
 */
static bool heartbeat_overdue(const struct core *core, const struct machine *machine)
{
	return core->now - machine->agent.last_heartbeat_at >
		   MACHINE_STALE_REPORTS * core->conf->report_s &&
	       core->now - machine->probes.sent_at > PROBE_INTERVAL_S;
}

/* True if the report is news of its machine, which then may get commands with the answer. */
static bool take_heartbeat(struct core *core, const struct report *report)
{
	struct machine *machine = machine_find(core, report->machine);

	/* Deleted in this term: a copy must not bring it back to life. */
	if (!machine && machine_has_tombstone(core, report->machine))
		return false;
	if (!machine)
		machine = machine_find_or_add(core, report->machine);
	machine_set_identity(core, machine, report->addr, report->type, report->zone, report->spot);
	machine->agent.last_report_at = core->now;
	if (!report_counts(core, machine, report)) {
		/* A new machine, or one that began anew, has seen no token and is asked at once;
		 * others show theirs by their next report. */
		if ((!report->token && core->now - machine->probes.sent_at > PROBE_INTERVAL_S) ||
		    (machine->agent.stale_reports++ && heartbeat_overdue(core, machine)))
			probe_machine(core, machine);
		return false;
	}
	if (!report_older(report, machine->agent.incarnation, machine->agent.sequence))
		return take_report(core, machine, report, true);
	if (heartbeat_overdue(core, machine))
		probe_machine(core, machine);
	return false;
}

/* A report that counts, answered with the commands for its machine. */
static void answer_heartbeat(struct core *core, uint64_t conn, const struct report *report)
{
	struct command_list commands;

	if (!take_heartbeat(core, report)) {
		core_reply(core, conn, STATUS_OK, 0,
			   wire_heartbeat_answer(election_token(core), NULL, 0));
		return;
	}
	commands_collect(core, machine_find(core, report->machine), &commands, true);
	core_reply(core, conn, STATUS_OK, 0,
		   wire_heartbeat_answer(election_token(core), commands.items, commands.count));
}

/* False, with an answer sent, if the report shows that another controller leads. */
static bool token_allows(struct core *core, uint64_t conn, const struct report *report)
{
	if (report->token <= election_token(core))
		return true;
	/* A higher token than ours: another leads, and a 200 would hold the worker here in vain. */
	if (!election_is_renewing_token(core))
		election_step_down(core, STEP_DOWN_HIGHER_TOKEN_SEEN);
	core_reply_error(core, conn, STATUS_UNAVAILABLE, 0, "not leading");
	return false;
}

void agent_heartbeat(struct core *core, const struct core_request *request)
{
	const struct report *known;
	struct machine *machine;
	struct report rep;

	election_check_deadline(core);
	if (election_role(core) == ROLE_FOLLOWER) {
		misdirect(core, request->conn);
		return;
	}
	if (election_role(core) == ROLE_RECOVERING) {
		core_reply_error(core, request->conn, STATUS_UNAVAILABLE, 0, "taking over");
		return;
	}
	known = report_cache_find(&core->agents.report_cache, request->body, request->len);
	if (known) {
		if (token_allows(core, request->conn, known))
			answer_heartbeat(core, request->conn, known);
		return;
	}
	if (wire_report_decode(request->body, request->len, &rep)) {
		core_reply_error(core, request->conn, STATUS_BAD_REQUEST, 0, "report");
		return;
	}
	if (token_allows(core, request->conn, &rep)) {
		answer_heartbeat(core, request->conn, &rep);
		machine = machine_find(core, rep.machine);
		if (machine)
			report_cache_store(&core->agents.report_cache,
					   &machine->agent.cached_report, request->body,
					   request->len, &rep);
	}
	wire_report_free(&rep);
}

void agent_take_probe_answer(struct core *core, const struct call *call, const char *body,
			     size_t len)
{
	struct report rep;
	struct machine *machine;
	bool same;

	if (wire_report_decode(body, len, &rep))
		return;
	machine = machine_find(core, rep.machine);
	same = machine && !strcmp(machine->id, call->key);
	if (same && !machine->agent.restarted && machine->agent.min_token <= call->token) {
		machine_set_identity(core, machine, rep.addr, rep.type, rep.zone, rep.spot);
		if (report_older(&rep, call->incarnation, call->sequence))
			machine_restarted(core, machine);
		else
			take_report(core, machine, &rep, false);
	}
	wire_report_free(&rep);
}
