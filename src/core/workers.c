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

#include "core/commands.h"
#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"

static struct binding *binding_find(struct machine *machine, const struct report_task *listed)
{
	struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, mnext)
		if (binding->task == listed->task && binding->attempt == listed->attempt &&
		    !strcmp(binding->job->spec.id, listed->job))
			return binding;
	return NULL;
}

/* --- reading a report --- */

static void note_running(struct core *core, struct binding *binding, enum task_state st)
{
	bool running = st == TS_RUNNING || st == TS_SAVING;

	if (st != TS_FETCHING)
		machine_note_image(binding->machine, binding->job->spec.image);
	if (running && binding->running_since <= 0) {
		binding->running_since = core->now;
		binding->job->nrunning++;
		log_info("task_running", "job=%s task=%u attempt=%llu machine=%s after=%.2f",
			 binding->job->spec.id, binding->task, (unsigned long long)binding->attempt,
			 binding->machine->id, core->wall - binding->job->submitted);
	}
	binding->state = st;
}

static void add_leftover(struct machine *machine, const struct report_task *listed)
{
	struct leftover *leftover;

	machine->left = realloc(machine->left, (machine->nleft + 1) * sizeof(*machine->left));
	if (!machine->left)
		abort();
	leftover = &machine->left[machine->nleft++];
	snprintf(leftover->job, sizeof(leftover->job), "%s", listed->job);
	leftover->task = listed->task;
	leftover->attempt = listed->attempt;
	leftover->ended = listed->state == TS_EXITED;
}

static void take_task(struct core *core, struct machine *machine, const struct report_task *listed)
{
	struct binding *binding = binding_find(machine, listed);

	if (binding && listed->state != TS_EXITED) {
		binding->seen = true;
		binding->listed_at = machine->seq;
		note_running(core, binding, listed->state);
		return;
	}
	add_leftover(machine, listed);
	if (binding) {
		if (listed->why == WHY_DONE)
			machine_note_image(machine, binding->job->spec.image);
		binding_end(core, binding, listed->why);
	} else if (listed->state == TS_EXITED && listed->why == WHY_DONE) {
		job_done_unbound(core, listed->job, listed->task);
	}
}

/* A bound task that this report does not list. */
static void take_absent(struct core *core, struct machine *machine, struct binding *binding,
			bool beat)
{
	if (!binding->committed || binding_unsent(binding))
		return;
	/* The session that was told to start it is over. */
	if (binding->sent_session && machine->session > binding->sent_session) {
		binding_end(core, binding, WHY_NONE);
		return;
	}
	if (!beat || machine->token < binding->floor_token || !machine_fenced(machine) ||
	    machine->seq <= binding->beat_seq) {
		if (beat && !machine_fenced(machine) && !machine->commands_out &&
		    (binding->stopping || binding->loaded))
			core->commits.fence_wanted = true;
		return;
	}
	if (binding->loaded || binding->seen || binding->stopping)
		binding_end(core, binding, WHY_NONE);
	/* else its start was lost on the way: it is sent again */
}

