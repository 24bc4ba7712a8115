/*
 * The simulated world of one scenario: the controllers, stand-ins for the systems around them, the
 * messages between them, and the clients with which users submit jobs. Time is simulated; all times
 * are seconds since the scenario began. The simulation draws its random numbers from one generator
 * with a fixed seed, so that a scenario runs the same each time.
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

#define CAPTURED_MACHINES 8 /* machines whose messages can be captured: the first ones */
#define STATUS_COUNT 600    /* HTTP statuses are below this */

/* Numbers of hosts. Controllers are numbered from 0, and machine N is HOST_MACHINES + N. */
enum host { HOST_ANY = -1, HOST_STATE = 100, HOST_CLOUD, HOST_CLIENTS, HOST_MACHINES = 1000 };

/* The kind of a message, which decides how it is delivered and which fields it has. */
enum message_kind {
	MESSAGE_REQUEST,
	MESSAGE_REPLY,
	MESSAGE_TIMEOUT,      /* ends a call of the controller `to` that got no reply */
	MESSAGE_REPORT,	      /* from a machine to a controller */
	MESSAGE_REPORT_REPLY, /* a controller's answer to a report */
	MESSAGE_RESTART	      /* no message: the machine `to` restarts */
};

/* A message in flight. It owns its strings, which are NULL where its kind has none. */
struct message {
	enum message_kind kind;
	double due_at_s;      /* time of arrival */
	int from, to;	      /* hosts */
	uint64_t id;	      /* of the controller's call, or of the connection to answer */
	uint64_t incarnation; /* of the controller's process that made the call */
	char *method, *path;
	char *body;
	size_t body_length; /* bytes, as a body between controllers may be binary; 0: up to NUL */
	int status;	    /* of a reply */
	uint64_t report_number; /* of a report: its sequence number or DUPLICATE_REPORT_NUMBER */
	struct message *prev, *next;
};

/* A copy of a message that carried a start to a machine. */
struct start_message {
	enum message_kind kind; /* MESSAGE_REQUEST: direct message, MESSAGE_REPORT_REPLY: answer */
	uint64_t id;		/* of the connection of the report that was answered */
	char *body;		/* owned; NULL: there is no message */
};

/* A controller: its core and the process around it. */
struct controller {
	struct conf conf;
	struct core *core;    /* owned; NULL while the controller is down */
	uint64_t incarnation; /* number of starts so far */
	bool up;
	double restart_at_s;   /* time of its restart, while it is down */
	double clock_skew_s;   /* offset of its wall clock */
	double frozen_until_s; /* it neither reads nor sends before this time */
	/* From its next start on, it writes records that the previous version can read. */
	bool keeps_previous_format;
};

/* What a cut does with the messages that it stops. */
enum cut_mode {
	CUT_DROP, /* they are lost */
	CUT_HOLD  /* they arrive in order when the cut ends */
};

/* Which messages a cut stops. */
enum cut_scope {
	CUT_BOTH_WAYS,
	CUT_ONE_WAY, /* messages from `from` to `to` only */
	CUT_REPORTS, /* reports from the machine `to` to any controller only */
	CUT_ANSWERS, /* answers to reports of the machine `to` only */
	CUT_COMMANDS /* direct commands and probes to the machine `to` only */
};

/*
 * An interruption of the network between two hosts. HOST_ANY stands for all hosts. It may be `to`
 * with CUT_BOTH_WAYS, and `from` with the other scopes.
 */
struct network_cut {
	int from, to;
	double until_s;
	enum cut_mode mode;
	enum cut_scope scope;
	struct network_cut *next;
};

/* Random faults of messages: shares from 0 to 1, unless the comment says otherwise. */
struct network_faults {
	double lost;		   /* messages that do not arrive */
	double repeated;	   /* requests that are carried out twice */
	double copied_for_restart; /* commands to machines that arrive again after a restart */
	double repeat_range_s;	   /* seconds by which the repetition may exceed its least delay */
	double slow_state_replies; /* replies of the state service that arrive late */
	double late_transactions;  /* transactions that get no reply and are carried out late */
	double duplicate_reports;  /* reports of which a controller also gets a late copy */
	double duplicate_delay_s;  /* seconds by which the copy may exceed its least delay */
};

