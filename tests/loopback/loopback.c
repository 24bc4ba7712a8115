/* Setup, event loop and teardown of the loopback tests: the stand-ins as servers. */
#include "loopback/loopback.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wire/names.h"

/* Indices in loopback->servers; those from SERVER_MACHINES on are agents. */
enum { SERVER_STATE, SERVER_CLOUD, SERVER_MACHINES };

/* A request's handle holds the connection's id in the low bits. */
#define HANDLE_CONNECTION_MASK 0xffffffffffffull

#define PORT_FIRST 10000
#define PORT_COUNT 22400  /* up to below the ports of outgoing connections */
#define PORTS_PER_TEST 64 /* between the first ports of two tests with successive process ids */
#define SERVER_CONNECTIONS 500
#define ITERATION_WAIT_S 0.005 /* time that one event-loop iteration waits for messages */

#define MACHINE_TYPE "g"
#define ZONE "a"

/* --- addresses --- */

static bool port_is_free(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool is_free;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	is_free = fd >= 0 && !bind(fd, (struct sockaddr *)&address, sizeof(address));
	if (fd >= 0)
		close(fd);
	return is_free;
}

/*
 * Writes an address on the loopback interface with a port that this test has not used before. The
 * ports are below those that the system gives to outgoing connections, so that none is taken while
 * its controller is down, and tests that run side by side begin at different ports.
 */
static void new_address(char address[CONF_NAME_MAX])
{
	static int offset = -1;
	int port;

	if (offset < 0)
		offset = getpid() % (PORT_COUNT / PORTS_PER_TEST) * PORTS_PER_TEST;
	do
		port = PORT_FIRST + offset++ % PORT_COUNT;
	while (!port_is_free(port));
	snprintf(address, CONF_NAME_MAX, "127.0.0.1:%d", port);
}

/* --- stand-ins as servers --- */

static void send_reply(void *context, uint64_t handle, int status, const char *body)
{
	struct loopback *loopback = context;
	uint64_t server = handle >> HANDLE_SERVER_SHIFT;

	if (server == LOOPBACK_SERVERS) /* the answer to a copy, see loopback_repeat_start */
		return;
	net_answer(loopback->servers[server].net, handle & HANDLE_CONNECTION_MASK, status, 0, body,
		   strlen(body));
}

static void handle_request(void *context, uint64_t conn, enum net_side side, const char *method,
			   const char *path, const char *body, size_t len)
{
	struct loopback_server *server = context;
	struct standin *standin = &server->loopback->standin;
	uint64_t handle = (uint64_t)server->index << HANDLE_SERVER_SHIFT | conn;

	(void)side;
	(void)len;
	if (server->index == SERVER_STATE) {
		standin_state_handle_request(standin, 0, handle, method, path, body);
	} else if (server->index == SERVER_CLOUD) {
		standin_cloud_handle_request(standin, handle, method, path, body);
	} else {
		int index = server->index - SERVER_MACHINES;
		struct standin_machine *machine = &standin->machines[index];

		if (!strcmp(path, W_PATH_COMMANDS))
			loopback_note_direct_start(server->loopback, index, body);
		standin_agent_handle_request(standin, machine, handle, path, body);
	}
}

/* --- setup --- */

static void set_conf(struct conf *conf)
{
	static struct conf_team team = {.name = "core"};

	conf->teams = &team;
	conf->team_count = 1;
	conf->limits.txn_ops = 16;
	conf->limits.rps = 500;
	conf->limits.write_rps = 200;
	conf->limits.value_kb = 8;
	conf->report_s = 1;
	conf->lease_s = 10;
	conf->gang_wait_s = 20;
	conf->gang_peer_s = 5;
	conf->cancel_s = 30;
	conf->inventory_lag_s = 1;
}

/* Adds the only machine type. All machines exist from the start: the cloud rents out no more. */
static void add_machine_type(struct standin *standin)
{
	struct machine_type type = {
	    .name = MACHINE_TYPE,
	    .cpus = LOOPBACK_MACHINE_CPUS,
	    .mem_gb = 64,
	    .fetch_gb_per_s = 1,
	    .price = 1,
	    .spot_price = 1,
	    .boot_s = 1,
	};

	name_list_add(&type.zones, ZONE);
	standin_machine_type_add(standin, &type, 0, false);
}

