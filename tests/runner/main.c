/*
 * Plays a scenario file: controllers' cores against the stand-ins, in simulated time. Every
 * scenario runs under the checker of the rules and says what it expects. See tests/README.md.
 */
#include <getopt.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "behaviour_trace.h"
#include "conf/conf.h"
#include "core/core.h"
#include "core/state.h"
#include "standin.h"
#include "util/log.h"
#include "wire/names.h"

#define STEP_S 0.05
#define LATENCY_S 0.004
#define THAW_S 1e-3 /* seconds: what waits for a controller that wakes comes before its clock */
#define SLOW_S 0.3  /* seconds that a slow answer of the state service takes longer */
#define EPILOGUE_S                                                                                 \
	80.0 /* seconds played after the last line: longer than a job may go unanswered */
#define WORDS 24
#define SI_CAPTURES 8

/* hosts: controllers 0.., then these */
enum { HOST_STATE = 100, HOST_CLOUD, HOST_USERS, HOST_WORKERS = 1000 };

enum msg_kind { MSG_REQUEST, MSG_REPLY, MSG_TIMEOUT, MSG_REPORT, MSG_REPORT_REPLY };

struct msg {
	double at;
	uint64_t order;
	enum msg_kind kind;
	int from, to;
	uint64_t id;   /* call of a controller, or handle */
	uint64_t life; /* of the controller that waits for it */
	char *method, *path, *body;
	size_t len; /* of the body, which may be binary on the back link */
	int status;
	uint64_t session, seq;
	double sent;
	struct msg *prev, *next;
};

struct node {
	struct conf conf;
	struct core *core;
	uint64_t life;
	bool up;
	double back_at;
	double skew;
	double frozen_until; /* it neither reads nor sends */
};

struct cut {
	int a, b;
	double until;
	bool hold;
	bool oneway; /* only what goes from a to b */
	bool mute;   /* only b's reports, to anybody */
	struct cut *next;
};

struct user {
	char id[ID_MAX];
	enum user_kind kind;
	int node;
	uint64_t conn;
	bool again;
	double sent;
	struct user *prev, *next;
};

struct world {
	struct standin si;
	struct conf conf;
	struct node nodes[SI_NODES];
	bool held[SI_NODES]; /* keeps the records readable by the version before */
	int nnodes;
	double now;
	double state_up_at;
	double loss, repeat; /* shares of messages */
	double slow;	     /* share of the state service's answers that come late */
	double copies;	     /* share of reports of which a late copy comes */
	double copies_after; /* seconds, at most */
	struct back *backs;
	uint64_t next_back;
	char *captured[SI_CAPTURES]; /* a machine's report, to be told again */
	double quiet_since;	     /* when the last trouble ends */
	char crash_step[16];	     /* the step of an election at which a controller ends */
	int crash_left;
	double crash_back;
	unsigned short rand48[3];
	struct msg *queue;
	uint64_t order;
	struct cut *cuts;
	struct user *users;
	uint64_t next_conn;
	double late;	   /* share of transactions without an answer, carried out later */
	int cancel_at_end; /* the job to be called off at the moment of its end; 0: none */
	int answers[600];
	int failures;
	const char *file;
	int line;
	bool started;
	uint64_t seed;
	struct behaviour_trace *trace; /* NULL: none is kept */
};

struct handle {
	int node, from;
	uint64_t id, life;
};

static void fail(struct world *w, const char *fmt, const char *detail)
{
	fprintf(stderr, "%s:%d: at %.2f s: ", w->file, w->line, w->now);
	fprintf(stderr, fmt, detail);
	fputc('\n', stderr);
	w->failures++;
}

/* --- messages --- */

/* What came while a controller was frozen is read in any order: the worst is the newest report. */
static double thaw_at(const struct world *w, const struct msg *m)
{
	const struct node *n = m->to < SI_NODES ? &w->nodes[m->to] : NULL;

	if (!n || !n->up || w->now >= n->frozen_until)
		return 0;
	return n->frozen_until +
	       (m->kind == MSG_REPORT ? 1e-6 * (n->frozen_until - m->at) : THAW_S / 2);
}

static bool muted(struct world *w, const struct msg *m)
{
	for (struct cut *c = w->cuts; c; c = c->next)
		if (c->mute && m->kind == MSG_REPORT && c->b == m->from && w->now < c->until)
			return true;
	return false;
}

static bool cut_now(struct world *w, int a, int b, double *until, bool *hold)
{
	for (struct cut *c = w->cuts; c; c = c->next) {
		bool there = c->b == b && (c->a < 0 || c->a == a);
		bool ab = (c->a == a && (c->b == b || c->b < 0)) ||
			  (c->a == b && (c->b == a || c->b < 0));

		if (!c->mute && (c->oneway ? there : ab) && w->now < c->until) {
			*until = c->until;
			*hold = c->hold;
			return true;
		}
	}
	return false;
}

static struct msg *msg_new(struct world *w, enum msg_kind kind, int from, int to, double at)
{
	struct msg *m = calloc(1, sizeof(*m));
	struct msg *e;

	if (!m)
		abort();
	m->kind = kind;
	m->from = from;
	m->to = to;
	m->at = at;
	m->sent = w->now;
	m->order = w->order++;
	for (e = w->queue ? w->queue->prev : NULL; e; e = e == w->queue ? NULL : e->prev)
		if (e->at <= at)
			break;
	if (e)
		DL_APPEND_ELEM(w->queue, e, m);
	else
		DL_PREPEND(w->queue, m);
	return m;
}

static void msg_free(struct msg *m)
{
	free(m->method);
	free(m->path);
	free(m->body);
	free(m);
}

static void msg_body(struct msg *m, const char *body, size_t len)
{
	m->body = malloc(len + 1);
	if (!m->body)
		abort();
	memcpy(m->body, body ? body : "", len);
	m->body[len] = 0;
	m->len = len;
}

static double later(struct world *w)
{
	return w->now + LATENCY_S * (0.5 + erand48(w->rand48));
}

static int host_of(struct world *w, const char *addr)
{
	struct si_machine *m;

	if (!strcmp(addr, w->conf.state))
		return HOST_STATE;
	if (!strcmp(addr, w->conf.cloud))
		return HOST_CLOUD;
	for (int i = 0; i < w->nnodes; i++)
		if (!strcmp(addr, w->nodes[i].conf.back))
			return i;
	m = si_machine_at(&w->si, addr);
	return m ? HOST_WORKERS + (int)(m - w->si.machines) : -1;
}

/* A request on the back link, until its answer has gone. */
struct back {
	uint64_t conn, call, life;
	int from;
	UT_hash_handle hh;
};

#define BACK_CONN (1u << 29) /* names of connections on the back link begin here */

