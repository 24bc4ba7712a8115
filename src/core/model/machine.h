/* Machines: what the cloud, the records and the agents say of them, and their free room. */
#ifndef PLOVERLOFT_MACHINE_H
#define PLOVERLOFT_MACHINE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "constants.h"
#include "wire/wire.h"

struct binding;
struct core;
struct job;
struct report_cache_entry;

/* A task that the agent lists though it is bound no more: to be stopped or forgotten. */
struct unbound_task {
	char job[ID_MAX];
	uint32_t task;
	uint64_t attempt;
	bool ended;
};

/*
 * The agent, which is the agent process on the machine, by its own messages. Times are
 * steady seconds; < 0: never in this term.
 */
struct machine_agent {
	uint64_t incarnation; /* rises each time that the agent's lease expired or it began anew */
	uint64_t sequence;    /* of its newest message within the incarnation */
	uint64_t token;	      /* the newest fencing token that it has shown */
	uint64_t
	    min_token;	   /* lower ones are those of copies from before a restart; 0: any counts */
	bool restarted;	   /* it began anew, and awaits a new token */
	bool reachable;	   /* false: an outbound partition, our messages do not reach it */
	int stale_reports; /* reports that did not count since one last did */
	int ignored_starts; /* reports in a row that lack a start sent with an earlier answer */
	double unreachable_since;
	double last_heartbeat_at; /* the newest report that it sent by itself */
	double last_message_at;	  /* the newest message, also answers to probes and commands */
	double last_report_at;	  /* any report, be it a copy or a new machine's first */
	double up_at;		  /* its first message this term */
	double notice_s;	  /* preemption notice: remaining seconds when it came; < 0: none */
	double notice_received_at;
	struct report_cache_entry *cached_report; /* in agents.report_cache */
	struct unbound_task *leftovers;		  /* listed, but bound no more */
	size_t leftover_count;
};

/* Probes: status requests that the leader sends to the agent. */
struct machine_probes {
	double sent_at;		 /* steady; the newest */
	int unanswered;		 /* in a row since the agent's last message */
	double unanswered_since; /* steady; when the first of them was sent */
	bool supervised;	 /* in the list of machines with replicas */
	struct machine *supervised_prev, *supervised_next;
};

/* Commands sent directly, not with the answer to a report. */
struct machine_commands {
	uint64_t unanswered_token; /* newest token of an unanswered command to start */
	int in_flight;
	bool announce_token; /* it may report to an earlier leader: our token brings it here */
	bool due;	     /* commands wait to be sent */
	bool queued;	     /* in agents.command_queue */
	struct machine *queue_prev, *queue_next;
};

/* What the cloud says of the machine, and what was decided about keeping it. */
struct machine_cloud {
	bool listed;		   /* an inventory has named it */
	bool expected;		   /* granted or listed: it stands for room before it reports */
	bool failed;		   /* the cloud says so */
	uint64_t inventory_number; /* the newest inventory that named it */
	int missed_inventories;	   /* in a row, without it */
	double rented_at;	   /* steady; when it was requested, as far as is known */
	double idle_since;	   /* steady */
	bool draining;		   /* it gets no new tasks, and is deleted once it is empty */
	bool deleting;		   /* a delete was decided: it gets no tasks any more */
	bool delete_in_flight;
	bool deleted; /* the cloud's 200 to its delete came */
};

/* What placement remembers of the machine. */
struct machine_scheduling {
	char images[MACHINE_IMAGES_MAX][NAME_MAX_LEN]; /* most recently used first */
	int image_count;
	char failed_jobs[MACHINE_FAILED_JOBS_MAX][ID_MAX];
	int failed_job_count;
	struct job *reserved_for;    /* the job that room here is reserved for; NULL: none */
	uint32_t reserved_tasks;     /* room for so many of its tasks */
	uint32_t room_index;	     /* place in the scheduling cycle's list of rooms */
	char freed_slot_job[ID_MAX]; /* the array that the slot that fell free belongs to */
	double freed_slot_until;     /* steady */
	double backoff_until;	     /* steady; a start was refused: none before */
};

struct machine {
	char id[ID_MAX];
	char addr[NAME_MAX_LEN];
	char type_name[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	const struct machine_type *type; /* NULL: not in the catalog */
	bool spot;
	double free_cpus, free_gpus, free_mem_gb;
	struct binding *bindings;
	int binding_count;
	int replica_count; /* of the bindings, tasks of services */
	struct machine_agent agent;
	struct machine_probes probes;
	struct machine_commands commands;
	struct machine_cloud cloud;
	struct machine_scheduling scheduling;
	UT_hash_handle hh;
};

/* All machines; `next` is a second cursor, so that `machine` may be freed. */
#define MACHINES_FOR_EACH(core, machine, next) HASH_ITER (hh, (core)->machines, machine, next)

/* How many machines are known, those about to be deleted included. */
unsigned machine_count(const struct core *core);
/* NULL if there is none of this id. */
struct machine *machine_find(const struct core *core, const char *id);
/* A machine that is added has only its name. */
struct machine *machine_find_or_add(struct core *core, const char *id);
/* All of its bindings must have been freed. */
void machine_free(struct core *core, struct machine *machine);
/* An empty address replaces none. Zone and kind are kept if the machine has the type already, and
 * the catalog has it too. */
void machine_set_identity(struct core *core, struct machine *machine, const char *addr,
			  const char *type, const char *zone, bool spot);
/* The cloud answered 200 to its delete: all that was bound to it has ended. */
void machine_note_deleted(struct core *core, struct machine *machine);
/* The catalog was replaced: all machines refer to its types from now on. */
void machines_apply_catalog(const struct core *core);

/* A message of its agent came lately, be it a report or an answer. */
bool machine_is_responsive(const struct core *core, const struct machine *machine);
/* It has a preemption notice, or is drained, and no delete was decided yet. */
bool machine_is_leaving(const struct machine *machine);
/* Tasks may be placed on it now. */
bool machine_is_usable(const struct core *core, const struct machine *machine);
/* Whether the job may run on machines of this type, zone and kind, whatever their size. */
bool machine_type_allowed(const struct machine_type *type, const char *zone, bool spot,
			  const struct job_spec *spec);

/* Whether the image is probably in the machine's cache. */
bool machine_has_image(const struct machine *machine, const char *image);
/* The machine fetched the image, so it is probably in its cache. */
void machine_note_image(struct machine *machine, const char *image);

/* Puts the binding in the list of its machine, and takes its room. For binding.c alone. */
void machine_add_binding(struct core *core, struct binding *binding);
/* Takes back machine_add_binding; a machine without bindings is idle from now on. */
void machine_remove_binding(struct core *core, struct binding *binding);

#endif
