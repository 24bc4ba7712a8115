/* Test bed of the review's cases. See bed.h. */
#include "bed.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <utlist.h>

#include "util/xalloc.h"
#include "wire/names.h"

enum { SERVER_STATE, SERVER_CLOUD, SERVER_MACHINES };

#define HANDLE_SERVER_SHIFT 48
#define HANDLE_CONNECTION_MASK 0xffffffffffffull
#define CONNECTIONS 400
#define IDLE_S 300.0
#define ITERATION_S 0.004
#define MACHINE_TYPE "imbuia"
#define ZONE "vale-iguacu"
#define TEAM "aula-ops"

#define REPORT_TIMEOUT_S 4.0
#define SUBMIT_TIMEOUT_S 5.0
#define PATH_BYTES 128

#define PORT_FIRST 12000
#define PORT_COUNT 18000
#define PORT_STEP 37 /* between the first ports of two processes with successive ids */

enum call_kind { CALL_REPORT = 1, CALL_SUBMIT, CALL_CANCEL };
#define CALL_KIND_SHIFT 56
#define CALL_INDEX_SHIFT 40
#define CALL_INDEX_MASK 0xffffu
#define CALL_SEQUENCE_MASK 0xffffffffffull

/* --- record --- */

double bed_now(const struct bed *bed)
{
	return net_now() - bed->started_at;
}

void bed_note(struct bed *bed, const char *format, ...)
{
	va_list arguments;

	fprintf(bed->record, "%8.3f ", bed_now(bed));
	va_start(arguments, format);
	vfprintf(bed->record, format, arguments);
	va_end(arguments);
	fputc('\n', bed->record);
	fflush(bed->record);
}

bool bed_without_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return trouble && !strcmp(trouble, "0");
}

/* True for messages that only show that a service is used: they are not recorded. */
static bool is_routine(int server, const char *path, const char *body)
{
	if (server == SERVER_STATE)
		return true;
	if (server == SERVER_CLOUD)
		return strncmp(path, W_PATH_DELETE, strlen(W_PATH_DELETE)) != 0;
	return !strcmp(path, W_PATH_PROBE) || strstr(body, "\"" W_COMMANDS "\":[]");
}

/* --- held messages --- */

static void hold(struct bed *bed, const struct bed_held *message, const char *path,
		 const char *body, double hold_s)
{
	struct bed_held *held = xcalloc(1, sizeof(*held));

	*held = *message;
	held->path = xstrdup(path ? path : "");
	held->body = xstrdup(body ? body : "");
	held->due_at = net_now() + hold_s;
	DL_APPEND(bed->held, held);
}

static void serve(struct bed *bed, int server, uint64_t connection, const char *method,
		  const char *path, const char *body)
{
	struct standin *standin = &bed->standin;
	uint64_t handle = (uint64_t)server << HANDLE_SERVER_SHIFT | connection;

	standin->now = net_now();
	if (!is_routine(server, path, body))
		bed_note(bed, "%s carries out %s %s",
			 server == SERVER_CLOUD ? "cloud"
						: standin->machines[server - SERVER_MACHINES].id,
			 path, body);
	if (server == SERVER_STATE)
		standin_state_handle_request(standin, 0, handle, method, path, body);
	else if (server == SERVER_CLOUD)
		standin_cloud_handle_request(standin, handle, method, path, body);
	else
		standin_agent_handle_request(standin, &standin->machines[server - SERVER_MACHINES],
					     handle, path, body);
}

/* Passes the answer to a report to the agent, as the newest message that it gets. */
static void pass_report_answer(struct bed *bed, uint64_t call, int status, const char *body)
{
	int index = (int)(call >> CALL_INDEX_SHIFT & CALL_INDEX_MASK);
	struct standin_machine *machine = &bed->standin.machines[index];
	bool awaited =
	    machine->report_unanswered && machine->report_sequence == (call & CALL_SEQUENCE_MASK);

	if ((machine->report_sequence & CALL_SEQUENCE_MASK) != (call & CALL_SEQUENCE_MASK))
		return;
	bed->standin.now = net_now();
	if (status == 200 && awaited)
		bed->report_answered_at[index] = net_now();
	if (status == 200 && body && !strstr(body, "\"" W_COMMANDS "\":[]"))
		bed_note(bed, "%s gets the answer to its report %llu: %s", machine->id,
			 (unsigned long long)machine->report_sequence, body);
	standin_agent_handle_answer(&bed->standin, index, machine->report_incarnation,
				    machine->report_sequence, status > 0 ? status : 503,
				    body && *body ? body : "{}");
}