static void back_request(struct world *w, struct msg *m);

static void back_answer(struct world *w, int n, const struct core_action *a)
{
	struct back *b;
	struct msg *m;

	HASH_FIND(hh, w->backs, &a->id, sizeof(a->id), b);
	if (!b)
		return;
	m = msg_new(w, MSG_REPLY, n, b->from, later(w));
	m->id = b->call;
	m->life = b->life;
	m->status = a->status;
	msg_body(m, a->body, a->len);
	HASH_DEL(w->backs, b);
	free(b);
}

static void drain(struct world *w, int n)
{
	struct node *node = &w->nodes[n];
	struct core_action *a;

	while (node->up && (a = core_take(node->core))) {
		struct msg *m;

		if (w->trace)
			behaviour_trace_add(w->trace, w->now, n, a);
		if (a->kind == ACT_ANSWER && a->id >= 1u << 30) {
			m = msg_new(w, MSG_REPORT_REPLY, n, HOST_WORKERS + (int)(a->id >> 40),
				    later(w));
			m->id = a->id;
			m->status = a->status;
			m->body = a->body ? strdup(a->body) : NULL;
		} else if (a->kind == ACT_ANSWER && a->id >= BACK_CONN) {
			back_answer(w, n, a);
		} else if (a->kind == ACT_ANSWER) {
			m = msg_new(w, MSG_REPLY, n, HOST_USERS, later(w));
			m->id = a->id;
			m->status = a->status;
			m->body = a->body ? strdup(a->body) : NULL;
		} else {
			int to = host_of(w, a->addr);
			double at = later(w);

			m = msg_new(w, MSG_TIMEOUT, n, n, w->now + a->timeout_s);
			m->id = a->id;
			m->life = node->life;
			for (int copy = 0; to >= 0 && copy < 2; copy++) {
				bool late = to == HOST_STATE && !strcmp(a->path, W_PATH_TXN) &&
					    erand48(w->rand48) < w->late;

				if (copy && erand48(w->rand48) >= w->repeat)
					break;
				m = msg_new(w, MSG_REQUEST, n, to,
					    late ? at + 2 + 10 * erand48(w->rand48)
						 : at + copy * 1.5);
				m->id = copy || late ? 0 : a->id;
				m->life = node->life;
				m->method = strdup(a->method);
				m->path = strdup(a->path);
				msg_body(m, a->body, a->len);
			}
		}
		core_action_free(a);
	}
}

static struct core_time node_time(struct world *w, int n)
{
	struct core_time t = {w->now + 1000, w->now + 1.8e9 + w->nodes[n].skew};

	return t;
}

static void si_reply(void *ctx, uint64_t handle, int status, const char *body)
{
	struct world *w = ctx;
	struct handle *h = (struct handle *)(uintptr_t)handle;
	struct msg *m;

	if (h->id) {
		bool slow = h->from == HOST_STATE && erand48(w->rand48) < w->slow;

		m = msg_new(w, MSG_REPLY, h->from, h->node, later(w) + (slow ? SLOW_S : 0));
		m->id = h->id;
		m->life = h->life;
		m->status = status;
		m->body = strdup(body ? body : "");
	}
	free(h);
}

#define COPY_SEQ 0x3ffffffe /* names no report: the answer to a copy goes nowhere */

/* Late copies, to any controller, also of reports that a dead machine once sent. */
static void report_copies(struct world *w, int machine, const char *body)
{
	for (int i = 0; i < w->nnodes; i++) {
		struct msg *m;

		if (erand48(w->rand48) >= w->copies)
			continue;
		m = msg_new(w, MSG_REPORT, HOST_WORKERS + machine, i,
			    w->now + 0.5 + erand48(w->rand48) * w->copies_after);
		m->seq = COPY_SEQ;
		m->body = strdup(body);
	}
}

static void si_report(void *ctx, int machine, int node, const char *body)
{
	struct world *w = ctx;

	struct msg *m = msg_new(w, MSG_REPORT, HOST_WORKERS + machine, node, later(w));

	report_copies(w, machine, body);

	m->session = w->si.machines[machine].session;
	m->seq = w->si.machines[machine].seq;
	m->body = strdup(body);
}

/* Report answers carry the machine and the report they belong to in the connection's name. */
static uint64_t report_conn(int machine, uint64_t seq)
{
	return (uint64_t)machine << 40 | 1u << 30 | (seq & 0x3fffffff);
}

static void back_request(struct world *w, struct msg *m)
{
	struct core_request r = {0, CORE_BACK, m->method, m->path, m->body, m->len};
	struct back *b = calloc(1, sizeof(*b));

	if (!b)
		abort();
	b->conn = BACK_CONN + ++w->next_back;
	b->call = m->id;
	b->life = m->life;
	b->from = m->from;
	HASH_ADD(hh, w->backs, conn, sizeof(b->conn), b);
	r.conn = b->conn;
	core_request(w->nodes[m->to].core, node_time(w, m->to), &r);
}

#define HANG_STEP_S 0.25 /* seconds between looks whether a hanging machine goes on */

/* What is sent to a hanging machine is read when it goes on: late, if it has work by then. */
static void hang_request(struct world *w, const struct msg *m)
{
	struct msg *later = msg_new(w, MSG_REQUEST, m->from, m->to, w->now + HANG_STEP_S);

	later->id = m->id;
	later->life = m->life;
	later->method = strdup(m->method);
	later->path = strdup(m->path);
	msg_body(later, m->body, m->len);
}

static void deliver_request(struct world *w, struct msg *m)
{
	struct handle *h;

	if (m->to < HOST_STATE) {
		back_request(w, m);
		return;
	}
	if (m->to >= HOST_WORKERS && w->si.machines[m->to - HOST_WORKERS].power != SI_UP)
		return; /* no power: silent */
	if (m->to >= HOST_WORKERS && w->si.machines[m->to - HOST_WORKERS].hanging) {
		hang_request(w, m);
		return;
	}
	h = calloc(1, sizeof(*h));
	if (!h)
		abort();
	h->node = m->from;
	h->from = m->to;
	h->id = m->id;
	h->life = m->life;
	if (m->to == HOST_STATE)
		si_state_request(&w->si, m->from, (uintptr_t)h, m->method, m->path, m->body);
	else if (m->to == HOST_CLOUD)
		si_cloud_request(&w->si, (uintptr_t)h, m->method, m->path, m->body);
	else
		si_worker_request(&w->si, &w->si.machines[m->to - HOST_WORKERS], (uintptr_t)h,
				  m->path, m->body);
}

