/* The thin program: arguments, settings, and the loop between the network and the core. */
#include <argp.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include <xxhash.h>

#include "conf/conf.h"
#include "constants.h"
#include "core/core.h"
#include "net/net.h"
#include "util/log.h"

const char *argp_program_version = "ploverloft " PLOVERLOFT_VERSION;

struct args {
	const char *config;
	const char *operator_config;
	int check;
};

static error_t parse_arg(int key, char *arg, struct argp_state *state)
{
	struct args *a = state->input;

	switch (key) {
	case 'c':
		a->config = arg;
		return 0;
	case 'o':
		a->operator_config = arg;
		return 0;
	case 'k':
		a->check = 1;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument: %s", arg);
		return 0;
	case ARGP_KEY_END:
		if (!a->config)
			argp_error(state, "--config FILE is needed");
		return 0;
	}
	return ARGP_ERR_UNKNOWN;
}

static const struct argp_option options[] = {
    {"config", 'c', "FILE", 0, "settings that the platform hands over (TOML)", 0},
    {"operator-config", 'o', "FILE", 0,
     "the operators' own settings (HCL-like, read by libconfuse)", 0},
    {"check", 'k', NULL, 0, "check the settings and end", 0},
    {0},
};

static const struct argp argp = {
    options, parse_arg, NULL, "A controller of the ploverloft cluster scheduler.",
    NULL,    NULL,	NULL};

struct daemon {
	struct net *net;
	struct core *core;
};

static struct core_time now(void)
{
	struct core_time t = {net_now(), net_wall()};

	return t;
}

/* Carries out what the core returned; a call that fails at once only adds to the list. */
static void drain(struct daemon *d)
{
	struct core_action *a;

	while ((a = core_take(d->core))) {
		if (a->kind == ACT_ANSWER) {
			net_answer(d->net, a->id, a->status, a->retry_after, a->body, a->len);
		} else {
			struct net_call call = {a->id,	 a->addr, a->method,   a->path,
						a->body, a->len,  a->timeout_s};

			net_send(d->net, &call);
		}
		core_action_free(a);
	}
}

static void on_request(void *ctx, uint64_t conn, enum net_side side, const char *method,
		       const char *path, const char *body, size_t len)
{
	struct daemon *d = ctx;
	struct core_request r = {
	    conn, side == NET_FRONT ? CORE_FRONT : CORE_BACK, method, path, body, len};

	core_request(d->core, now(), &r);
}

static void on_reply(void *ctx, uint64_t id, int status, const char *body, size_t len)
{
	struct daemon *d = ctx;
	struct core_answer a = {id, status, body, len};

	core_answer(d->core, now(), &a);
}

static uint64_t make_seed(const struct conf *conf)
{
	double t[2] = {net_now(), net_wall()};

	return XXH3_64bits(t, sizeof(t)) ^ XXH3_64bits(conf->name, strlen(conf->name)) ^
	       (uint64_t)getpid();
}

/*
 * The sockets that the settings allow, or as many as the system does: raised as far as this process
 * may. Fewer mean that connections give way sooner.
 */
static int sockets_allowed(const struct conf *conf)
{
	struct rlimit files;

	if (getrlimit(RLIMIT_NOFILE, &files))
		return conf->max_connections;
	if (files.rlim_cur < (rlim_t)conf->max_connections) {
		files.rlim_cur = files.rlim_max < (rlim_t)conf->max_connections
				     ? files.rlim_max
				     : (rlim_t)conf->max_connections;
		if (setrlimit(RLIMIT_NOFILE, &files) || getrlimit(RLIMIT_NOFILE, &files))
			return conf->max_connections;
	}
	if (files.rlim_cur >= (rlim_t)conf->max_connections)
		return conf->max_connections;
	log_error("few_files", "wanted=%d allowed=%llu", conf->max_connections,
		  (unsigned long long)files.rlim_cur);
	return (int)files.rlim_cur;
}

static int serve(const struct conf *conf)
{
	static const struct net_ops ops = {on_request, on_reply};
	struct daemon d;

	signal(SIGPIPE, SIG_IGN);
	/* A worker silent for its lease has lost its tasks; our own idle ones close first. */
	d.net = net_new(&ops, &d, sockets_allowed(conf) - NET_FILES,
			fmax(conf->lease_s, NET_IDLE_S) + NET_SLOW_S);
	if (net_listen(d.net, NET_FRONT, conf->front) || net_listen(d.net, NET_BACK, conf->back)) {
		log_error("listen", "front=%s back=%s", conf->front, conf->back);
		return 1;
	}
	d.core = core_new(conf, make_seed(conf), now());
	log_info("start", "version=%s front=%s back=%s", PLOVERLOFT_VERSION, conf->front,
		 conf->back);
	for (size_t i = 0; i < conf->nobjectives; i++)
		log_info("objective", "kind=%d class=%s within_s=%g share=%g times=%g most=%g",
			 conf->objectives[i].kind, conf->objectives[i].class_name,
			 conf->objectives[i].within_s, conf->objectives[i].share,
			 conf->objectives[i].times, conf->objectives[i].most);
	core_tick(d.core, now());
	for (;;) {
		drain(&d);
		net_poll(d.net, core_next(d.core) - net_now());
		core_tick(d.core, now());
	}
}

int main(int argc, char **argv)
{
	struct args a = {0};
	char err[CONF_ERR_MAX];
	struct conf conf;

	argp_err_exit_status = 2;
	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (conf_load(&conf, a.config, err) ||
	    (a.operator_config && conf_load_operator(&conf, a.operator_config, err))) {
		fprintf(stderr, "ploverloft: %s\n", err);
		conf_free(&conf);
		return 2;
	}
	if (a.check) {
		puts("settings are valid");
		conf_free(&conf);
		return 0;
	}
	log_setup(conf.name, getenv("LOG_LEVEL"));
	return serve(&conf);
}
