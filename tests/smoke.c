/*
 * The real program over loopback: three controllers against the stand-ins, with a kill and a
 * restart, and the checker of the rules. Ends as soon as the work is done; waits are generous, so
 * that a slow machine changes nothing.
 */
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "conf/conf.h"
#include "net/net.h"
#include "standin.h"
#include "wire/names.h"

#define NODES 3
#define MACHINES 3
#define LIMIT_S 90.0

enum call_kind { CALL_REPORT = 1, CALL_SUBMIT, CALL_POLL };

struct smoke {
	struct standin si;
	struct conf conf;
	struct net *net;		   /* users and workers as callers */
	struct net *servers[2 + MACHINES]; /* state, cloud, one per machine */
	char addrs[2 + MACHINES][64];
	char front[NODES][64], back[NODES][64];
	pid_t pids[NODES];
	const char *program;
	char dir[64];
	int answers[600];
	bool done[3];
};

struct server {
	struct smoke *s;
	int index;
};

static struct server servers[2 + MACHINES];

static int free_port(void)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    getsockname(fd, (struct sockaddr *)&sa, &len))
		abort();
	close(fd);
	return ntohs(sa.sin_port);
}

/* The system may offer a port again once it is closed: two listeners would meet on it. */
static void new_addr(char *out)
{
	static int used[64], nused;
	int port = free_port();

	for (int i = 0; i < nused; i++)
		if (used[i] == port) {
			port = free_port();
			i = -1;
		}
	used[nused++] = port;
	snprintf(out, 64, "127.0.0.1:%d", port);
}

/* --- stand-ins as servers --- */

static void si_reply(void *ctx, uint64_t handle, int status, const char *body)
{
	struct smoke *s = ctx;

	net_answer(s->servers[handle >> 48], handle & 0xffffffffffffull, status, 0, body,
		   strlen(body));
}

static void on_request(void *ctx, uint64_t conn, enum net_side side, const char *method,
		       const char *path, const char *body, size_t len)
{
	struct server *v = ctx;
	uint64_t handle = (uint64_t)v->index << 48 | conn;

	(void)side;
	(void)len;
	if (v->index == 0)
		si_state_request(&v->s->si, 0, handle, method, path, body);
	else if (v->index == 1)
		si_cloud_request(&v->s->si, handle, method, path, body);
	else
		si_worker_request(&v->s->si, &v->s->si.machines[v->index - 2], handle, path, body);
}

static void si_report(void *ctx, int machine, int node, const char *body)
{
	struct smoke *s = ctx;
	const struct si_machine *m = &s->si.machines[machine];
	struct net_call call = {(uint64_t)CALL_REPORT << 56 | (uint64_t)machine << 40 | m->seq,
				s->front[node],
				"POST",
				W_PATH_BEAT,
				body,
				strlen(body),
				4};

	net_send(s->net, &call);
}

/* --- callers --- */

static void on_reply(void *ctx, uint64_t id, int status, const char *body, size_t len)
{
	struct smoke *s = ctx;
	char text[512];
	char name[ID_MAX];

	snprintf(text, sizeof(text), "%.*s", (int)len, body);
	snprintf(name, sizeof(name), W_JOB_PREFIX "%d", (int)(id & 0xff));
	switch ((enum call_kind)(id >> 56)) {
	case CALL_REPORT: {
		int machine = (int)(id >> 40 & 0xffff);
		struct si_machine *m = &s->si.machines[machine];

		if (m->report_seq == (id & 0xffffffffffull))
			si_worker_answer(&s->si, machine, m->report_session, m->report_seq,
					 status > 0 ? status : 503, len ? body : "{}");
		break;
	}
	case CALL_SUBMIT:
		si_told_submit(&s->si, name, status);
		break;
	case CALL_POLL:
		si_told_state(&s->si, name, status, text);
		s->done[id & 0xff] |=
		    strstr(text, "\"" W_ST_DONE "\"}") || strstr(text, ":\"" W_ST_DONE "\"");
		break;
	}
	if (status > 0 && status < 600)
		s->answers[status]++;
}

