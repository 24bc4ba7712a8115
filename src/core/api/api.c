/*
 * Users' requests, against the state service alone: every controller answers them. Submissions are
 * in submissions.c.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/api/cancellations.h"
#include "core/api/forwarding.h"
#include "core/state.h"
#include "core/api/submissions.h"
#include "util/log.h"
#include "wire/names.h"
#include "util/xalloc.h"

void user_request_free(void *arg)
{
	struct user_request *request = arg;

	if (request->spec)
		wire_job_free(request->spec);
	free(request->spec);
	free(request->body);
	free(request);
}

void user_request_fail(struct core *core, struct user_request *request, int status, int retry,
		       const char *why)
{
	core_reply_error(core, request->conn, status, retry, why);
	user_request_free(request);
}

/* The state service does not serve us: another controller may be served, else the user is told. */
void user_request_unserved(struct core *core, struct user_request *request,
			   const struct call_answer *answer)
{
	if (answer->status != STATUS_TOO_MANY_REQUESTS && forward_user_request(core, request))
		user_request_free(request);
	else
		user_request_fail(core, request,
				  answer->status == STATUS_TOO_MANY_REQUESTS
				      ? STATUS_TOO_MANY_REQUESTS
				      : STATUS_UNAVAILABLE,
				  RETRY_AFTER_S, "state");
}

void user_request_answer_state(struct core *core, struct user_request *request, int status,
			       enum job_state s, uint32_t done, uint32_t running)
{
	if (s == JOB_STATE_CANCELLED)
		peers_note_confirmed(core, request->id, 0);
	core_reply(core, request->conn, status, 0, wire_job_answer(request->id, s, done, running));
	user_request_free(request);
}

/* --- what is known of jobs: all that are open, and the final states of the latest --- */

static struct indexed_job *index_find(struct core *core, const char *id)
{
	struct indexed_job *known;

	HASH_FIND_STR(core->api.index, id, known);
	return known;
}

static struct indexed_job *index_find_or_add(struct core *core, const char *id)
{
	struct indexed_job *known = index_find(core, id);

	if (known || strlen(id) >= ID_MAX)
		return known;
	known = xcalloc(1, sizeof(*known));
	snprintf(known->id, sizeof(known->id), "%s", id);
	HASH_ADD_STR(core->api.index, id, known);
	return known;
}

static void index_remove(struct core *core, struct indexed_job *known)
{
	if (known->final) {
		DL_DELETE(core->api.finals, known);
		core->api.final_count--;
	}
	HASH_DEL(core->api.index, known);
	free(known);
}

/* The oldest final states go first; they can be read again. */
static void finals_trim(struct core *core)
{
	while (core->api.final_count > FINAL_CACHE_MAX)
		index_remove(core, core->api.finals);
}

void job_index_note_final(struct core *core, const char *id, enum job_state s, uint32_t ntasks)
{
	struct indexed_job *known = index_find_or_add(core, id);

	if (!known || known->final)
		return;
	known->final = true;
	known->state = s;
	known->done_count = s == JOB_STATE_DONE ? ntasks : 0;
	known->running_count = 0;
	DL_APPEND(core->api.finals, known);
	core->api.final_count++;
	finals_trim(core);
}

static void index_note_open(struct core *core, const char *id, json_t *value)
{
	struct indexed_job *known = index_find_or_add(core, id);

	if (!known || known->final)
		return;
	known->state = json_is_true(json_object_get(value, "cancelled")) ? JOB_STATE_CANCELLED
									 : JOB_STATE_QUEUED;
}

bool user_request_answer_final(struct core *core, struct user_request *request)
{
	struct indexed_job *k = index_find(core, request->id);

	if (!k || !k->final)
		return false;
	user_request_answer_state(core, request, STATUS_OK, k->state, k->done_count, 0);
	return true;
}

/* --- reading a job's records: first the open one, then the final one --- */

