/*
 * Stand-ins for the rented machines, each with its agent, from the rental to the deletion. Times
 * are seconds of the stand-ins' clock.
 */
#ifndef PLOVERLOFT_STANDINS_MACHINES_H
#define PLOVERLOFT_STANDINS_MACHINES_H

#include <stdbool.h>
#include <stdint.h>

#include "standins/jobs.h"
#include "wire/wire.h"

#define STANDIN_MACHINES_MAX 16384 /* machines that one scenario can rent in all */

struct standin;

enum machine_power {
	POWER_BOOTING, /* rented, its agent does not run yet */
	POWER_UP,
	POWER_OFF,    /* it failed; the cloud still lists it */
	POWER_DELETED /* deleted by a controller, or reclaimed by the cloud */
};

struct standin_machine {
	char id[ID_MAX];
	char addr[NAME_MAX_LEN]; /* where its agent takes requests */
	char zone[NAME_MAX_LEN];
	const struct machine_type *type; /* in the catalog of the cloud's stand-in */
	bool spot;			 /* the cloud may reclaim it */
	bool faulty;			 /* each task that it starts exits with an error */
	bool hanging; /* its agent does not answer, and its tasks make no progress */
	enum machine_power power;
	double rented_at;
	double up_at;	     /* when its boot ends */
	double off_at;	     /* when it failed, was deleted or was reclaimed */
	double notice_until; /* when the cloud reclaims it, after a notice; < 0: no notice */

	/* The agent. */
	uint64_t incarnation;
	uint64_t sequence;	    /* of the agent's newest message */
	uint64_t token;		    /* newest fencing token that the agent has seen */
	int controller;		    /* index of the controller that the next report goes to */
	struct standin_task *tasks; /* owned, the newest first */
	double lease_renewed_at;    /* the agent's lease ends conf->lease_s later */
	double last_start_at;	    /* when a task last started */

	/* Its reports. The fields report_... are those of the newest one. */
	double next_report_at;
	bool report_unanswered;	   /* the agent waits for the answer */
	bool changed_since_report; /* the machine has changed since the newest report */
	uint64_t report_sequence;
	uint64_t report_incarnation;
	double report_sent_at;
	char *report_text; /* owned */

	/* Free capacity, as of the last check of the rule idle_room. */
	double free_cpus;
	double free_gpus;
	double free_mem_gb;
};

/*
 * Rents a machine, which then boots. `type` must be in the catalog. The pointer stays valid until
 * standin_free.
 */
struct standin_machine *standin_machine_add(struct standin *standin, const char *type,
					    const char *zone, bool spot);

/* The machine whose agent has this address, or NULL. */
struct standin_machine *standin_machine_find_by_addr(struct standin *standin, const char *addr);

/*
 * Powers a machine off, and frees its tasks. `deleted`: the cloud no longer has it; else it failed
 * and stays listed.
 */
void standin_machine_power_off(struct standin *standin, struct standin_machine *machine,
			       bool deleted);

/*
 * Restarts a machine under the same id. Its tasks are lost, and its agent begins again with the
 * first incarnation and without a fencing token.
 */
void standin_machine_restart(struct standin *standin, struct standin_machine *machine);

/* Frees the machine's tasks, whatever their state. */
void machine_free_tasks(struct standin_machine *machine);

/* Advances a machine by the `elapsed_s` seconds up to standin->now. */
void machine_tick(struct standin *standin, struct standin_machine *machine, double elapsed_s);

#endif
