/* JSON on the wire to and from the core's structs. */
#ifndef PLOVERLOFT_WIRE_H
#define PLOVERLOFT_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "util/buf.h"

#define ID_MAX 48
#define NAME_MAX_LEN 64

/* Names without a bound on their number. */
struct name_list {
	char (*names)[NAME_MAX_LEN];
	int count;
};

/* -1 if the name is empty or too long. */
int name_list_add(struct name_list *list, const char *name);
bool name_list_has(const struct name_list *list, const char *name);
void name_list_free(struct name_list *list);

/* A service's tasks run until its user cancels it: one that ends is started again. */
enum job_kind { JOB_ARRAY, JOB_GANG, JOB_SERVICE };
enum job_priority { PRIO_PRODUCTION, PRIO_HIGH, PRIO_NORMAL, PRIO_LOW };
enum job_state { JOB_STATE_QUEUED, JOB_STATE_RUNNING, JOB_STATE_DONE, JOB_STATE_CANCELLED };

struct job_spec {
	char id[ID_MAX];
	char class_name[NAME_MAX_LEN];
	char team[NAME_MAX_LEN];
	char image[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN]; /* empty: any */
	struct name_list types;	 /* allowed types of machines; none: any */
	enum job_kind kind;
	enum job_priority priority;
	uint32_t task_count;
	double cpus, gpus, mem_gb;
	double image_gb;
	double estimate_s, checkpoint_s, save_s;
	double deadline_s; /* < 0: none */
	int one_zone, spread, spot;
};

enum task_state { TASK_FETCHING, TASK_WAITING, TASK_RUNNING, TASK_SAVING, TASK_EXITED };
enum task_end_reason {
	END_NONE,
	END_DONE,
	END_STOPPED,
	END_PEERS_LOST,
	END_ALONE,
	END_ERROR,
	END_NO_ROOM,
	END_BUSY,
	END_UNKNOWN_JOB
};

struct report_task {
	char job[ID_MAX];
	uint32_t task;
	uint64_t attempt;
	enum task_state state;
	enum task_end_reason end_reason;
	int saved;
};

struct report {
	char machine[ID_MAX];
	char addr[NAME_MAX_LEN];
	char type[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	int spot;
	uint64_t incarnation, sequence, token;
	double notice_s; /* < 0: none */
	struct report_task *tasks;
	size_t task_count;
};

enum command_op { OP_START, OP_STOP, OP_FORGET };

struct command {
	enum command_op op;
	char job[ID_MAX];
	uint32_t task;
	uint64_t attempt;
	double grace_s;
};

struct machine_type {
	char name[NAME_MAX_LEN];
	double cpus, gpus, mem_gb, cache_gb, fetch_gb_per_s, price, spot_price, boot_s;
	struct name_list zones;
};

enum listed_state { CLOUD_BOOTING, CLOUD_RUNNING, CLOUD_FAILED };

struct listed_machine {
	char id[ID_MAX];
	char addr[NAME_MAX_LEN];
	char type[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	int spot;
	enum listed_state state;
	double age_s;
};

json_t *wire_parse(const char *body, size_t len);
int wire_job_id_ok(const char *id);
/*
 * 0, or -1 with the reason. `o` is the user's words or what wire_job_encode gave. Whatever it
 * returns, the caller frees what the description holds.
 */
int wire_job_decode(json_t *o, struct job_spec *out, const char **why);
/* Frees what the description holds, not the description itself. */
void wire_job_free(struct job_spec *spec);
json_t *wire_job_encode(const struct job_spec *j);
const char *wire_job_state(enum job_state s);
char *wire_job_answer(const char *id, enum job_state s, uint32_t done, uint32_t running);

int wire_report_decode(const char *body, size_t len, struct report *out);
void wire_report_free(struct report *r);
char *wire_heartbeat_answer(uint64_t token, const struct command *cmds, size_t n);
char *wire_direct_commands(uint64_t token, uint64_t session, const struct command *cmds, size_t n);
char *wire_redirect(const char *leader);

int wire_types_decode(json_t *o, struct machine_type **out, size_t *n);
void wire_types_free(struct machine_type *types, size_t n);
json_t *wire_types_encode(const struct machine_type *t, size_t n);
int wire_list_decode(const char *body, size_t len, struct listed_machine **out, size_t *n,
		     int *more);
char *wire_rental(const char *request, const char *type, const char *zone, int spot, int count);
char *wire_delete(const char *const *ids, size_t n);
/* Names of the machines rented, the caller frees the array and the names. */
int wire_rented(const char *body, size_t len, char ***ids, size_t *n);

/* A transaction in the making: its text, and what the state service limits. */
struct txn {
	struct buf guards, ops;
	int op_count;
	size_t largest_value; /* bytes of its largest value, as sent */
};

/* A moment of a transaction in the making, to which it can be taken back. */
struct txn_mark {
	size_t guards_len, ops_len, largest_value;
	int op_count;
};

void txn_begin(struct txn *t);
void txn_guard(struct txn *t, const char *key, uint64_t version);
/* Takes over the value; returns the bytes of its text. */
size_t txn_put(struct txn *t, const char *key, json_t *value, uint64_t lease);
void txn_drop(struct txn *t, const char *key);
size_t txn_bytes(const struct txn *t);
struct txn_mark txn_mark(const struct txn *t);
void txn_rollback(struct txn *t, const struct txn_mark *mark);
/* The text, which the caller frees; the transaction is empty afterwards. */
char *txn_finish(struct txn *t);
void txn_abandon(struct txn *t);
/* The bytes of a value's text as it would be sent. */
size_t wire_value_bytes(const json_t *value);

struct kv_item {
	const char *key;
	json_t *value; /* NULL: dropped */
	uint64_t version;
};

uint64_t wire_revision(json_t *o);
uint64_t wire_lease(json_t *o);
char *wire_lease_body(int ttl_ms);
int wire_kv(json_t *o, struct kv_item *out);
/* Calls `each` for every item of a range or every event of a watch. */
void wire_items(json_t *o, void (*each)(void *ctx, const struct kv_item *it), void *ctx);
int wire_more(json_t *o);
int wire_failed_has(json_t *o, const char *key);

#endif