static void user_answer(struct world *w, struct msg *m)
{
	struct user *u;

	DL_FOREACH (w->users, u)
		if (u->conn == m->id)
			break;
	if (!u)
		return;
	if (m->status > 0 && m->status < 600)
		w->answers[m->status]++;
	if (!*u->id) {
		/* a raw request: only its status counts */
	} else if (u->kind == USER_SUBMIT) {
		si_told_submit(&w->si, u->id, m->status);
		if (m->status == 200 || m->status == 201)
			si_told_state(&w->si, u->id, 200, m->body, u->sent);
	} else if (u->kind == USER_POLL) {
		si_told_state(&w->si, u->id, m->status, m->body, u->sent);
	} else {
		si_told_cancel(&w->si, u->id, m->status, m->body, u->sent);
	}
	u->again = u->kind != USER_POLL && (m->status == 429 || m->status == 503 ||
					    (u->kind == USER_CANCEL && m->status == 404));
	u->conn = 0;
	if (!u->again) {
		DL_DELETE(w->users, u);
		free(u);
	}
}

static void node_crash(struct world *w, int i, double back_s);

/* A controller ends at a step of its election: its words so far are on the way, or were lost. */
static void crash_at_step(struct world *w, int i)
{
	const struct election *e = w->nodes[i].up ? &w->nodes[i].core->election : NULL;

	if (!e || w->crash_left <= 0)
		return;
	if ((!strcmp(w->crash_step, "lease") && e->claiming && e->lease) ||
	    (!strcmp(w->crash_step, "loading") && e->role == ROLE_LOADING) ||
	    (!strcmp(w->crash_step, "lead") && e->role == ROLE_LEAD)) {
		w->crash_left--;
		node_crash(w, i, w->crash_back);
	}
}

static void deliver(struct world *w, struct msg *m)
{
	struct node *n = m->to < SI_NODES ? &w->nodes[m->to] : NULL;
	struct core_answer a = {m->id, m->status, m->body ? m->body : "", 0};
	struct core_request r = {0, CORE_FRONT, "POST", W_PATH_BEAT, m->body, 0};

	a.len = m->len ? m->len : strlen(a.body);
	if (n &&
	    (!n->up || ((m->kind == MSG_REPLY || m->kind == MSG_TIMEOUT) && n->life != m->life)))
		return;
	switch (m->kind) {
	case MSG_REQUEST:
		deliver_request(w, m);
		break;
	case MSG_REPLY:
		if (m->to == HOST_USERS) {
			user_answer(w, m);
			break;
		}
		core_answer(n->core, node_time(w, m->to), &a);
		break;
	case MSG_TIMEOUT:
		a.status = 0;
		core_answer(n->core, node_time(w, m->to), &a);
		break;
	case MSG_REPORT:
		r.conn = report_conn(m->from - HOST_WORKERS, m->seq);
		r.len = strlen(m->body);
		core_request(n->core, node_time(w, m->to), &r);
		break;
	case MSG_REPORT_REPLY: {
		struct si_machine *x = &w->si.machines[m->to - HOST_WORKERS];

		if ((x->report_seq & 0x3fffffff) == (m->id & 0x3fffffff))
			si_worker_answer(&w->si, m->to - HOST_WORKERS, x->report_session,
					 x->report_seq, m->status, m->body);
		break;
	}
	}
	if (n && n->up)
		drain(w, m->to);
	if (n)
		crash_at_step(w, m->to);
}

static void hold_message(struct world *w, struct msg *m, double at)
{
	struct msg *again = msg_new(w, m->kind, m->from, m->to, at);
	struct msg *prev = again->prev, *next = again->next;
	uint64_t order = again->order;

	*again = *m;
	again->prev = prev;
	again->next = next;
	again->at = at;
	again->order = order;
	free(m);
}

static void run_due(struct world *w, double until)
{
	while (w->queue && w->queue->at <= until) {
		struct msg *m = w->queue;
		double end;
		bool hold;

		DL_DELETE(w->queue, m);
		if (m->at > w->now)
			w->now = m->at;
		w->si.now = w->now;
		if ((end = thaw_at(w, m)) > 0) {
			hold_message(w, m, end);
			continue;
		}
		if (m->kind != MSG_TIMEOUT && cut_now(w, m->from, m->to, &end, &hold)) {
			if (hold) { /* in order, once the interruption ends */
				hold_message(w, m, end + LATENCY_S);
				continue;
			}
		} else if (muted(w, m)) {
			/* it reaches nobody */
		} else if (m->kind == MSG_TIMEOUT || m->from >= HOST_USERS ||
			   erand48(w->rand48) >= w->loss) {
			deliver(w, m);
		}
		msg_free(m);
	}
}

/* --- controllers --- */

static void node_start(struct world *w, int i)
{
	struct node *n = &w->nodes[i];

	n->up = true;
	n->life++;
	n->conf.hold_format = w->held[i];
	n->core = core_new(&n->conf, w->seed * 1000 + (uint64_t)i * 10 + n->life, node_time(w, i));
	core_tick(n->core, node_time(w, i));
	drain(w, i);
}

static void node_crash(struct world *w, int i, double back_s)
{
	struct node *n = &w->nodes[i];

	if (!n->up)
		return;
	core_free(n->core);
	n->core = NULL;
	n->up = false;
	n->back_at = w->now + back_s;
}

static int leader_index(struct world *w)
{
	for (int i = 0; i < w->nnodes; i++)
		if (w->nodes[i].up && w->nodes[i].core->election.role == ROLE_LEAD)
			return i;
	return -1;
}

static int node_of(struct world *w, const char *word)
{
	int i = strcmp(word, "leader") ? atoi(word) : leader_index(w);

	if (!strcmp(word, "follower"))
		i = (leader_index(w) + 1) % w->nnodes;
	if (i < 0 || i >= w->nnodes)
		fail(w, "no such node: %s", word);
	return i < 0 || i >= w->nnodes ? 0 : i;
}

/* --- users --- */

static void user_send(struct world *w, struct user *u)
{
	char path[HTTP_PATH_MAX];
	char *body = NULL;
	struct core_request r = {0};
	int i = u->node >= 0 ? u->node : (int)(erand48(w->rand48) * w->nnodes);
	double end;
	bool hold;

	u->again = false;
	u->sent = w->now;
	if (!w->nodes[i].up || w->now < w->nodes[i].frozen_until ||
	    cut_now(w, HOST_USERS, i, &end, &hold)) {
		u->again = true;
		return;
	}
	u->conn = ++w->next_conn;
	r.conn = u->conn;
	r.method = u->kind == USER_POLL ? "GET" : "POST";
	if (u->kind == USER_SUBMIT) {
		snprintf(path, sizeof(path), W_PATH_JOBS);
		json_t *spec = wire_job_encode(&si_job(&w->si, u->id)->spec);

		body = json_dumps(spec, JSON_COMPACT);
		json_decref(spec);
		si_job(&w->si, u->id)->asked = true;
	} else {
		snprintf(path, sizeof(path), W_PATH_JOBS "/%s%s", u->id,
			 u->kind == USER_CANCEL ? W_PATH_CANCEL : "");
		if (u->kind == USER_CANCEL && si_job(&w->si, u->id))
			si_job(&w->si, u->id)->cancel_asked = true;
	}
	r.path = path;
	r.body = body ? body : "";
	r.len = strlen(r.body);
	core_request(w->nodes[i].core, node_time(w, i), &r);
	free(body);
	drain(w, i);
}