static void deliver_held(struct bed *bed)
{
	double now = net_now();
	struct bed_held *held, *next;

	DL_FOREACH_SAFE (bed->held, held, next) {
		if (held->due_at > now)
			continue;
		DL_DELETE(bed->held, held);
		if (held->server < 0)
			pass_report_answer(bed, held->call, held->status, held->body);
		else
			serve(bed, held->server, held->connection, held->method, held->path,
			      held->body);
		free(held->path);
		free(held->body);
		free(held);
	}
}

/* --- servers --- */

static void on_request(void *context, uint64_t connection, enum net_side side, const char *method,
		       const char *path, const char *body, size_t len)
{
	struct bed_server *server = context;
	struct bed *bed = server->bed;
	struct bed_held message = {.server = server->index, .connection = connection};
	double hold_s = bed->hold_request ? bed->hold_request(bed, server->index, path, body) : 0.0;

	(void)side;
	(void)len;
	if (hold_s < 0)
		return;
	if (hold_s <= 0) {
		serve(bed, server->index, connection, method, path, body);
		return;
	}
	snprintf(message.method, sizeof(message.method), "%s", method);
	if (!is_routine(server->index, path, body))
		bed_note(bed, "held for %.2f s on the way to %s: %s %s", hold_s,
			 server->index == SERVER_CLOUD
			     ? "the cloud"
			     : bed->standin.machines[server->index - SERVER_MACHINES].id,
			 path, body);
	hold(bed, &message, path, body, hold_s);
}

static void on_standin_reply(void *context, uint64_t handle, int status, const char *body)
{
	struct bed *bed = context;

	net_answer(bed->servers[handle >> HANDLE_SERVER_SHIFT].net, handle & HANDLE_CONNECTION_MASK,
		   status, 0, body, strlen(body));
}

static void on_standin_report(void *context, int machine, int controller, const char *body)
{
	struct bed *bed = context;
	uint64_t sequence = bed->standin.machines[machine].sequence;
	struct net_call call = {
	    .id = (uint64_t)CALL_REPORT << CALL_KIND_SHIFT | (uint64_t)machine << CALL_INDEX_SHIFT |
		  (sequence & CALL_SEQUENCE_MASK),
	    .addr = bed->controllers[controller].front,
	    .method = "POST",
	    .path = W_PATH_HEARTBEAT,
	    .body = body,
	    .len = strlen(body),
	    .timeout_s = REPORT_TIMEOUT_S,
	};

	if (bed->report_is_lost && bed->report_is_lost(bed, machine))
		return;
	net_send(bed->net, &call);
}

/* --- calls of agents and users --- */

static void job_id(char id[ID_MAX], int number)
{
	snprintf(id, ID_MAX, W_JOB_PREFIX "%06d", number);
}

struct standin_job *bed_job(struct bed *bed, int number)
{
	char id[ID_MAX];

	job_id(id, number);
	return standin_job_find(&bed->standin, id);
}

static void on_report_reply(struct bed *bed, uint64_t call, int status, const char *body)
{
	int machine = (int)(call >> CALL_INDEX_SHIFT & CALL_INDEX_MASK);
	struct bed_held message = {.server = -1, .call = call, .status = status};
	double hold_s =
	    bed->hold_report_answer ? bed->hold_report_answer(bed, machine, status, body) : 0.0;

	if (hold_s <= 0) {
		pass_report_answer(bed, call, status, body);
		return;
	}
	bed_note(bed, "held for %.2f s on the way to %s: answer %d to its report %llu: %s", hold_s,
		 bed->standin.machines[machine].id, status,
		 (unsigned long long)(call & CALL_SEQUENCE_MASK), body);
	hold(bed, &message, NULL, body, hold_s);
}

