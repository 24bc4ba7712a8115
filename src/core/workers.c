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

static struct binding *binding_find(struct machine *m, const struct report_task *t)
{
	struct binding *b;

	DL_FOREACH2 (m->bindings, b, mnext)
		if (b->task == t->task && b->attempt == t->attempt &&
		    !strcmp(b->job->spec.id, t->job))
			return b;
	return NULL;
}

/* No start of an earlier moment can still take effect on this machine. */
static bool fenced(const struct machine *m)
{
	return !m->do_out && m->token > m->loose_token;
}

/* --- reading a report --- */

static void note_running(struct core *c, struct binding *b, enum task_state st)
{
	bool running = st == TS_RUNNING || st == TS_SAVING;

	if (st != TS_FETCHING)
		machine_note_image(b->machine, b->job->spec.image);
	if (running && b->running_since <= 0) {
		b->running_since = c->now;
		b->job->nrunning++;
		log_info("task_running", "job=%s task=%u attempt=%llu machine=%s after=%.2f",
			 b->job->spec.id, b->task, (unsigned long long)b->attempt, b->machine->id,
			 c->wall - b->job->submitted);
	}
	b->state = st;
}

static void add_leftover(struct machine *m, const struct report_task *t)
{
	struct leftover *l;

	m->left = realloc(m->left, (m->nleft + 1) * sizeof(*m->left));
	if (!m->left)
		abort();
	l = &m->left[m->nleft++];
	snprintf(l->job, sizeof(l->job), "%s", t->job);
	l->task = t->task;
	l->attempt = t->attempt;
	l->ended = t->state == TS_EXITED;
}

static void take_task(struct core *c, struct machine *m, const struct report_task *t)
{
	struct binding *b = binding_find(m, t);

	if (b && t->state != TS_EXITED) {
		b->seen = true;
		b->listed_at = m->seq;
		note_running(c, b, t->state);
		return;
	}
	add_leftover(m, t);
	if (b) {
		if (t->why == WHY_DONE)
			machine_note_image(m, b->job->spec.image);
		binding_end(c, b, t->why);
	} else if (t->state == TS_EXITED && t->why == WHY_DONE) {
		job_done_unbound(c, t->job, t->task);
	}
}

/* A bound task that this report does not list. */
static void take_absent(struct core *c, struct machine *m, struct binding *b, bool beat)
{
	if (!b->committed || binding_unsent(b))
		return;
	/* The session that was told to start it is over. */
	if (b->sent_session && m->session > b->sent_session) {
		binding_end(c, b, WHY_NONE);
		return;
	}
	if (!beat || m->token < b->floor_token || !fenced(m) || m->seq <= b->beat_seq) {
		if (beat && !fenced(m) && !m->do_out && (b->stopping || b->loaded))
			c->fence_wanted = true;
		return;
	}
	if (b->loaded || b->seen || b->stopping)
		binding_end(c, b, WHY_NONE);
	/* else its start was lost on the way: it is sent again */
}

