/*
 * Machines: what the cloud, the records and the agents say of them, their free capacity, and
 * whether tasks may be placed on them. Only the leader keeps machines.
 */
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

/* An attempt that the agent lists although no binding places it on the machine. The agent is to
 * stop it, or to forget it if it has ended. */
struct unbound_task {
	char job[ID_MAX];
	uint32_t task;	  /* index in the job */
	uint64_t attempt; /* number of the attempt; see struct binding */
	bool ended;	  /* the attempt has exited, and the agent may be told to forget it */
};

/*
 * The agent on the machine, as its messages show it: its heartbeats, and its answers to probes and
 * direct commands. reports.h says which messages are applied and which heartbeats are stale. Times
 * are seconds on the steady clock, as core->now. Those named `last_..._at` are negative while there
 * was no such message in this term, or since the agent's restart.
 */
struct machine_agent {
	/* The incarnation in the newest message that was applied; 0: no message was applied in this
	 * term, or since the agent's restart. It rises when the agent's lease expires or the agent
	 * is restarted; only a restart within a fraction of a second may lower it. */
	uint64_t incarnation;
	uint64_t sequence; /* sequence number of the newest message that was applied */
	uint64_t token;	   /* newest fencing token that the agent has shown */
	/* Heartbeats with a lower fencing token may be copies from before the agent's restart, and
	 * are stale; 0: it was not restarted in this term. */
	uint64_t min_token;
	/* The agent was restarted: no report of it is applied until a new fencing token is held. */
	bool restarted;
	/* False: our messages do not reach the agent (an outbound partition), or it was restarted
	 * and no message was applied since. */
	bool reachable;
	int stale_reports; /* stale heartbeats since the agent was last found reachable */
	/* Consecutive heartbeats that lack a task whose start was sent in the answer to an earlier
	 * heartbeat. */
	int ignored_starts;
	/* When the agent last became unreachable, or its last restart was detected; 0: neither. */
	double unreachable_since;
	double last_heartbeat_at; /* when the newest heartbeat was applied */
	double last_message_at;	  /* when the newest message of any kind was applied */
	double last_report_at;	  /* when the last heartbeat came, even a stale one */
	/* When the first message in this term was applied, or the first one since the agent's
	 * restart; until that one, when the token that followed the restart was held; 0: none of
	 * these. */
	double up_at;
	/* The preemption notice in the newest message that was applied: seconds until the cloud
	 * takes the machine back, counted from `notice_received_at`; < 0: no notice. */
	double notice_s;
	double notice_received_at;		  /* when `notice_s` was last set; 0: never */
	struct report_cache_entry *cached_report; /* owned by agents.report_cache; NULL: none */
	struct unbound_task *unbound_tasks;	  /* owned; from the newest report applied */
	size_t unbound_task_count;
};

/* The probes of the machine: requests for a report that the leader sends to its agent. */
struct machine_probes {
	double sent_at;		 /* steady seconds; when the newest probe was sent */
	int unanswered;		 /* probes that timed out since the agent's last message */
	double unanswered_since; /* steady seconds; when the first of those was sent */
	bool supervised;	 /* in the list of machines with replicas that are supervised */
	struct machine *supervised_prev, *supervised_next; /* in that list */
};

/* Commands that are sent to the agent directly, not with the answer to a heartbeat. */
struct machine_commands {
	/* Fencing token of the newest message with a start that was not answered; 0: there is none.
	 * That start may still arrive until the agent has shown a newer token. */
	uint64_t unanswered_token;
	int in_flight; /* messages that wait for their answer */
	/* A message is to be sent even without commands: the agent may still report to an earlier
	 * leader, and our fencing token makes it report here. */
	bool announce_token;
	bool due;    /* commands may have become due since the last message was sent */
	bool queued; /* in agents.command_queue */
	struct machine *queue_prev, *queue_next; /* in that queue */
};

/* What the cloud says of the machine, and what the leader has decided about keeping it. */
struct machine_cloud {
	bool listed; /* an inventory has named it */
	/* The cloud has granted or listed it: it counts as capacity even before its agent has sent
	 * a message. */
	bool expected;
	bool failed;		   /* an inventory says that it has failed */
	uint64_t inventory_number; /* number of the newest inventory that named it */
	int missed_inventories;	   /* complete inventories since that one, which lacked it */
	/* Steady seconds; when it was rented, as far as is known, or its agent was restarted. The
	 * time allowed for its boot runs from then. */
	double rented_at;
	double idle_since; /* steady seconds; when its last binding ended or it came up */
	bool draining;	   /* it gets no new tasks, and is deleted once it has no bindings */
	bool deleting;	   /* it is to be deleted: no task is placed or started on it any more */
	bool delete_in_flight; /* the request to delete it is not answered yet */
	bool deleted;	       /* the cloud has answered 200 to the request to delete it */
};

