/*
 * Test bed of the review's cases: real controllers as processes on loopback addresses, beside the
 * project's stand-ins of the state service, the cloud and the agents, which this process serves. A
 * case can hold messages back on their way. Everything that matters is written to a record.
 */
#ifndef REVIEW_BED_H
#define REVIEW_BED_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include "conf/conf.h"
#include "net/net.h"
#include "standins/standin.h"

#define BED_CONTROLLERS 3
#define BED_MACHINES_MAX 16
#define BED_SERVERS_MAX (2 + BED_MACHINES_MAX)
#define BED_ADDRESS_BYTES 64
#define BED_JOBS_MAX 512 /* every job's number is below this */

struct bed;

/* A message that is held back on its way to a stand-in. */
struct bed_held {
	int server;	     /* index of the server; -1: the answer to a report */
	uint64_t connection; /* connection of the request */
	uint64_t call;	     /* id of the report's call */
	int status;	     /* of the answer to a report */
	char method[8];
	char *path, *body; /* owned */
	double due_at;	   /* steady seconds */
	struct bed_held *prev, *next;
};

/* A server of this process: the state service (0), the cloud (1), an agent (2 and on). */
struct bed_server {
	struct bed *bed;
	int index;
	struct net *net;
	char addr[BED_ADDRESS_BYTES];
};

struct bed_controller {
	char front[BED_ADDRESS_BYTES];
	char back[BED_ADDRESS_BYTES];
	pid_t pid; /* 0: none runs */
};

struct bed {
	struct standin standin;
	struct conf conf;
	struct conf_team team;
	struct net *net; /* calls of users and agents */
	struct bed_server servers[BED_SERVERS_MAX];
	struct bed_controller controllers[BED_CONTROLLERS];
	int machine_count;
	double started_at;
	const char *program; /* with one argument before the settings file: "--config" */
	char dir[64];
	FILE *record;
	struct bed_held *held;

	/* Hooks of a case; NULL: none. Seconds for which the message is held, 0: it passes at once,
	 * < 0: it is lost. */
	double (*hold_request)(struct bed *bed, int server, const char *path, const char *body);
	double (*hold_report_answer)(struct bed *bed, int machine, int status, const char *body);
	bool (*report_is_lost)(struct bed *bed, int machine);

	/* Answers to users, by job number. */
	int submit_status[BED_JOBS_MAX];
	int cancel_status[BED_JOBS_MAX];
	double report_answered_at[BED_MACHINES_MAX]; /* last answer 200 to a report */
};

/*
 * Sets the settings of a small deployment and starts the stand-ins, with so many machines of 16
 * CPUs and 64 GB. Returns 0, or -1 if the case cannot run.
 */
int bed_init(struct bed *bed, const char *record_path, int machines);
/* Starts all controllers. */
void bed_start_controllers(struct bed *bed);
/* Ends a controller's process with SIGKILL; starts it again with the same settings. */
void bed_kill(struct bed *bed, int controller);
void bed_start(struct bed *bed, int controller);
/* Delivers a request to an agent once more. Nobody waits for the answer. */
void bed_repeat(struct bed *bed, int machine, const char *path, const char *body);
/* Ends everything. */
void bed_free(struct bed *bed);

/* Runs the stand-ins and delivers messages for so many seconds. */
void bed_run(struct bed *bed, double seconds);
/* Seconds since the start. */
double bed_now(const struct bed *bed);
/* Writes a line to the record. */
void bed_note(struct bed *bed, const char *format, ...) __attribute__((format(printf, 2, 3)));

/* Adds a job; each task takes so many CPUs and as many GB, and runs for run_s seconds. */
struct standin_job *bed_add_job(struct bed *bed, int number, enum job_kind kind, uint32_t tasks,
				double cpus, double run_s);
struct standin_job *bed_job(struct bed *bed, int number);
/* Number of the job's tasks that run on machines. */
uint32_t bed_running(struct bed *bed, int number);
/* Users' requests. The answer comes during a later bed_run. */
void bed_submit(struct bed *bed, int number, int controller);
void bed_cancel(struct bed *bed, int number, int controller);
/* Repeats the request as users do until it is answered, for up to timeout_s; true if answered. */
bool bed_submit_until(struct bed *bed, int number, double timeout_s);
bool bed_cancel_until(struct bed *bed, int number, double timeout_s);
/* Waits until so many tasks of the job run. */
bool bed_wait_running(struct bed *bed, int number, uint32_t tasks, double timeout_s);
/* Writes the tasks on all machines to the record. */
void bed_note_tasks(struct bed *bed, const char *title);
/* True if TROUBLE=0 is set: the case runs without its disruption. */
bool bed_without_trouble(void);

#endif