static void user_new(struct world *w, enum user_kind kind, const char *id, int node)
{
	struct user *u = calloc(1, sizeof(*u));

	if (!u)
		abort();
	snprintf(u->id, sizeof(u->id), "%s", id);
	u->kind = kind;
	u->node = node;
	DL_APPEND(w->users, u);
	user_send(w, u);
}

/* The user of a job calls it off at the moment at which its last task ends. */
static void cancel_at_end(struct world *w)
{
	char id[ID_MAX];
	struct si_job *j;

	snprintf(id, sizeof(id), W_JOB_PREFIX "%06d", w->cancel_at_end);
	j = w->cancel_at_end ? si_job(&w->si, id) : NULL;
	if (!j || j->ndone < j->spec.ntasks)
		return;
	w->cancel_at_end = 0;
	user_new(w, USER_CANCEL, id, -1);
}

static void users_step(struct world *w)
{
	struct user *u, *tmp;
	struct si_job *j, *jtmp;

	DL_FOREACH_SAFE (w->users, u, tmp) {
		bool late = w->now - u->sent > 5;

		if (u->kind == USER_POLL && (u->again || late)) {
			DL_DELETE(w->users, u);
			free(u);
		} else if (u->again || late) {
			user_send(w, u);
		}
	}
	HASH_ITER (hh, w->si.jobs, j, jtmp)
		if (j->accepted)
			user_new(w, USER_POLL, j->spec.id, -1);
}

/* --- scenario lines --- */

struct words {
	char *w[WORDS];
	int n;
};

static const char *opt(const struct words *x, const char *name, const char *def)
{
	size_t len = strlen(name);

	for (int i = 0; i < x->n; i++)
		if (!strncmp(x->w[i], name, len) && x->w[i][len] == '=')
			return x->w[i] + len + 1;
	return def;
}

static double num(const struct words *x, const char *name, double def)
{
	const char *s = opt(x, name, NULL);

	return s ? atof(s) : def;
}

static void job_id(char *out, const char *word)
{
	snprintf(out, ID_MAX, W_JOB_PREFIX "%06d", atoi(word));
}

static struct si_job *declare_job(struct world *w, const struct words *x, const char *id)
{
	static const char *const prios[] = {"production", "high", "normal", "low"};
	struct si_job *j = si_job(&w->si, id);
	const char *kind = opt(x, "kind", "array"), *prio = opt(x, "prio", "normal");
	struct job_spec *s;

	if (j)
		return j;
	j = calloc(1, sizeof(*j));
	if (!j)
		abort();
	s = &j->spec;
	snprintf(s->id, sizeof(s->id), "%s", id);
	snprintf(s->class_name, sizeof(s->class_name), "%s", opt(x, "class", "any"));
	snprintf(s->team, sizeof(s->team), "%s", opt(x, "team", "core"));
	snprintf(s->image, sizeof(s->image), "%s", opt(x, "image", "img"));
	snprintf(s->zone, sizeof(s->zone), "%s", opt(x, "zone", ""));
	if (opt(x, "type", NULL))
		name_list_add(&s->types, opt(x, "type", ""));
	s->kind = !strcmp(kind, "gang")	     ? JOB_GANG
		  : !strcmp(kind, "service") ? JOB_SERVICE
					     : JOB_ARRAY;
	s->priority = PRIO_NORMAL;
	for (int i = 0; i < 4; i++)
		if (!strcmp(prios[i], prio))
			s->priority = (enum job_priority)i;
	s->ntasks = (uint32_t)num(x, "tasks", 1);
	s->cpus = num(x, "cpus", 1);
	s->gpus = num(x, "gpus", 0);
	s->mem_gb = num(x, "mem", 1);
	s->image_gb = num(x, "gb", 0.5);
	s->estimate_s = num(x, "run", 5);
	s->checkpoint_s = num(x, "checkpoint", 0);
	s->save_s = num(x, "save", 1);
	s->deadline_s = num(x, "deadline", -1);
	s->one_zone = (int)num(x, "together", 0);
	s->spread = (int)num(x, "spread", 0);
	s->spot = (int)num(x, "spot", 0);
	j->run_s = s->estimate_s;
	j->accepted_at = j->answered_at = j->began_at = j->room_since = -1;
	j->bad = num(x, "bad", 0) > 0;
	j->ends = !strcmp(opt(x, "ends", ""), "done")	 ? WHY_DONE
		  : !strcmp(opt(x, "ends", ""), "error") ? WHY_ERROR
							 : WHY_NONE;
	j->done = calloc(1, s->ntasks / 8 + 1);
	HASH_ADD_STR(w->si.jobs, spec.id, j);
	return j;
}

static void do_type(struct world *w, const struct words *x)
{
	struct machine_type t = {0};
	char zones[256], *z, *save = NULL;

	snprintf(t.name, sizeof(t.name), "%s", x->w[1]);
	t.cpus = num(x, "cpus", 4);
	t.gpus = num(x, "gpus", 0);
	t.mem_gb = num(x, "mem", 16);
	t.cache_gb = 50;
	t.fetch_gb_per_s = num(x, "fetch", 1);
	t.price = num(x, "price", 1);
	t.spot_price = num(x, "spotprice", t.price / 3);
	t.boot_s = num(x, "boot", 5);
	snprintf(zones, sizeof(zones), "%s", opt(x, "zones", "a"));
	for (z = strtok_r(zones, ",", &save); z; z = strtok_r(NULL, ",", &save))
		name_list_add(&t.zones, z);
	si_type(&w->si, &t, (int)num(x, "capacity", 10), num(x, "reuse", 0) > 0);
}

static void do_team(struct world *w, const struct words *x)
{
	struct conf_team *t;

	w->conf.teams = realloc(w->conf.teams, (w->conf.nteams + 1) * sizeof(*t));
	if (!w->conf.teams)
		abort();
	t = &w->conf.teams[w->conf.nteams++];
	memset(t, 0, sizeof(*t));
	snprintf(t->name, sizeof(t->name), "%s", x->w[1]);
	t->cpus = num(x, "cpus", 0);
	t->cpus_max = num(x, "cpus_max", 0);
	t->gpus = num(x, "gpus", 0);
	t->gpus_max = num(x, "gpus_max", 0);
}

