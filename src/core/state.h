/* What the core's parts share: the objects and each part's calls. */
#ifndef PLOVERLOFT_STATE_H
#define PLOVERLOFT_STATE_H

#include <stdbool.h>

#include <uthash.h>
#include <utlist.h>

#include "conf/conf.h"
#include "constants.h"
#include "core/core.h"
#include "core/limits.h"
#include "core/report_cache.h"
#include "wire/wire.h"

struct core;
struct job;
struct machine;

#define KEY_MAX 200 /* bytes of a key, from the protocol */

/* --- calls to others --- */

struct call;
typedef void (*call_fn)(struct core *c, struct call *call, int status, const char *body,
			size_t len);

struct call {
	uint64_t id;
	call_fn fn;
	void *arg;
	void (*drop)(void *arg); /* frees arg if no answer is waited for any more */
	uint64_t term; /* leadership under which it was made: answers of an older one are void */
	double sent;
	uint64_t session, seq; /* asked of a worker: what was known of it by then */
	bool starts;	       /* direct commands: a start is among them */
	uint64_t token;	       /* direct commands: sent under it */
	char key[CONF_NAME_MAX + ID_MAX];
	UT_hash_handle hh;
};

/* --- objects --- */

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
	double unanswered_at; /* when the newest question left that got no answer; 0: none */
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

/* The record of a range of a job's tasks: what is done of it and what is bound where. */
struct chunk {
	uint64_t version; /* 0: no record */
	uint32_t nbound;
	uint32_t bytes;	      /* of its bindings in the record, at most */
	struct write *queued; /* its write that waits; NULL: none */
	bool in_flight;	      /* the transaction under way writes it */
	bool ending;	      /* the transaction under way drops it with its job */
	bool in_old;	      /* a record of the format before says what it holds */
};

/* A record of the format before, which counts where no newer one stands for its tasks. */
struct old_chunk {
	uint64_t version; /* 0: no record */
	uint32_t pending; /* chunks whose newer records are still to be written */
};

struct job {
	struct job_spec spec;
	uint64_t version; /* of its record */
	double submitted; /* wall */
	bool cancelled;
	bool orphan; /* only its bindings are known: it is final */
	bool final_queued, final_done;
	uint8_t *done; /* one bit per task */
	uint8_t *bound;
	uint32_t ndone, nbound, nrunning;
	uint32_t next_task; /* no waiting task lies before it */
	uint64_t attempt;   /* gang: the attempt under way */
	bool gang_stopping;
	double not_before; /* steady */
	int errors;
	char bad[ERROR_JOB_MACHINES][ID_MAX];
	int nbad;
	double done_at;	   /* steady; its last task was heard to be done; 0: not yet */
	double hold_until; /* steady; room is held for it; 0: none */
	double due;	   /* its place in the order of a round */
	bool gathering;	   /* more is held as it falls free */
	char hold_zone[NAME_MAX_LEN];
	double next_plan;     /* no look for room to be made before */
	double waiting_since; /* steady */
	uint32_t chunk_tasks; /* tasks whose bindings share a record */
	struct chunk *chunks;
	struct old_chunk *old_chunks; /* NULL: none */
	uint32_t old_count;
	uint32_t uncommitted; /* bindings not on record yet */
	struct binding *bindings;
	UT_hash_handle hh;
};

struct team {
	const struct conf_team *conf;
	double cpus, gpus; /* bound */
};

/* --- the leader's transactions --- */

enum write_kind { WR_CHUNK, WR_FINAL, WR_DROP };

struct write {
	enum write_kind kind;
	struct job *job;
	uint32_t chunk;
	double due;	     /* a chunk: ends alone can wait for the next placement */
	double held_until;   /* its value is too large for now */
	char key[KEY_MAX];   /* WR_DROP: of a record that is left over */
	uint64_t version;    /* WR_DROP: of the key */
	struct write **list; /* the queue that it waits in; NULL: none */
	struct write *prev, *next;
};

