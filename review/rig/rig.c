/* Sets up the stand-ins, runs them and the controllers, and writes the record. */
#include "rig.h"

#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "net/clock.h"
#include "wire/names.h"

#define ZONE "a"
#define HANDLE_SHIFT 48
#define HANDLE_MASK 0xffffffffffffull
#define NOBODY RIG_SERVERS /* in place of a server's index */
#define MACHINE_SERVER(machine) (2 * RIG_CONTROLLERS + (machine))
#define PROBE_TIMEOUT_S 1.0
#define REPORT_TIMEOUT_S 4.0

enum user_call { USER_SUBMIT, USER_POLL, USER_CANCEL, AGENT_REPORT, PROBE_READY };

double rig_time(const struct rig *rig)
{
	return net_now() - rig->started_at;
}

void rig_note(struct rig *rig, const char *format, ...)
{
	va_list arguments;

	fprintf(rig->record, "%8.3f ", rig_time(rig));
	va_start(arguments, format);
	vfprintf(rig->record, format, arguments);
	va_end(arguments);
	fputc('\n', rig->record);
	fflush(rig->record);
}

/* --- the stand-ins as servers --- */

static void send_reply(void *context, uint64_t handle, int status, const char *body)
{
	struct rig *rig = context;
	int index = (int)(handle >> HANDLE_SHIFT);

	if (index == NOBODY)
		return;
	/* What the state service answers to a controller that is cut off does not arrive. */
	if (index < RIG_CONTROLLERS &&
	    (rig->controllers[index].cut_from_state || rig->controllers[index].refused_by_state))
		return;
	net_answer(rig->servers[index].net, handle & HANDLE_MASK, status, 0, body, strlen(body));
}

static void hold_request(struct rig *rig, int controller, uint64_t handle, const char *method,
			 const char *path, const char *body)
{
	struct rig_held **last = &rig->controllers[controller].held;
	struct rig_held *held = calloc(1, sizeof(*held));

	while (*last)
		last = &(*last)->next;
	held->handle = handle;
	snprintf(held->method, sizeof(held->method), "%s", method);
	held->path = strdup(path);
	held->body = strdup(body);
	*last = held;
}

static void handle_state(struct rig *rig, int controller, uint64_t handle, const char *method,
			 const char *path, const char *body)
{
	if (rig->on_state_request)
		rig->on_state_request(rig, controller, method, path);
	if (rig->controllers[controller].refused_by_state)
		return;
	if (rig->controllers[controller].cut_from_state) {
		hold_request(rig, controller, handle, method, path, body);
		return;
	}
	if (strstr(body, "\"leader"))
		rig_note(rig, "state node-%d %s %s %.200s", controller, method, path, body);
	standin_state_handle_request(&rig->standin, controller, handle, method, path, body);
}

static void handle_cloud(struct rig *rig, int controller, uint64_t handle, const char *method,
			 const char *path, const char *body)
{
	if (!strcmp(method, "POST"))
		rig_note(rig, "cloud node-%d %s %s", controller, path, body);
	if (!strcmp(path, W_PATH_DELETE) && rig->on_delete)
		rig->on_delete(rig, controller, body);
	standin_cloud_handle_request(&rig->standin, handle, method, path, body);
}

static void handle_request(void *context, uint64_t conn, enum net_side side, const char *method,
			   const char *path, const char *body, size_t len)
{
	struct rig_server *server = context;
	struct rig *rig = server->rig;
	uint64_t handle = (uint64_t)server->index << HANDLE_SHIFT | conn;
	struct standin_machine *machine;

	(void)side;
	(void)len;
	rig->standin.now = net_now();
	if (server->index < RIG_CONTROLLERS) {
		handle_state(rig, server->index, handle, method, path, body);
	} else if (server->index < 2 * RIG_CONTROLLERS) {
		handle_cloud(rig, server->index - RIG_CONTROLLERS, handle, method, path, body);
	} else {
		machine = &rig->standin.machines[server->index - MACHINE_SERVER(0)];
		if (!strcmp(path, W_PATH_COMMANDS)) {
			rig_note(rig, "direct %s %.300s", machine->id, body);
			if (rig->on_direct)
				rig->on_direct(rig, server->index - MACHINE_SERVER(0), body);
		}
		standin_agent_handle_request(&rig->standin, machine, handle, path, body);
	}
}

