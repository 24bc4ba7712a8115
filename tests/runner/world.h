/*
 * The simulated world of one scenario: controllers, the stand-ins of the systems around them, the
 * messages between them and the clients that submit jobs. Time is simulated; all times are seconds
 * since the scenario began. Random numbers come from one generator with a fixed seed, so that a
 * scenario runs the same each time.
 */
#ifndef PLOVERLOFT_RUNNER_WORLD_H
#define PLOVERLOFT_RUNNER_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "behaviour_trace.h"
#include "conf/conf.h"
#include "core/core.h"
#include "core_inspection.h"
#include "standins/standin.h"

#define CAPTURED_REPORTS 8 /* machines whose report can be captured */
#define STATUS_COUNT 600   /* HTTP statuses are below */

/* Hosts are numbered: controllers from 0, then these. Machine N is HOST_MACHINES + N. */
enum host { HOST_ANY = -1, HOST_STATE = 100, HOST_CLOUD, HOST_CLIENTS, HOST_MACHINES = 1000 };

/* What a message is, which says who takes it and what is in it. */
enum message_kind {
	MESSAGE_REQUEST,
	MESSAGE_REPLY,
	MESSAGE_TIMEOUT, /* tells a controller that no reply came to its call */
	MESSAGE_REPORT,	 /* of a machine to a controller */
	MESSAGE_REPORT_REPLY
};

/* A message on its way. It owns its strings; NULL where its kind has none. */
struct message {
	enum message_kind kind;
	double due_at_s;      /* when it arrives */
	int from, to;	      /* hosts */
	uint64_t id;	      /* the controller's call, or the connection that is answered */
	uint64_t incarnation; /* of the controller that waits for the reply */
	char *method, *path;
	char *body;
	size_t body_length; /* bytes; a body between controllers may be binary. 0: up to its NUL */
	int status;	    /* of a reply */
	uint64_t report_number;
	struct message *prev, *next;
};

/* One controller: a core, and the process around it. */
struct controller {
	struct conf conf;
	struct core *core;    /* owned; NULL while the controller is down */
	uint64_t incarnation; /* counts its starts, from 1 */
	bool up;
	double restart_at_s;   /* while it is down */
	double clock_skew_s;   /* added to its wall clock */
	double frozen_until_s; /* until then it neither reads nor sends */
	/* From its next start on it keeps the records readable by the version before. */
	bool keeps_previous_format;
};

/* What happens to the messages that a cut stops. */
enum cut_mode {
	CUT_DROP, /* messages are lost */
	CUT_HOLD  /* messages arrive in order when the cut ends */
};

/* Which messages a cut stops. */
enum cut_scope {
	CUT_BOTH_WAYS,
	CUT_ONE_WAY, /* only what goes from `from` to `to` */
	CUT_REPORTS  /* only the reports of `to`, to any controller */
};

/*
 * An interruption of the network between two hosts. HOST_ANY stands for all: as `to` of a cut both
 * ways, as `from` of the others.
 */
struct network_cut {
	int from, to;
	double until_s;
	enum cut_mode mode;
	enum cut_scope scope;
	struct network_cut *next;
};

/* Shares, from 0 to 1, of the messages that are disturbed at random. */
struct network_faults {
	double lost;
	double repeated;	   /* requests that are carried out twice */
	double slow_state_replies; /* replies of the state service that come late */
	double late_transactions;  /* transactions without a reply, carried out later */
	double duplicate_reports;  /* reports of which a copy comes later */
	double duplicate_delay_s;  /* seconds at most until the copy comes */
};

/* A request from one controller to another that has not been answered yet. */
struct peer_request {
	uint64_t connection;
	uint64_t call; /* of the controller that asks */
	uint64_t incarnation;
	int from;
	UT_hash_handle hh;
};

/* What a client asks for. */
enum client_request_kind {
	CLIENT_SUBMIT,
	CLIENT_POLL,
	CLIENT_CANCEL,
	CLIENT_RAW /* any request; only the status of its answer counts */
};

/* A request of a client that is under way or will be tried again. */
struct client_request {
	enum client_request_kind kind;
	char job[ID_MAX];    /* empty for CLIENT_RAW */
	int controller;	     /* index; HOST_ANY: another one, at random, at each try */
	uint64_t connection; /* 0: none is open */
	bool retry;
	double sent_at_s;
	struct client_request *prev, *next;
};

/* The next controllers that reach a step of an election crash there. */
struct election_crash {
	enum crash_step step;
	int times_left;
	double down_s;
};

/* All of a scenario's state. It owns what it points to, but for the path of the scenario. */
struct world {
	double now_s;
	struct conf conf; /* from which the controllers' own are made */
	struct standin standin;
	struct controller controllers[STANDIN_CONTROLLERS_MAX];
	int controller_count;
	bool started; /* the controllers were started */

	struct message *queue; /* in order of arrival */
	struct network_cut *cuts;
	struct network_faults network_faults;
	struct peer_request *peer_requests; /* hash table, by connection */
	uint64_t last_peer_connection;

	struct client_request *clients;
	uint64_t last_client_connection;
	int answer_counts[STATUS_COUNT]; /* answers to clients, by status */
	int cancel_at_end;		 /* job to cancel when its last task ends; 0: none */

	double state_outage_until_s;
	double quiet_since_s; /* when the last of the scenario's faults ends */
	struct election_crash election_crash;
	char *captured_reports[CAPTURED_REPORTS];

	uint64_t seed;			/* of the controllers */
	unsigned short random_state[3]; /* of the simulation, for erand48 */
	const char *scenario_path;
	int line_number; /* in the scenario */
	int failures;
	struct behaviour_trace *trace; /* NULL: none is kept */
};

/* Sets the defaults of a scenario; `scenario_path` must outlive the world. */
void world_init(struct world *world, const char *scenario_path);
/* Frees what the world holds, not the world itself. */
void world_free(struct world *world);
/* Plays until `until_s`. The first call starts the controllers. */
void world_run(struct world *world, double until_s);
/* Adds a team without limits, owned by the world; the pointer is valid until the next is added. */
struct conf_team *world_add_team(struct world *world, const char *name);
/* The next random number of the simulation, at least 0 and below 1. */
double world_random(struct world *world);
/* Prints a failure with its place in the scenario and counts it. */
void world_fail(struct world *world, const char *format, ...) __attribute__((format(printf, 2, 3)));

#endif
