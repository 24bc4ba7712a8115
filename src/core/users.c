/*
 * Users' requests, against the state service alone: every controller answers them. Submissions are
 * in submissions.c.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "core/submissions.h"
#include "util/log.h"
#include "wire/names.h"

void user_free(void *arg)
{
	struct user_req *request = arg;

	if (request->spec)
		wire_job_free(request->spec);
	free(request->spec);
	free(request->body);
	free(request);
}

void user_fail(struct core *core, struct user_req *request, int status, int retry, const char *why)
{
	core_reply_error(core, request->conn, status, retry, why);
	user_free(request);
}

/* The state service does not serve us: another controller may be served, else the user is told. */
void user_unserved(struct core *core, struct user_req *request, int status)
{
	if (status != 429 && forward_user(core, request))
		user_free(request);
	else
		user_fail(core, request, status == 429 ? 429 : 503, RETRY_AFTER_S, "state");
}

void user_state(struct core *core, struct user_req *request, int status, enum job_state s,
		uint32_t done, uint32_t running)
{
	if (s == JS_CANCELLED)
		peers_note_confirmed(core, request->id, 0);
	core_reply(core, request->conn, status, 0, wire_job_answer(request->id, s, done, running));
	user_free(request);
}

/* --- what is known of jobs: all that are open, and the final states of the latest --- */

static struct known *known_find(struct core *core, const char *id)
{
	struct known *known;

	HASH_FIND_STR(core->users.known, id, known);
	return known;
}

static struct known *known_get(struct core *core, const char *id)
{
	struct known *known = known_find(core, id);

	if (known || strlen(id) >= ID_MAX)
		return known;
	known = calloc(1, sizeof(*known));
	if (!known)
		abort();
	snprintf(known->id, sizeof(known->id), "%s", id);
	HASH_ADD_STR(core->users.known, id, known);
	return known;
}

static void known_drop(struct core *core, struct known *known)
{
	if (known->final) {
		DL_DELETE(core->users.finals, known);
		core->users.nfinals--;
	}
	HASH_DEL(core->users.known, known);
	free(known);
}

/* The oldest final states go first; they can be read again. */
static void finals_trim(struct core *core)
{
	while (core->users.nfinals > FINAL_CACHE_MAX)
		known_drop(core, core->users.finals);
}

void users_note_final(struct core *core, const char *id, enum job_state s, uint32_t ntasks)
{
	struct known *known = known_get(core, id);

	if (!known || known->final)
		return;
	known->final = true;
	known->state = s;
	known->done = s == JS_DONE ? ntasks : 0;
	known->running = 0;
	DL_APPEND(core->users.finals, known);
	core->users.nfinals++;
	finals_trim(core);
}

static void known_open(struct core *core, const char *id, json_t *value)
{
	struct known *known = known_get(core, id);

	if (!known || known->final)
		return;
	known->state = json_is_true(json_object_get(value, "cancelled")) ? JS_CANCELLED : JS_QUEUED;
}

bool user_answer_final(struct core *core, struct user_req *request)
{
	struct known *k = known_find(core, request->id);

	if (!k || !k->final)
		return false;
	user_state(core, request, 200, k->state, k->done, 0);
	return true;
}

/* --- reading a job's records: first the open one, then the final one --- */

static void on_cancelled(struct core *core, struct call *call, int status, const char *body,
			 size_t len)
{
	struct user_req *request = call->arg;
	json_t *o;

	store_heard(core, status);
	if (status == 200) {
		o = wire_parse(body, len);
		log_info("cancel", "job=%s", request->id);
		job_cancel_committed(core, request->id, wire_revision(o));
		peers_cancelled(core, request->id, wire_revision(o));
		peers_note_confirmed(core, request->id, wire_revision(o));
		json_decref(o);
		user_state(core, request, 200, JS_CANCELLED, 0, 0);
	} else if (status == 409) {
		user_lookup(core, request);
	} else if (status == 0) {
		request->settled = true;
		user_lookup(core, request);
	} else {
		user_unserved(core, request, status);
	}
}

