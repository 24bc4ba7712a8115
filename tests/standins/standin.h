/*
 * Stand-ins for the systems around the controllers, which follow the published protocol: the state
 * service, the cloud, and the machines with their agents. They have no clock of their own, so the
 * same code works in simulated time and over loopback. The checker of the rules watches them.
 */
#ifndef PLOVERLOFT_STANDINS_STANDIN_H
#define PLOVERLOFT_STANDINS_STANDIN_H

#include <stdbool.h>
#include <stdint.h>

#include "conf/conf.h"
#include "standins/agents.h"
#include "standins/cloud.h"
#include "standins/jobs.h"
#include "standins/machines.h"
#include "standins/rules.h"
#include "standins/state_service.h"

#define STANDIN_RULE_MESSAGE_MAX 256 /* bytes of a message of the checker, with its NUL */

/* How the stand-ins send messages. The texts are valid only during the call. */
struct standin_callbacks {
	/* Sends the answer to the request with this handle; `status` is the HTTP status. */
	void (*reply)(void *context, uint64_t handle, int status, const char *body);
	/* Sends a report of a machine's agent to a controller; both are indices. */
	void (*report)(void *context, int machine, int controller, const char *body);
};

/* All stand-ins of one deployment. */
struct standin {
	const struct standin_callbacks *callbacks;
	void *context;		 /* first argument of the callbacks */
	const struct conf *conf; /* the caller's, valid until standin_free */
	double now; /* seconds; set by the caller before each request, and by standin_tick */
	double last_tick_at; /* time of the last tick, up to which tasks have progressed */

	struct standin_state_service state_service;
	struct standin_cloud cloud;
	struct standin_machine *machines; /* owned; STANDIN_MACHINES_MAX that are not moved */
	int machine_count;
	struct standin_job *jobs; /* owned; hash table by id */

	/* The controllers that agents send reports to. */
	int controller_count;
	char controller_names[STANDIN_CONTROLLERS_MAX][NAME_MAX_LEN];

	/* The checker of the rules. */
	int rules_broken[RULE_COUNT]; /* how often each rule was broken */
	/* The checker's newest message: the name of the rule that was last broken for the first
	 * time, a colon, and what broke it. */
	char broken_rule_message[STANDIN_RULE_MESSAGE_MAX];
	bool verbose;			/* messages on broken rules are also printed to stderr */
	double next_idle_room_check_at; /* next check of the rule idle_room */

	/* Counts since the start. */
	uint64_t starts_total;
	uint64_t starts_after_cancellation; /* after the job was shown as cancelled */
	uint64_t probes;		    /* that reached machines */
	uint64_t direct_commands;	    /* requests with them that reached machines */
};

/* Initialises stand-ins without machines or jobs. The settings give the state service's limits. */
void standin_init(struct standin *standin, const struct standin_callbacks *callbacks, void *context,
		  const struct conf *conf);

/* Frees all that the stand-ins own, not `standin` itself. */
void standin_free(struct standin *standin);

/* Advances all stand-ins to the time `now`. */
void standin_tick(struct standin *standin, double now);

#endif