static void on_call_reply(void *context, uint64_t call, int status, const char *body, size_t len)
{
	struct bed *bed = context;
	int number = (int)(call & CALL_SEQUENCE_MASK);
	char id[ID_MAX];

	(void)len;
	bed->standin.now = net_now();
	job_id(id, number);
	switch ((enum call_kind)(call >> CALL_KIND_SHIFT)) {
	case CALL_REPORT:
		on_report_reply(bed, call, status, body);
		break;
	case CALL_SUBMIT:
		bed_note(bed, "user gets %d to the submission of %s: %s", status, id, body);
		if (bed->submit_status[number] != 200 && bed->submit_status[number] != 201)
			bed->submit_status[number] = status;
		standin_submission_answered(&bed->standin, id, status);
		break;
	case CALL_CANCEL:
		bed_note(bed, "user gets %d to the cancellation of %s: %s", status, id, body);
		if (bed->cancel_status[number] != 200)
			bed->cancel_status[number] = status;
		standin_cancellation_answered(&bed->standin, id, status, body, net_now());
		break;
	}
}

struct standin_job *bed_add_job(struct bed *bed, int number, enum job_kind kind, uint32_t tasks,
				double cpus, double run_s)
{
	struct standin_job *job = xcalloc(1, sizeof(*job));
	struct job_spec *spec = &job->spec;

	job_id(spec->id, number);
	snprintf(spec->class_name, sizeof(spec->class_name), "%s",
		 kind == JOB_SERVICE ? "sala-online" : "voz-gpu");
	snprintf(spec->team, sizeof(spec->team), TEAM);
	snprintf(spec->image, sizeof(spec->image), "img-01");
	spec->kind = kind;
	spec->priority = kind == JOB_SERVICE ? PRIO_PRODUCTION : PRIO_NORMAL;
	spec->task_count = tasks;
	spec->cpus = cpus;
	spec->mem_gb = cpus;
	spec->estimate_s = kind == JOB_SERVICE ? 0 : run_s;
	spec->deadline_s = -1;
	job->run_s = run_s;
	job->accepted_at = job->answered_at = job->began_at = job->idle_room_since = -1;
	job->done = xcalloc(1, tasks / 8 + 1);
	HASH_ADD_STR(bed->standin.jobs, spec.id, job);
	return job;
}

static void send_user_call(struct bed *bed, enum call_kind kind, int number, int controller,
			   const char *path, const char *body)
{
	struct net_call call = {
	    .id = (uint64_t)kind << CALL_KIND_SHIFT | (uint64_t)number,
	    .addr = bed->controllers[controller].front,
	    .method = "POST",
	    .path = path,
	    .body = body,
	    .len = strlen(body),
	    .timeout_s = SUBMIT_TIMEOUT_S,
	};

	bed_note(bed, "user sends POST %s %s to node-%d", path, body, controller);
	net_send(bed->net, &call);
}

void bed_submit(struct bed *bed, int number, int controller)
{
	struct standin_job *job = bed_job(bed, number);
	char *body = wire_serialize(wire_job_encode(&job->spec));

	job->submitted = true;
	send_user_call(bed, CALL_SUBMIT, number, controller, W_PATH_JOBS, body);
	free(body);
}

void bed_cancel(struct bed *bed, int number, int controller)
{
	char path[128], id[ID_MAX];

	job_id(id, number);
	bed_job(bed, number)->cancel_requested = true;
	snprintf(path, sizeof(path), W_PATH_JOBS "/%s" W_PATH_CANCEL, id);
	send_user_call(bed, CALL_CANCEL, number, controller, path, "");
}

static bool repeat_until(struct bed *bed, int number, double timeout_s,
			 void (*send)(struct bed *, int, int), const int *status)
{
	double until = net_now() + timeout_s;

	for (int i = 0; net_now() < until; i++) {
		send(bed, number, i % BED_CONTROLLERS);
		for (int wait = 0; wait < 20 && !status[number]; wait++)
			bed_run(bed, 0.05);
		if (status[number] == 200 || status[number] == 201)
			return true;
		bed_run(bed, 1.0);
	}
	return false;
}

bool bed_submit_until(struct bed *bed, int number, double timeout_s)
{
	return repeat_until(bed, number, timeout_s, bed_submit, bed->submit_status);
}