void rig_deliver_copy(struct rig *rig, int machine, const char *body)
{
	rig_note(rig, "a copy arrives at %s: %.300s", rig->standin.machines[machine].id, body);
	standin_agent_handle_request(&rig->standin, &rig->standin.machines[machine],
				     (uint64_t)NOBODY << HANDLE_SHIFT, W_PATH_COMMANDS, body);
}

/* --- calls of users and agents --- */

static uint64_t call_id(enum user_call kind, uint64_t number, uint64_t sequence)
{
	return (uint64_t)kind << 56 | number << 40 | (sequence & 0xffffffffffull);
}

static void send_report(void *context, int machine, int controller, const char *body)
{
	struct rig *rig = context;
	struct net_call call = {
	    .id = call_id(AGENT_REPORT, (uint64_t)machine, rig->standin.machines[machine].sequence),
	    .addr = rig->controllers[controller].front,
	    .method = "POST",
	    .path = W_PATH_HEARTBEAT,
	    .body = body,
	    .len = strlen(body),
	    .timeout_s = REPORT_TIMEOUT_S,
	};

	if (call.len > rig->longest_report)
		rig->longest_report = call.len;
	net_send(rig->net, &call);
}

static void handle_report_reply(struct rig *rig, int index, uint64_t sequence, int status,
				const char *body, size_t len)
{
	struct standin_machine *machine = &rig->standin.machines[index];

	if (status != 200 && status != 421)
		rig->reports_refused++;
	if (status != 200 || strstr(body, "\"gesto\""))
		rig_note(rig, "report %s node-%d session=%llu seq=%llu -> %d %.200s", machine->id,
			 machine->controller, (unsigned long long)machine->report_incarnation,
			 (unsigned long long)sequence, status, len ? body : "");
	if ((machine->report_sequence & 0xffffffffffull) != sequence)
		return;
	standin_agent_handle_answer(&rig->standin, index, machine->report_incarnation,
				    machine->report_sequence, status > 0 ? status : 503,
				    len ? body : "{}");
}

static void handle_reply(void *context, uint64_t id, int status, const char *body, size_t len)
{
	static const char *const names[] = {"submit", "poll", "cancel"};
	struct rig *rig = context;
	struct standin *standin = &rig->standin;
	enum user_call kind = (enum user_call)(id >> 56);
	int number = (int)(id >> 40 & 0xffff);
	double sent_at = rig->user_call_sent_at[id % RIG_USER_CALLS];
	char job[ID_MAX];

	standin->now = net_now();
	if (kind == AGENT_REPORT) {
		handle_report_reply(rig, number, id & 0xffffffffffull, status, body, len);
		return;
	}
	if (kind == PROBE_READY) {
		rig_note(rig, "ready node-%d -> %d", number, status);
		if (status > 0)
			rig->controllers[number].ready_answers++;
		else
			rig->controllers[number].ready_silent++;
		return;
	}
	snprintf(job, sizeof(job), W_JOB_PREFIX "%06d", number);
	rig_note(rig, "answer %s %s -> %d %s", names[kind], job, status, len ? body : "");
	if (kind == USER_SUBMIT)
		standin_submission_answered(standin, job, status);
	else if (kind == USER_POLL)
		standin_poll_answered(standin, job, status, len ? body : "{}", sent_at);
	else
		standin_cancellation_answered(standin, job, status, len ? body : "{}", sent_at);
}