static void do_machines(struct world *w, const struct words *x)
{
	for (int i = 0; i < atoi(x->w[2]); i++) {
		struct si_machine *m =
		    si_machine(&w->si, x->w[1], opt(x, "zone", "a"), num(x, "spot", 0) > 0);

		m->up_at = num(x, "up", 0);
		m->faulty = num(x, "faulty", 0) > 0;
	}
}

static void world_start(struct world *w)
{
	if (w->started)
		return;
	w->started = true;
	if (!w->conf.nteams) {
		char line[] = "team", name[] = "core";
		struct words x = {{line, name}, 2};

		do_team(w, &x);
	}
	w->si.nnodes = w->nnodes;
	for (int i = 0; i < w->nnodes; i++) {
		struct conf *f = &w->nodes[i].conf;

		*f = w->conf;
		snprintf(f->name, sizeof(f->name), "node-%d", i);
		snprintf(f->front, sizeof(f->front), "10.0.0.%d:8080", i + 1);
		snprintf(f->back, sizeof(f->back), "10.0.0.%d:8081", i + 1);
		snprintf(w->si.node_names[i], NAME_MAX_LEN, "node-%d", i);
		f->npeers = 0;
		f->peers = calloc((size_t)w->nnodes, sizeof(*f->peers));
		for (int k = 0; k < w->nnodes; k++) {
			struct conf_peer *p = &f->peers[f->npeers];

			if (k == i)
				continue;
			snprintf(p->name, sizeof(p->name), "node-%d", k);
			snprintf(p->addr, sizeof(p->addr), "10.0.0.%d:8081", k + 1);
			f->npeers++;
		}
		w->nodes[i].skew = (i - 1) * w->conf.skew_ms / 2000;
	}
	for (int i = 0; i < w->nnodes; i++)
		node_start(w, i);
}

static void cut_add(struct world *w, int a, int b, double until, bool hold)
{
	struct cut *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->a = a;
	c->b = b;
	c->until = until;
	c->hold = hold;
	c->next = w->cuts;
	w->cuts = c;
}

/* "3", or "3..9": machines 3 to 9 */
static int range_word(const char *word, int *last)
{
	const char *dots = strstr(word, "..");

	*last = atoi(dots ? dots + 2 : word);
	return atoi(word);
}

static int host_word(struct world *w, const char *word)
{
	if (!strcmp(word, "state"))
		return HOST_STATE;
	if (!strcmp(word, "cloud"))
		return HOST_CLOUD;
	if (!strcmp(word, "users"))
		return HOST_USERS;
	if (!strcmp(word, "all"))
		return -1;
	if (!strncmp(word, "machine:", 8))
		return HOST_WORKERS + atoi(word + 8);
	return node_of(w, word);
}

/* cut A B for=S [mode=hold]; "workers" stands for all machines */
static void do_cut(struct world *w, const struct words *x)
{
	double until = w->now + num(x, "for", 10);
	bool hold = !strcmp(opt(x, "mode", "drop"), "hold");

	if (!strcmp(x->w[2], "workers")) {
		int a = host_word(w, x->w[1]);

		for (int i = 0; i < w->si.nmachines; i++)
			cut_add(w, a, HOST_WORKERS + i, until, hold);
		return;
	}
	if (!strcmp(x->w[2], "peers")) {
		int a = host_word(w, x->w[1]);

		for (int i = 0; i < w->nnodes; i++)
			if (i != a)
				cut_add(w, a, i, until, hold);
		return;
	}
	if (!strncmp(x->w[1], "machine:", 8)) {
		int last, first = range_word(x->w[1] + 8, &last);

		for (int i = first; i <= last; i++)
			cut_add(w, HOST_WORKERS + i, host_word(w, x->w[2]), until, hold);
		return;
	}
	cut_add(w, host_word(w, x->w[1]), host_word(w, x->w[2]), until, hold);
}

/* capture K: keeps the newest report of machine K; replay K: it comes once more, to the leader */
static void do_capture(struct world *w, const struct words *x)
{
	int k = atoi(x->w[1]) % SI_CAPTURES, to = leader_index(w);
	struct msg *m;

	if (!strcmp(x->w[0], "capture")) {
		free(w->captured[k]);
		w->captured[k] = strdup(w->si.machines[k].report_text);
		return;
	}
	if (to < 0 || !w->captured[k]) {
		fail(w, "nothing to replay: %s", x->w[1]);
		return;
	}
	m = msg_new(w, MSG_REPORT, HOST_WORKERS + k, to, w->now);
	m->seq = COPY_SEQ;
	m->body = strdup(w->captured[k]);
}

/* oneway K for=S: machine K's reports arrive, answers and commands do not reach it */
static void do_oneway(struct world *w, const struct words *x)
{
	cut_add(w, -1, HOST_WORKERS + atoi(x->w[1]), w->now + num(x, "for", 10), false);
	w->cuts->oneway = true;
}

/* mute K for=S: machine K, or K..L, reaches no controller, while direct commands reach it */
static void do_mute(struct world *w, const struct words *x)
{
	int last, first = range_word(x->w[1], &last);

	for (int i = first; i <= last; i++) {
		cut_add(w, -1, HOST_WORKERS + i, w->now + num(x, "for", 10), false);
		w->cuts->mute = true;
	}
}

static void machine_fault(struct world *w, const struct words *x, struct si_machine *m)
{
	const char *what = x->w[0];

	if (!strcmp(what, "kill"))
		si_machine_off(&w->si, m, false);
	else if (!strcmp(what, "take"))
		si_machine_off(&w->si, m, true);
	else if (!strcmp(what, "restart"))
		si_machine_restart(&w->si, m);
	else if (!strcmp(what, "notice"))
		m->notice_until = w->now + num(x, "for", 8), m->changed = true;
	else if (!strcmp(what, "hang"))
		m->hanging = num(x, "end", 0) == 0;
	else
		fail(w, "unknown line: %s", what);
}

static void do_machine_fault(struct world *w, const struct words *x)
{
	int last, first = range_word(x->w[1], &last);

	for (int i = first; i <= last; i++)
		machine_fault(w, x, &w->si.machines[i]);
}