bool bed_cancel_until(struct bed *bed, int number, double timeout_s)
{
	return repeat_until(bed, number, timeout_s, bed_cancel, bed->cancel_status);
}

uint32_t bed_running(struct bed *bed, int number)
{
	const struct standin_task *task;
	uint32_t count = 0;

	DL_FOREACH2 (bed_job(bed, number)->tasks, task, job_next)
		count += task->state == TASK_RUNNING;
	return count;
}

bool bed_wait_running(struct bed *bed, int number, uint32_t tasks, double timeout_s)
{
	double until = net_now() + timeout_s;

	while (net_now() < until) {
		if (bed_running(bed, number) == tasks)
			return true;
		bed_run(bed, 0.1);
	}
	return false;
}

void bed_note_tasks(struct bed *bed, const char *title)
{
	static const char *const states[] = {
	    [TASK_FETCHING] = W_TASK_FETCHING, [TASK_WAITING] = W_TASK_WAITING,
	    [TASK_RUNNING] = W_TASK_RUNNING,   [TASK_SAVING] = W_TASK_SAVING,
	    [TASK_EXITED] = W_TASK_EXITED,
	};

	bed_note(bed, "%s", title);
	for (int i = 0; i < bed->machine_count; i++) {
		const struct standin_machine *machine = &bed->standin.machines[i];
		const struct standin_task *task = machine->tasks;

		bed_note(bed, "  %s %s, session %llu, last 200 to a report %.1f s ago", machine->id,
			 machine->power == POWER_UP ? "up" : "gone",
			 (unsigned long long)machine->incarnation,
			 net_now() - bed->report_answered_at[i]);
		for (; task; task = task->next)
			bed_note(bed, "    %s/%u attempt %llu %s", task->job_id, task->index,
				 (unsigned long long)task->attempt, states[task->state]);
	}
}

/* --- setup --- */

/*
 * Binds a free port below those that the system gives to outgoing connections, so that none of
 * these takes the port of a server while it is not open. Returns the socket, or -1.
 */
static int bind_free_port(char address[BED_ADDRESS_BYTES])
{
	static int offset = -1;

	if (offset < 0)
		offset = getpid() * PORT_STEP % PORT_COUNT;
	for (int tries = 0; tries < PORT_COUNT; tries++) {
		int port = PORT_FIRST + offset++ % PORT_COUNT;
		struct sockaddr_in socket_address = {.sin_family = AF_INET,
						     .sin_port = htons((uint16_t)port)};
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		socket_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (fd >= 0 &&
		    !bind(fd, (struct sockaddr *)&socket_address, sizeof(socket_address))) {
			snprintf(address, BED_ADDRESS_BYTES, "127.0.0.1:%d", port);
			return fd;
		}
		if (fd >= 0)
			close(fd);
	}
	return -1;
}

/* Chooses an address for each server and controller. All ports are held open until all are chosen,
 * so that no two are equal. */
static int choose_addresses(struct bed *bed)
{
	int fds[BED_SERVERS_MAX + 2 * BED_CONTROLLERS], count = 0, result = 0;

	for (int i = 0; i < SERVER_MACHINES + bed->machine_count; i++)
		fds[count++] = bind_free_port(bed->servers[i].addr);
	for (int i = 0; i < BED_CONTROLLERS; i++) {
		fds[count++] = bind_free_port(bed->controllers[i].front);
		fds[count++] = bind_free_port(bed->controllers[i].back);
	}
	while (count--) {
		if (fds[count] < 0)
			result = -1;
		else
			close(fds[count]);
	}
	return result;
}

/* The settings of falaria-prod: see the brief and the site files. The stand-ins use them too. */
static void set_conf(struct bed *bed)
{
	struct conf *conf = &bed->conf;

	snprintf(bed->team.name, sizeof(bed->team.name), TEAM);
	conf->teams = &bed->team;
	conf->team_count = 1;
	conf->limits =
	    (struct conf_limits){.rps = 200, .write_rps = 50, .value_kb = 8, .txn_ops = 24};
	conf->report_s = 3;
	conf->lease_s = 14;
	conf->gang_wait_s = 40;
	conf->gang_peer_s = 5;
	conf->cancel_s = 44;
	conf->inventory_lag_s = 5;
	conf->cloud_rps = 6;
}