static void start_standins(struct loopback *loopback)
{
	static const struct standin_callbacks callbacks = {
	    .reply = send_reply,
	    .report = loopback_send_report,
	};

	standin_init(&loopback->standin, &callbacks, loopback, &loopback->conf);
	add_machine_type(&loopback->standin);
	loopback->standin.now = net_now();
	loopback->standin.controller_count = LOOPBACK_CONTROLLERS;
}

/* Gives each controller its addresses and its name. */
static void init_controllers(struct loopback *loopback)
{
	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++) {
		new_address(loopback->controllers[i].front);
		new_address(loopback->controllers[i].back);
		snprintf(loopback->standin.controller_names[i], NAME_MAX_LEN, "node-%d", i);
	}
}

/* Adds a machine that is up and whose agent has this server's address. */
static void add_machine(struct loopback *loopback, const struct loopback_server *server)
{
	struct standin_machine *machine =
	    standin_machine_add(&loopback->standin, MACHINE_TYPE, ZONE, false);

	snprintf(machine->addr, sizeof(machine->addr), "%s", server->addr);
	machine->up_at = loopback->standin.now;
}

/* Starts the server with this index. Returns 0, or -1 if it cannot listen. */
static int start_server(struct loopback *loopback, int index)
{
	static const struct net_callbacks operations = {.request = handle_request};
	struct loopback_server *server = &loopback->servers[index];

	server->loopback = loopback;
	server->index = index;
	server->net = net_new(&operations, server, SERVER_CONNECTIONS, LOOPBACK_TIMEOUT_S);
	new_address(server->addr);
	if (net_listen(server->net, NET_FRONT, server->addr))
		return -1;
	if (index >= SERVER_MACHINES)
		add_machine(loopback, server);
	return 0;
}

int loopback_init(struct loopback *loopback)
{
	static const struct net_callbacks operations = {.reply = loopback_handle_reply};

	signal(SIGPIPE, SIG_IGN);
	snprintf(loopback->dir, sizeof(loopback->dir), "/tmp/ploverloft-loopback-XXXXXX");
	if (!mkdtemp(loopback->dir))
		return -1;
	if (!loopback->max_connections)
		loopback->max_connections = LOOPBACK_CONNECTIONS;
	set_conf(&loopback->conf);
	start_standins(loopback);
	init_controllers(loopback);
	for (int i = 0; i < LOOPBACK_SERVERS; i++)
		if (start_server(loopback, i))
			return -1;
	loopback->net = net_new(&operations, loopback, SERVER_CONNECTIONS, LOOPBACK_TIMEOUT_S);
	return 0;
}

/* --- event loop and teardown --- */

void loopback_run(struct loopback *loopback, double seconds)
{
	double until = net_now() + seconds;
	double now;

	while ((now = net_now()) < until) {
		standin_tick(&loopback->standin, now);
		loopback_deliver_held(loopback, now);
		net_poll(loopback->net, ITERATION_WAIT_S);
		for (int i = 0; i < LOOPBACK_SERVERS; i++)
			net_poll(loopback->servers[i].net, 0);
	}
}

bool loopback_rule_broken(const struct loopback *loopback)
{
	const struct standin *standin = &loopback->standin;
	bool broken = false;

	for (int rule = 0; rule < RULE_COUNT; rule++) {
		if (!standin->rules_broken[rule])
			continue;
		fprintf(stderr, "rule %s broken %d times, expected 0\n", rule_names[rule],
			standin->rules_broken[rule]);
		broken = true;
	}
	if (broken)
		fprintf(stderr, "newest message of the checker, on rule %s\n",
			standin->broken_rule_message);
	return broken;
}

const char *loopback_leader(const struct loopback *loopback, const char *key)
{
	const struct standin_key *found;

	HASH_FIND_STR(loopback->standin.state_service.keys, key, found);
	return found ? json_string_value(json_object_get(found->value, "name")) : NULL;
}

void loopback_free(struct loopback *loopback)
{
	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++)
		loopback_kill(loopback, i);
	for (int i = 0; i < LOOPBACK_SERVERS; i++)
		net_free(loopback->servers[i].net);
	net_free(loopback->net);
	for (int i = 0; i < LOOPBACK_MACHINES; i++) {
		free(loopback->newest_starts[i].body);
		free(loopback->held_answers[i].body);
	}
	standin_free(&loopback->standin);
}