static void on_cancelled(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct user_request *request = call->arg;
	json_t *o;

	store_note_answer(core, answer);
	if (answer->status == STATUS_OK) {
		o = wire_parse(answer->body, answer->len);
		log_info("cancel_committed", "job=%s", request->id);
		job_cancel_committed(core, request->id, wire_revision(o));
		peers_announce_cancelled(core, request->id, wire_revision(o));
		peers_note_confirmed(core, request->id, wire_revision(o));
		json_decref(o);
		user_request_answer_state(core, request, STATUS_OK, JOB_STATE_CANCELLED, 0, 0);
	} else if (answer->status == STATUS_CONFLICT) {
		user_request_lookup(core, request);
	} else if (answer->outcome == CALL_UNANSWERED) {
		request->outcome_unknown = true;
		user_request_lookup(core, request);
	} else {
		user_request_unserved(core, request, answer);
	}
}

static void user_cancel(struct core *core, struct user_request *request, const struct kv_item *it)
{
	json_t *v = json_copy(it->value);
	struct txn txn;

	json_object_set_new(v, "cancelled", json_true());
	/* A record from before a lower limit: where the job might have run is of no use any more.
	 */
	if (wire_value_bytes(v) > limits_value_bytes(core))
		json_object_del(json_object_get(v, "spec"), W_TYPES);
	txn_begin(&txn);
	txn_guard(&txn, it->key, it->version);
	txn_put(&txn, it->key, v, 0);
	store_commit(core, txn_finish(&txn), on_cancelled, request)->free_arg = user_request_free;
}

/* The leader knows how its tasks stand; another controller, what the leader told it of late. */
static void answer_live(struct core *core, struct user_request *request,
			const struct indexed_job *known)
{
	struct job *j = election_is_leader(core) ? job_find(core, request->id) : NULL;
	bool fresh = core->now - core->api.counts_received_at < COUNTS_KEEP_S;
	uint32_t done = j ? j->done_count : fresh && known ? known->done_count : 0;
	uint32_t running = j ? j->running_count : fresh && known ? known->running_count : 0;

	core->api.counts_wanted_at = core->now;
	user_request_answer_state(core, request, STATUS_OK,
				  running ? JOB_STATE_RUNNING : JOB_STATE_QUEUED, done, running);
}

static void answer_open(struct core *core, struct user_request *request, const struct kv_item *it)
{
	if (json_is_true(json_object_get(it->value, "cancelled")))
		user_request_answer_state(core, request, STATUS_OK, JOB_STATE_CANCELLED, 0, 0);
	else if (request->kind != USER_CANCEL)
		answer_live(core, request, index_find(core, request->id));
	else if (request->outcome_unknown || core->now - request->received_at > USER_WAIT_S)
		user_request_fail(core, request, STATUS_UNAVAILABLE, RETRY_AFTER_S,
				  "unknown outcome");
	else
		user_cancel(core, request, it);
}

static void answer_absent(struct core *core, struct user_request *request)
{
	if (request->kind != USER_SUBMIT)
		user_request_fail(core, request, STATUS_NOT_FOUND, 0, "no such job");
	else if (request->rejection == STATUS_UNAVAILABLE)
		user_request_fail(core, request, STATUS_UNAVAILABLE, RETRY_AFTER_S,
				  request->reason);
	else if (request->rejection)
		user_request_fail(core, request, request->rejection, 0, request->reason);
	else
		user_request_fail(core, request, STATUS_UNAVAILABLE, RETRY_AFTER_S,
				  "unknown outcome");
}

static void note_final_value(struct core *core, const char *id, json_t *value)
{
	const char *s = json_string_value(json_object_get(value, "state"));

	job_index_note_final(core, id,
			     s && !strcmp(s, W_JOB_DONE) ? JOB_STATE_DONE : JOB_STATE_CANCELLED,
			     (uint32_t)json_integer_value(json_object_get(value, "tasks")));
}