static void add_machines(struct bed *bed)
{
	struct machine_type type = {
	    .name = MACHINE_TYPE,
	    .cpus = 16,
	    .mem_gb = 64,
	    .cache_gb = 50,
	    .fetch_gb_per_s = 0.6,
	    .price = 1.06,
	    .spot_price = 0.4,
	    .boot_s = 30,
	};

	name_list_add(&type.zones, ZONE);
	standin_machine_type_add(&bed->standin, &type, 0, false);
	for (int i = 0; i < bed->machine_count; i++) {
		struct standin_machine *machine =
		    standin_machine_add(&bed->standin, MACHINE_TYPE, ZONE, false);

		snprintf(machine->addr, sizeof(machine->addr), "%s",
			 bed->servers[SERVER_MACHINES + i].addr);
		machine->up_at = bed->standin.now;
	}
}

int bed_init(struct bed *bed, const char *record_path, int machines)
{
	static const struct standin_callbacks callbacks = {.reply = on_standin_reply,
							   .report = on_standin_report};
	static const struct net_callbacks server_callbacks = {.request = on_request};
	static const struct net_callbacks call_callbacks = {.reply = on_call_reply};

	memset(bed, 0, sizeof(*bed));
	signal(SIGPIPE, SIG_IGN);
	bed->started_at = net_now();
	bed->machine_count = machines;
	bed->program = "target/ploverloft";
	snprintf(bed->dir, sizeof(bed->dir), "/tmp/ploverloft-review-XXXXXX");
	bed->record = fopen(record_path, "w");
	if (!bed->record || access(bed->program, X_OK) || !mkdtemp(bed->dir) ||
	    choose_addresses(bed))
		return -1;
	set_conf(bed);
	standin_init(&bed->standin, &callbacks, bed, &bed->conf);
	bed->standin.now = bed->standin.last_tick_at = net_now();
	bed->standin.controller_count = BED_CONTROLLERS;
	for (int i = 0; i < BED_CONTROLLERS; i++)
		snprintf(bed->standin.controller_names[i], NAME_MAX_LEN, "node-%d", i);
	add_machines(bed);
	for (int i = 0; i < SERVER_MACHINES + machines; i++) {
		struct bed_server *server = &bed->servers[i];

		server->bed = bed;
		server->index = i;
		server->net = net_new(&server_callbacks, server, CONNECTIONS, IDLE_S);
		if (net_listen(server->net, NET_FRONT, server->addr))
			return -1;
	}
	bed->net = net_new(&call_callbacks, bed, CONNECTIONS, IDLE_S);
	return 0;
}

static void write_settings(const struct bed *bed, int index, const char *path)
{
	const struct conf *conf = &bed->conf;
	FILE *file = fopen(path, "w");

	if (!file)
		exit(2);
	fprintf(file,
		"label = \"node-%d\"\nlocation = \"" ZONE "\"\nfront = \"%s\"\nback = \"%s\"\n",
		index, bed->controllers[index].front, bed->controllers[index].back);
	for (int i = 0; i < BED_CONTROLLERS; i++)
		if (i != index)
			fprintf(file,
				"[[known]]\nlabel = \"node-%d\"\nlocation = \"" ZONE
				"\"\naddr = \"%s\"\n",
				i, bed->controllers[i].back);
	fprintf(file, "[endpoints]\ncloud = \"%s\"\nstate = \"%s\"\n",
		bed->servers[SERVER_CLOUD].addr, bed->servers[SERVER_STATE].addr);
	fprintf(file, "[facts]\nnodes = %d\nzones = [\"" ZONE "\"]\nskew_ms = 1000.0\n",
		BED_CONTROLLERS);
	fprintf(file,
		"[[facts.teams]]\nname = \"" TEAM "\"\ncpus = %.1f\ncpus_max = %.1f\ngpus = %.1f\n"
		"gpus_max = %.1f\n",
		bed->team.cpus, bed->team.cpus_max, bed->team.gpus, bed->team.gpus_max);
	fprintf(file,
		"[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\n"
		"gang_peer_s = %.1f\ncancel_s = %.1f\n",
		conf->report_s, conf->lease_s, conf->gang_wait_s, conf->gang_peer_s,
		conf->cancel_s);
	fprintf(
	    file, "[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n",
	    conf->limits.rps, conf->limits.write_rps, conf->limits.value_kb, conf->limits.txn_ops);
	fprintf(file, "[facts.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", conf->cloud_rps,
		conf->inventory_lag_s);
	fprintf(file, "[facts.resources]\ncores = 0.096\nmem_mb = 56.0\nmax_connections = 1200\n");
	fclose(file);
}

