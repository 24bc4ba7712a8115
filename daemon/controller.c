/* Runs a controller: the event loop passes events of the network to the core, and carries out the
 * core's actions. */
#include "controller.h"

#include <errno.h>
#include <math.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <xxhash.h>

#include "constants.h"
#include "core/core.h"
#include "net/http_target.h"
#include "net/net.h"
#include "open_files.h"
#include "util/log.h"

struct controller {
	struct net *net;
	struct core *core;
};

static struct core_time current_time(void)
{
	return (struct core_time){.steady = net_now(), .wall = net_wall_time()};
}

static void handle_request(void *context, uint64_t connection, enum net_side side,
			   const char *method, const char *path, const char *body, size_t body_len)
{
	struct controller *controller = context;
	char plain_path[HTTP_PATH_MAX];
	struct core_request request = {
	    .connection = connection,
	    .side = side == NET_FRONT ? CORE_FRONT : CORE_BACK,
	    .method = method,
	    .path = plain_path,
	    .body = body,
	    .len = body_len,
	};

	http_target_path(path, plain_path);
	core_request(controller->core, current_time(), &request);
}

/* The status may be a value of enum net_call_failure: the core takes these values as they are. */
static void handle_reply(void *context, uint64_t call_id, int status, const char *body,
			 size_t body_len)
{
	struct controller *controller = context;
	struct core_answer answer = {
	    .id = call_id, .status = status, .body = body, .len = body_len};

	core_answer(controller->core, current_time(), &answer);
}

static void handle_closed(void *context, uint64_t connection)
{
	struct controller *controller = context;

	core_connection_closed(controller->core, current_time(), connection);
}

/* Carries out one action of the core. */
static void perform_action(struct controller *controller, const struct core_action *action)
{
	struct net_call call;

	if (action->kind == ACT_ANSWER) {
		net_answer(controller->net, action->id, action->status, action->retry_after,
			   action->body, action->len);
		return;
	}
	call = (struct net_call){
	    .id = action->id,
	    .addr = action->addr,
	    .method = action->method,
	    .path = action->path,
	    .body = action->body,
	    .len = action->len,
	    .timeout_s = action->timeout_s,
	};
	net_send(controller->net, &call);
}

/* Carries out actions until the core has none left. A call that fails at once is passed to the core
 * within this loop, and may make it add actions. */
static void perform_actions(struct controller *controller)
{
	struct core_action *action;

	while ((action = core_pop_action(controller->core))) {
		perform_action(controller, action);
		core_action_free(action);
	}
}

/* Returns a seed that differs between controllers and between starts of one controller. */
static uint64_t make_seed(const struct conf *conf)
{
	double times[2] = {net_now(), net_wall_time()};

	return XXH3_64bits(times, sizeof(times)) ^ XXH3_64bits(conf->name, strlen(conf->name)) ^
	       (uint64_t)getpid();
}

static void log_start(const struct conf *conf)
{
	log_info("start", "version=%s front=%s back=%s", PLOVERLOFT_VERSION, conf->front_addr,
		 conf->back_addr);
	for (size_t i = 0; i < conf->objective_count; i++) {
		const struct conf_objective *objective = &conf->objectives[i];

		log_info("objective", "kind=%d class=%s within_s=%g share=%g times=%g most=%g",
			 objective->kind, objective->class_name, objective->within_s,
			 objective->share, objective->times, objective->most);
	}
}

/* Opens the network and both listeners. Returns NULL if a listener cannot be opened, which is
 * logged. */
static struct net *open_network(const struct conf *conf, struct controller *controller)
{
	static const struct net_callbacks callbacks = {
	    .request = handle_request, .reply = handle_reply, .closed = handle_closed};
	/* If the process may open fewer files than the settings allow, the limit on connections is
	 * lower and idle connections are closed sooner. */
	int connections_max = open_files_raise(conf->max_connections) - NET_FILES_RESERVED;
	/*
	 * A caller's connection is kept for longer than the agents' lease, because an agent that is
	 * silent for that long has lost its tasks. It is also kept for longer than controllers keep
	 * their idle connections, so that the calling controller closes them first.
	 */
	double idle_max_s = fmax(conf->lease_s, NET_CLIENT_IDLE_MAX_S) + NET_MESSAGE_TIMEOUT_S;
	struct net *net = net_new(&callbacks, controller, connections_max, idle_max_s);

	/* An address that is not a numeric IPv4 address and a port leaves errno at 0. */
	errno = 0;
	if (net_listen(net, NET_FRONT, conf->front_addr) ||
	    net_listen(net, NET_BACK, conf->back_addr)) {
		/* `reason` stays the last field, since its value may contain spaces. */
		log_error("listen", "front=%s back=%s reason=%s", conf->front_addr, conf->back_addr,
			  errno ? strerror(errno) : "invalid address");
		net_free(net);
		return NULL;
	}
	return net;
}

void controller_run(const struct conf *conf)
{
	struct controller controller;

	signal(SIGPIPE, SIG_IGN);
	controller.net = open_network(conf, &controller);
	if (!controller.net)
		return;
	controller.core = core_new(conf, make_seed(conf), current_time());
	log_start(conf);
	core_tick(controller.core, current_time());
	for (;;) {
		perform_actions(&controller);
		net_poll(controller.net, core_next_tick_at(controller.core) - net_now());
		core_tick(controller.core, current_time());
	}
}