static void do_fault(struct world *w, const struct words *x)
{
	const char *what = x->w[0];

	w->quiet_since = fmax(w->quiet_since, w->now + fmax(num(x, "for", 0), num(x, "back", 3)));

	if (!strcmp(what, "crash")) {
		if (!strcmp(x->w[1], "all"))
			for (int i = 0; i < w->nnodes; i++)
				node_crash(w, i, num(x, "back", 3));
		else
			node_crash(w, node_of(w, x->w[1]), num(x, "back", 3));
	} else if (!strcmp(what, "outage") && !strcmp(x->w[1], "state")) {
		si_state_outage(&w->si, true);
		w->state_up_at = w->now + num(x, "for", 10);
	} else if (!strcmp(what, "outage")) {
		w->si.cloud.down = strcmp(opt(x, "end", "0"), "1") != 0;
	} else if (!strcmp(what, "refuse")) {
		w->si.state.refuses[node_of(w, x->w[1])] = num(x, "end", 0) == 0;
	} else if (!strcmp(what, "cut")) {
		do_cut(w, x);
	} else if (!strcmp(what, "loss")) {
		w->loss = atof(x->w[1]);
	} else if (!strcmp(what, "repeat")) {
		w->repeat = atof(x->w[1]);
	} else if (!strcmp(what, "slow")) {
		w->slow = atof(x->w[1]);
	} else if (!strcmp(what, "copies")) {
		w->copies = atof(x->w[1]);
		w->copies_after = num(x, "after", 30);
	} else if (!strcmp(what, "crashon")) {
		snprintf(w->crash_step, sizeof(w->crash_step), "%s", x->w[1]);
		w->crash_left = (int)num(x, "times", 1);
		w->crash_back = num(x, "back", 3);
	} else if (!strcmp(what, "quiet")) {
		w->quiet_since =
		    w->now; /* as if what lasts were no trouble: for the checks' own tests */
	} else if (!strcmp(what, "capture") || !strcmp(what, "replay")) {
		do_capture(w, x);
	} else if (!strcmp(what, "oneway")) {
		do_oneway(w, x);
	} else if (!strcmp(what, "mute")) {
		do_mute(w, x);
	} else if (!strcmp(what, "freeze")) {
		w->nodes[node_of(w, x->w[1])].frozen_until = w->now + num(x, "for", 10);
	} else if (!strcmp(what, "stall")) {
		w->si.state.stalls[node_of(w, x->w[1])] = num(x, "end", 0) == 0;
	} else if (!strcmp(what, "late")) {
		w->late = atof(x->w[1]);
	} else if (!strcmp(what, "cancelend")) {
		w->cancel_at_end = atoi(x->w[1]);
	} else {
		do_machine_fault(w, x);
	}
}

static void do_user(struct world *w, const struct words *x)
{
	int node = opt(x, "node", NULL) ? node_of(w, opt(x, "node", "0")) : -1;
	char id[ID_MAX];

	job_id(id, x->w[1]);
	if (!strcmp(x->w[0], "submit")) {
		int copies = (int)num(x, "copies", 1);

		for (int i = 0; i < copies; i++) {
			char word[16];

			snprintf(word, sizeof(word), "%d", atoi(x->w[1]) + i);
			job_id(id, word);
			declare_job(w, x, id);
			user_new(w, USER_SUBMIT, id, node);
		}
	} else {
		user_new(w, !strcmp(x->w[0], "poll") ? USER_POLL : USER_CANCEL, id, node);
	}
}

/* Each check must be able to fail: what follows breaks a rule on purpose. */
static void do_break(struct world *w, const struct words *x)
{
	char id[ID_MAX];

	job_id(id, x->w[2]);
	if (!strcmp(x->w[1], "start"))
		si_force_start(&w->si, &w->si.machines[atoi(x->w[3])], id, (uint32_t)atoi(x->w[4]));
	else if (!strcmp(x->w[1], "accept"))
		si_told_submit(&w->si, id, 201);
	else
		si_told_state(&w->si, id, atoi(x->w[3]), x->n > 4 ? x->w[4] : "", w->now);
}

static void raw_request(struct world *w, const struct words *x, const char *line)
{
	const char *body = strstr(line, "body=");
	struct core_request r = {0, CORE_FRONT, x->w[1], x->w[2], "", 0};
	struct user *u = calloc(1, sizeof(*u));
	int i = leader_index(w) < 0 ? 0 : leader_index(w);

	if (opt(x, "node", NULL))
		i = node_of(w, opt(x, "node", "0"));
	if (!u)
		abort();
	u->kind = USER_POLL;
	u->conn = ++w->next_conn;
	DL_APPEND(w->users, u);
	r.conn = u->conn;
	r.body = body ? body + 5 : "";
	r.len = strlen(r.body);
	core_request(w->nodes[i].core, node_time(w, i), &r);
	drain(w, i);
}

static bool compare(double have, const char *op, double want)
{
	if (!strcmp(op, "=="))
		return fabs(have - want) < 1e-9;
	if (!strcmp(op, ">="))
		return have >= want;
	return have <= want;
}

#define UNKNOWN_MEASURE (-2.0)

/* What is known of one job; UNKNOWN_MEASURE if `what` is no measure of jobs. */
static double measure_job(struct world *w, const char *what, const char *arg)
{
	char id[ID_MAX];
	struct si_job *j;
	double n = 0;

	job_id(id, arg);
	j = si_job(&w->si, id);
	if (!strcmp(what, "done"))
		return j && j->told_done;
	if (!strcmp(what, "cancelled"))
		return j && j->told_cancelled;
	if (!strcmp(what, "tasksdone"))
		return j ? (double)j->ndone : -1;
	if (!strcmp(what, "starts"))
		return j ? (double)j->starts : -1;
	if (!strcmp(what, "served")) /* share of a service's replica time */
		return j && j->replica_s > 0 ? j->served_s / j->replica_s : 0;
	if (!strcmp(what, "wait")) /* seconds from its acceptance until it began */
		return j && j->began_at >= 0 ? j->began_at - j->accepted_at : INFINITY;
	if (!strcmp(what, "shown"))
		return j ? (double)j->shown_running : -1;
	if (!strcmp(what, "running")) {
		for (int i = 0; i < w->si.nmachines; i++)
			for (struct si_task *t = w->si.machines[i].tasks; t; t = t->next)
				n += t->state == TS_RUNNING && !strcmp(t->job, id);
		return n;
	}
	return UNKNOWN_MEASURE;
}