/* A request from one controller to another that has not been answered yet. */
struct peer_request {
	uint64_t connection;
	uint64_t call;	      /* id of the call, in the controller that made it */
	uint64_t incarnation; /* of the process that made the call */
	int from;	      /* index of the controller that made the call */
	UT_hash_handle hh;
};

/* What a client requests. */
enum client_request_kind {
	CLIENT_SUBMIT,
	CLIENT_POLL,
	CLIENT_CANCEL,
	CLIENT_RAW /* any other request; of its answer, only the status is counted */
};

/* A request of a client that is in flight or will be retried. */
struct client_request {
	enum client_request_kind kind;
	char job[ID_MAX];    /* empty for CLIENT_RAW */
	int controller;	     /* index; HOST_ANY: a random one for each try */
	uint64_t connection; /* of the last try that was sent; 0: none, or it was answered */
	bool retry;	     /* at the next tick of the clients */
	double sent_at_s;    /* time of the last try */
	struct client_request *prev, *next;
};

/* A fault: controllers that reach a step of an election crash there. */
struct election_crash {
	enum crash_step step;
	int times_left; /* crashes still to come */
	double down_s;	/* time until the controller is restarted */
};

/* The state of a scenario. It owns all that its pointers refer to, except the scenario's path. */
struct world {
	double now_s;
	struct conf conf; /* the settings that all controllers share */
	struct standin standin;
	struct controller controllers[STANDIN_CONTROLLERS_MAX];
	int controller_count;
	bool started; /* true once the controllers were started */

	struct message *queue;		/* messages in flight, in order of arrival */
	struct message *restart_copies; /* arrive when their machine has restarted */
	struct network_cut *cuts;
	struct network_faults network_faults;
	struct peer_request *peer_requests; /* unanswered; hash table, by connection */
	uint64_t last_peer_connection;

	struct client_request *client_requests; /* in flight, or to be retried */
	uint64_t last_client_connection;
	int answer_counts[STATUS_COUNT]; /* answers to clients, by status */
	int new_addresses;		 /* addresses that restarted machines have been given */
	int cancel_at_end; /* number of the job to cancel when its last task ends; 0: none */

	size_t longest_report; /* bytes, of the reports that machines have sent */
	double state_outage_until_s;
	double faults_end_s; /* when the last fault so far ends, for the checker of the rules */
	struct election_crash election_crash;
	char *captured_reports[CAPTURED_MACHINES]; /* by machine; NULL: none */
	/* Bodies of the newest direct message that reached a machine, and of the captured one, by
	 * machine; NULL: none. */
	char *newest_commands[CAPTURED_MACHINES], *captured_commands[CAPTURED_MACHINES];
	/* The newest message with a start that reached a machine, and the captured one, by
	 * machine. */
	struct start_message newest_starts[CAPTURED_MACHINES], captured_starts[CAPTURED_MACHINES];

	uint64_t seed;			/* of the controllers' random numbers */
	unsigned short random_state[3]; /* state of the simulation's generator, for erand48 */
	const char *scenario_path;
	int line_number; /* of the line of the scenario that was read last */
	int failures;
	struct behaviour_trace *trace; /* NULL: the run is not traced */
};

/* Initialises the world with default settings. `scenario_path` must outlive it. */
void world_init(struct world *world, const char *scenario_path);
/* Frees all that the world owns, not the world itself. */
void world_free(struct world *world);
/* Simulates until the time `until_s`. The first call starts the controllers. */
void world_run(struct world *world, double until_s);
/* Adds a team without limits. The world owns it; the pointer is valid until the next call. */
struct conf_team *world_add_team(struct world *world, const char *name);
/* Returns the next random number of the simulation, at least 0 and below 1. */
double world_random(struct world *world);
/* Counts a failure and prints it to stderr with the scenario's path, the line and the time. */
void world_fail(struct world *world, const char *format, ...) __attribute__((format(printf, 2, 3)));

#endif