static void take_list(struct core *core, struct machine *machine, const struct report *report,
		      bool beat)
{
	struct binding *binding;
	bool again;

	free(machine->left);
	machine->left = NULL;
	machine->nleft = 0;
	for (size_t i = 0; i < report->ntasks; i++)
		take_task(core, machine, &report->tasks[i]);
	/* Ending a binding may end others of its gang, so the walk starts anew after each. */
	do {
		again = false;
		DL_FOREACH2 (machine->bindings, binding, mnext) {
			int before = machine->nbindings;

			if (binding->listed_at == machine->seq)
				continue;
			take_absent(core, machine, binding, beat);
			if (machine->nbindings != before) {
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
	return report->token >= core->election.first_token && report->token >= machine->inc_token &&
	       !machine->restarted;
}

/* True unless the report is newer than the message that (session, seq) names. */
static bool report_older(const struct report *report, uint64_t session, uint64_t seq)
{
	return report->session < session || (report->session == session && report->seq <= seq);
}

/*
 * One-way machines: reports arrive, answers and commands do not. Its lease runs out, its session
 * rises while we answered all along, and starts are ignored. It gets no work until the answer to
 * a question shows that it hears us.
 */
static void note_deaf(struct core *core, struct machine *machine, const char *why)
{
	if (machine->hears) {
		log_info("machine_deaf", "machine=%s why=%s", machine->id, why);
		machine->deaf_since = core->now;
	}
	machine->hears = false;
	machine->unheeded = 0;
}

static void note_hears(struct core *core, struct machine *machine)
{
	if (!machine->hears)
		round_wanted(core);
	machine->hears = true;
	machine->unheeded = machine->unproven = 0;
}

/* A start that went with the answer to an earlier report is not on this one. */
static void look_heeded(struct core *core, struct machine *machine)
{
	const struct binding *binding;
	bool ignored = false;

	DL_FOREACH2 (machine->bindings, binding, mnext)
		ignored |=
		    binding->beat_seq && !binding->seen && binding->listed_at != machine->seq;
	if (!ignored)
		machine->unheeded = 0;
	else if (++machine->unheeded >= MACHINE_UNHEEDED)
		note_deaf(core, machine, "starts_ignored");
}

/* False if older than what is known: it says nothing new. */
static bool take_report(struct core *core, struct machine *machine, const struct report *report,
			bool beat)
{
	bool first = machine->last_word < 0;

	if (report_older(report, machine->session, machine->seq))
		return false;
	if (beat && machine->session && report->session > machine->session)
		note_deaf(core, machine, "lease_ran_out");
	else if (!beat || first)
		note_hears(core, machine);
	machine->session = report->session;
	machine->seq = report->seq;
	if (report->token > machine->token)
		machine->token = report->token;
	machine->last_word = core->now;
	machine->unanswered = 0;
	if (beat)
		machine->last_beat = core->now;
	if (first) {
		machine->idle_since = machine->up_at = core->now;
		log_info("machine_up", "machine=%s type=%s zone=%s spot=%d after=%.1f", machine->id,
			 machine->type_name, machine->zone, machine->spot,
			 core->now - machine->rented_at);
		round_wanted(core);
	}
	if (report->notice_s >= 0 && machine->notice_s < 0) {
		log_info("machine_notice", "machine=%s seconds=%.1f", machine->id,
			 report->notice_s);
		core->fleet.replicas_leave |= machine->nreplicas > 0;
		round_wanted(core);
	}
	if (!beat && machine->last_beat < 0 && report->token < core->election.token) {
		machine->announce_token = true;
		commands_wanted(core, machine);
	}
	machine->notice_s = report->notice_s;
	machine->notice_heard = core->now;
	take_list(core, machine, report, beat);
	if (beat)
		look_heeded(core, machine);
	if (!machine->hears)
		workers_ask(core, machine);
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
	if (machine->restarted)
		return;
	log_info("machine_restarted", "machine=%s session=%llu seq=%llu bound=%d", machine->id,
		 (unsigned long long)machine->session, (unsigned long long)machine->seq,
		 machine->nbindings);
	machine->restarted = true;
	machine->hears = false;
	machine->deaf_since = core->now;
	core->commits.fence_wanted = true;
}

static void machine_anew(struct core *core, struct machine *machine)
{
	struct binding *binding;

	machine->restarted = false;
	machine->inc_token = core->election.token;
	machine->session = machine->seq = machine->token = 0;
	machine->last_word = machine->last_beat = machine->reported = -1;
	machine->rented_at = machine->up_at = core->now;
	free(machine->left);
	machine->left = NULL;
	machine->nleft = 0;
	/* Their ends are proved by a report under the new token that lacks them. */
	DL_FOREACH2 (machine->bindings, binding, mnext) {
		binding->loaded = true;
		binding->seen = false;
		binding->sent_session = binding->beat_seq = binding->listed_at = 0;
		binding->floor_token = core->election.token;
	}
}

void workers_fenced(struct core *core)
{
	struct machine *machine, *tmp;

	HASH_ITER (hh, core->fleet.machines, machine, tmp)
		if (machine->restarted)
			machine_anew(core, machine);
}

static void misdirect(struct core *core, uint64_t conn)
{
	const char *leader =
	    strcmp(core->election.leader, core->conf->name) ? core->election.leader : "";

	core_reply(core, conn, 421, 0, wire_misdirected(leader));
}

/*
 * A copy of an old report says nothing as long as newer ones come; a machine that began anew sends
 * none. With a fleet's copies a question to each would cost more than the reports themselves.
 */
static bool news_overdue(const struct core *core, const struct machine *machine)
{
	return core->now - machine->last_beat > MACHINE_NEWS_REPORTS * core->conf->report_s &&
	       core->now - machine->asked_at > MACHINE_ASK_S;
}

/* True if the report is news of its machine, which then may get commands with the answer. */
static bool beat_counts(struct core *core, const struct report *report)
{
	struct machine *machine = machine_find(core, report->machine);

	/* Deleted in this term: a copy must not bring it back to life. */
	if (!machine && machine_has_tombstone(core, report->machine))
		return false;
	if (!machine)
		machine = machine_get(core, report->machine);
	machine_describe(core, machine, report->addr, report->type, report->zone, report->spot);
	machine->reported = core->now;
	if (!report_counts(core, machine, report)) {
		/* A new machine, or one that began anew, has seen no token and is asked at once;
		 * others show theirs by their next report. */
		if ((!report->token && core->now - machine->asked_at > MACHINE_ASK_S) ||
		    (machine->unproven++ && news_overdue(core, machine)))
			workers_ask(core, machine);
		return false;
	}
	if (!report_older(report, machine->session, machine->seq))
		return take_report(core, machine, report, true);
	if (news_overdue(core, machine))
		workers_ask(core, machine);
	return false;
}

/* A report that counts, answered with the commands for its machine. */
static void answer_beat(struct core *core, uint64_t conn, const struct report *report)
{
	struct command_list commands;

	if (!beat_counts(core, report)) {
		core_reply(core, conn, 200, 0, wire_beat_answer(core->election.token, NULL, 0));
		return;
	}
	commands_gather(core, machine_find(core, report->machine), &commands, true);
	core_reply(core, conn, 200, 0,
		   wire_beat_answer(core->election.token, commands.items, commands.n));
}

/* False, with an answer sent, if the report shows that another controller leads. */
static bool token_allows(struct core *core, uint64_t conn, const struct report *report)
{
	if (report->token <= core->election.token)
		return true;
	/* A higher token than ours: another leads, and a 200 would hold the worker here in vain. */
	if (!(core->commits.in_flight && core->commits.transaction.fence))
		election_step_down(core, "worker_saw_higher_token");
	core_reply_error(core, conn, 503, 0, "not leading");
	return false;
}

void workers_beat(struct core *core, const struct core_request *request)
{
	const struct report *known;
	struct machine *machine;
	struct report rep;

	election_look(core);
	if (core->election.role == ROLE_FOLLOW) {
		misdirect(core, request->conn);
		return;
	}
	if (core->election.role == ROLE_LOADING) {
		core_reply_error(core, request->conn, 503, 0, "taking over");
		return;
	}
	known = report_cache_find(&core->fleet.reports, request->body, request->len);
	if (known) {
		if (token_allows(core, request->conn, known))
			answer_beat(core, request->conn, known);
		return;
	}
	if (wire_report_decode(request->body, request->len, &rep)) {
		core_reply_error(core, request->conn, 400, 0, "report");
		return;
	}
	if (token_allows(core, request->conn, &rep)) {
		answer_beat(core, request->conn, &rep);
		machine = machine_find(core, rep.machine);
		if (machine)
			report_cache_store(&core->fleet.reports, &machine->last_report,
					   request->body, request->len, &rep);
	}
	wire_report_free(&rep);
}

void workers_take_answer(struct core *core, const struct call *call, const char *body, size_t len)
{
	struct report rep;
	struct machine *machine;
	bool same;

	if (wire_report_decode(body, len, &rep))
		return;
	machine = machine_find(core, rep.machine);
	same = machine && !strcmp(machine->id, call->key);
	if (same && !machine->restarted && machine->inc_token <= call->token) {
		machine_describe(core, machine, rep.addr, rep.type, rep.zone, rep.spot);
		if (report_older(&rep, call->session, call->seq))
			machine_restarted(core, machine);
		else
			take_report(core, machine, &rep, false);
	}
	wire_report_free(&rep);
}