static double measure(struct world *w, const char *what, const char *arg)
{
	double n = measure_job(w, what, arg);

	if (n > UNKNOWN_MEASURE)
		return n;
	n = 0;
	if (!strcmp(what, "directs")) {
		for (int i = 0; i < w->nnodes; i++)
			n += w->nodes[i].up ? w->nodes[i].core->fleet.directs : 0;
		return n;
	}
	if (!strcmp(what, "rented"))
		return w->si.nmachines;
	if (!strcmp(what, "takeovers"))
		return (double)w->si.state.leader_puts;
	if (!strcmp(what, "answers"))
		return w->answers[atoi(arg)];
	if (!strcmp(what, "state"))
		return !strcmp(arg, "puts")	  ? (double)w->si.state.puts
		       : !strcmp(arg, "toolarge") ? (double)w->si.state.too_large
		       : !strcmp(arg, "requests") ? (double)w->si.state.requests
						  : (double)w->si.state.refused;
	if (!strcmp(what, "keys")) { /* that start so */
		for (struct si_key *key = w->si.state.keys; key; key = key->hh.next)
			n += !strncmp(key->key, arg, strlen(arg));
		return n;
	}
	if (!strcmp(what, "asked"))
		return !strcmp(arg, "show") ? (double)w->si.shows : (double)w->si.directs;
	if (!strcmp(what, "latestarts"))
		return (double)w->si.starts_cancelled;
	if (!strcmp(what, "allstarts"))
		return (double)w->si.starts_total;
	if (!strcmp(what, "leaders")) {
		for (int i = 0; i < w->nnodes; i++)
			n += w->nodes[i].up && w->nodes[i].core->election.role == ROLE_LEAD;
		return n;
	}
	if (!strcmp(what, "machines")) {
		for (int i = 0; i < w->si.nmachines; i++)
			n += w->si.machines[i].power == SI_UP &&
			     (!strcmp(arg, "any") || !strcmp(w->si.machines[i].type->name, arg));
		return n;
	}
	if (!strcmp(what, "switches")) {
		for (int i = 0; i < w->nnodes; i++)
			n += w->nodes[i].up ? w->nodes[i].core->pairing.switches : 0;
		return n;
	}
	if (!strcmp(what, "broken")) {
		for (int r = 0; r < RULES; r++)
			if (!strcmp(rule_names[r], arg))
				n += w->si.broken[r] > 0;
		return n;
	}
	fail(w, "unknown measure: %s", what);
	return -1;
}

/* expect WHAT ARG OP NUMBER */
static void do_expect(struct world *w, const struct words *x)
{
	double have = measure(w, x->w[1], x->w[2]);
	char text[160];

	if (compare(have, x->w[3], atof(x->w[4])))
		return;
	snprintf(text, sizeof(text), "%s %s is %g, expected %s %s", x->w[1], x->w[2], have, x->w[3],
		 x->w[4]);
	fail(w, "%s", text);
}

static void world_run(struct world *w, double until)
{
	world_start(w);
	while (w->now < until - 1e-9) {
		double next = fmin(until, (floor(w->now / STEP_S + 1e-6) + 1) * STEP_S);

		run_due(w, next);
		w->now = next;
		if (w->si.state.down && w->now >= w->state_up_at)
			si_state_outage(&w->si, false);
		si_tick(&w->si, w->now);
		for (int i = 0; i < w->nnodes; i++) {
			if (!w->nodes[i].up && w->now >= w->nodes[i].back_at)
				node_start(w, i);
			if (!w->nodes[i].up || w->now < w->nodes[i].frozen_until + THAW_S)
				continue;
			core_tick(w->nodes[i].core, node_time(w, i));
			drain(w, i);
		}
		if (floor(w->now) != floor(w->now - STEP_S)) {
			users_step(w);
			si_check_room(&w->si, w->quiet_since);
		}
		cancel_at_end(w);
		si_check_answers(&w->si, w->quiet_since);
	}
}

/* What the state service allows from now on; what is 0 stays as it is. */
static void state_limits(struct world *w, const struct conf_limits *limits)
{
	struct si_state *state = &w->si.state;

	if (limits->txn_ops)
		state->txn_ops = limits->txn_ops;
	if (limits->value_kb > 0)
		state->value_bytes = (size_t)(limits->value_kb * 1024);
	if (limits->rps > 0)
		state->rps = limits->rps;
	if (limits->write_rps > 0)
		state->write_rps = limits->write_rps;
}

/* limits value_kb= txn_ops= write_rps= rps= */
static void do_limits(struct world *w, const struct words *x)
{
	struct conf_limits limits = {0};

	limits.value_kb = num(x, "value_kb", 0);
	limits.txn_ops = (int)num(x, "txn_ops", 0);
	limits.write_rps = num(x, "write_rps", 0);
	limits.rps = num(x, "rps", 0);
	state_limits(w, &limits);
}

/* hold NODE|all [end=1]: counts from the controller's next start */
static void do_hold(struct world *w, const struct words *x)
{
	for (int i = 0; i < w->nnodes; i++)
		if (!strcmp(x->w[1], "all") || node_of(w, x->w[1]) == i)
			w->held[i] = num(x, "end", 0) == 0;
}

static void do_facts(struct world *w, const struct words *x)
{
	w->conf.report_s = num(x, "report", w->conf.report_s);
	w->conf.lease_s = num(x, "lease", w->conf.lease_s);
	w->conf.cancel_s = num(x, "cancel", w->conf.cancel_s);
	w->conf.limits.txn_ops = (int)num(x, "txn_ops", w->conf.limits.txn_ops);
	w->conf.limits.rps = num(x, "rps", w->conf.limits.rps);
	w->conf.limits.write_rps = num(x, "write_rps", w->conf.limits.write_rps);
	w->conf.limits.value_kb = num(x, "value_kb", w->conf.limits.value_kb);
	w->conf.next_limits.txn_ops = (int)num(x, "next_txn_ops", w->conf.next_limits.txn_ops);
	w->conf.next_limits.write_rps = num(x, "next_write_rps", w->conf.next_limits.write_rps);
	w->conf.next_limits.value_kb = num(x, "next_value_kb", w->conf.next_limits.value_kb);
	state_limits(w, &w->conf.limits);
	w->si.state.keep = (size_t)num(x, "keep", 0);
}

static void do_objective(struct world *w, const struct words *x)
{
	struct conf_objective *o;

	w->conf.objectives = realloc(w->conf.objectives, (w->conf.nobjectives + 1) * sizeof(*o));
	if (!w->conf.objectives)
		abort();
	o = &w->conf.objectives[w->conf.nobjectives++];
	memset(o, 0, sizeof(*o));
	o->kind = !strcmp(x->w[1], "guarantee") ? OBJ_GUARANTEE
		  : !strcmp(x->w[1], "wait")	? OBJ_WAIT
						: OBJ_PRICE;
	snprintf(o->class_name, sizeof(o->class_name), "%s", opt(x, "class", ""));
	o->within_s = num(x, "within", 0);
	o->share = num(x, "share", 0);
}

