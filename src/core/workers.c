/*
 * Dealings with workers: reports, the commands in their answers, and direct commands.
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

/* No start of an earlier moment can still take effect on this machine. */
static bool fenced(const struct machine *machine)
{
	return !machine->commands_out && machine->token > machine->unanswered_token;
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
	if (!beat || machine->token < binding->floor_token || !fenced(machine) ||
	    machine->seq <= binding->beat_seq) {
		if (beat && !fenced(machine) && !machine->commands_out &&
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

/* --- commands --- */

struct command_list {
	struct command items[COMMANDS_MAX];
	size_t n;
	bool starts;
};

static void add_command(struct command_list *list, enum command_op op, const char *job,
			uint32_t task, uint64_t attempt, double grace_s)
{
	struct command *cmd;

	if (list->n == COMMANDS_MAX)
		return;
	cmd = &list->items[list->n++];
	cmd->op = op;
	snprintf(cmd->job, sizeof(cmd->job), "%s", job);
	cmd->task = task;
	cmd->attempt = attempt;
	cmd->grace_s = grace_s;
	list->starts |= op == OP_START;
}

/* A gang starts only when the whole attempt is committed: a part alone would wait in vain. */
static bool may_start(const struct binding *binding)
{
	const struct job *job = binding->job;

	if (!binding->committed || binding->seen || binding->stopping || job->cancelled ||
	    job->orphan || job->gang_stopping || binding->loaded)
		return false;
	return job->spec.kind != JOB_GANG || !job->uncommitted;
}

static void command_binding(struct core *core, struct machine *machine, struct binding *binding,
			    struct command_list *list, bool beat)
{
	/* Sent by /do and answered, but not yet on a report: not sent again at once. */
	if (may_start(binding) &&
	    (beat || binding->sent_at <= 0 || core->now - binding->sent_at > START_RESEND_S)) {
		add_command(list, OP_START, binding->job->spec.id, binding->task, binding->attempt,
			    0);
		binding->sent_at = core->now;
		binding->sent_session = machine->session;
		if (beat)
			binding->beat_seq = machine->seq;
	} else if (binding->stopping && binding->state != TS_EXITED &&
		   (beat || binding->stop_at <= 0 ||
		    core->now - binding->stop_at > START_RESEND_S)) {
		/* A second stop with less grace would end a save: it is repeated unchanged. */
		add_command(list, OP_STOP, binding->job->spec.id, binding->task, binding->attempt,
			    binding->grace_s);
		binding->stop_at = core->now;
	}
}

static bool may_forget(struct core *core, const struct machine *machine,
		       const struct leftover *leftover)
{
	struct job *job = job_find(core, leftover->job);

	/* Its end must be on record first: until then this list is the only proof. */
	if (!fenced(machine) || machine->token < core->election.token)
		return false;
	return !job || leftover->task >= job->spec.ntasks || commit_settled(job, leftover->task);
}

static void gather(struct core *core, struct machine *machine, struct command_list *list, bool beat)
{
	struct binding *binding;

	list->n = 0;
	list->starts = false;
	for (size_t i = 0; i < machine->nleft; i++) {
		const struct leftover *leftover = &machine->left[i];

		if (!leftover->ended)
			add_command(list, OP_STOP, leftover->job, leftover->task, leftover->attempt,
				    0);
		else if (may_forget(core, machine, leftover))
			add_command(list, OP_FORGET, leftover->job, leftover->task,
				    leftover->attempt, 0);
		else if (!fenced(machine) && !machine->commands_out)
			core->commits.fence_wanted = true;
	}
	if (machine->deleting)
		return;
	DL_FOREACH2 (machine->bindings, binding, mnext)
		command_binding(core, machine, binding, list, beat);
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
	gather(core, machine_find(core, report->machine), &commands, true);
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

/* --- direct commands --- */

static void take_answer(struct core *core, const struct call *call, const char *body, size_t len)
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

static void command_queue_add(struct core *core, struct machine *machine)
{
	if (machine->in_command_queue)
		return;
	machine->in_command_queue = true;
	DL_APPEND2(core->fleet.command_queue, machine, queue_prev, queue_next);
}

static void command_queue_remove(struct core *core, struct machine *machine)
{
	if (!machine->in_command_queue)
		return;
	machine->in_command_queue = false;
	DL_DELETE2(core->fleet.command_queue, machine, queue_prev, queue_next);
}

static void on_do(struct core *core, struct call *call, int status, const char *body, size_t len)
{
	struct machine *machine;

	core->fleet.directs--;
	if (election_stale(core, call))
		return;
	machine = machine_find(core, call->key);
	if (!machine)
		return;
	if (machine->commands_out)
		machine->commands_out--;
	if (machine->commands_due)
		command_queue_add(core, machine); /* what has gathered meanwhile */
	if (status == 0 && call->starts && call->token > machine->unanswered_token) {
		machine->unanswered_token = call->token;
		log_debug("do_unanswered", "machine=%s", machine->id);
	}
	if (status == 200 || status == 409)
		take_answer(core, call, body, len);
}

/* A question that never left, for want of a socket, says nothing of the machine. */
static bool waited_in_full(const struct core *core, const struct call *call)
{
	return core->now - call->sent >= call->timeout_s * (1 - CLOCK_DRIFT);
}

static void note_unanswered(const struct core *core, const struct call *call,
			    struct machine *machine)
{
	if (call->sent <= machine->last_word || !waited_in_full(core, call))
		return;
	if (!machine->unanswered++)
		machine->unanswered_since = call->sent;
}

static void on_show(struct core *core, struct call *call, int status, const char *body, size_t len)
{
	struct machine *machine;

	core->fleet.directs--;
	if (election_stale(core, call))
		return;
	machine = machine_find(core, call->key);
	if (machine && status <= 0)
		note_unanswered(core, call, machine);
	if (status == 200)
		take_answer(core, call, body, len);
}

/*
 * Machines that are gone keep a socket for each command or question until it is given up. When many
 * go at once, the sockets that callers need must not all wait for them.
 */
static bool directs_full(const struct core *core)
{
	return core->fleet.directs >= core->conf->max_connections * DIRECT_SHARE;
}

/*
 * Questions a second: enough to ask all machines well within a lease, however many there are. While
 * they find a new leader by themselves, a few are enough.
 */
static double asks_per_s(const struct core *core)
{
	if (core->now - core->lead_since < MACHINE_SHOW_REPORTS * core->conf->report_s)
		return ASKS_PER_S;
	return fmax(ASKS_PER_S,
		    HASH_COUNT(core->fleet.machines) / (ASK_ALL_LEASES * core->conf->lease_s));
}

/* What is known when a question leaves: the answer must be newer. */
static void call_mark(struct core *core, struct call *call, const struct machine *machine)
{
	snprintf(call->key, sizeof(call->key), "%s", machine->id);
	call->token = core->election.token;
	call->session = machine->session;
	call->seq = machine->seq;
}

static void send_question(struct core *core, struct machine *machine, double timeout_s)
{
	struct call *call = core_call(core, machine->addr, "GET", fmt_path(W_PATH_STATUS), NULL,
				      timeout_s, on_show, NULL);

	core->fleet.directs++;
	machine->asked_at = core->now;
	call_mark(core, call, machine);
}

bool workers_ask(struct core *core, struct machine *machine)
{
	allowance_fill(core, &core->fleet.asks, asks_per_s(core));
	if (!*machine->addr || core->fleet.asks.left < 1 ||
	    core->now - machine->asked_at < MACHINE_ASK_S || directs_full(core))
		return false;
	core->fleet.asks.left -= 1;
	send_question(core, machine, CALL_WORKER_S);
	return true;
}

bool workers_probe(struct core *core, struct machine *machine)
{
	if (!*machine->addr || directs_full(core))
		return false;
	send_question(core, machine, REPLICA_ANSWER_S);
	return true;
}

void commands_wanted(struct core *core, struct machine *machine)
{
	machine->commands_due = true;
	if (!machine->commands_out) /* one at a time: what has gathered goes with the next */
		command_queue_add(core, machine);
}

void commands_unwanted(struct core *core, struct machine *machine)
{
	machine->commands_due = false;
	command_queue_remove(core, machine);
}

/*
 * Stopped before its start left: no worker will ever name it, so no proof of its end would come,
 * and it would hold its room and its task for the rest of the term.
 */
static void drop_unsent(struct core *core, struct machine *machine)
{
	struct binding *binding = machine->bindings;

	while (binding) {
		bool ends = binding->stopping && binding_unsent(binding);

		if (ends)
			binding_end(core, binding, WHY_STOPPED);
		binding =
		    ends ? machine->bindings : binding->mnext; /* its end may have ended others */
	}
}

static void send_direct(struct core *core, struct machine *machine)
{
	struct command_list list;
	struct call *call;

	gather(core, machine, &list, false);
	if (!list.n && !machine->announce_token)
		return;
	machine->announce_token = false;
	machine->commands_out++;
	core->fleet.directs++;
	call = core_call(
	    core, machine->addr, "POST", fmt_path(W_PATH_COMMANDS),
	    wire_direct_commands(core->election.token, machine->session, list.items, list.n),
	    CALL_WORKER_S, on_do, NULL);
	call_mark(core, call, machine);
	call->starts = list.starts;
}

void workers_tick(struct core *core)
{
	struct machine *machine;

	while ((machine = core->fleet.command_queue) && !directs_full(core)) {
		commands_unwanted(core, machine);
		drop_unsent(core, machine);
		if (machine->session && *machine->addr && !machine->gone &&
		    machine_fresh(core, machine))
			send_direct(core, machine);
	}
}