static void take_list(struct core *c, struct machine *m, const struct report *r, bool beat)
{
	struct binding *b;
	bool again;

	free(m->left);
	m->left = NULL;
	m->nleft = 0;
	for (size_t i = 0; i < r->ntasks; i++)
		take_task(c, m, &r->tasks[i]);
	/* Ending a binding may end others of its gang, so the walk starts anew after each. */
	do {
		again = false;
		DL_FOREACH2 (m->bindings, b, mnext) {
			int before = m->nbindings;

			if (b->listed_at == m->seq)
				continue;
			take_absent(c, m, b, beat);
			if (m->nbindings != before) {
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
static bool report_counts(const struct core *c, const struct machine *m, const struct report *r)
{
	return r->token >= c->el.first_token && r->token >= m->inc_token && !m->restarted;
}

/* True unless the report is newer than the message that (session, seq) names. */
static bool report_older(const struct report *r, uint64_t session, uint64_t seq)
{
	return r->session < session || (r->session == session && r->seq <= seq);
}

/*
 * One-way machines: reports arrive, answers and commands do not. Its lease runs out, its session
 * rises while we answered all along, and starts are ignored. It gets no work until the answer to
 * a question shows that it hears us.
 */
static void note_deaf(struct core *c, struct machine *m, const char *why)
{
	if (m->hears) {
		log_info("machine_deaf", "machine=%s why=%s", m->id, why);
		m->deaf_since = c->now;
	}
	m->hears = false;
	m->unheeded = 0;
}

static void note_hears(struct core *c, struct machine *m)
{
	if (!m->hears)
		round_wanted(c);
	m->hears = true;
	m->unheeded = m->unproven = 0;
}

/* A start that went with the answer to an earlier report is not on this one. */
static void look_heeded(struct core *c, struct machine *m)
{
	const struct binding *b;
	bool ignored = false;

	DL_FOREACH2 (m->bindings, b, mnext)
		ignored |= b->beat_seq && !b->seen && b->listed_at != m->seq;
	if (!ignored)
		m->unheeded = 0;
	else if (++m->unheeded >= MACHINE_UNHEEDED)
		note_deaf(c, m, "starts_ignored");
}

/* False if older than what is known: it says nothing new. */
static bool take_report(struct core *c, struct machine *m, const struct report *r, bool beat)
{
	bool first = m->last_word < 0;

	if (report_older(r, m->session, m->seq))
		return false;
	if (beat && m->session && r->session > m->session)
		note_deaf(c, m, "lease_ran_out");
	else if (!beat || first)
		note_hears(c, m);
	m->session = r->session;
	m->seq = r->seq;
	if (r->token > m->token)
		m->token = r->token;
	m->last_word = c->now;
	if (beat)
		m->last_beat = c->now;
	if (first) {
		m->idle_since = m->up_at = c->now;
		log_info("machine_up", "machine=%s type=%s zone=%s spot=%d after=%.1f", m->id,
			 m->type_name, m->zone, m->spot, c->now - m->rented_at);
		round_wanted(c);
	}
	if (r->notice_s >= 0 && m->notice_s < 0) {
		log_info("machine_notice", "machine=%s seconds=%.1f", m->id, r->notice_s);
		c->replicas_leave |= m->nreplicas > 0;
		round_wanted(c);
	}
	if (!beat && m->last_beat < 0 && r->token < c->el.token) {
		m->call = true;
		workers_kick(c, m);
	}
	m->notice_s = r->notice_s;
	m->notice_heard = c->now;
	take_list(c, m, r, beat);
	if (beat)
		look_heeded(c, m);
	if (!m->hears)
		workers_ask(c, m);
	return true;
}

/*
 * A machine back within a fraction of a second begins its session and sequence anew: its reports
 * look older than what is known, as copies do. The answer to a question asked now is no copy: if
 * it too looks older than what was known when asked, the machine began anew. All that ran there is
 * gone; but a start from before may still be under way, so a new token is taken, and nothing the
 * machine or a copy says under an older one counts.
 */
static void machine_restarted(struct core *c, struct machine *m)
{
	if (m->restarted)
		return;
	log_info("machine_restarted", "machine=%s session=%llu seq=%llu bound=%d", m->id,
		 (unsigned long long)m->session, (unsigned long long)m->seq, m->nbindings);
	m->restarted = true;
	m->hears = false;
	m->deaf_since = c->now;
	c->fence_wanted = true;
}

static void machine_anew(struct core *c, struct machine *m)
{
	struct binding *b;

	m->restarted = false;
	m->inc_token = c->el.token;
	m->session = m->seq = m->token = 0;
	m->last_word = m->last_beat = m->reported = -1;
	m->rented_at = m->up_at = c->now;
	free(m->left);
	m->left = NULL;
	m->nleft = 0;
	/* Their ends are proved by a report under the new token that lacks them. */
	DL_FOREACH2 (m->bindings, b, mnext) {
		b->loaded = true;
		b->seen = false;
		b->sent_session = b->beat_seq = b->listed_at = 0;
		b->floor_token = c->el.token;
	}
}

void workers_fenced(struct core *c)
{
	struct machine *m, *tmp;

	HASH_ITER (hh, c->machines, m, tmp)
		if (m->restarted)
			machine_anew(c, m);
}

/* --- commands --- */

struct command_list {
	struct command items[COMMANDS_MAX];
	size_t n;
	bool starts;
};

static void add_command(struct command_list *l, enum command_op op, const char *job, uint32_t task,
			uint64_t attempt, double grace_s)
{
	struct command *cmd;

	if (l->n == COMMANDS_MAX)
		return;
	cmd = &l->items[l->n++];
	cmd->op = op;
	snprintf(cmd->job, sizeof(cmd->job), "%s", job);
	cmd->task = task;
	cmd->attempt = attempt;
	cmd->grace_s = grace_s;
	l->starts |= op == OP_START;
}

/* A gang starts only when the whole attempt is committed: a part alone would wait in vain. */
static bool may_start(const struct binding *b)
{
	const struct job *j = b->job;

	if (!b->committed || b->seen || b->stopping || j->cancelled || j->orphan ||
	    j->gang_stopping || b->loaded)
		return false;
	return j->spec.kind != JOB_GANG || !j->uncommitted;
}

static void command_binding(struct core *c, struct machine *m, struct binding *b,
			    struct command_list *l, bool beat)
{
	/* Sent by /do and answered, but not yet on a report: not sent again at once. */
	if (may_start(b) && (beat || b->sent_at <= 0 || c->now - b->sent_at > START_RESEND_S)) {
		add_command(l, OP_START, b->job->spec.id, b->task, b->attempt, 0);
		b->sent_at = c->now;
		b->sent_session = m->session;
		if (beat)
			b->beat_seq = m->seq;
	} else if (b->stopping && b->state != TS_EXITED &&
		   (beat || b->stop_at <= 0 || c->now - b->stop_at > START_RESEND_S)) {
		/* A second stop with less grace would end a save: it is repeated unchanged. */
		add_command(l, OP_STOP, b->job->spec.id, b->task, b->attempt, b->grace_s);
		b->stop_at = c->now;
	}
}

static bool may_forget(struct core *c, const struct machine *m, const struct leftover *l)
{
	struct job *j = job_find(c, l->job);

	/* Its end must be on record first: until then this list is the only proof. */
	if (!fenced(m) || m->token < c->el.token)
		return false;
	return !j || l->task >= j->spec.ntasks || commit_settled(j, l->task);
}

static void gather(struct core *c, struct machine *m, struct command_list *l, bool beat)
{
	struct binding *b;

	l->n = 0;
	l->starts = false;
	for (size_t i = 0; i < m->nleft; i++) {
		const struct leftover *x = &m->left[i];

		if (!x->ended)
			add_command(l, OP_STOP, x->job, x->task, x->attempt, 0);
		else if (may_forget(c, m, x))
			add_command(l, OP_FORGET, x->job, x->task, x->attempt, 0);
		else if (!fenced(m) && !m->do_out)
			c->fence_wanted = true;
	}
	if (m->deleting)
		return;
	DL_FOREACH2 (m->bindings, b, mnext)
		command_binding(c, m, b, l, beat);
}

static void misdirect(struct core *c, uint64_t conn)
{
	const char *leader = strcmp(c->el.leader, c->conf->name) ? c->el.leader : "";

	core_reply(c, conn, 421, 0, wire_misdirected(leader));
}

/*
 * A copy of an old report says nothing as long as newer ones come; a machine that began anew sends
 * none. With a fleet's copies a question to each would cost more than the reports themselves.
 */
static bool news_overdue(const struct core *c, const struct machine *m)
{
	return c->now - m->last_beat > MACHINE_NEWS_REPORTS * c->conf->report_s &&
	       c->now - m->asked_at > MACHINE_ASK_S;
}

/* True if the report is news of its machine, which then may get commands with the answer. */
static bool beat_counts(struct core *c, const struct report *r)
{
	struct machine *m = machine_find(c, r->machine);

	/* Deleted in this term: a copy must not bring it back to life. */
	if (!m && machine_has_tombstone(c, r->machine))
		return false;
	if (!m)
		m = machine_get(c, r->machine);
	machine_describe(c, m, r->addr, r->type, r->zone, r->spot);
	m->reported = c->now;
	if (!report_counts(c, m, r)) {
		/* A new machine, or one that began anew, has seen no token and is asked at once;
		 * others show theirs by their next report. */
		if ((!r->token && c->now - m->asked_at > MACHINE_ASK_S) ||
		    (m->unproven++ && news_overdue(c, m)))
			workers_ask(c, m);
		return false;
	}
	if (!report_older(r, m->session, m->seq))
		return take_report(c, m, r, true);
	if (news_overdue(c, m))
		workers_ask(c, m);
	return false;
}

/* A report that counts, answered with the commands for its machine. */
static void answer_beat(struct core *c, uint64_t conn, const struct report *report)
{
	struct command_list commands;

	if (!beat_counts(c, report)) {
		core_reply(c, conn, 200, 0, wire_beat_answer(c->el.token, NULL, 0));
		return;
	}
	gather(c, machine_find(c, report->machine), &commands, true);
	core_reply(c, conn, 200, 0, wire_beat_answer(c->el.token, commands.items, commands.n));
}

/* False, with an answer sent, if the report shows that another controller leads. */
static bool token_allows(struct core *c, uint64_t conn, const struct report *report)
{
	if (report->token <= c->el.token)
		return true;
	/* A higher token than ours: another leads, and a 200 would hold the worker here in vain. */
	if (!(c->flying && c->flight.fence))
		election_step_down(c, "worker_saw_higher_token");
	core_reply_error(c, conn, 503, 0, "not leading");
	return false;
}

void workers_beat(struct core *c, const struct core_request *r)
{
	const struct report *known;
	struct machine *m;
	struct report rep;

	election_look(c);
	if (c->el.role == ROLE_FOLLOW) {
		misdirect(c, r->conn);
		return;
	}
	if (c->el.role == ROLE_LOADING) {
		core_reply_error(c, r->conn, 503, 0, "taking over");
		return;
	}
	known = report_cache_find(&c->reports, r->body, r->len);
	if (known) {
		if (token_allows(c, r->conn, known))
			answer_beat(c, r->conn, known);
		return;
	}
	if (wire_report_decode(r->body, r->len, &rep)) {
		core_reply_error(c, r->conn, 400, 0, "report");
		return;
	}
	if (token_allows(c, r->conn, &rep)) {
		answer_beat(c, r->conn, &rep);
		m = machine_find(c, rep.machine);
		if (m)
			report_cache_store(&c->reports, &m->last_report, r->body, r->len, &rep);
	}
	wire_report_free(&rep);
}

/* --- direct commands --- */

static void take_answer(struct core *c, const struct call *call, const char *body, size_t len)
{
	struct report rep;
	struct machine *m;
	bool same;

	if (wire_report_decode(body, len, &rep))
		return;
	m = machine_find(c, rep.machine);
	same = m && !strcmp(m->id, call->key);
	if (same && !m->restarted && m->inc_token <= call->token) {
		machine_describe(c, m, rep.addr, rep.type, rep.zone, rep.spot);
		if (report_older(&rep, call->session, call->seq))
			machine_restarted(c, m);
		else
			take_report(c, m, &rep, false);
	}
	wire_report_free(&rep);
}

static void kick_queue(struct core *c, struct machine *m)
{
	if (m->queued)
		return;
	m->queued = true;
	DL_APPEND2(c->kicked, m, kprev, knext);
}

static void kick_unqueue(struct core *c, struct machine *m)
{
	if (!m->queued)
		return;
	m->queued = false;
	DL_DELETE2(c->kicked, m, kprev, knext);
}

static void on_do(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	struct machine *m;

	c->directs--;
	if (election_stale(c, call))
		return;
	m = machine_find(c, call->key);
	if (!m)
		return;
	if (m->do_out)
		m->do_out--;
	if (m->kick)
		kick_queue(c, m); /* what has gathered meanwhile */
	if (status == 0 && call->starts && call->token > m->loose_token) {
		m->loose_token = call->token;
		log_debug("do_unanswered", "machine=%s", m->id);
	}
	if (status == 200 || status == 409)
		take_answer(c, call, body, len);
}

static void on_show(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	struct machine *m;

	c->directs--;
	if (election_stale(c, call))
		return;
	m = machine_find(c, call->key);
	if (m && status <= 0)
		m->unanswered_at = call->sent;
	if (status == 200)
		take_answer(c, call, body, len);
}

/*
 * Machines that are gone keep a socket for each command or question until it is given up. When many
 * go at once, the sockets that callers need must not all wait for them.
 */
static bool directs_full(const struct core *c)
{
	return c->directs >= c->conf->max_connections * DIRECT_SHARE;
}

/*
 * Questions a second: enough to ask all machines well within a lease, however many there are. While
 * they find a new leader by themselves, a few are enough.
 */
static double asks_per_s(const struct core *c)
{
	if (c->now - c->lead_since < MACHINE_SHOW_REPORTS * c->conf->report_s)
		return ASKS_PER_S;
	return fmax(ASKS_PER_S, HASH_COUNT(c->machines) / (ASK_ALL_LEASES * c->conf->lease_s));
}

/* What is known when a question leaves: the answer must be newer. */
static void call_mark(struct core *c, struct call *call, const struct machine *m)
{
	snprintf(call->key, sizeof(call->key), "%s", m->id);
	call->token = c->el.token;
	call->session = m->session;
	call->seq = m->seq;
}

/* Asks the worker for its report; false if too many were asked of late. */
bool workers_ask(struct core *c, struct machine *m)
{
	allowance_fill(c, &c->asks, asks_per_s(c));
	if (!*m->addr || c->asks.left < 1 || c->now - m->asked_at < MACHINE_ASK_S ||
	    directs_full(c))
		return false;
	c->asks.left -= 1;
	c->directs++;
	m->asked_at = c->now;
	call_mark(c,
		  core_call(c, m->addr, "GET", fmt_path(W_PATH_STATUS), NULL, CALL_WORKER_S,
			    on_show, NULL),
		  m);
	return true;
}

void workers_kick(struct core *c, struct machine *m)
{
	m->kick = true;
	if (!m->do_out) /* one at a time: what has gathered goes with the next */
		kick_queue(c, m);
}

void workers_unkick(struct core *c, struct machine *m)
{
	m->kick = false;
	kick_unqueue(c, m);
}

/*
 * Stopped before its start left: no worker will ever name it, so no proof of its end would come,
 * and it would hold its room and its task for the rest of the term.
 */
static void drop_unsent(struct core *c, struct machine *m)
{
	struct binding *b = m->bindings;

	while (b) {
		bool ends = b->stopping && binding_unsent(b);

		if (ends)
			binding_end(c, b, WHY_STOPPED);
		b = ends ? m->bindings : b->mnext; /* its end may have ended others */
	}
}

static void send_direct(struct core *c, struct machine *m)
{
	struct command_list l;
	struct call *call;

	gather(c, m, &l, false);
	if (!l.n && !m->call)
		return;
	m->call = false;
	m->do_out++;
	c->directs++;
	call = core_call(c, m->addr, "POST", fmt_path(W_PATH_COMMANDS),
			 wire_direct_commands(c->el.token, m->session, l.items, l.n), CALL_WORKER_S,
			 on_do, NULL);
	call_mark(c, call, m);
	call->starts = l.starts;
}

void workers_tick(struct core *c)
{
	struct machine *m;

	while ((m = c->kicked) && !directs_full(c)) {
		workers_unkick(c, m);
		drop_unsent(c, m);
		if (m->session && *m->addr && !m->gone && machine_fresh(c, m))
			send_direct(c, m);
	}
}