static void user_cancel(struct core *core, struct user_req *request, const struct kv_item *it)
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
	store_commit(core, txn_finish(&txn), on_cancelled, request)->drop = user_free;
}

/* The leader knows how its tasks stand; another controller, what the leader told it of late. */
static void answer_live(struct core *core, struct user_req *request, const struct known *known)
{
	struct job *j = core->election.role == ROLE_LEAD ? job_find(core, request->id) : NULL;
	bool fresh = core->now - core->users.counts_at < COUNTS_KEEP_S;
	uint32_t done = j ? j->ndone : fresh && known ? known->done : 0;
	uint32_t running = j ? j->nrunning : fresh && known ? known->running : 0;

	core->users.counts_wanted = core->now;
	user_state(core, request, 200, running ? JS_RUNNING : JS_QUEUED, done, running);
}

static void answer_open(struct core *core, struct user_req *request, const struct kv_item *it)
{
	if (json_is_true(json_object_get(it->value, "cancelled")))
		user_state(core, request, 200, JS_CANCELLED, 0, 0);
	else if (request->kind != USER_CANCEL)
		answer_live(core, request, known_find(core, request->id));
	else if (request->settled || core->now - request->since > USER_WAIT_S)
		user_fail(core, request, 503, RETRY_AFTER_S, "unknown outcome");
	else
		user_cancel(core, request, it);
}

static void answer_absent(struct core *core, struct user_req *request)
{
	if (request->kind != USER_SUBMIT)
		user_fail(core, request, 404, 0, "no such job");
	else if (request->verdict == 503)
		user_fail(core, request, 503, RETRY_AFTER_S, request->why);
	else if (request->verdict)
		user_fail(core, request, request->verdict, 0, request->why);
	else
		user_fail(core, request, 503, RETRY_AFTER_S, "unknown outcome");
}

static void note_final_value(struct core *core, const char *id, json_t *value)
{
	const char *s = json_string_value(json_object_get(value, "state"));

	users_note_final(core, id, s && !strcmp(s, W_ST_DONE) ? JS_DONE : JS_CANCELLED,
			 (uint32_t)json_integer_value(json_object_get(value, "tasks")));
}

static void on_final_read(struct core *core, struct call *call, int status, const char *body,
			  size_t len)
{
	struct user_req *request = call->arg;
	struct kv_item it;
	json_t *o;

	core->users.nreads--;
	store_heard(core, status);
	if (status == 404) {
		answer_absent(core, request);
		return;
	}
	o = status == 200 ? wire_parse(body, len) : NULL;
	if (!o || wire_kv(o, &it)) {
		json_decref(o);
		user_unserved(core, request, status);
		return;
	}
	note_final_value(core, request->id, it.value);
	json_decref(o);
	if (!user_answer_final(core, request))
		user_fail(core, request, 503, RETRY_AFTER_S, "state");
}

static void user_read(struct core *core, struct user_req *request, const char *prefix, call_fn fn)
{
	char key[ID_MAX + 8];

	snprintf(key, sizeof(key), "%s%s", prefix, request->id);
	core->users.nreads++;
	store_get(core, key, fn, request)->drop = user_free;
}

static void on_open_read(struct core *core, struct call *call, int status, const char *body,
			 size_t len)
{
	struct user_req *request = call->arg;
	struct kv_item it;
	json_t *o;

	core->users.nreads--;
	store_heard(core, status);
	if (status == 404) {
		user_read(core, request, JOBS_OVER, on_final_read);
		return;
	}
	o = status == 200 ? wire_parse(body, len) : NULL;
	if (!o || wire_kv(o, &it))
		user_unserved(core, request, status);
	else
		answer_open(core, request, &it);
	json_decref(o);
}

/*
 * A cancellation needs the record itself. All others wait for one read of changes that leaves after
 * they came: it tells of all of them at once, and is as new as their questions.
 */
