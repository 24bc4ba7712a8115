/*
 * Settings: the platform's TOML file (toml.cc) and the operators' own file, much like HCL (hcl.c).
 * Fields named `..._s` are seconds, `..._ms` milliseconds; those with `rps` are requests a second.
 */
#ifndef PLOVERLOFT_CONF_H
#define PLOVERLOFT_CONF_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CONF_NAME_MAX 64 /* bytes of a name or an address, with its NUL */
#define CONF_ERR_MAX 256 /* bytes of a message, with its NUL */

/* What an objective is about, as the field `kind` of `facts.objectives` names it. */
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

/* Another controller. */
struct conf_peer {
	char name[CONF_NAME_MAX];
	char zone[CONF_NAME_MAX];
	char addr[CONF_NAME_MAX];
};

/* A team's guaranteed and greatest use; 0: none set. */
struct conf_team {
	char name[CONF_NAME_MAX];
	double cpus, cpus_max;
	double gpus, gpus_max;
};

/* What the platform aims at for a class of jobs. Not stated: 0, and 1 for `times`. */
struct conf_objective {
	enum objective_kind kind;
	char class_name[CONF_NAME_MAX]; /* empty: not stated */
	double within_s;
	double share;
	double times;
	double most;
};

/* Limits of the state service; 0: not stated. */
struct conf_limits {
	double rps;	  /* requests a second */
	double write_rps; /* changes a second */
	double value_kb;  /* KiB of one value */
	int txn_ops;	  /* changes in one transaction */
};

struct conf {
	/* This controller, and where it listens: users and agents in front, controllers behind. */
	char name[CONF_NAME_MAX];
	char zone[CONF_NAME_MAX];
	char front_addr[CONF_NAME_MAX];
	char back_addr[CONF_NAME_MAX];

	/* Addresses that it calls. */
	char cloud_addr[CONF_NAME_MAX];
	char store_addr[CONF_NAME_MAX];

	/* Owned arrays. */
	struct conf_peer *peers;
	size_t peer_count;
	struct conf_team *teams;
	size_t team_count;
	struct conf_objective *objectives;
	size_t objective_count;

	double skew_ms; /* by how much clocks of different machines may differ */

	/* Agents. */
	double report_s;    /* between an agent's reports */
	double lease_s;	    /* for which an agent keeps its tasks without an answer */
	double gang_wait_s; /* for which a started part of a gang waits for the others */
	double gang_peer_s; /* until a part of a gang notices that another has stopped */
	double cancel_s;    /* within which a job whose cancellation was confirmed has ended */

	/* The state service, now, and as announced for a time that is not known. */
	struct conf_limits limits;
	struct conf_limits upcoming_limits;

	/* The cloud. */
	double cloud_rps;
	double inventory_lag_s; /* by which its list of machines may be out of date */

	/* What this process may use. */
	double cores;
	double mem_mb; /* MiB */
	int max_connections;

	/* The operators' own. */
	double idle_patience_s; /* for which an idle machine is kept; < 0: from the objectives */
	double headroom;	/* share of room kept free where money is no aim; < 0: default */
	int hold_format;	/* the records stay readable by the version before */
};

/*
 * Read settings: conf_load() sets all of `conf`, conf_load_operator() then adds the operators' own.
 * 0, or -1 with file, field and reason in `error`. Either way, conf_free() is due in the end.
 */
int conf_load(struct conf *conf, const char *path, char error[CONF_ERR_MAX]);
/* The same for the operators' own settings. */
int conf_load_operator(struct conf *conf, const char *path, char error[CONF_ERR_MAX]);

/* Whether there is an objective of this kind, for any class. */
bool conf_has(const struct conf *conf, enum objective_kind kind);

/* Frees what `conf` owns, not `conf` itself. */
void conf_free(struct conf *conf);

#ifdef __cplusplus
}
#endif

#endif