struct transaction {
	struct write *items;
	char *body;
	int nops;
	size_t largest; /* bytes of its largest value */
	bool fence;	/* writes the leader's key: its revision is the new token */
	bool raises;	/* a fence that raises the records' format too */
	bool waiting;	/* to be sent again, unchanged */
	int reads_out;
};

/* --- users --- */

enum user_kind { USER_SUBMIT, USER_POLL, USER_CANCEL };

struct user_req {
	uint64_t conn;
	enum user_kind kind;
	char id[ID_MAX];
	struct job_spec *spec;
	char *body;  /* of a submission, as it came */
	int verdict; /* 400 or 422 to give if the job is not known; 0: valid */
	const char *why;
	double since; /* steady */
	double wall;  /* when a submission came */
	bool settled; /* the commit's outcome is unknown: read before answering */
	struct user_req *prev, *next;
};

/* A job that users may ask about. */
struct known {
	char id[ID_MAX];
	enum job_state state; /* queued, cancelled, or if final, done */
	bool final;
	uint32_t done, running; /* tasks */
	UT_hash_handle hh;
};

/* Another controller, as this one has found it. */
struct peer_view {
	double answered;   /* steady; its last answer */
	double no_forward; /* steady; nothing is handed to it before */
	uint64_t incarnation;
	double since;		/* steady; when its first answer under this incarnation came */
	double confirmed_until; /* steady; all that it had told users of cancellations by then is
				   known here */
};

/* A cancellation that users were told of by this controller. */
struct confirmed_cancel {
	char id[ID_MAX];
	uint64_t version; /* of the job's record; 0: not known */
	double at;	  /* steady; when first */
	UT_hash_handle hh;
};

/* A request that another controller handed on: its answer goes back wrapped. */
struct wrapped {
	uint64_t conn;
	UT_hash_handle hh;
};

enum lead_role { ROLE_FOLLOW, ROLE_LOADING, ROLE_LEAD };

struct election {
	enum lead_role role;
	char leader[CONF_NAME_MAX];
	uint64_t revision;	/* of the leader key; 0: absent */
	uint64_t watched;	/* revision from which to watch */
	int format;		/* of the records, as the leader's keys say */
	uint64_t gate_revision; /* of LEADER_KEY since the format is above 1 */
	bool known;
	bool reading, watching, claiming;
	uint64_t first_token; /* the term's first: who has seen it has heard this leader */
	uint64_t token, term, lease;
	double renewed; /* when the last renewal that succeeded was sent */
	double next_renew;
	bool renew_out;
	double next_try;
	double stand_back; /* no claim before */
};

/* What is known of the formats that the controllers read. */
struct format_watch {
	bool registered;      /* ours is on record */
	bool registering;     /* the write is under way */
	double register_at;   /* steady; not before */
	bool looking;	      /* the leader reads all entries */
	double look_at;	      /* steady; not before */
	bool all_read_newest; /* so the last look showed */
};

struct refusal {
	char key[3 * NAME_MAX_LEN];
	double until, wait;
	UT_hash_handle hh;
};

/* A deleted machine that lagging lists may still name. */
struct tombstone {
	char id[ID_MAX];
	double at;
	UT_hash_handle hh;
};

struct rent_req {
	char name[NAME_MAX_LEN];
	char type[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	bool spot;
	int count;
	double since;
	bool out;
	double again;
	struct rent_req *prev, *next;
};

/* What may be done now of something that a rate allows: a second's worth gathers at most. */
struct allowance {
	double left, filled;
};

struct core {
	const struct conf *conf;
	unsigned short rand48[3];
	double now, wall;
	struct core_action *actions;
	struct call *calls;
	uint64_t next_call;

	struct election election;
	struct format_watch format;
	struct limits_learned limits;
	bool state_down; /* the last answer was a refusal or none */

