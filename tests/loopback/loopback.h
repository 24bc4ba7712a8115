/*
 * Harness of the loopback tests: three controllers run as real processes, of the same or of
 * different versions. Over the loopback interface they talk to the stand-ins of the state service,
 * the cloud and the agents, which this process serves. The checker of the rules watches the
 * stand-ins.
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
#define LOOPBACK_MACHINE_CPUS 32		 /* of each machine */
#define LOOPBACK_SERVERS (2 + LOOPBACK_MACHINES) /* state service, cloud, one for each agent */
/* The handle of a request to a stand-in holds the server's index in the bits from this one on. */
#define HANDLE_SERVER_SHIFT 48
#define LOOPBACK_JOBS 256	 /* every job's number is below this */
#define LOOPBACK_STATUSES 600	 /* every HTTP status is below this */
#define LOOPBACK_CONNECTIONS 500 /* a controller's max_connections, unless a test sets more */
/* Lower limits of the state service, which the settings announce for later (facts.state.next). */
#define LOOPBACK_NEXT_VALUE_KB 2.0
#define LOOPBACK_NEXT_TXN_OPS 5
/*
 * Timeout in seconds of a test, or of each wait in a test of several steps. It is generous, so that
 * tests also pass on a slow machine.
 */
#define LOOPBACK_TIMEOUT_S 90.0

struct loopback;

/* The server of one stand-in: of the state service, of the cloud or of one machine's agent. */
struct loopback_server {
	struct loopback *loopback;
	int index; /* in loopback->servers: state service, cloud, then the machines' agents */
	struct net *net;
	char addr[CONF_NAME_MAX]; /* where it listens */
};

/* One controller. It keeps its addresses when its process ends and another is started. */
struct loopback_controller {
	char front[CONF_NAME_MAX]; /* address for users and agents */
	char back[CONF_NAME_MAX];  /* address for other controllers */
	pid_t pid;		   /* of its process; 0: none runs */
};

/* A message that carried a start to an agent: a direct message, or the answer to a report. */
struct loopback_start {
	bool direct;
	uint64_t incarnation, sequence; /* of the report that was answered */
	char *body;			/* owned; NULL: there was none */
};

/* An answer to an agent's newest report that has not reached the agent yet. */
struct loopback_held_answer {
	double deliver_at; /* steady time */
	int status;
	uint64_t incarnation, sequence; /* of the report */
	char *body;			/* owned; NULL: there is none */
};

struct loopback {
	struct standin standin;
	struct conf conf;
	struct net *net; /* event loop that sends the calls of users and agents */
	struct loopback_server servers[LOOPBACK_SERVERS];
	struct loopback_controller controllers[LOOPBACK_CONTROLLERS];
	char dir[CONF_NAME_MAX]; /* directory of the controllers' settings files */
	/* Setting of the controllers. If it is 0, loopback_init sets it to LOOPBACK_CONNECTIONS. */
	int max_connections;
	int answer_counts[LOOPBACK_STATUSES]; /* answers to users and agents, by HTTP status */
	bool known_done[LOOPBACK_JOBS];	      /* by job number: a user saw the job as done */
	/* The newest message with a start that each machine's agent got. */
	struct loopback_start newest_starts[LOOPBACK_MACHINES];
	double answers_held_until; /* steady time; see loopback_hold_answers */
	struct loopback_held_answer held_answers[LOOPBACK_MACHINES];
};

/* --- setup, event loop and teardown: loopback.c --- */

/*
 * Starts the stand-ins; the controllers are started by loopback_start. All fields of `loopback` but
 * max_connections must be zero. Returns 0, or -1 if the settings' directory cannot be made or a
 * server cannot listen.
 */
int loopback_init(struct loopback *loopback);

/* Kills the controllers that run, and frees what `loopback` owns. */
void loopback_free(struct loopback *loopback);

/* Runs the stand-ins and the calls of users and agents for this many seconds of real time. */
void loopback_run(struct loopback *loopback, double seconds);

/*
 * Returns whether the checker found a broken rule. Prints each such rule, and the checker's newest
 * message, to stderr.
 */
bool loopback_rule_broken(const struct loopback *loopback);

/*
 * Returns the controller's name in the value of this leader's key, or NULL if the key does not
 * exist. The string is valid until the next loopback_run.
 */
const char *loopback_leader(const struct loopback *loopback, const char *key);

/* --- copies of starts: start_copies.c --- */

/* Keeps a copy of a direct message to a machine's agent, if it carries a start. */
void loopback_note_direct_start(struct loopback *loopback, int machine, const char *body);

/* Keeps a copy of the answer to a machine's newest report, if it carries a start. */
void loopback_note_answered_start(struct loopback *loopback, int machine, const char *body);

/* Returns a copy of the newest message with a start that the machine's agent got, for the caller to
 * free its body. */
struct loopback_start loopback_capture_start(const struct loopback *loopback, int machine);

/* A copy of the message reaches the machine's agent. Nobody gets the agent's answer. */
void loopback_repeat_start(struct loopback *loopback, int machine,
			   const struct loopback_start *start);

/* --- answers that are held up: held_answers.c --- */

/* For this many seconds, each answer to a report reaches its agent nearly 4 s after the report,
 * which is how long agents wait. */
void loopback_hold_answers(struct loopback *loopback, double seconds);

/* Keeps the answer to the machine's newest report for later, if answers are held. Returns whether
 * it does. */
bool loopback_hold_answer(struct loopback *loopback, int machine, int status, const char *body);

/* Delivers the held answers that are due. */
void loopback_deliver_held(struct loopback *loopback, double now);

/* --- controllers: controllers.c --- */

/* Writes the controller's settings file and starts it as a process of the program at this path. */
void loopback_start(struct loopback *loopback, int controller, const char *program);

/* Ends the controller with SIGKILL, if it runs, and waits for the end of its process. */
void loopback_kill(struct loopback *loopback, int controller);

/* --- calls of users and agents: clients.c --- */

/*
 * Callback `report` of the stand-ins: sends an agent's report to a controller. `context` is the
 * struct loopback.
 */
void loopback_send_report(void *context, int machine, int controller, const char *body);

/*
 * Callback `reply` of loopback->net: handles the end of any call. `context` is the struct loopback.
 */
void loopback_handle_reply(void *context, uint64_t id, int status, const char *body, size_t len);

/*
 * Adds a job, which users can then submit: the id is made of the number, each task takes one CPU
 * and runs for `run_s` seconds.
 */
void loopback_add_job(struct loopback *loopback, int job, enum job_kind kind, uint32_t tasks,
		      double run_s);

/*
 * These send a user's request about a job to one controller. The answer is handled during a later
 * loopback_run.
 */
void loopback_submit(struct loopback *loopback, int job, int controller);
void loopback_poll(struct loopback *loopback, int job, int controller);
void loopback_cancel(struct loopback *loopback, int job, int controller);

/* Returns the job with this number, as its user knows it; NULL if it was not added. */
struct standin_job *loopback_job(struct loopback *loopback, int job);

#endif