void rig_probe(struct rig *rig, int controller)
{
	struct net_call call = {
	    .id = call_id(PROBE_READY, (uint64_t)controller, rig->next_user_call++),
	    .addr = rig->controllers[controller].front,
	    .method = "GET",
	    .path = W_PATH_READY,
	    .body = "",
	    .timeout_s = PROBE_TIMEOUT_S,
	};

	net_send(rig->net, &call);
}

/* --- setup --- */

static void open_server(struct rig_server *server)
{
	static const struct net_callbacks callbacks = {.request = handle_request};

	server->net = net_new(&callbacks, server, RIG_CONNECTIONS, 120);
	if (net_listen(server->net, NET_FRONT, server->addr))
		exit(2);
}

static void start_server(struct rig *rig, int index)
{
	struct rig_server *server = &rig->servers[index];

	server->rig = rig;
	server->index = index;
	close(listen_anywhere(server->addr));
	open_server(server);
}

static void init_controllers(struct rig *rig)
{
	rig->relay = relay_new(RIG_CONTROLLERS * RIG_CONTROLLERS);
	rig->standin.controller_count = RIG_CONTROLLERS;
	for (int i = 0; i < RIG_CONTROLLERS; i++) {
		close(listen_anywhere(rig->controllers[i].front));
		close(listen_anywhere(rig->controllers[i].back));
		snprintf(rig->standin.controller_names[i], NAME_MAX_LEN, "node-%d", i);
	}
}

static void clean_up(void);

static volatile sig_atomic_t ended; /* the case is ended from outside */

static void handle_end(int number)
{
	(void)number;
	ended = 1;
}

static struct rig *live_rig; /* for clean_up; NULL: nothing is left to clean up */

void rig_init(struct rig *rig, const char *program, const char *record_path)
{
	static const struct net_callbacks calls = {.reply = handle_reply};
	static const struct standin_callbacks callbacks = {.reply = send_reply,
							   .report = send_report};

	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, handle_end);
	signal(SIGINT, handle_end);
	rig->started_at = net_now();
	rig->program = program;
	rig->record = fopen(record_path, "w");
	snprintf(rig->dir, sizeof(rig->dir), "/tmp/ploverloft-case-XXXXXX");
	if (!rig->record || !mkdtemp(rig->dir))
		exit(2);
	live_rig = rig;
	atexit(clean_up);
	standin_init(&rig->standin, &callbacks, rig, &rig->conf);
	rig->standin.now = net_now();
	init_controllers(rig);
	for (int i = 0; i < RIG_SERVERS; i++)
		start_server(rig, i);
	rig->net = net_new(&calls, rig, RIG_CONNECTIONS, 120);
}

void rig_add_type(struct rig *rig, const char *name, double cpus, double mem_gb, double price,
		  double boot_s, int capacity)
{
	struct machine_type type = {
	    .cpus = cpus,
	    .mem_gb = mem_gb,
	    .fetch_gb_per_s = 1,
	    .price = price,
	    .spot_price = price,
	    .boot_s = boot_s,
	};

	snprintf(type.name, sizeof(type.name), "%s", name);
	name_list_add(&type.zones, ZONE);
	standin_machine_type_add(&rig->standin, &type, capacity, true);
}

struct standin_machine *rig_add_machine(struct rig *rig, const char *type)
{
	struct standin_machine *machine = standin_machine_add(&rig->standin, type, ZONE, false);
	int index = rig->standin.machine_count - 1;

	if (index >= RIG_MACHINES_MAX)
		exit(2);
	snprintf(machine->addr, sizeof(machine->addr), "%s",
		 rig->servers[MACHINE_SERVER(index)].addr);
	machine->up_at = rig->standin.now;
	return machine;
}

/* --- running --- */

/* A machine that the cloud has rented out meanwhile gets a real address. */
static void give_addresses(struct rig *rig)
{
	for (int i = 0; i < rig->standin.machine_count && i < RIG_MACHINES_MAX; i++)
		snprintf(rig->standin.machines[i].addr, NAME_MAX_LEN, "%s",
			 rig->servers[MACHINE_SERVER(i)].addr);
}

