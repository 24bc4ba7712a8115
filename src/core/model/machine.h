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
	uint32_t task;		 /* index of the task in the job */
	uint64_t attempt;	 /* number of the attempt, see `attempt` in struct binding */
	uint64_t start_sequence; /* see `start_sequence` in struct binding */
	bool ended; /* the attempt has exited, and the agent may be told to forget it */
};

/*
 * The agent on the machine, as its messages show it: its heartbeats, and its answers to probes and
 * direct commands. reports.h says which messages are applied and which heartbeats are stale. Times
 * are seconds on the steady clock, as core->now. Fields named `last_..._at` are negative if no such
 * message has come in this term, or since the agent's restart.
 */
struct machine_agent {
	/* The incarnation in the newest message that was applied; 0: no message was applied in this
	 * term, or since the agent's restart. The incarnation rises when the agent's lease expires
	 * or the agent is restarted; only a restart within a fraction of a second may lower it. */
	uint64_t incarnation;
	uint64_t sequence; /* sequence number of the newest message that was applied */
	/* Sequence number of the newest heartbeat that was applied; 0: as for `incarnation`. */
	uint64_t heartbeat_sequence;
	uint64_t token; /* newest fencing token that the agent has shown */
	/* When a message first showed `token`; negative: no message was applied in this term, or
	 * since the agent's restart. */
	double token_shown_at;
	/* Heartbeats with a lower fencing token may be copies from before the agent's restart, and
	 * are stale (see reports.h); 0: the agent was not restarted in this term. */
	uint64_t min_token;
	/* The agent was restarted: no report of the agent is applied until this controller holds a
	 * new fencing token. */
	bool restarted;
	/* False: our messages do not reach the agent (an outbound partition), or the agent was
	 * restarted and no message of the agent was applied since. */
	bool reachable;
	/* Number of stale heartbeats (see reports.h) since the agent was last found reachable. */
	int stale_reports;
	/* Number of consecutive heartbeats that lack a task whose start was sent in the answer to
	 * an earlier heartbeat. */
	int ignored_starts;
	/* When the agent last became unreachable, or the last restart of the agent was detected; 0:
	 * neither has happened. */
	double unreachable_since;
	double last_heartbeat_at; /* when the newest heartbeat was applied */
	double last_message_at;	  /* when the newest message of any kind was applied */
	double last_report_at;	  /* when the last heartbeat came, even a stale one */
	/* When the agent's first message in this term, or the first message since the agent's
	 * restart, was applied. From a restart until then: when this controller first held the new
	 * fencing token. 0: none of these has happened. */
	double up_at;
	/* The preemption notice in the newest message that was applied: seconds until the cloud
	 * takes the machine back, counted from `notice_received_at`; < 0: no notice. */
	double notice_s;
	double notice_received_at; /* when `notice_s` was last set; 0: never */
	/* The machine's entry in agents.report_cache, which owns the entry; NULL: none. */
	struct report_cache_entry *cached_report;
	/* Owned array; the unbound tasks in the newest report that was applied. */
	struct unbound_task *unbound_tasks;
	size_t unbound_task_count;
};

/* The probes of the machine: requests for a report that the leader sends to its agent. */
struct machine_probes {
	double sent_at; /* steady seconds; when the newest probe was sent */
	int unanswered; /* number of probes that timed out since the agent's last message */
	/* Steady seconds; when the first probe counted in `unanswered` was sent. */
	double unanswered_since;
	bool supervised; /* the machine is in replica_supervision.machines */
	/* Links of replica_supervision.machines. */
	struct machine *supervised_prev, *supervised_next;
};

/* The direct messages to the machine's agent: commands that are not sent with the answer to a
 * heartbeat, see agents/direct_commands.h. */
struct machine_commands {
	int in_flight; /* number of direct messages that wait for their answer */
	/* A direct message is to be sent even without commands, for its fencing token: the token
	 * makes an agent that may still report to an earlier leader report to this controller, and
	 * any agent that has not seen the token report at once. */
	bool announce_token;
	/* A start is due, and a new fencing token is requested so that the agent reports at once.
	 */
	bool awaits_token;
	bool due;    /* commands may have become due since the last direct message was sent */
	bool queued; /* the machine is in agents.command_queue */
	struct machine *queue_prev, *queue_next; /* links of agents.command_queue */
};

/* The answer to the machine's newest heartbeat, if the answer waits, see agents/long_poll.h. */
struct machine_long_poll {
	uint64_t connection;	     /* of the heartbeat; 0: no answer waits */
	double until;		     /* steady seconds; the answer waits no longer than that */
	struct machine *prev, *next; /* links of agents.long_polls */
};

/* What the cloud says of the machine, and what the leader has decided about keeping it. */
struct machine_cloud {
	bool listed; /* an inventory of the cloud has named the machine */
	/* The cloud has granted or listed the machine: it counts as capacity even before its agent
	 * has sent a message. */
	bool expected;
	bool failed;		   /* an inventory says that the machine has failed */
	uint64_t inventory_number; /* number of the newest inventory that named the machine */
	/* Number of complete inventories without the machine since an inventory last named the
	 * machine. */
	int missed_inventories;
	/* Steady seconds; when the machine was rented, as far as is known, or its agent was
	 * restarted. The time allowed for a boot counts from this time. */
	double rented_at;
	/* Steady seconds; when the machine's last binding ended or the machine came up. */
	double idle_since;
	bool draining; /* the machine gets no new tasks, and is deleted once it has no bindings */
	/* The machine is to be deleted: no task is placed or started on it any more. */
	bool deleting;
	/* Steady seconds; when the machine was given up, which is why it is to be deleted; 0: it
	 * was not given up. */
	double given_up_at;
	bool delete_in_flight; /* the request to delete the machine is not answered yet */
	/* A request to delete the machine was sent and not refused: it may still be carried out. */
	bool delete_may_be_late;
	bool deleted; /* the cloud has answered 200 to the request to delete the machine */
};