void user_lookup(struct core *core, struct user_req *request)
{
	if (user_answer_final(core, request))
		return;
	if (core->users.nreads >= USER_READS_SHARE * core->conf->max_connections) {
		user_fail(core, request, 429, RETRY_AFTER_BUSY_S, "busy");
		return;
	}
	if (request->kind == USER_CANCEL) {
		user_read(core, request, JOBS_OPEN, on_open_read);
		return;
	}
	DL_APPEND(core->users.asking, request);
	core->users.nreads++;
}

/* --- the index: one read of changes answers all who ask --- */

static void index_item(void *ctx, const struct kv_item *it)
{
	struct core *core = ctx;
	struct known *known;

	if (!strncmp(it->key, JOBS_OVER, strlen(JOBS_OVER)) && it->value) {
		note_final_value(core, it->key + strlen(JOBS_OVER), it->value);
	} else if (!strncmp(it->key, JOBS_OPEN, strlen(JOBS_OPEN)) && it->value) {
		known_open(core, it->key + strlen(JOBS_OPEN), it->value);
	} else if (!strncmp(it->key, JOBS_OPEN, strlen(JOBS_OPEN))) {
		/* Its final record comes with the same transaction; without one, nothing is known.
		 */
		known = known_find(core, it->key + strlen(JOBS_OPEN));
		if (known && !known->final)
			known_drop(core, known);
	}
}

static void answer_asked(struct core *core, struct user_req *request)
{
	struct known *k = known_find(core, request->id);

	core->users.nreads--;
	if (!k)
		user_read(core, request, JOBS_OVER, on_final_read);
	else if (k->final || k->state == JS_CANCELLED)
		user_state(core, request, 200, k->state, k->final ? k->done : 0, 0);
	else
		answer_live(core, request, k);
}

static void asked_failed(struct core *core, struct user_req **list, int status)
{
	struct user_req *request, *tmp;

	DL_FOREACH_SAFE (*list, request, tmp) {
		DL_DELETE(*list, request);
		core->users.nreads--;
		user_unserved(core, request, status);
	}
}

/* Too much has happened since: an open job may be over by now, so none is known to be open. */
static void index_forget(struct core *core)
{
	struct known *known, *tmp;

	core->users.index_known = false;
	HASH_ITER (hh, core->users.known, known, tmp)
		if (!known->final)
			known_drop(core, known);
}

static void on_changes(struct core *core, struct call *call, int status, const char *body,
		       size_t len)
{
	struct user_req *request, *tmp, *list = core->users.asked;
	json_t *o;

	(void)call;
	core->users.asked = NULL;
	core->users.index_out = false;
	store_heard(core, status);
	if (status != 200) {
		if (status == 410)
			index_forget(core);
		/* The limit of requests, or too old: the next read may tell. */
		if (status == 410 ||
		    (status == 429 && list && core->now - list->since < ASK_WAIT_S)) {
			DL_CONCAT(list, core->users.asking);
			core->users.asking = list;
			core->users.index_next = core->now + ASK_AGAIN_S;
		} else {
			asked_failed(core, &list, status);
		}
		return;
	}
	o = wire_parse(body, len);
	wire_items(o, index_item, core);
	core->users.index_read_at = core->users.index_sent;
	if (wire_revision(o) > core->users.index_revision)
		core->users.index_revision = wire_revision(o);
	json_decref(o);
	DL_FOREACH_SAFE (list, request, tmp) {
		DL_DELETE(list, request);
		answer_asked(core, request);
	}
}

static void on_index_page(struct core *core, struct call *call, int status, const char *body,
			  size_t len)
{
	bool first = !*core->users.index_last;
	json_t *o, *last;
	size_t n;

	(void)call;
	core->users.index_out = false;
	store_heard(core, status);
	core->users.index_next = core->now + ASK_AGAIN_S;
	if (status != 200) {
		asked_failed(core, &core->users.asking, status);
		return;
	}
	o = wire_parse(body, len);
	if (first) {
		core->users.index_revision = wire_revision(o);
		core->users.index_read_at = call->sent;
	}
	wire_items(o, index_item, core);
	n = json_array_size(json_object_get(o, W_ITEMS));
	last = json_object_get(json_array_get(json_object_get(o, W_ITEMS), n ? n - 1 : 0), W_KEY);
	snprintf(core->users.index_last, sizeof(core->users.index_last), "%s",
		 last ? json_string_value(last) : "");
	if (!wire_more(o)) {
		core->users.index_known = true;
		core->users.index_last[0] = 0;
	}
	core->users.index_next = core->now;
	json_decref(o);
}

