/*
 * Stand-ins for the systems around the controllers, after their published protocol: the state
 * service, the cloud, the machines with their agents. They keep no clock, so that the same code
 * serves simulated time and loopback. The checker of the rules watches what they do.
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

#define STANDIN_WHY_MAX 256 /* bytes of a broken rule's message, with its NUL */

/* How the stand-ins send; the texts are valid during the call only. */
struct standin_callbacks {
	/* Answers the request known by `handle`. */
	void (*reply)(void *context, uint64_t handle, int status, const char *body);
	/* Sends an agent's heartbeat to a controller. */
	void (*report)(void *context, int machine, int controller, const char *body);
};

/* All stand-ins of one deployment. */
struct standin {
	const struct standin_callbacks *callbacks;
	void *context;		 /* of the callbacks */
	const struct conf *conf; /* the caller's, valid until standin_free */
	double now;		 /* seconds; set by the caller before each request, and by ticks */
	double ticked_at;	 /* up to here the tasks' progress is counted */

	struct standin_state_service state_service;
	struct standin_cloud cloud;
	struct standin_machine *machines; /* owned; their places stay */
	int machine_count;
	struct standin_job *jobs; /* owned, by their ids */

	/* The controllers that agents report to. */
	int controller_count;
	char controller_names[STANDIN_CONTROLLERS_MAX][NAME_MAX_LEN];

	/* The checker of the rules. */
	int rules_broken[RULE_COUNT];	  /* how often */
	char broken_why[STANDIN_WHY_MAX]; /* of the newest rule that was broken */
	bool verbose;			  /* broken rules are printed to stderr */
	double next_room_check_at;

	/* Counts since the start. */
	uint64_t starts_total;
	uint64_t starts_after_cancellation; /* after a user was told of it */
	uint64_t probes;		    /* that reached machines */
	uint64_t direct_commands;	    /* the same */
};

/* Empty stand-ins with the limits that the settings state. */
void standin_init(struct standin *standin, const struct standin_callbacks *callbacks, void *context,
		  const struct conf *conf);

/* Frees all that they own, not `standin` itself. */
void standin_free(struct standin *standin);

/* Moves all stand-ins on to the time `now`. */
void standin_tick(struct standin *standin, double now);

#endif