/* Closes or opens the servers of the state service, outside their callbacks. */
static void apply_refusals(struct rig *rig)
{
	for (int i = 0; i < RIG_CONTROLLERS; i++) {
		struct rig_server *server = &rig->servers[i];

		if (rig->controllers[i].refused_by_state && server->net) {
			net_free(server->net);
			server->net = NULL;
		} else if (!rig->controllers[i].refused_by_state && !server->net) {
			open_server(server);
		}
	}
}

void rig_run(struct rig *rig, double seconds)
{
	double until = net_now() + seconds;

	do {
		if (ended)
			exit(2);
		standin_tick(&rig->standin, net_now());
		give_addresses(rig);
		net_poll(rig->net, 0.001);
		for (int i = 0; i < RIG_SERVERS; i++)
			if (rig->servers[i].net)
				net_poll(rig->servers[i].net, 0);
		apply_refusals(rig);
		relay_poll(rig->relay);
	} while (net_now() < until);
}

int rig_leader(const struct rig *rig)
{
	static const char *const keys[] = {"leader/2", "leader"};

	for (int k = 0; k < 2; k++) {
		const struct standin_key *found;
		const char *name;

		HASH_FIND_STR(rig->standin.state_service.keys, keys[k], found);
		name = found ? json_string_value(json_object_get(found->value, "name")) : NULL;
		for (int i = 0; name && i < RIG_CONTROLLERS; i++)
			if (!strcmp(name, rig->standin.controller_names[i]))
				return i;
	}
	return -1;
}

int rig_wait_leader(struct rig *rig, int other, double seconds)
{
	double until = net_now() + seconds;
	int leader;

	while (net_now() < until) {
		rig_run(rig, 0.02);
		leader = rig_leader(rig);
		if (leader >= 0 && leader != other)
			return leader;
	}
	return -1;
}

/* --- cuts --- */

void rig_refuse_state(struct rig *rig, int controller, bool refused)
{
	rig_note(rig, "node-%d refused by the state service: %d", controller, refused);
	rig->controllers[controller].refused_by_state = refused;
}

static int link_of(int from, int to)
{
	return from * RIG_CONTROLLERS + to;
}

static void deliver_held(struct rig *rig, int controller)
{
	struct rig_held *held;

	while ((held = rig->controllers[controller].held)) {
		rig->controllers[controller].held = held->next;
		standin_state_handle_request(&rig->standin, controller, held->handle, held->method,
					     held->path, held->body);
		free(held->path);
		free(held->body);
		free(held);
	}
}

void rig_cut(struct rig *rig, int controller, bool from_state, bool from_peers)
{
	rig_note(rig, "cut node-%d state=%d peers=%d", controller, from_state, from_peers);
	rig->controllers[controller].cut_from_state = from_state;
	if (!from_state)
		deliver_held(rig, controller);
	for (int i = 0; i < RIG_CONTROLLERS; i++) {
		if (i == controller)
			continue;
		relay_freeze(rig->relay, link_of(controller, i), from_peers);
		relay_freeze(rig->relay, link_of(i, controller), from_peers);
	}
}

/* --- controllers --- */

static void write_facts(const struct rig *rig, FILE *file)
{
	const struct conf *conf = &rig->conf;

	fprintf(file, "[facts]\nnodes = 3\nzones = [\"" ZONE "\"]\nskew_ms = 250.0\n");
	for (size_t i = 0; i < conf->team_count; i++)
		fprintf(file,
			"[[facts.teams]]\nname = \"%s\"\ncpus = %.1f\ncpus_max = %.1f\n"
			"gpus = %.1f\ngpus_max = %.1f\n",
			conf->teams[i].name, conf->teams[i].cpus, conf->teams[i].cpus_max,
			conf->teams[i].gpus, conf->teams[i].gpus_max);
	fputs(rig->site.objectives, file);
	fprintf(file,
		"[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\n"
		"gang_peer_s = %.1f\ncancel_s = %.1f\n",
		conf->report_s, conf->lease_s, conf->gang_wait_s, conf->gang_peer_s,
		conf->cancel_s);
	fprintf(
	    file, "[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n",
	    conf->limits.rps, conf->limits.write_rps, conf->limits.value_kb, conf->limits.txn_ops);
	fprintf(file, "[facts.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", rig->site.cloud_rps,
		conf->inventory_lag_s);
	fprintf(file, "[facts.resources]\ncores = %.3f\nmem_mb = %d.0\nmax_connections = %d\n",
		rig->site.cores, rig->site.mem_mb, rig->site.max_connections);
}