static void on_final_read(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct user_request *request = call->arg;
	struct kv_item it;
	json_t *o;

	core->api.lookup_count--;
	store_note_answer(core, answer);
	if (answer->status == STATUS_NOT_FOUND) {
		answer_absent(core, request);
		return;
	}
	o = answer->status == STATUS_OK ? wire_parse(answer->body, answer->len) : NULL;
	if (!o || wire_kv(o, &it)) {
		json_decref(o);
		user_request_unserved(core, request, answer);
		return;
	}
	note_final_value(core, request->id, it.value);
	json_decref(o);
	if (!user_request_answer_final(core, request))
		user_request_fail(core, request, STATUS_UNAVAILABLE, RETRY_AFTER_S, "state");
}

static void user_read(struct core *core, struct user_request *request, const char *prefix,
		      answer_fn fn)
{
	char key[ID_MAX + 8];

	snprintf(key, sizeof(key), "%s%s", prefix, request->id);
	core->api.lookup_count++;
	store_get(core, key, fn, request)->free_arg = user_request_free;
}

static void on_open_read(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct user_request *request = call->arg;
	struct kv_item it;
	json_t *o;

	core->api.lookup_count--;
	store_note_answer(core, answer);
	if (answer->status == STATUS_NOT_FOUND) {
		user_read(core, request, KEY_FINAL_JOBS, on_final_read);
		return;
	}
	o = answer->status == STATUS_OK ? wire_parse(answer->body, answer->len) : NULL;
	if (!o || wire_kv(o, &it))
		user_request_unserved(core, request, answer);
	else
		answer_open(core, request, &it);
	json_decref(o);
}

/*
 * A cancellation needs the record itself. All others wait for one read of changes that leaves after
 * they came: it tells of all of them at once, and is as new as their questions.
 */
void user_request_lookup(struct core *core, struct user_request *request)
{
	if (user_request_answer_final(core, request))
		return;
	if (core->api.lookup_count >= USER_READS_SHARE * core->conf->max_connections) {
		user_request_fail(core, request, STATUS_TOO_MANY_REQUESTS, RETRY_AFTER_BUSY_S,
				  "busy");
		return;
	}
	if (request->kind == USER_CANCEL) {
		user_read(core, request, KEY_OPEN_JOBS, on_open_read);
		return;
	}
	DL_APPEND(core->api.lookups_waiting, request);
	core->api.lookup_count++;
}

/* --- the index: one read of changes answers all who ask --- */

static void index_item(void *ctx, const struct kv_item *it)
{
	struct core *core = ctx;
	struct indexed_job *known;

	if (!strncmp(it->key, KEY_FINAL_JOBS, strlen(KEY_FINAL_JOBS)) && it->value) {
		note_final_value(core, it->key + strlen(KEY_FINAL_JOBS), it->value);
	} else if (!strncmp(it->key, KEY_OPEN_JOBS, strlen(KEY_OPEN_JOBS)) && it->value) {
		index_note_open(core, it->key + strlen(KEY_OPEN_JOBS), it->value);
	} else if (!strncmp(it->key, KEY_OPEN_JOBS, strlen(KEY_OPEN_JOBS))) {
		/* Its final record comes with the same transaction; without one, nothing is known.
		 */
		known = index_find(core, it->key + strlen(KEY_OPEN_JOBS));
		if (known && !known->final)
			index_remove(core, known);
	}
}

static void answer_asked(struct core *core, struct user_request *request)
{
	struct indexed_job *k = index_find(core, request->id);

	core->api.lookup_count--;
	if (!k)
		user_read(core, request, KEY_FINAL_JOBS, on_final_read);
	else if (k->final || k->state == JOB_STATE_CANCELLED)
		user_request_answer_state(core, request, STATUS_OK, k->state,
					  k->final ? k->done_count : 0, 0);
	else
		answer_live(core, request, k);
}