static void user_call(struct smoke *s, enum call_kind kind, int job, int node)
{
	struct net_call call = {
	    (uint64_t)kind << 56 | (uint64_t)job, s->front[node], "POST", W_PATH_JOBS, "", 0, 3};
	char path[64], name[ID_MAX], *body = NULL;

	snprintf(name, sizeof(name), W_JOB_PREFIX "%d", job);
	if (kind == CALL_SUBMIT) {
		json_t *o = wire_job_encode(&si_job(&s->si, name)->spec);

		body = json_dumps(o, JSON_COMPACT);
		json_decref(o);
		call.body = body;
		call.len = strlen(body);
		si_job(&s->si, name)->asked = true;
	} else {
		snprintf(path, sizeof(path), W_PATH_JOBS "/%s", name);
		call.method = "GET";
		call.path = path;
	}
	net_send(s->net, &call);
	free(body);
}

/* --- controllers --- */

static void write_settings(struct smoke *s, int i, const char *path)
{
	FILE *f = fopen(path, "w");

	if (!f)
		abort();
	fprintf(f, "label=\"node-%d\"\nlocation=\"a\"\nfront=\"%s\"\nback=\"%s\"\n", i, s->front[i],
		s->back[i]);
	for (int k = 0; k < NODES; k++)
		if (k != i)
			fprintf(f, "[[known]]\nlabel=\"node-%d\"\nlocation=\"a\"\naddr=\"%s\"\n", k,
				s->back[k]);
	fprintf(f, "[endpoints]\nstate=\"%s\"\ncloud=\"%s\"\n", s->addrs[0], s->addrs[1]);
	fprintf(f,
		"[facts]\nnodes=3\nzones=[\"a\"]\nskew_ms=100.0\n[[facts.teams]]\nname=\"core\"\n");
	fprintf(f, "[facts.workers]\nreport_s=1.0\nlease_s=10.0\ngang_wait_s=20.0\n"
		   "gang_peer_s=5.0\ncancel_s=30.0\n");
	fprintf(f, "[facts.state]\nrps=500.0\nwrite_rps=200.0\nvalue_kb=8.0\ntxn_ops=16\n");
	fprintf(f, "[facts.cloud]\nrps=5.0\nlist_lag_s=1.0\n");
	fprintf(f, "[facts.resources]\ncores=0.1\nmem_mb=64.0\nmax_connections=500\n");
	fclose(f);
}