/* Nobody has asked for a while: what has changed since is read before it is much. */
static bool index_idle(const struct core *core)
{
	return core->users.index_known && !core->state_down &&
	       core->now - core->users.index_sent > INDEX_IDLE_S;
}

/* One answer with all that may have changed since would be too large: the pages are read again. */
static bool index_far_behind(const struct core *core)
{
	double changes = (core->now - core->users.index_read_at) * core->conf->limits.write_rps;

	return changes > INDEX_CHANGES_MAX;
}

static void index_tick(struct core *core)
{
	if (core->users.index_out || core->now < core->users.index_next ||
	    !(core->users.asking || index_idle(core)))
		return;
	if (core->users.index_known && index_far_behind(core))
		index_forget(core);
	core->users.index_out = true;
	if (!core->users.index_known) {
		store_range(core, JOBS_OPEN, core->users.index_last, on_index_page, NULL);
		return;
	}
	core->users.index_next = core->now + ASK_GATHER_S;
	core->users.index_sent = core->now;
	core->users.asked = core->users.asking;
	core->users.asking = NULL;
	store_watch(core, JOBS_ALL, core->users.index_revision, 0, on_changes, NULL);
}

void users_tick(struct core *core)
{
	submissions_tick(core);
	index_tick(core);
}

struct user_req *user_req_new(struct core *core, uint64_t conn, enum user_kind kind, const char *id)
{
	struct user_req *request = calloc(1, sizeof(*request));

	if (!request)
		abort();
	request->conn = conn;
	request->kind = kind;
	request->since = core->now;
	request->wall = core->wall;
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
		core_reply_error(core, request->conn, 404, 0, "no such path");
	else if (strcmp(request->method, slash ? "POST" : "GET"))
		core_reply_error(core, request->conn, 405, 0, "method");
	else if (!wire_job_id_ok(id))
		core_reply_error(core, request->conn, 404, 0, "no such job");
	else
		user_lookup(core,
			    user_req_new(core, request->conn, slash ? USER_CANCEL : USER_POLL, id));
}

void users_request(struct core *core, const struct core_request *request)
{
	size_t n = strlen(W_PATH_JOBS);

	if (!strcmp(request->path, W_PATH_READY)) {
		if (strcmp(request->method, "GET"))
			core_reply_error(core, request->conn, 405, 0, "method");
		else
			core_reply(core, request->conn, peers_ready(core) ? 200 : 503, 0,
				   strdup("{}"));
	} else if (!strcmp(request->path, W_PATH_JOBS)) {
		if (strcmp(request->method, "POST"))
			core_reply_error(core, request->conn, 405, 0, "method");
		else
			submissions_take(core, request);
	} else if (!strncmp(request->path, W_PATH_JOBS "/", n + 1)) {
		job_route(core, request, request->path + n + 1);
	} else {
		core_reply_error(core, request->conn, 404, 0, "no such path");
	}
}

void users_clear(struct core *core)
{
	struct user_req *request, *tmp;
	struct known *known, *ktmp;

	DL_FOREACH_SAFE (core->users.submits, request, tmp)
		user_free(request);
	DL_FOREACH_SAFE (core->users.submits_in_flight, request, tmp)
		user_free(request);
	DL_FOREACH_SAFE (core->users.asking, request, tmp)
		user_free(request);
	DL_FOREACH_SAFE (core->users.asked, request, tmp)
		user_free(request);
	HASH_ITER (hh, core->users.known, known, ktmp) {
		HASH_DEL(core->users.known, known);
		free(known);
	}
}
