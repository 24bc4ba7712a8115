/* Real controllers over loopback against the stand-ins. See loopback.h. */
#include "loopback.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "wire/names.h"

#define JOBS_MAX 255
#define FILES_AT_START 1024 /* the usual soft limit */

enum call_kind { CALL_REPORT = 1, CALL_SUBMIT, CALL_POLL, CALL_CANCEL };

struct server {
	struct loopback *s;
	int index;
};

static struct server servers[2 + LOOPBACK_MACHINES];

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
	struct loopback *s = ctx;

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
		standin_state_request(&v->s->si, 0, handle, method, path, body);
	else if (v->index == 1)
		standin_cloud_request(&v->s->si, handle, method, path, body);
	else
		standin_agent_request(&v->s->si, &v->s->si.machines[v->index - 2], handle, path,
				      body);
}

static void si_report(void *ctx, int machine, int node, const char *body)
{
	struct loopback *s = ctx;
	const struct standin_machine *m = &s->si.machines[machine];
	struct net_call call = {(uint64_t)CALL_REPORT << 56 | (uint64_t)machine << 40 | m->sequence,
				s->front[node],
				"POST",
				W_PATH_HEARTBEAT,
				body,
				strlen(body),
				4};

	net_send(s->net, &call);
}

/* --- callers --- */

static void on_reply(void *ctx, uint64_t id, int status, const char *body, size_t len)
{
	struct loopback *s = ctx;
	char text[512];
	char name[ID_MAX];

	snprintf(text, sizeof(text), "%.*s", (int)len, body);
	snprintf(name, sizeof(name), W_JOB_PREFIX "%d", (int)(id & 0xff));
	switch ((enum call_kind)(id >> 56)) {
	case CALL_REPORT: {
		int machine = (int)(id >> 40 & 0xffff);
		struct standin_machine *m = &s->si.machines[machine];

		if (m->report_sequence == (id & 0xffffffffffull))
			standin_agent_answer(&s->si, machine, m->report_incarnation,
					     m->report_sequence, status > 0 ? status : 503,
					     len ? body : "{}");
		break;
	}
	case CALL_SUBMIT:
		standin_submission_answered(&s->si, name, status);
		break;
	case CALL_CANCEL:
		standin_cancellation_answered(&s->si, name, status, text, s->si.now);
		break;
	case CALL_POLL:
		standin_lookup_answered(&s->si, name, status, text, s->si.now);
		s->done[id & 0xff] |=
		    strstr(text, "\"" W_JOB_DONE "\"}") || strstr(text, ":\"" W_JOB_DONE "\"");
		break;
	}
	if (status > 0 && status < 600)
		s->answers[status]++;
}

static void user_call(struct loopback *s, enum call_kind kind, int job, int node,
		      const char *method, const char *path, const char *body)
{
	struct net_call call = {(uint64_t)kind << 56 | (uint64_t)job,
				s->front[node],
				method,
				path,
				body,
				strlen(body),
				3};

	net_send(s->net, &call);
}

void loopback_submit(struct loopback *s, int job, int node)
{
	char name[ID_MAX], *body;
	json_t *o;

	snprintf(name, sizeof(name), W_JOB_PREFIX "%d", job);
	o = wire_job_encode(&standin_job_find(&s->si, name)->spec);
	body = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	if (!body)
		abort();
	standin_job_find(&s->si, name)->submitted = true;
	user_call(s, CALL_SUBMIT, job, node, "POST", W_PATH_JOBS, body);
	free(body);
}

void loopback_poll(struct loopback *s, int job, int node)
{
	char path[64];

	snprintf(path, sizeof(path), W_PATH_JOBS "/" W_JOB_PREFIX "%d", job);
	user_call(s, CALL_POLL, job, node, "GET", path, "");
}