	struct machine_type *types;
	size_t ntypes;
	bool catalog_out;
	bool catalog_stored;
	double next_catalog;

	/* users */
	struct user_req *submits; /* waiting for a transaction */
	int nsubmits;
	struct user_req *submits_in_flight;
	size_t submit_largest; /* bytes of the largest record in that transaction */
	int nreads;
	struct known *known;
	size_t nfinals;
	struct user_req *asking,
	    *asked; /* wait for the next read of changes; for the one under way */
	bool index_known, index_out;
	uint64_t index_revision;
	char index_last[KEY_MAX];
	double index_next;
	double counts_at, counts_wanted, counts_next; /* steady */
	uint64_t counts_token;
	bool counts_out;

	/* other controllers */
	struct peer_view *peers;
	uint64_t incarnation;		    /* of this process */
	struct confirmed_cancel *confirmed; /* oldest first */
	struct wrapped *wrapped;
	double state_heard; /* when the state service last served us */
	double ping_next;

	/* leader */
	struct job *jobs;
	struct machine *machines;
	struct report_cache reports;
	struct team *teams;
	struct write *writes, *finals_due, *drops; /* in order of urgency */
	struct write *migrations;		   /* chunks that only an older format holds */
	struct transaction transaction;
	bool in_flight;
	double commit_again;
	struct allowance puts;
	bool fence_wanted;
	double fence_at;
	uint32_t attempts;
	uint64_t jobs_revision;
	double jobs_read; /* when the newest read of the jobs' changes that came back was sent */
	bool jobs_watching;
	double jobs_watch_again;
	bool round_due;
	struct machine *command_queue; /* commands wait for them, longest waiting first */
	bool *peer_live;	       /* by its last answer */
	double next_pair;
	uint64_t pair_quantum; /* counts the values that we wrote */
	uint64_t switches;     /* made since this process began */
	double next_round, round_again, next_machines, next_jobs;
	bool replicas_leave; /* at the last look: some are on machines that are about to go */
	bool few_silent;     /* at the last look: those that are silent may be deleted before their
				leases end */
	double lead_since;

