/* Settings: the platform's TOML file and the operators' own HCL file. */
#ifndef PLOVERLOFT_CONF_H
#define PLOVERLOFT_CONF_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CONF_NAME_MAX 64
#define CONF_ERR_MAX 256

enum objective_kind {
	OBJECTIVE_WAIT,
	OBJECTIVE_FINISHED,
	OBJECTIVE_DEADLINE,
	OBJECTIVE_GUARANTEE,
	OBJECTIVE_USEFUL,
	OBJECTIVE_MAKESPAN,
	OBJECTIVE_PRICE,
	OBJECTIVE_REPLICA_TIME, /* share of replica time served */
	OBJECTIVE_OTHER
};

struct conf_peer {
	char name[CONF_NAME_MAX];
	char zone[CONF_NAME_MAX];
	char addr[CONF_NAME_MAX];
};

struct conf_team {
	char name[CONF_NAME_MAX];
	double cpus, cpus_max, gpus, gpus_max; /* CPUs and GPUs; 0: none set */
};

struct conf_objective {
	enum objective_kind kind;
	char class_name[CONF_NAME_MAX];
	double within_s, share, times, most;
};

/* Limits of the state service; 0: not stated. */
struct conf_limits {
	double rps, write_rps; /* requests and changes a second */
	double value_kb;       /* KiB of one value */
	int txn_ops;	       /* changes in one transaction */
};

struct conf {
	char name[CONF_NAME_MAX];
	char zone[CONF_NAME_MAX];
	char front[CONF_NAME_MAX];
	char back[CONF_NAME_MAX];
	char cloud[CONF_NAME_MAX];
	char state[CONF_NAME_MAX];
	struct conf_peer *peers;
	size_t npeers;
	struct conf_team *teams;
	size_t nteams;
	struct conf_objective *objectives;
	size_t nobjectives;
	double skew_ms;
	double report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
	struct conf_limits limits;
	struct conf_limits next_limits; /* to come at some time */
	double cloud_rps, list_lag_s;
	double cores, mem_mb;
	int max_connections;
	/* operators' own */
	double idle_patience_s; /* seconds an idle machine is kept; < 0: from the objectives */
	double headroom;	/* share of room kept free where money is no aim; < 0: default */
	int hold_format;	/* the records stay readable by the version before */
};

/* 0, or -1 with the file, field and reason in `err`. */
int conf_load(struct conf *c, const char *path, char err[CONF_ERR_MAX]);
int conf_load_operator(struct conf *c, const char *path, char err[CONF_ERR_MAX]);
int conf_has(const struct conf *c, enum objective_kind kind);
void conf_free(struct conf *c);

#ifdef __cplusplus
}
#endif

#endif