void loopback_cancel(struct loopback *s, int job, int node)
{
	char path[64], name[ID_MAX];

	snprintf(name, sizeof(name), W_JOB_PREFIX "%d", job);
	standin_job_find(&s->si, name)->cancel_requested = true;
	snprintf(path, sizeof(path), W_PATH_JOBS "/%s" W_PATH_CANCEL, name);
	user_call(s, CALL_CANCEL, job, node, "POST", path, "");
}

/* --- controllers --- */

static void write_settings(struct loopback *s, int i, const char *path)
{
	FILE *f = fopen(path, "w");

	if (!f)
		abort();
	fprintf(f, "label=\"node-%d\"\nlocation=\"a\"\nfront=\"%s\"\nback=\"%s\"\n", i, s->front[i],
		s->back[i]);
	for (int k = 0; k < LOOPBACK_NODES; k++)
		if (k != i)
			fprintf(f, "[[known]]\nlabel=\"node-%d\"\nlocation=\"a\"\naddr=\"%s\"\n", k,
				s->back[k]);
	fprintf(f, "[endpoints]\nstate=\"%s\"\ncloud=\"%s\"\n", s->addrs[0], s->addrs[1]);
	fprintf(f,
		"[facts]\nnodes=3\nzones=[\"a\"]\nskew_ms=100.0\n[[facts.teams]]\nname=\"core\"\n");
	fprintf(f, "[facts.workers]\nreport_s=1.0\nlease_s=10.0\ngang_wait_s=20.0\n"
		   "gang_peer_s=5.0\ncancel_s=30.0\n");
	fprintf(f, "[facts.state]\nrps=500.0\nwrite_rps=200.0\nvalue_kb=8.0\ntxn_ops=16\n");
	fprintf(f, "[facts.state.next]\nvalue_kb=%.1f\ntxn_ops=%d\n", LOOPBACK_NEXT_VALUE_KB,
		LOOPBACK_NEXT_TXN_OPS);
	fprintf(f, "[facts.cloud]\nrps=5.0\nlist_lag_s=1.0\n");
	fprintf(f, "[facts.resources]\ncores=0.1\nmem_mb=64.0\nmax_connections=%d\n",
		s->max_connections);
	fclose(f);
}

/* As a system starts programs: more files are theirs to ask for. */
static void few_files(void)
{
	struct rlimit files;

	if (getrlimit(RLIMIT_NOFILE, &files) || files.rlim_cur < FILES_AT_START)
		return;
	files.rlim_cur = FILES_AT_START;
	setrlimit(RLIMIT_NOFILE, &files);
}

void loopback_start(struct loopback *s, int i, const char *program)
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
		setenv("LOG_LEVEL", "error", 0);
		few_files();
		execl(program, program, "--config", path, (char *)NULL);
		_exit(127);
	}
}

void loopback_kill(struct loopback *s, int i)
{
	if (s->pids[i] <= 0)
		return;
	kill(s->pids[i], SIGKILL);
	waitpid(s->pids[i], NULL, 0);
	s->pids[i] = 0;
}

void loopback_job(struct loopback *s, int job, enum job_kind kind, uint32_t tasks, double run_s)
{
	struct standin_job *j = calloc(1, sizeof(*j));

	if (!j)
		abort();
	snprintf(j->spec.id, sizeof(j->spec.id), W_JOB_PREFIX "%d", job);
	snprintf(j->spec.class_name, sizeof(j->spec.class_name), "any");
	snprintf(j->spec.team, sizeof(j->spec.team), "core");
	snprintf(j->spec.image, sizeof(j->spec.image), "img");
	j->spec.kind = kind;
	j->spec.priority = PRIO_NORMAL;
	j->spec.task_count = tasks;
	j->spec.cpus = j->spec.mem_gb = 1;
	j->spec.estimate_s = j->run_s = run_s;
	j->spec.deadline_s = -1;
	j->done = calloc(1, tasks / 8 + 1);
	HASH_ADD_STR(s->si.jobs, spec.id, j);
}