static void asked_failed(struct core *core, struct user_request **list,
			 const struct call_answer *answer)
{
	struct user_request *request, *tmp;

	DL_FOREACH_SAFE (*list, request, tmp) {
		DL_DELETE(*list, request);
		core->api.lookup_count--;
		user_request_unserved(core, request, answer);
	}
}

/* Too much has happened since: an open job may be over by now, so none is known to be open. */
static void index_forget(struct core *core)
{
	struct indexed_job *known, *tmp;

	core->api.index_valid = false;
	HASH_ITER (hh, core->api.index, known, tmp)
		if (!known->final)
			index_remove(core, known);
}

static void on_changes(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct user_request *request, *tmp, *list = core->api.lookups_in_flight;
	json_t *o;

	(void)call;
	core->api.lookups_in_flight = NULL;
	core->api.index_in_flight = false;
	store_note_answer(core, answer);
	if (answer->status != STATUS_OK) {
		if (answer->status == STATUS_GONE)
			index_forget(core);
		/* The limit of requests, or too old: the next read may tell. */
		if (answer->status == STATUS_GONE ||
		    (answer->status == STATUS_TOO_MANY_REQUESTS && list &&
		     core->now - list->received_at < LOOKUP_MAX_WAIT_S)) {
			DL_CONCAT(list, core->api.lookups_waiting);
			core->api.lookups_waiting = list;
			core->api.index_retry_at = core->now + INDEX_RETRY_S;
		} else {
			asked_failed(core, &list, answer);
		}
		return;
	}
	o = wire_parse(answer->body, answer->len);
	wire_items(o, index_item, core);
	core->api.index_read_at = core->api.index_sent_at;
	if (wire_revision(o) > core->api.index_revision)
		core->api.index_revision = wire_revision(o);
	json_decref(o);
	DL_FOREACH_SAFE (list, request, tmp) {
		DL_DELETE(list, request);
		answer_asked(core, request);
	}
}

static void on_index_page(struct core *core, struct call *call, const struct call_answer *answer)
{
	bool first = !*core->api.index_cursor;
	json_t *o, *last;
	size_t n;

	(void)call;
	core->api.index_in_flight = false;
	store_note_answer(core, answer);
	core->api.index_retry_at = core->now + INDEX_RETRY_S;
	if (answer->status != STATUS_OK) {
		asked_failed(core, &core->api.lookups_waiting, answer);
		return;
	}
	o = wire_parse(answer->body, answer->len);
	if (first) {
		core->api.index_revision = wire_revision(o);
		core->api.index_read_at = call->sent_at;
	}
	wire_items(o, index_item, core);
	n = json_array_size(json_object_get(o, W_ITEMS));
	last = json_object_get(json_array_get(json_object_get(o, W_ITEMS), n ? n - 1 : 0), W_KEY);
	snprintf(core->api.index_cursor, sizeof(core->api.index_cursor), "%s",
		 last ? json_string_value(last) : "");
	if (!wire_more(o)) {
		core->api.index_valid = true;
		core->api.index_cursor[0] = 0;
	}
	core->api.index_retry_at = core->now;
	json_decref(o);
}

/* Nobody has asked for a while: what has changed since is read before it is much. */
static bool index_idle(const struct core *core)
{
	return core->api.index_valid && !store_is_unavailable(core) &&
	       core->now - core->api.index_sent_at > INDEX_IDLE_S;
}

/* One answer with all that may have changed since would be too large: the pages are read again. */
static bool index_far_behind(const struct core *core)
{
	double changes = (core->now - core->api.index_read_at) * core->conf->limits.write_rps;

	return changes > INDEX_CHANGES_MAX;
}

