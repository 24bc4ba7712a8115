/*
 * Stand-ins for rented machines, each with its agent. Times are seconds of the stand-ins' clock.
 */
#ifndef PLOVERLOFT_STANDINS_MACHINES_H
#define PLOVERLOFT_STANDINS_MACHINES_H

#include <stdbool.h>
#include <stdint.h>

#include "standins/jobs.h"
#include "wire/wire.h"

#define STANDIN_MACHINES_MAX 16384

struct standin;

enum machine_power {
	POWER_BOOTING,
	POWER_UP,
	POWER_OFF,    /* failed, the cloud still lists it */
	POWER_DELETED /* given back to the cloud, or taken back by it */
};

struct standin_machine {
	char id[ID_MAX];
	char addr[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	const struct machine_type *type; /* in the cloud's catalog */
	bool spot;
	bool faulty;  /* each task that it starts ends with an error */
	bool hanging; /* it neither answers nor goes on */
	enum machine_power power;
	double rented_at;
	double up_at;
	double off_at;
	double notice_until; /* the cloud takes it back then; < 0: no notice */

	/* The agent. */
	uint64_t incarnation;
	uint64_t sequence;	    /* of its newest message */
	uint64_t token;		    /* newest fencing token that it has seen */
	int controller;		    /* that it reports to */
	struct standin_task *tasks; /* owned, the newest first */
	double lease_renewed_at;    /* its tasks are dropped conf->lease_s after this */
	double last_start_at;

	/* Its newest report. */
	double next_report_at;
	bool report_unanswered;
	bool changed; /* since that report */
	uint64_t report_sequence;
	uint64_t report_incarnation;
	double report_sent_at;
	char *report_text; /* owned */

	/* Free, at the last check for idle room. */
	double free_cpus;
	double free_gpus;
	double free_mem_gb;
};

/* Rents a machine, which boots. The pointer stays valid until standin_free. */
struct standin_machine *standin_machine_add(struct standin *standin, const char *type,
					    const char *zone, bool spot);

/* The machine whose agent has this address; NULL if there is none. */
struct standin_machine *standin_machine_at(struct standin *standin, const char *addr);

/* Ends a machine and its tasks. `deleted`: the cloud has taken it back. */
void standin_machine_off(struct standin *standin, struct standin_machine *machine, bool deleted);

/* The machine is back at once under its name, all forgotten. */
void standin_machine_restart(struct standin *standin, struct standin_machine *machine);

/* Frees the machine's tasks, whatever their state. */
void machine_drop_tasks(struct standin_machine *machine);

/* Moves a machine on by `elapsed_s` seconds, to the present time. */
void machine_tick(struct standin *standin, struct standin_machine *machine, double elapsed_s);

#endif
