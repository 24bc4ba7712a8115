/*
 * Real controllers over loopback: three processes, of one version or of two, against the stand-ins
 * of the state service, the cloud and the machines, under the checker of the rules.
 */
#ifndef PLOVERLOFT_LOOPBACK_H
#define PLOVERLOFT_LOOPBACK_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "conf/conf.h"
#include "net/net.h"
#include "standins/standin.h"

#define LOOPBACK_CONTROLLERS 3
#define LOOPBACK_MACHINES 3
#define LOOPBACK_MACHINE_CPUS 32 /* of each machine */
#define LOOPBACK_SERVERS (2 + LOOPBACK_MACHINES)
#define LOOPBACK_JOBS 256	 /* numbers of jobs are below */
#define LOOPBACK_STATUSES 600	 /* HTTP statuses are below */
#define LOOPBACK_CONNECTIONS 500 /* of a controller, unless a test needs more */
/* Limits of the state service that the settings announce for later. */
#define LOOPBACK_NEXT_VALUE_KB 2.0
#define LOOPBACK_NEXT_TXN_OPS 5
/* seconds a test may take: generous, so that a slow machine changes nothing */
#define LIMIT_S 90.0

struct loopback;

/* One stand-in as a server: the state service, the cloud, then one for each machine. */
struct loopback_server {
	struct loopback *loopback;
	int index;
	struct net *net;
	char addr[CONF_NAME_MAX];
};

/* One controller: a process while it runs. */
struct loopback_controller {
	char front[CONF_NAME_MAX]; /* address for users and agents */
	char back[CONF_NAME_MAX];  /* address for other controllers */
	pid_t pid;		   /* 0: it does not run */
};

struct loopback {
	struct standin standin;
	struct conf conf;
	struct net *net; /* users and agents as callers */
	struct loopback_server servers[LOOPBACK_SERVERS];
	struct loopback_controller controllers[LOOPBACK_CONTROLLERS];
	char dir[CONF_NAME_MAX]; /* the controllers' settings */
	int max_connections;	 /* of a controller; 0 before loopback_init: LOOPBACK_CONNECTIONS */
	int answer_counts[LOOPBACK_STATUSES]; /* answers to users and agents, by status */
	bool known_done[LOOPBACK_JOBS];	      /* jobs that a user was shown as done */
};

/* --- start, time and end: loopback.c --- */

/* 0, or -1 if no directory or port is to be had. `loopback` is zero but for max_connections. */
int loopback_init(struct loopback *loopback);

/* Ends the controllers too. */
void loopback_free(struct loopback *loopback);

/* Plays for so many seconds. */
void loopback_run(struct loopback *loopback, double seconds);

/* Whether a rule is broken; it is printed. */
bool loopback_broken(const struct loopback *loopback);

/* The name that the leader's key holds; NULL if there is none. Valid until the next run. */
const char *loopback_leader(const struct loopback *loopback, const char *key);

/* --- controllers: controllers.c --- */

/* Writes the controller's settings and starts it as the program at this path. */
void loopback_start(struct loopback *loopback, int controller, const char *program);

/* Kills the controller at once, if it runs. */
void loopback_kill(struct loopback *loopback, int controller);

/* --- users and agents as callers: clients.c --- */

/* Sends an agent's heartbeat: the callback of the stand-ins, whose context is the loopback. */
void loopback_report(void *context, int machine, int controller, const char *body);

/* Takes the end of any call: the callback of loopback->net, whose context is the loopback. */
void loopback_take_reply(void *context, uint64_t id, int status, const char *body, size_t len);

/* Adds a job of this number, which can then be submitted: each task takes one CPU. */
void loopback_job(struct loopback *loopback, int job, enum job_kind kind, uint32_t tasks,
		  double run_s);

/* Sends a request for a job to one controller; the answer comes while the loopback runs. */
void loopback_submit(struct loopback *loopback, int job, int controller);
void loopback_poll(struct loopback *loopback, int job, int controller);
void loopback_cancel(struct loopback *loopback, int job, int controller);

#endif