static void write_settings(struct rig *rig, int index, const char *path)
{
	FILE *file = fopen(path, "w");
	char addr[RIG_ADDRESS];

	if (!file)
		exit(2);
	fprintf(file, "label = \"node-%d\"\nlocation = \"" ZONE "\"\n", index);
	fprintf(file, "front = \"%s\"\nback = \"%s\"\n", rig->controllers[index].front,
		rig->controllers[index].back);
	for (int i = 0; i < RIG_CONTROLLERS; i++) {
		if (i == index)
			continue;
		relay_open(rig->relay, link_of(index, i), addr, rig->controllers[i].back);
		fprintf(file,
			"[[known]]\nlabel = \"node-%d\"\nlocation = \"" ZONE "\"\naddr = \"%s\"\n",
			i, addr);
	}
	fprintf(file, "[endpoints]\ncloud = \"%s\"\nstate = \"%s\"\n",
		rig->servers[RIG_CONTROLLERS + index].addr, rig->servers[index].addr);
	write_facts(rig, file);
	fclose(file);
}

/* The program's log goes to a file in the temporary folder. */
static void exec_program(const struct rig *rig, int index, const char *settings)
{
	char log[RIG_PATH * 2];

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	snprintf(log, sizeof(log), "%s/node-%d.log", rig->dir, index);
	if (!freopen(log, "a", stderr))
		_exit(126);
	setenv("LOG_LEVEL", "info", 0);
	execl(rig->program, rig->program, "--config", settings, (char *)NULL);
	_exit(127);
}

void rig_start(struct rig *rig, int index)
{
	char path[RIG_PATH * 2];
	pid_t pid;

	snprintf(path, sizeof(path), "%s/node-%d.toml", rig->dir, index);
	if (access(path, F_OK))
		write_settings(rig, index, path);
	rig_note(rig, "start node-%d", index);
	pid = fork();
	if (!pid)
		exec_program(rig, index, path);
	if (pid < 0)
		exit(2);
	rig->controllers[index].pid = pid;
}

void rig_kill(struct rig *rig, int index)
{
	pid_t pid = rig->controllers[index].pid;

	if (pid <= 0)
		return;
	rig_note(rig, "kill node-%d", index);
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	rig->controllers[index].pid = 0;
}

static void remove_files(const struct rig *rig)
{
	char path[RIG_PATH * 2];

	for (int i = 0; i < RIG_CONTROLLERS; i++) {
		snprintf(path, sizeof(path), "%s/node-%d.toml", rig->dir, i);
		unlink(path);
		snprintf(path, sizeof(path), "%s/node-%d.log", rig->dir, i);
		unlink(path);
	}
	rmdir(rig->dir);
}

/* KEEP=1 keeps the settings and the controllers' logs. */
void rig_free(struct rig *rig)
{
	for (int i = 0; i < RIG_CONTROLLERS; i++)
		rig_kill(rig, i);
	if (getenv("KEEP"))
		fprintf(stderr, "kept: %s\n", rig->dir);
	else
		remove_files(rig);
	fclose(rig->record);
	live_rig = NULL;
}

/* Also where a case ends early because it can't run. */
static void clean_up(void)
{
	if (live_rig)
		rig_free(live_rig);
}