/* What the scheduler keeps of the machine. Times are seconds on the steady clock, as core->now. */
struct machine_scheduling {
	/* Images that its cache probably holds, most recently used first. */
	char images[MACHINE_IMAGES_MAX][NAME_MAX_LEN];
	int image_count;
	/* Ids of different jobs that failed here since a task last succeeded here. */
	char failed_jobs[MACHINE_FAILED_JOBS_MAX][ID_MAX];
	int failed_job_count;
	struct job *reserved_for; /* the job that capacity is reserved for here; NULL: none */
	uint32_t reserved_tasks;  /* tasks of that job for which it is reserved */
	uint32_t room_index;	  /* index in the scheduling cycle's rooms, if it is usable */
	/* Id of the array that gets the slot that was last freed here; empty: no slot is kept. */
	char freed_slot_job[ID_MAX];
	double freed_slot_until; /* end of the time that the slot is kept for it */
	double backoff_until;	 /* end of the backoff after a refused start: no placement before */
};

/* A rented machine, or one that is named only by a record or by a late copy of a report. */
struct machine {
	char id[ID_MAX];
	char addr[NAME_MAX_LEN];	 /* address of its agent; empty: not known yet */
	char type_name[NAME_MAX_LEN];	 /* empty: not known yet */
	char zone[NAME_MAX_LEN];	 /* empty: not known yet */
	const struct machine_type *type; /* in the catalog; NULL: not there or not known yet */
	bool spot;			 /* a spot machine, which the cloud may take back */
	/* What its type has and its bindings do not use, in CPUs, GPUs and GB. Negative if more is
	 * bound, as while the type is not known. */
	double free_cpus, free_gpus, free_mem_gb;
	struct binding *bindings; /* list, by machine_prev and machine_next */
	int binding_count;	  /* length of `bindings` */
	int replica_count;	  /* bindings that are tasks of services */
	struct machine_agent agent;
	struct machine_probes probes;
	struct machine_commands commands;
	struct machine_cloud cloud;
	struct machine_scheduling scheduling;
	UT_hash_handle hh; /* in core->machines, by id */
};

/* Iterates over all machines. `next` is a second cursor, so that the body may free `machine`. */
#define MACHINES_FOR_EACH(core, machine, next) HASH_ITER (hh, (core)->machines, machine, next)

/* The number of known machines, including those that are being deleted. */
unsigned machine_count(const struct core *core);
/* The machine with this id; NULL if there is none. */
struct machine *machine_find(const struct core *core, const char *id);
/* The machine with this id. If there is none, it is added, and nothing but its id is known. */
struct machine *machine_find_or_add(struct core *core, const char *id);
/* Removes the machine and frees it. All of its bindings must have been freed. */
void machine_free(struct core *core, struct machine *machine);
/*
 * Sets what a report, an inventory or a grant says of the machine. An empty address does not
 * replace a known one. Once the machine has a type of the catalog, type, zone and `spot` are set
 * only if the type differs.
 */
void machine_set_identity(struct core *core, struct machine *machine, const char *addr,
			  const char *type, const char *zone, bool spot);
/* Handles the cloud's answer 200 to the request to delete the machine: ends all of its bindings. */
void machine_handle_deleted(struct core *core, struct machine *machine);
/* Points all machines to the types of a new catalog, and computes their free capacity again. */
void machines_apply_catalog(const struct core *core);

/* True if a message of its agent was applied within MACHINE_FRESH_REPORTS report intervals. */
bool machine_is_responsive(const struct core *core, const struct machine *machine);
/* True if it has a preemption notice or is drained, and its deletion is not decided yet. */
bool machine_is_leaving(const struct machine *machine);
/*
 * True if tasks may be placed on it now: its type is known, its agent reports and is reachable, it
 * has not failed, is neither drained nor being deleted, and has no preemption notice or backoff.
 */
bool machine_is_usable(const struct core *core, const struct machine *machine);
/* True if the job allows machines of this type and zone, spot or not. Sizes are not compared. */
bool machine_type_allowed(const struct machine_type *type, const char *zone, bool spot,
			  const struct job_spec *spec);

/* True if the image is probably in the machine's cache. */
bool machine_has_image(const struct machine *machine, const char *image);
/* Makes the image the most recently used one of those that the machine's cache probably holds. */
void machine_mark_image_used(struct machine *machine, const char *image);

/* Adds the binding to the list of its machine, and takes its resources. Only for binding.c. */
void machine_add_binding(struct core *core, struct binding *binding);
/*
 * Reverts machine_add_binding. After its last binding, the machine is idle from now on. Only for
 * binding.c.
 */
void machine_remove_binding(struct core *core, struct binding *binding);

#endif