	/* rentals */
	double next_rent, next_list, cloud_again;
	struct allowance cloud; /* requests to it */
	bool list_out;
	char list_after[ID_MAX];
	struct rent_req *rents;
	struct refusal *refusals;
	struct tombstone *tombstones;
	uint32_t rent_counter;
	uint64_t list_round;
	struct allowance asks; /* questions to workers */
	int directs;	       /* direct commands and questions under way: each holds a socket */
};

/* core.c */
struct call *core_call(struct core *core, const char *addr, const char *method, char *path,
		       char *body, double timeout_s, call_fn fn, void *arg);
/* To and from other controllers: a packed message, which the action owns from then on. */
struct call *core_call_packed(struct core *core, const char *addr, const char *path, uint8_t *buf,
			      size_t len, call_fn fn, void *arg);
void core_reply_packed(struct core *core, uint64_t conn, uint8_t *buf, size_t len);
void core_reply(struct core *core, uint64_t conn, int status, int retry_after, char *body);
void core_reply_error(struct core *core, uint64_t conn, int status, int retry_after,
		      const char *why);
double core_random(struct core *core);
void allowance_fill(const struct core *core, struct allowance *a, double rate);
char *fmt_path(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* store.c: the state service */
struct call *store_get(struct core *core, const char *key, call_fn fn, void *arg);
struct call *store_range(struct core *core, const char *prefix, const char *after, call_fn fn,
			 void *arg);
struct call *store_commit(struct core *core, char *body, call_fn fn, void *arg);
struct call *store_watch(struct core *core, const char *prefix, uint64_t from, int wait_ms,
			 call_fn fn, void *arg);
void store_heard(struct core *core, int status);

/* election.c */
void election_tick(struct core *core);
void election_step_down(struct core *core, const char *why);
void election_yield(struct core *core, const char *why);
void election_deposed(struct core *core, const char *leader);
/* True while it may answer workers: a cancellation elsewhere is still carried out in time. */
bool election_may_serve(const struct core *core);
void election_look(struct core *core);
void election_reread(struct core *core);
bool election_stale(const struct core *core, const struct call *call);
json_t *election_value(const struct core *core);
/* The key whose holder leads in the given format of the records. */
const char *election_key(int format);
/* What LEADER_KEY holds for ever once the format is raised: no controller has this name. */
json_t *election_gate_value(int format);
/* Ours is the first term in the new format. */
void election_raised(struct core *core, int format, uint64_t revision);
#define LEADER_KEY "leader"

/* format.c */
void format_tick(struct core *core);
/* True if the leader is to raise the format: all controllers read the new one. */
bool format_wanted(const struct core *core);
void format_clear(struct core *core);

/* Keys: all that users may ask about lies under one prefix, so that one read of changes tells it.
 */
#define JOBS_ALL "u/"
#define JOBS_OPEN "u/j/"
#define JOBS_OVER "u/f/"

/* load.c */
void load_start(struct core *core);
void load_tick(struct core *core);
void load_job_record(struct core *core, const char *id, json_t *value, uint64_t version);
void leader_clear(struct core *core);

/* users.c */
void users_request(struct core *core, const struct core_request *request);
void users_tick(struct core *core);
json_t *users_record(const struct job_spec *spec, double submitted, bool cancelled);
void users_note_final(struct core *core, const char *id, enum job_state s, uint32_t ntasks);
void users_clear(struct core *core);

/* jobs.c */
struct job *job_find(struct core *core, const char *id);
struct job *job_add(struct core *core, const struct job_spec *spec);
void job_cancel(struct core *core, struct job *job);
/* A cancellation is on record, with this version of the job's key: the leader stops its tasks. */
void job_cancel_committed(struct core *core, const char *id, uint64_t version);
void job_task_done(struct core *core, struct job *job, uint32_t task);
void job_done_unbound(struct core *core, const char *id, uint32_t task);
bool job_bit(const uint8_t *bits, uint32_t task);
uint32_t job_chunks(const struct job *job);
uint32_t job_chunk_of(const struct job *job, uint32_t task);
/* Makes room for so many tasks of a job whose description is not known. */
void job_grow(struct job *job, uint32_t ntasks);
uint32_t job_waiting(const struct job *job);
uint32_t job_next_waiting(struct job *job);
void job_settle(struct core *core, struct job *job);
void job_tick(struct core *core);
void job_free(struct core *core, struct job *job);
/* Frees a job that is over once nothing of it is bound or being written. */
void job_release(struct core *core, struct job *job);
bool job_chunk_full(const struct core *core, const struct job *job, uint32_t task);
void job_failed_on(struct core *core, struct job *job, struct machine *machine);

/* teams.c */
struct team *team_find(struct core *core, const char *name);
bool team_has_room(struct core *core, const struct job_spec *spec, uint32_t tasks);
bool team_ever_fits(const struct conf *conf, const struct job_spec *spec);
void team_charge(struct core *core, const struct job_spec *spec, double sign);

/* machines.c */
struct machine *machine_find(struct core *core, const char *id);
struct machine *machine_get(struct core *core, const char *id);
void machine_free(struct core *core, struct machine *machine);
void machine_describe(struct core *core, struct machine *machine, const char *addr,
		      const char *type, const char *zone, bool spot);
bool machine_has_tombstone(struct core *core, const char *id);
void machine_gone(struct core *core, struct machine *machine);
void machine_tick(struct core *core);
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

/* workers.c */
void workers_beat(struct core *core, const struct core_request *request);
void commands_wanted(struct core *core, struct machine *machine);
void commands_unwanted(struct core *core, struct machine *machine);
bool workers_ask(struct core *core, struct machine *machine);
void workers_tick(struct core *core);
void workers_fenced(struct core *core);

/* commit.c */
void commit_chunk(struct core *core, struct job *job, uint32_t task, double delay_s);
/* The chunk is written when there is room: so far a record of an older format holds it. */
void commit_migrate(struct core *core, struct job *job, uint32_t chunk);
void commit_drop(struct core *core, const char *key, uint64_t version);
/* No chunk waits to be written any more: the caller knows which are to be queued anew. */
void commit_forget_chunks(struct core *core);
void commit_final(struct core *core, struct job *job);
void commit_tick(struct core *core);
void commit_clear(struct core *core);
/* True once nothing about the task's chunk or its job's end waits to be written. */
bool commit_settled(const struct job *job, uint32_t task);

/* task_records.c: the records of what is done and bound of a job's tasks */
#define JOBS_BOUND "b/"	 /* of CHUNK_TASKS tasks */
#define JOBS_PIECES "t/" /* of PIECE_TASKS tasks, from FORMAT_PIECES on */
void task_record_key(char key[KEY_MAX], const struct job *job, uint32_t chunk);
/* The caller owns the value. */
json_t *task_record_value(const struct job *job, uint32_t chunk);
/* Bytes that the binding takes in its record at most. */
uint32_t task_record_bytes(const struct binding *binding);
/* Takes a record into the job's books, which are made if nothing else is known of the job. */
void task_record_load(struct core *core, const struct kv_item *item);
/* The chunk's newer record is written, or needless: the older one may go. */
void task_record_superseded(struct core *core, struct job *job, uint32_t chunk);
/* All that is known is from now on written in the newest format. */
void task_records_raise(struct core *core);
/* The job's records in the newest format are to stand for those of the one before. */
void task_records_migrate(struct core *core, struct job *job);

/* place.c */
void round_wanted(struct core *core);
void round_tick(struct core *core);

/* pair.c */
#define PAIR_PATH "/pair"
double pair_rho(double m_a, double m_b);
void pair_request(struct core *core, const struct core_request *request);
/* `peer`: whose answer it is; npeers: our own. */
void pair_take_switches(struct core *core, size_t peer, const uint8_t *data, size_t len);
void pair_tick(struct core *core);

/* peers.c: what controllers ask each other */
#define COUNTS_PATH "/counts"
#define FORWARD_PATH "/forward"
#define CANCELLED_PATH "/cancelled"
#define CONFIRMED_PATH "/heard"
void peers_request(struct core *core, const struct core_request *request);
/* The message as bytes of their own. */
struct ProtobufCMessage;
uint8_t *peers_pack(const struct ProtobufCMessage *m, size_t *len);
bool forward_user(struct core *core, struct user_req *request);
/* Tells the others of a committed cancellation: whoever leads may not read of it for a while. */
void peers_cancelled(struct core *core, const char *id, uint64_t version);
void peers_tick(struct core *core);
/* Wraps the answer if the request was handed on by another controller. */
bool peers_wrap(struct core *core, uint64_t conn, int *status, int retry_after, char **body,
		size_t *len);
/* A user is told that the job is cancelled. */
void peers_note_confirmed(struct core *core, const char *id, uint64_t version);
/* An answer of the peer came: which process it is. */
void peers_note_incarnation(struct core *core, size_t peer, uint64_t incarnation);
/* The moment up to which all that the others told users of cancellations is known here; < 0: none.
 */
double peers_confirmed_until(const struct core *core);
bool peers_ready(const struct core *core);
void peers_clear(struct core *core);

/* rent.c */
void rent_tick(struct core *core);
void rent_clear(struct core *core);
/* True if money is among the aims. */
bool rent_thrifty(const struct core *core);
void catalog_tick(struct core *core);

/* done bits as text */
char *bits_encode(const uint8_t *bits, uint32_t nbits);
int bits_decode(const char *s, uint8_t *bits, uint32_t nbits);

#endif