/*
 * State that the scheduler keeps about a machine. Times are seconds on the steady clock, as
 * core->now.
 */
struct machine_scheduling {
	/* Images that the machine's cache probably holds, most recently used first. */
	char images[MACHINE_IMAGES_MAX][NAME_MAX_LEN];
	int image_count;
	/* Ids of different jobs that failed on the machine since a task last succeeded on it. */
	char failed_jobs[MACHINE_FAILED_JOBS_MAX][ID_MAX];
	int failed_job_count;
	/* The job for which capacity of the machine is reserved; NULL: none. */
	struct job *reserved_for;
	/* Number of tasks of `reserved_for` for which capacity is reserved. */
	uint32_t reserved_tasks;
	/* Index in `rooms` of struct scheduling_cycle, if the machine is usable. */
	uint32_t room_index;
	/* Id of the array for which the slot last freed on the machine is kept; empty: no slot is
	 * kept. A slot is the part of a machine that one array task uses. */
	char freed_slot_job[ID_MAX];
	double freed_slot_until; /* end of the time for which the freed slot is kept */
	/* End of the backoff after a refused start: no task is placed on the machine before this
	 * time. */
	double backoff_until;
};

/* A rented machine, or a machine that only a record or a late copy of a report names. */
struct machine {
	char id[ID_MAX];
	char addr[NAME_MAX_LEN];      /* address of the machine's agent; empty: not known yet */
	char type_name[NAME_MAX_LEN]; /* name of the machine type; empty: not known yet */
	char zone[NAME_MAX_LEN];      /* availability zone; empty: not known yet */
	/* The machine type in the catalog; NULL: not in the catalog, or not known yet. */
	const struct machine_type *type;
	bool spot; /* a spot machine, which the cloud may take back */
	/* Free capacity: what a machine of this type has and the bindings do not use, in CPUs, GPUs
	 * and GB. Negative if the bindings use more, as while the type is not known. */
	double free_cpus, free_gpus, free_mem_gb;
	/* List of the machine's bindings, linked by machine_prev and machine_next. */
	struct binding *bindings;
	int binding_count; /* length of `bindings` */
	int replica_count; /* number of bindings of tasks of services */
	struct machine_agent agent;
	struct machine_probes probes;
	struct machine_commands commands;
	struct machine_long_poll long_poll;
	struct machine_cloud cloud;
	struct machine_scheduling scheduling;
	UT_hash_handle hh;	      /* links of the hash table core->machines, by id */
	UT_hash_handle hh_connection; /* links of agents.long_polls_by_connection */
};

/* Iterates over all machines. `next` is a second cursor, so that the body may free `machine`. */
#define MACHINES_FOR_EACH(core, machine, next) HASH_ITER (hh, (core)->machines, machine, next)

/* The number of known machines, including those that are being deleted. */
unsigned machine_count(const struct core *core);
/* The machine with this id; NULL if there is none. */
struct machine *machine_find(const struct core *core, const char *id);
/* The machine with this id. If there is none, adds a machine of which only the id is known. */
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

/* True if a message of the machine's agent was applied within MACHINE_FRESH_REPORTS report
 * intervals. */
bool machine_is_responsive(const struct core *core, const struct machine *machine);
/* True if the machine has a preemption notice or is drained, and its deletion is not decided
 * yet. */
bool machine_is_leaving(const struct machine *machine);
/*
 * True if tasks may be placed on the machine now: its type is known, its agent reports and is
 * reachable, and the machine has not failed, is neither drained nor being deleted, and has no
 * preemption notice or backoff.
 */
bool machine_is_usable(const struct core *core, const struct machine *machine);
/*
 * True if no message with the start of an attempt can take effect any more. `start_sequence` is
 * that of struct binding, for an attempt on this machine. An old message that still can may start
 * the attempt: until then the agent must not forget the attempt, and a report that does not list it
 * does not prove its end.
 */
bool machine_start_is_void(const struct machine *machine, uint64_t start_sequence);
/* The number of further tasks that may be bound to the machine so that its report does not grow
 * beyond what is accepted, because of ended tasks that the agent may not forget yet. */
uint32_t machine_listable_tasks(const struct machine *machine);
/* True if the job allows machines of this type and zone, spot or not. Sizes are not compared. */
bool machine_type_allowed(const struct machine_type *type, const char *zone, bool spot,
			  const struct job_spec *spec);

/* True if the image is probably in the machine's cache. */
bool machine_has_image(const struct machine *machine, const char *image);
/* Makes the image the most recently used one of those that the machine's cache probably holds. */
void machine_mark_image_used(struct machine *machine, const char *image);

/* Adds the binding to its machine's list, and subtracts the task's resources from the machine's
 * free capacity. Only for binding.c. */
void machine_add_binding(struct core *core, struct binding *binding);
/*
 * Reverts machine_add_binding. If that was the last binding of the machine, the machine is idle
 * from now on. Only for binding.c.
 */
void machine_remove_binding(struct core *core, struct binding *binding);

#endif