static void settings_path(const struct bed *bed, int controller, char path[PATH_BYTES])
{
	snprintf(path, PATH_BYTES, "%s/node-%d.toml", bed->dir, controller);
}

static void log_path(const struct bed *bed, int controller, char path[PATH_BYTES])
{
	snprintf(path, PATH_BYTES, "%s/node-%d.log", bed->dir, controller);
}

void bed_start(struct bed *bed, int controller)
{
	char settings[PATH_BYTES], log[PATH_BYTES];
	pid_t pid;

	settings_path(bed, controller, settings);
	log_path(bed, controller, log);
	bed_note(bed, "starts %s --config node-%d.toml", bed->program, controller);
	pid = fork();
	if (pid < 0)
		exit(2);
	if (pid == 0) {
		/* The controller ends with this process, even if that crashes. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (!freopen(log, "a", stderr))
			_exit(127);
		execl(bed->program, bed->program, "--config", settings, (char *)NULL);
		_exit(127);
	}
	bed->controllers[controller].pid = pid;
}

void bed_kill(struct bed *bed, int controller)
{
	bed_note(bed, "kills node-%d", controller);
	kill(bed->controllers[controller].pid, SIGKILL);
	waitpid(bed->controllers[controller].pid, NULL, 0);
	bed->controllers[controller].pid = 0;
}

void bed_start_controllers(struct bed *bed)
{
	char path[PATH_BYTES];

	for (int i = 0; i < BED_CONTROLLERS; i++) {
		settings_path(bed, i, path);
		write_settings(bed, i, path);
		bed_start(bed, i);
	}
}

void bed_repeat(struct bed *bed, int machine, const char *path, const char *body)
{
	serve(bed, SERVER_MACHINES + machine, 0, "POST", path, body);
}

void bed_run(struct bed *bed, double seconds)
{
	double until = net_now() + seconds, now;

	while ((now = net_now()) < until) {
		standin_tick(&bed->standin, now);
		deliver_held(bed);
		net_poll(bed->net, ITERATION_S);
		for (int i = 0; i < SERVER_MACHINES + bed->machine_count; i++)
			net_poll(bed->servers[i].net, 0);
	}
}

/* Copies the events of the controllers' logs that explain a result to the end of the record. */
static void copy_logs(struct bed *bed)
{
	static const char *const events[] = {"event=leader ",	   "event=machine_lost",
					     "event=step_down",	   "event=job_",
					     "event=binding_",	   "event=cancel_committed",
					     "event=task_running", "event=machine_deleted"};
	char path[PATH_BYTES], line[1024];

	for (int i = 0; i < BED_CONTROLLERS; i++) {
		FILE *file;

		log_path(bed, i, path);
		file = fopen(path, "r");
		if (!file)
			continue;
		fprintf(bed->record, "\nlog of node-%d (events of leadership, machines and jobs)\n",
			i);
		while (fgets(line, sizeof(line), file))
			for (size_t j = 0; j < sizeof(events) / sizeof(*events); j++)
				if (strstr(line, events[j])) {
					fputs(line, bed->record);
					break;
				}
		fclose(file);
		unlink(path);
	}
}

void bed_free(struct bed *bed)
{
	char path[PATH_BYTES];

	for (int i = 0; i < BED_CONTROLLERS; i++) {
		if (bed->controllers[i].pid > 0)
			bed_kill(bed, i);
		settings_path(bed, i, path);
		unlink(path);
	}
	if (bed->record) {
		copy_logs(bed);
		fclose(bed->record);
	}
	rmdir(bed->dir);
}