static void index_tick(struct core *core)
{
	if (core->api.index_in_flight || core->now < core->api.index_retry_at ||
	    !(core->api.lookups_waiting || index_idle(core)))
		return;
	if (core->api.index_valid && index_far_behind(core))
		index_forget(core);
	core->api.index_in_flight = true;
	if (!core->api.index_valid) {
		store_range(core, KEY_OPEN_JOBS, core->api.index_cursor, on_index_page, NULL);
		return;
	}
	core->api.index_retry_at = core->now + INDEX_BATCH_S;
	core->api.index_sent_at = core->now;
	core->api.lookups_in_flight = core->api.lookups_waiting;
	core->api.lookups_waiting = NULL;
	store_watch(core, KEY_JOBS, core->api.index_revision, 0, on_changes, NULL);
}

void api_tick(struct core *core)
{
	submissions_tick(core);
	index_tick(core);
}

struct user_request *user_request_new(struct core *core, uint64_t conn, enum user_kind kind,
				      const char *id)
{
	struct user_request *request = xcalloc(1, sizeof(*request));

	request->conn = conn;
	request->kind = kind;
	request->received_at = core->now;
	request->received_wall = core->wall;
	memcpy(request->id, id, strnlen(id, sizeof(request->id) - 1));
	return request;
}

static void job_route(struct core *core, const struct core_request *request, const char *rest)
{
	char id[ID_MAX + 1];
	const char *slash = strchr(rest, '/');
	size_t n = slash ? (size_t)(slash - rest) : strlen(rest);

	if (n >= sizeof(id))
		n = sizeof(id) - 1; /* longer than any id: not valid, whatever follows */
	memcpy(id, rest, n);
	id[n] = 0;
	if (slash && strcmp(slash, W_PATH_CANCEL))
		core_reply_error(core, request->conn, STATUS_NOT_FOUND, 0, "no such path");
	else if (strcmp(request->method, slash ? "POST" : "GET"))
		core_reply_error(core, request->conn, STATUS_METHOD_NOT_ALLOWED, 0, "method");
	else if (!wire_job_id_ok(id))
		core_reply_error(core, request->conn, STATUS_NOT_FOUND, 0, "no such job");
	else
		user_request_lookup(core, user_request_new(core, request->conn,
							   slash ? USER_CANCEL : USER_POLL, id));
}

void api_request(struct core *core, const struct core_request *request)
{
	size_t n = strlen(W_PATH_JOBS);

	if (!strcmp(request->path, W_PATH_READY)) {
		if (strcmp(request->method, "GET"))
			core_reply_error(core, request->conn, STATUS_METHOD_NOT_ALLOWED, 0,
					 "method");
		else
			core_reply(core, request->conn,
				   peers_ready(core) ? STATUS_OK : STATUS_UNAVAILABLE, 0,
				   xstrdup("{}"));
	} else if (!strcmp(request->path, W_PATH_JOBS)) {
		if (strcmp(request->method, "POST"))
			core_reply_error(core, request->conn, STATUS_METHOD_NOT_ALLOWED, 0,
					 "method");
		else
			submissions_take(core, request);
	} else if (!strncmp(request->path, W_PATH_JOBS "/", n + 1)) {
		job_route(core, request, request->path + n + 1);
	} else {
		core_reply_error(core, request->conn, STATUS_NOT_FOUND, 0, "no such path");
	}
}

void api_clear(struct core *core)
{
	struct user_request *request, *tmp;
	struct indexed_job *known, *ktmp;

	DL_FOREACH_SAFE (core->api.submissions, request, tmp)
		user_request_free(request);
	DL_FOREACH_SAFE (core->api.submissions_in_flight, request, tmp)
		user_request_free(request);
	DL_FOREACH_SAFE (core->api.lookups_waiting, request, tmp)
		user_request_free(request);
	DL_FOREACH_SAFE (core->api.lookups_in_flight, request, tmp)
		user_request_free(request);
	HASH_ITER (hh, core->api.index, known, ktmp) {
		HASH_DEL(core->api.index, known);
		free(known);
	}
}
