/*
 * Real controllers over loopback: three processes, of one version or of two, against the stand-ins
 * of state service, cloud and workers, under the checker of the rules.
 */
#ifndef PLOVERLOFT_LOOPBACK_H
#define PLOVERLOFT_LOOPBACK_H

#include <sys/types.h>

#include "conf/conf.h"
#include "net/net.h"
#include "standins/standin.h"

#define LOOPBACK_NODES 3
#define LOOPBACK_MACHINES 3
#define LOOPBACK_MACHINE_CPUS 32 /* of each machine */
#define LIMIT_S                                                                                    \
	90.0 /* seconds a test may take: generous, so that a slow machine changes nothing          \
	      */
#define LOOPBACK_CONNECTIONS 500
#define LOOPBACK_NEXT_VALUE_KB 2.0
#define LOOPBACK_NEXT_TXN_OPS 5

struct loopback {
	struct standin si;
	struct conf conf;
	struct net *net;			    /* users and workers as callers */
	struct net *servers[2 + LOOPBACK_MACHINES]; /* state, cloud, one per machine */
	char addrs[2 + LOOPBACK_MACHINES][64];
	char front[LOOPBACK_NODES][64], back[LOOPBACK_NODES][64];
	pid_t pids[LOOPBACK_NODES];
	char dir[64];
	int max_connections; /* of a controller; 0 before loopback_init: LOOPBACK_CONNECTIONS */
	int answers[600];
	bool done[256]; /* jobs whose users were told so */
};

/* 0, or -1 if no place or port is to be had. */
int loopback_init(struct loopback *s);
/* Ends the controllers too. */
void loopback_free(struct loopback *s);
void loopback_start(struct loopback *s, int node, const char *program);
void loopback_kill(struct loopback *s, int node);
/* A job that can be submitted: each task takes one CPU. */
void loopback_job(struct loopback *s, int job, enum job_kind kind, uint32_t tasks, double run_s);
void loopback_submit(struct loopback *s, int job, int node);
void loopback_poll(struct loopback *s, int job, int node);
void loopback_cancel(struct loopback *s, int job, int node);
void loopback_run(struct loopback *s, double seconds);
/* The name that the leader's key holds; NULL: none. */
const char *loopback_leader(struct loopback *s, const char *key);
/* Whether a rule is broken; it is printed. */
int loopback_broken(const struct loopback *s);

#endif