static void spawn(struct smoke *s, int i)
{
	char path[128];

	snprintf(path, sizeof(path), "%s/%d.toml", s->dir, i);
	write_settings(s, i, path);
	s->pids[i] = fork();
	if (s->pids[i] < 0)
		abort();
	if (s->pids[i] == 0) {
		/* A test that ends early must not leave controllers behind. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		setenv("LOG_LEVEL", "error", 1);
		execl(s->program, s->program, "--config", path, (char *)NULL);
		_exit(127);
	}
}

static void kill_node(struct smoke *s, int i)
{
	if (s->pids[i] <= 0)
		return;
	kill(s->pids[i], SIGKILL);
	waitpid(s->pids[i], NULL, 0);
	s->pids[i] = 0;
}

static void add_job(struct smoke *s, int job, enum job_kind kind, uint32_t tasks, double run_s)
{
	struct si_job *j = calloc(1, sizeof(*j));

	if (!j)
		abort();
	snprintf(j->spec.id, sizeof(j->spec.id), W_JOB_PREFIX "%d", job);
	snprintf(j->spec.class_name, sizeof(j->spec.class_name), "any");
	snprintf(j->spec.team, sizeof(j->spec.team), "core");
	snprintf(j->spec.image, sizeof(j->spec.image), "img");
	j->spec.kind = kind;
	j->spec.priority = PRIO_NORMAL;
	j->spec.ntasks = tasks;
	j->spec.cpus = j->spec.mem_gb = 1;
	j->spec.estimate_s = j->run_s = run_s;
	j->spec.deadline_s = -1;
	j->done = calloc(1, tasks / 8 + 1);
	HASH_ADD_STR(s->si.jobs, spec.id, j);
}

static void run(struct smoke *s, double seconds)
{
	double from = net_now(), t;

	while ((t = net_now()) - from < seconds) {
		si_tick(&s->si, t);
		net_poll(s->net, 0.005);
		for (int i = 0; i < 2 + MACHINES; i++)
			net_poll(s->servers[i], 0);
	}
}

static int play(struct smoke *s)
{
	double from = net_now();
	int submits = 0;

	for (int i = 0; i < NODES; i++)
		spawn(s, i);
	while (s->answers[201] + s->answers[200] < 1 && net_now() - from < LIMIT_S) {
		user_call(s, CALL_SUBMIT, 1, submits++ % NODES);
		run(s, 0.5);
	}
	user_call(s, CALL_SUBMIT, 2, 0);
	run(s, 3);
	kill_node(s, 0);
	run(s, 1);
	kill_node(s, 1);
	spawn(s, 0);
	run(s, 1);
	spawn(s, 1);
	for (int i = 0; !(s->done[1] && s->done[2]) && net_now() - from < LIMIT_S; i++) {
		user_call(s, CALL_SUBMIT, 2, i % NODES);
		user_call(s, CALL_POLL, 1, i % NODES);
		user_call(s, CALL_POLL, 2, i % NODES);
		run(s, 0.5);
	}
	for (int i = 0; i < NODES; i++)
		kill_node(s, i);
	for (int r = 0; r < RULES; r++)
		if (s->si.broken[r])
			fprintf(stderr, "rule broken: %s: %s\n", rule_names[r], s->si.why);
	if (!s->done[1] || !s->done[2])
		fprintf(stderr, "not done in time: %d %d\n", s->done[1], s->done[2]);
	for (int r = 0; r < RULES; r++)
		if (s->si.broken[r])
			return 1;
	return !(s->done[1] && s->done[2]);
}

int main(int argc, char **argv)
{
	static const struct net_ops server_ops = {on_request, NULL}, user_ops = {NULL, on_reply};
	static const struct si_ops si_ops = {si_reply, si_report};
	static struct smoke s;
	static struct conf_team team = {.name = "core"};
	struct machine_type type = {.name = "g",
				    .cpus = 8,
				    .mem_gb = 32,
				    .fetch_gb_per_s = 1,
				    .price = 1,
				    .spot_price = 1,
				    .boot_s = 1,
				    .nzones = 1};
	int rc;

	if (argc != 2)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	s.program = argv[1];
	snprintf(s.dir, sizeof(s.dir), "/tmp/ploverloft-smoke-XXXXXX");
	if (!mkdtemp(s.dir))
		return 2;
	snprintf(type.zones[0], NAME_MAX_LEN, "a");
	s.conf.teams = &team;
	s.conf.nteams = 1;
	s.conf.limits.txn_ops = 16;
	s.conf.limits.rps = 500;
	s.conf.limits.write_rps = 200;
	s.conf.limits.value_kb = 8;
	s.conf.report_s = 1;
	s.conf.lease_s = 10;
	s.conf.gang_wait_s = 20;
	s.conf.gang_peer_s = 5;
	s.conf.cancel_s = 30;
	s.conf.list_lag_s = 1;
	si_init(&s.si, &si_ops, &s, &s.conf);
	si_type(&s.si, &type, 0, false);
	s.si.now = net_now();
	s.si.nnodes = NODES;
	for (int i = 0; i < NODES; i++) {
		new_addr(s.front[i]);
		new_addr(s.back[i]);
		snprintf(s.si.node_names[i], NAME_MAX_LEN, "node-%d", i);
	}
	for (int i = 0; i < 2 + MACHINES; i++) {
		servers[i].s = &s;
		servers[i].index = i;
		s.servers[i] = net_new(&server_ops, &servers[i], 500, LIMIT_S);
		new_addr(s.addrs[i]);
		if (net_listen(s.servers[i], NET_FRONT, s.addrs[i]))
			return 2;
		if (i >= 2) {
			struct si_machine *m = si_machine(&s.si, "g", "a", false);

			snprintf(m->addr, sizeof(m->addr), "%s", s.addrs[i]);
			m->up_at = s.si.now;
		}
	}
	s.net = net_new(&user_ops, &s, 500, LIMIT_S);
	add_job(&s, 1, JOB_ARRAY, 12, 1.5);
	add_job(&s, 2, JOB_GANG, 3, 4);
	rc = play(&s);
	for (int i = 0; i < 2 + MACHINES; i++)
		net_free(s.servers[i]);
	net_free(s.net);
	si_free(&s.si);
	return rc;
}
