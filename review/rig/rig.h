/*
 * The rig of the second review's cases: three controllers as real processes, and beside them, in
 * this process, the project's stand-ins of the state service, the cloud and the agents. Each
 * controller has addresses of its own for the state service and the cloud, and reaches the other
 * controllers through a relay. So one controller alone can be cut off from the state service or
 * from the other controllers, and the record says which controller sent a request.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include "conf/conf.h"
#include "net/net.h"
#include "standins/standin.h"

#define RIG_CONTROLLERS 3
#define RIG_MACHINES_MAX 4
#define RIG_SERVERS (2 * RIG_CONTROLLERS + RIG_MACHINES_MAX)
#define RIG_ADDRESS 32
#define RIG_PATH 256
#define RIG_CONNECTIONS 600
#define RIG_USER_CALLS 4096 /* newest calls of users whose times are kept */

/* What one deployment sets. The numbers that the stand-ins need too are in struct conf. */
struct rig_site {
	const char *name;
	const char *objectives; /* TOML */
	double cloud_rps;
	double cores;
	int mem_mb;
	int max_connections;
};

/* A request that arrived while its controller is cut off from the state service. */
struct rig_held {
	uint64_t handle;
	char method[16];
	char *path, *body;
	struct rig_held *next;
};

struct rig;

struct rig_server {
	struct rig *rig;
	int index;
	struct net *net;
	char addr[RIG_ADDRESS];
};

struct rig_controller {
	char front[RIG_ADDRESS], back[RIG_ADDRESS];
	pid_t pid;
	bool refused_by_state;
	bool cut_from_state; /* its requests to the state service are held until the cut ends */
	struct rig_held *held;
	int ready_answers, ready_silent; /* answered probes of /ready, and unanswered ones */
};

struct rig {
	struct standin standin;
	struct conf conf;
	struct rig_site site;
	struct net *net; /* calls of users and agents */
	struct rig_server servers[RIG_SERVERS];
	struct rig_controller controllers[RIG_CONTROLLERS];
	struct relay *relay;
	const char *program;
	char dir[RIG_PATH];
	FILE *record;
	double started_at;
	uint64_t next_user_call;
	double user_call_sent_at[RIG_USER_CALLS];
	/* Deletes of machines that the cloud has carried out: who asked, and what ran there. */
	void (*on_delete)(struct rig *rig, int controller, const char *body);
	void (*on_state_request)(struct rig *rig, int controller, const char *method,
				 const char *path);
	/* Direct commands to a machine, before it carries them out. */
	void (*on_direct)(struct rig *rig, int machine, const char *body);
	uint64_t reports_refused; /* with another status than 200 and 421 */
	size_t longest_report;
};

/* Sets up the stand-ins, with machines that are up. `rig` is zero but for conf and site. */
void rig_init(struct rig *rig, const char *program, const char *record_path);
void rig_free(struct rig *rig);
/* Adds a machine type with one zone. Before rig_add_machine. */
void rig_add_type(struct rig *rig, const char *name, double cpus, double mem_gb, double price,
		  double boot_s, int capacity);
struct standin_machine *rig_add_machine(struct rig *rig, const char *type);
/* A copy of direct commands arrives at the machine; nobody gets the answer. */
void rig_deliver_copy(struct rig *rig, int machine, const char *body);
/* Seconds since the start. */
double rig_time(const struct rig *rig);
/* Writes one line to the record. */
void rig_note(struct rig *rig, const char *format, ...) __attribute__((format(printf, 2, 3)));

void rig_run(struct rig *rig, double seconds);
void rig_start(struct rig *rig, int controller);
void rig_kill(struct rig *rig, int controller);
/* The index of the controller that the leader's key names; -1: none. */
int rig_leader(const struct rig *rig);
/* Runs until there is a leader other than `other`, for `seconds` at most. Returns it or -1. */
int rig_wait_leader(struct rig *rig, int other, double seconds);
/* The controller's connections to the state service are reset, and new ones refused; or the end of
 * that. */
void rig_refuse_state(struct rig *rig, int controller, bool refused);
/* Cuts the controller off from the state service, from the others, or ends that. */
void rig_cut(struct rig *rig, int controller, bool from_state, bool from_peers);

struct standin_job *rig_add_job(struct rig *rig, int number, enum job_kind kind, uint32_t tasks,
				double cpus, double mem_gb, double run_s);
void rig_submit(struct rig *rig, int number, int controller);
/* Asks for /ready; the answer is counted in ready_answers of the controller. */
void rig_probe(struct rig *rig, int controller);
void rig_poll(struct rig *rig, int number, int controller);
void rig_cancel(struct rig *rig, int number, int controller);
/* Submits until the job is accepted, at any controller but `except`; false: not within 60 s. */
bool rig_submit_until_accepted(struct rig *rig, int number, int except);
/* Tasks of the job that run now. */
int rig_running(const struct standin_job *job);
/* Prints the broken rules to the record. Returns whether one was broken. */
bool rig_rules_broken(struct rig *rig);

/* --- relay.c: byte streams between the controllers --- */

struct relay *relay_new(int links);
void relay_free(struct relay *relay);
/* Opens a link and writes its address; `to` is where it leads. */
void relay_open(struct relay *relay, int link, char addr[RIG_ADDRESS], const char *to);
/* A frozen link passes nothing on and answers no connection. */
void relay_freeze(struct relay *relay, int link, bool frozen);
void relay_poll(struct relay *relay);
/* Listens on a free port of the loopback interface; returns the socket. */
int listen_anywhere(char addr[RIG_ADDRESS]);

#endif
