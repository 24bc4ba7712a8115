/*
 * Settings: the platform's TOML file (toml.cc) and the operators' own file, which resembles HCL
 * (hcl.c). Fields named `..._s` are in seconds, `..._ms` in milliseconds, and `...rps` in requests
 * per second.
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

/* The kinds of service-level objectives, from the field `kind` of `facts.objectives`. */
enum objective_kind {
	OBJECTIVE_WAIT,
	OBJECTIVE_FINISHED,
	OBJECTIVE_DEADLINE,
	OBJECTIVE_GUARANTEE, /* capacity is available at any time */
	OBJECTIVE_USEFUL,    /* asks for low cost, like OBJECTIVE_PRICE */
	OBJECTIVE_MAKESPAN,
	OBJECTIVE_PRICE,
	OBJECTIVE_REPLICA_TIME, /* `up`: share of the time in which a service's replicas run */
	OBJECTIVE_OTHER		/* a kind with any other name */
};

/* Another controller. */
struct conf_peer {
	char name[CONF_NAME_MAX];
	char zone[CONF_NAME_MAX];
	char addr[CONF_NAME_MAX];
};

/* A team's guarantee (`cpus`, `gpus`) and its quota (`cpus_max`, `gpus_max`); 0: not set. */
struct conf_team {
	char name[CONF_NAME_MAX];
	double cpus, cpus_max;
	double gpus, gpus_max;
};

/* A service-level objective for a class of jobs. Fields that are not stated are 0, `times` is 1. */
struct conf_objective {
	enum objective_kind kind;
	char class_name[CONF_NAME_MAX]; /* class of the jobs; empty: not stated */
	double within_s;		/* OBJECTIVE_WAIT: the longest wait */
	double share;			/* `share` of the objective in the settings; only logged */
	double times; /* OBJECTIVE_DEADLINE: factor by which the job's deadline is multiplied */
	double most;  /* `most` of the objective in the settings; only logged */
};

/* Limits of the state service; 0: not stated. */
struct conf_limits {
	double rps;	  /* requests per second */
	double write_rps; /* changes per second */
	double value_kb;  /* size of one value in KiB */
	int txn_ops;	  /* changes in one transaction */
};

/* All settings of a controller. */
struct conf {
	/* This controller, and the addresses on which it listens: for users and agents (front), and
	 * for other controllers (back). */
	char name[CONF_NAME_MAX];
	char zone[CONF_NAME_MAX];
	char front_addr[CONF_NAME_MAX];
	char back_addr[CONF_NAME_MAX];

	/* Addresses of the cloud and of the state service. */
	char cloud_addr[CONF_NAME_MAX];
	char store_addr[CONF_NAME_MAX];

	/* The other controllers, teams and objectives. The arrays are owned. */
	struct conf_peer *peers;
	size_t peer_count;
	struct conf_team *teams;
	size_t team_count;
	struct conf_objective *objectives;
	size_t objective_count;

	double skew_ms; /* maximum difference between the clocks of two machines */

	/* Agents. */
	double report_s;    /* interval between an agent's reports */
	double lease_s;	    /* time for which an agent keeps its tasks without an answer */
	double gang_wait_s; /* time for which a started task of a gang waits for the others */
	double gang_peer_s; /* time until a task of a gang notices that another has stopped */
	double cancel_s;    /* time within which a job ends after its cancellation is confirmed */

	/* Limits of the state service: the limits of today, and the limits announced for an unknown
	 * date. */
	struct conf_limits limits;
	struct conf_limits upcoming_limits;

	/* The cloud. */
	double cloud_rps;
	double inventory_lag_s; /* time by which the cloud's list of machines may be out of date */

	/* Resources that this process may use. */
	double cores;
	double mem_mb; /* MiB */
	int max_connections;

	/* The operators' own settings. */
	double idle_patience_s; /* time for which an idle machine is kept; < 0: not set, and the
				 * objectives decide */
	double headroom;	/* free capacity to keep, as a share of the use; < 0: not set, and
				 * HEADROOM_GUARANTEE_SHARE is kept unless cost is minimised */
	int hold_format;	/* keep the records readable by the previous version */
};

/*
 * Reads the platform's settings and sets all of `conf`. Returns 0, or -1 with the file, the field
 * and the reason in `error`. In both cases the caller frees the settings with conf_free().
 */
int conf_load(struct conf *conf, const char *path, char error[CONF_ERR_MAX]);
/* Reads the operators' own settings into `conf`, which conf_load() has set. Returns 0 or -1, and
 * sets `error`, like conf_load(). */
int conf_load_operator(struct conf *conf, const char *path, char error[CONF_ERR_MAX]);

/* Whether there is an objective of this kind for any class of jobs. */
bool conf_has_objective(const struct conf *conf, enum objective_kind kind);

/* Frees the arrays that `conf` owns, not `conf` itself. */
void conf_free(struct conf *conf);

#ifdef __cplusplus
}
#endif

#endif
