/*
 * Machines, and the tasks that are bound to them.
 */
#ifndef PLOVERLOFT_MACHINE_H
#define PLOVERLOFT_MACHINE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "constants.h"
#include "core/call.h"
#include "core/report_cache.h"
#include "wire/wire.h"

struct core;
struct job;

/* A place of a task on a machine: on record before its start is sent, ended by proof only. */
struct binding {
	struct machine *machine;
	struct job *job;
	uint32_t task;
	uint64_t attempt;
	uint64_t floor_token;  /* a report proves absence only if its worker saw this token */
	uint64_t sent_session; /* session of the newest start sent this term; 0: none sent */
	uint64_t beat_seq;     /* report whose answer carried the newest start */
	uint64_t listed_at;    /* newest message that lists it */
	double sent_at;
	double stop_at; /* when the newest stop was sent; 0: none */
	double grace_s;
	double running_since;  /* 0: not running */
	uint32_t record_bytes; /* in its chunk's record, at most */
	bool committed, in_flight;
	bool loaded; /* made by an earlier leader */
	bool seen;   /* listed by its worker under this leader */
	bool stopping;
	char switched_to[ID_MAX]; /* the array that its slot serves next; empty: none */
	enum task_state state;
	struct binding *mprev, *mnext; /* on its machine */
	struct binding *jprev, *jnext; /* of its job */
	struct binding *cprev, *cnext; /* in its chunk of the job */
};

/* The listed tasks of a worker that are bound no more: to be stopped or forgotten. */
struct leftover {
	char job[ID_MAX];
	uint32_t task;
	uint64_t attempt;
	bool ended;
};

struct machine {
	char id[ID_MAX];
	char addr[NAME_MAX_LEN];
	char type_name[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	const struct machine_type *type;
	bool spot;
	double cpus, gpus, mem_gb; /* free */
	struct binding *bindings;
	int nbindings;
	int nreplicas; /* of them, tasks of services */

	/* the worker */
	uint64_t session, seq, token;
	uint64_t
	    inc_token;	/* it began anew: older tokens are those of copies from before; 0: never */
	bool restarted; /* it began anew, and awaits a new token */
	bool hears;	/* it has shown that answers or commands reach it in this session */
	int unproven;	/* reports that did not count since one last did */
	int unheeded;	/* reports in a row that ignore a start */
	double deaf_since; /* steady; when `hears` was lost */
	double last_beat;  /* steady; < 0: none this term */
	double last_word;  /* any message this term; < 0: none */
	double reported;   /* any report, be it a copy or a new machine's first; < 0: none */
	double up_at;	   /* its first message this term */
	double asked_at;
	int unanswered;		 /* questions without an answer since its last message */
	double unanswered_since; /* steady; when the first of them was sent */
	bool watched;		 /* in the list of machines with replicas */
	struct machine *watch_prev, *watch_next;
	double notice_s;
	double notice_heard;			/* when notice_s was said */
	struct report_cache_entry *last_report; /* in core->reports */
	struct leftover *left;
	size_t nleft;
	uint64_t unanswered_token; /* newest token of an unanswered command to start */
	int commands_out;
	bool announce_token;   /* it may report to a leader of before: our token brings it here */
	bool commands_due;     /* commands wait to be sent directly */
	bool in_command_queue; /* in the list of those whose turn it is */
	struct machine *queue_prev, *queue_next;

	/* the cloud */
	bool listed;
	bool expected; /* rented or listed: it stands for room even before it reports */
	bool failed;
	uint64_t list_round; /* the newest list that named it */
	int missing;	     /* lists in a row without it */
	double rented_at;
	double idle_since;
	bool draining;
	bool deleting; /* a delete was decided: it gets no tasks any more */
	bool delete_out;
	bool gone; /* the cloud's 200 to its delete came */

	char images[MACHINE_IMAGES][NAME_MAX_LEN];
	int nimages;
	char failed_jobs[MACHINE_FAULT_JOBS][ID_MAX];
	int nfailed_jobs;
	struct job *hold_job; /* the gang that room here is held for */
	uint32_t hold_tasks;
	uint32_t round_at; /* place in the round's list of rooms */
	char turn[ID_MAX]; /* the array whose turn it is on the slot that fell free */
	double turn_until;
	double no_place_until;
	UT_hash_handle hh;
};

/* How long ago machines were heard of, at the last look at all of them. */
struct fleet_words {
	int known;		     /* machines that should be heard of */
	int by_age[FLEET_WORD_AGES]; /* of them, by the age of their last message */
};

/* The machines, and what the leader asks of them. */
struct fleet {
	struct machine *machines;
	struct report_cache reports;
	struct machine *command_queue; /* commands wait for them, longest waiting first */
	struct allowance asks;	       /* questions to workers */
	int directs;		       /* commands and questions under way: each holds a socket */
	struct fleet_words words;
	double next_look;    /* steady; at all machines */
	bool replicas_leave; /* at the last look: some are on machines that are about to go */
};

struct machine *machine_find(struct core *core, const char *id);
struct machine *machine_get(struct core *core, const char *id);
void machine_free(struct core *core, struct machine *machine);
void machine_describe(struct core *core, struct machine *machine, const char *addr,
		      const char *type, const char *zone, bool spot);
bool machine_has_tombstone(struct core *core, const char *id);
/* It is given up, and is to be deleted at once. */
void machine_lost(struct core *core, struct machine *machine);
void machine_gone(struct core *core, struct machine *machine);
void machine_tick(struct core *core);
/* Machines heard of within so many seconds before the last look; an age is rounded up. */
int fleet_words_since(const struct fleet_words *words, double age_s);
void machine_show(struct core *core, struct machine *machine);
bool machine_fresh(const struct core *core, const struct machine *machine);
/* It has a notice, or is to be returned: nothing new goes there. */
bool machine_leaves(const struct machine *machine);
bool machine_usable(const struct core *core, const struct machine *machine);
bool machine_allowed(const struct machine_type *type, const char *zone, bool spot,
		     const struct job_spec *spec);
bool machine_has_image(const struct machine *machine, const char *image);
void machine_note_image(struct machine *machine, const char *image);
void machines_relink(struct core *core);
struct binding *binding_add(struct core *core, struct machine *machine, struct job *job,
			    uint32_t task, uint64_t attempt);
void binding_end(struct core *core, struct binding *binding, enum task_why why);
void binding_drop(struct core *core, struct binding *binding);
void binding_stop(struct core *core, struct binding *binding, double grace_s);
bool binding_unsent(const struct binding *binding);

#endif