void loopback_run(struct loopback *s, double seconds)
{
	double from = net_now(), t;

	while ((t = net_now()) - from < seconds) {
		standin_tick(&s->si, t);
		net_poll(s->net, 0.005);
		for (int i = 0; i < 2 + LOOPBACK_MACHINES; i++)
			net_poll(s->servers[i], 0);
	}
}

int loopback_broken(const struct loopback *s)
{
	int broken = 0;

	for (int r = 0; r < RULE_COUNT; r++) {
		if (!s->si.rules_broken[r])
			continue;
		fprintf(stderr, "rule broken: %s: %s\n", rule_names[r], s->si.broken_why);
		broken = 1;
	}
	return broken;
}

const char *loopback_leader(struct loopback *s, const char *key)
{
	struct standin_key *found;

	HASH_FIND_STR(s->si.state_service.keys, key, found);
	return found ? json_string_value(json_object_get(found->value, "name")) : NULL;
}

int loopback_init(struct loopback *s)
{
	static const struct net_ops server_ops = {on_request, NULL}, user_ops = {NULL, on_reply};
	static const struct standin_callbacks si_ops = {si_reply, si_report};
	static struct conf_team team = {.name = "core"};
	struct machine_type type = {.name = "g",
				    .cpus = LOOPBACK_MACHINE_CPUS,
				    .mem_gb = 64,
				    .fetch_gb_per_s = 1,
				    .price = 1,
				    .spot_price = 1,
				    .boot_s = 1};

	signal(SIGPIPE, SIG_IGN);
	snprintf(s->dir, sizeof(s->dir), "/tmp/ploverloft-loopback-XXXXXX");
	if (!mkdtemp(s->dir))
		return -1;
	name_list_add(&type.zones, "a");
	if (!s->max_connections)
		s->max_connections = LOOPBACK_CONNECTIONS;
	s->conf.teams = &team;
	s->conf.nteams = 1;
	s->conf.limits.txn_ops = 16;
	s->conf.limits.rps = 500;
	s->conf.limits.write_rps = 200;
	s->conf.limits.value_kb = 8;
	s->conf.report_s = 1;
	s->conf.lease_s = 10;
	s->conf.gang_wait_s = 20;
	s->conf.gang_peer_s = 5;
	s->conf.cancel_s = 30;
	s->conf.list_lag_s = 1;
	standin_init(&s->si, &si_ops, s, &s->conf);
	standin_type_add(&s->si, &type, 0, false);
	s->si.now = net_now();
	s->si.controller_count = LOOPBACK_NODES;
	for (int i = 0; i < LOOPBACK_NODES; i++) {
		new_addr(s->front[i]);
		new_addr(s->back[i]);
		snprintf(s->si.controller_names[i], NAME_MAX_LEN, "node-%d", i);
	}
	for (int i = 0; i < 2 + LOOPBACK_MACHINES; i++) {
		servers[i].s = s;
		servers[i].index = i;
		s->servers[i] = net_new(&server_ops, &servers[i], 500, LIMIT_S);
		new_addr(s->addrs[i]);
		if (net_listen(s->servers[i], NET_FRONT, s->addrs[i]))
			return -1;
		if (i >= 2) {
			struct standin_machine *m = standin_machine_add(&s->si, "g", "a", false);

			snprintf(m->addr, sizeof(m->addr), "%s", s->addrs[i]);
			m->up_at = s->si.now;
		}
	}
	s->net = net_new(&user_ops, s, 500, LIMIT_S);
	return 0;
}

void loopback_free(struct loopback *s)
{
	for (int i = 0; i < LOOPBACK_NODES; i++)
		loopback_kill(s, i);
	for (int i = 0; i < 2 + LOOPBACK_MACHINES; i++)
		net_free(s->servers[i]);
	net_free(s->net);
	standin_free(&s->si);
}