static void do_line(struct world *w, char *line)
{
	char copy[1024];
	struct words x = {0};
	char *save = NULL, *p;
	double at;

	snprintf(copy, sizeof(copy), "%s", line);
	for (p = strtok_r(line, " \t\n", &save); p && x.n < WORDS;
	     p = strtok_r(NULL, " \t\n", &save))
		x.w[x.n++] = p;
	if (!x.n || x.w[0][0] == '#')
		return;
	if (!strcmp(x.w[0], "at")) {
		at = atof(x.w[1]);
		world_run(w, at);
		x.n -= 2;
		memmove(x.w, x.w + 2, (size_t)x.n * sizeof(*x.w));
	}
	if (!strcmp(x.w[0], "nodes"))
		w->nnodes = atoi(x.w[1]);
	else if (!strcmp(x.w[0], "seed"))
		w->seed = strtoull(x.w[1], NULL, 10);
	else if (!strcmp(x.w[0], "facts"))
		do_facts(w, &x);
	else if (!strcmp(x.w[0], "limits"))
		do_limits(w, &x);
	else if (!strcmp(x.w[0], "hold"))
		do_hold(w, &x);
	else if (!strcmp(x.w[0], "objective"))
		do_objective(w, &x);
	else if (!strcmp(x.w[0], "type"))
		do_type(w, &x);
	else if (!strcmp(x.w[0], "team"))
		do_team(w, &x);
	else if (!strcmp(x.w[0], "machines"))
		do_machines(w, &x);
	else if (!strcmp(x.w[0], "submit") || !strcmp(x.w[0], "poll") || !strcmp(x.w[0], "cancel"))
		do_user(w, &x);
	else if (!strcmp(x.w[0], "request"))
		raw_request(w, &x, copy);
	else if (!strcmp(x.w[0], "break"))
		do_break(w, &x);
	else if (!strcmp(x.w[0], "expect"))
		do_expect(w, &x);
	else if (strcmp(x.w[0], "until"))
		do_fault(w, &x);
	else
		world_run(w, atof(x.w[1]));
}

static void world_init(struct world *w, const char *file, const struct si_ops *ops)
{
	memset(w, 0, sizeof(*w));
	w->file = file;
	w->nnodes = 3;
	w->seed = 1;
	w->rand48[0] = 7;
	snprintf(w->conf.state, sizeof(w->conf.state), "10.2.0.1:2379");
	snprintf(w->conf.cloud, sizeof(w->conf.cloud), "10.2.0.2:8443");
	w->conf.skew_ms = 200;
	w->conf.report_s = 2;
	w->conf.lease_s = 10;
	w->conf.gang_wait_s = 20;
	w->conf.gang_peer_s = 4;
	w->conf.cancel_s = 30;
	w->conf.limits.rps = 200;
	w->conf.limits.write_rps = 60;
	w->conf.limits.value_kb = 8;
	w->conf.limits.txn_ops = 16;
	w->conf.cloud_rps = 5;
	w->conf.list_lag_s = 3;
	w->conf.cores = 0.1;
	w->conf.mem_mb = 64;
	w->conf.max_connections = 1000;
	w->conf.idle_patience_s = w->conf.headroom = -1;
	si_init(&w->si, ops, w, &w->conf);
}

static void world_free(struct world *w)
{
	struct user *u, *tmp;
	struct back *b, *btmp;

	for (int i = 0; i < w->nnodes; i++) {
		if (w->nodes[i].up)
			core_free(w->nodes[i].core);
		free(w->nodes[i].conf.peers);
	}
	while (w->queue) {
		struct msg *m = w->queue;

		DL_DELETE(w->queue, m);
		msg_free(m);
	}
	while (w->cuts) {
		struct cut *c = w->cuts;

		w->cuts = c->next;
		free(c);
	}
	DL_FOREACH_SAFE (w->users, u, tmp)
		free(u);
	for (int i = 0; i < SI_CAPTURES; i++)
		free(w->captured[i]);
	HASH_ITER (hh, w->backs, b, btmp) {
		HASH_DEL(w->backs, b);
		free(b);
	}
	for (struct si_watch *x = w->si.state.watches; x; x = x->next)
		free((void *)(uintptr_t)x->handle);
	si_free(&w->si);
	conf_free(&w->conf);
}

/* Rules broken that the scenario did not ask for. */
static void check_rules(struct world *w, const char *expected)
{
	si_check_served(&w->si);
	if (!w->si.starts_total)
		si_broken(&w->si, RULE_NOTHING_RAN, "no start");
	for (int r = 0; r < RULES; r++)
		if (w->si.broken[r] && !strstr(expected, rule_names[r]))
			fail(w, "rule broken: %s", w->si.why);
}

struct options {
	const char *scenario;
	const char *trace; /* file for the controllers' actions; NULL: none */
	bool digest;
};

static bool options_parse(struct options *options, int argc, char **argv)
{
	static const struct option known[] = {
	    {"digest", no_argument, NULL, 'd'}, {"trace", required_argument, NULL, 't'}, {0}};
	int c;

	while ((c = getopt_long(argc, argv, "", known, NULL)) != -1) {
		if (c == 'd')
			options->digest = true;
		else if (c == 't')
			options->trace = optarg;
		else
			return false;
	}
	if (optind != argc - 1)
		return false;
	options->scenario = argv[optind];
	return true;
}

static void play(struct world *w, FILE *f)
{
	char line[1024], expected[256] = "";

	while (fgets(line, sizeof(line), f)) {
		w->line++;
		if (!strncmp(line, "breaks ", 7))
			snprintf(expected, sizeof(expected), "%.200s", line + 7);
		else
			do_line(w, line);
	}
	/* Whatever it did, everybody is answered again when its troubles are over. */
	world_run(w, fmax(w->now, w->quiet_since) + EPILOGUE_S);
	check_rules(w, expected);
}

int main(int argc, char **argv)
{
	static const struct si_ops ops = {si_reply, si_report};
	static struct world w;
	struct options options = {0};
	FILE *f = options_parse(&options, argc, argv) ? fopen(options.scenario, "r") : NULL;

	if (!f) {
		fprintf(stderr, "usage: runner [--digest] [--trace FILE] SCENARIO\n");
		return 2;
	}
	log_setup("-", getenv("LOG_LEVEL") ? getenv("LOG_LEVEL") : "error");
	world_init(&w, options.scenario, &ops);
	if (options.digest || options.trace) {
		w.trace = behaviour_trace_new(options.trace);
		if (!w.trace) {
			fprintf(stderr, "%s can't be written\n", options.trace);
			return 2;
		}
	}
	w.si.verbose = log_on(LOG_INFO);
	play(&w, f);
	fclose(f);
	if (options.digest)
		printf("%016" PRIx64 "\n", behaviour_trace_digest(w.trace));
	if (w.trace)
		behaviour_trace_free(w.trace);
	world_free(&w);
	if (w.failures)
		fprintf(stderr, "%d failures\n", w.failures);
	return w.failures ? 1 : 0;
}
