/* Users' requests, against the state service alone: every controller answers them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"

json_t *users_record(const struct job_spec *spec, double submitted, bool cancelled)
{
	json_t *o = json_pack("{s:o,s:f}", "spec", wire_job_encode(spec), "at", submitted);

	if (cancelled)
		json_object_set_new(o, "cancelled", json_true());
	return o;
}

#define RECORD_TOO_LARGE "description too long to be kept"

/* What a job's record takes at most: a cancellation is noted in it. */
static size_t record_bytes(const struct user_req *u)
{
	json_t *record = users_record(u->spec, u->wall, true);
	size_t bytes = wire_value_bytes(record);

	json_decref(record);
	return bytes;
}

static void user_free(void *arg)
{
	struct user_req *u = arg;

	free(u->spec);
	free(u->body);
	free(u);
}

static void user_fail(struct core *c, struct user_req *u, int status, int retry, const char *why)
{
	core_reply_error(c, u->conn, status, retry, why);
	user_free(u);
}

/* The state service does not serve us: another controller may be served, else the user is told. */
static void user_unserved(struct core *c, struct user_req *u, int status)
{
	if (status != 429 && forward_user(c, u))
		user_free(u);
	else
		user_fail(c, u, status == 429 ? 429 : 503, RETRY_AFTER_S, "state");
}

static void user_state(struct core *c, struct user_req *u, int status, enum job_state s,
		       uint32_t done, uint32_t running)
{
	if (s == JS_CANCELLED)
		peers_note_told(c, u->id, 0);
	core_reply(c, u->conn, status, 0, wire_job_answer(u->id, s, done, running));
	user_free(u);
}

/* --- what is known of jobs: all that are open, and the final states of the latest --- */

static struct known *known_find(struct core *c, const char *id)
{
	struct known *k;

	HASH_FIND_STR(c->known, id, k);
	return k;
}

static struct known *known_get(struct core *c, const char *id)
{
	struct known *k = known_find(c, id);

	if (k || strlen(id) >= ID_MAX)
		return k;
	k = calloc(1, sizeof(*k));
	if (!k)
		abort();
	snprintf(k->id, sizeof(k->id), "%s", id);
	HASH_ADD_STR(c->known, id, k);
	return k;
}

static void known_drop(struct core *c, struct known *k)
{
	c->nfinals -= k->final;
	HASH_DEL(c->known, k);
	free(k);
}

/* The oldest final states go first; they can be read again. */
static void known_trim(struct core *c)
{
	struct known *k, *tmp;

	HASH_ITER (hh, c->known, k, tmp) {
		if (c->nfinals <= FINAL_CACHE_MAX)
			return;
		if (k->final)
			known_drop(c, k);
	}
}

void users_note_final(struct core *c, const char *id, enum job_state s, uint32_t ntasks)
{
	struct known *k = known_get(c, id);

	if (!k || k->final)
		return;
	k->final = true;
	k->state = s;
	k->done = s == JS_DONE ? ntasks : 0;
	k->running = 0;
	c->nfinals++;
	known_trim(c);
}

static void known_open(struct core *c, const char *id, json_t *value)
{
	struct known *k = known_get(c, id);

	if (!k || k->final)
		return;
	k->state = json_is_true(json_object_get(value, "cancelled")) ? JS_CANCELLED : JS_QUEUED;
}

static bool answer_final(struct core *c, struct user_req *u)
{
	struct known *k = known_find(c, u->id);

	if (!k || !k->final)
		return false;
	user_state(c, u, 200, k->state, k->done, 0);
	return true;
}

/* --- reading a job's records: first the open one, then the final one --- */

static void user_lookup(struct core *c, struct user_req *u);

static void on_cancelled(struct core *c, struct call *call, int status, const char *body,
			 size_t len)
{
	struct user_req *u = call->arg;
	json_t *o;

	store_heard(c, status);
	if (status == 200) {
		o = wire_parse(body, len);
		log_info("cancel", "job=%s", u->id);
		job_cancel_told(c, u->id, wire_revision(o));
		peers_cancelled(c, u->id, wire_revision(o));
		peers_note_told(c, u->id, wire_revision(o));
		json_decref(o);
		user_state(c, u, 200, JS_CANCELLED, 0, 0);
	} else if (status == 409) {
		user_lookup(c, u);
	} else if (status == 0) {
		u->settled = true;
		user_lookup(c, u);
	} else {
		user_unserved(c, u, status);
	}
}

static void user_cancel(struct core *c, struct user_req *u, const struct kv_item *it)
{
	json_t *v = json_copy(it->value);
	struct txn t;

	json_object_set_new(v, "cancelled", json_true());
	/* A record from before a lower limit: where the job might have run is of no use any more.
	 */
	if (wire_value_bytes(v) > limits_value_bytes(c))
		json_object_del(json_object_get(v, "spec"), W_TYPES);
	txn_begin(&t);
	txn_guard(&t, it->key, it->version);
	txn_put(&t, it->key, v, 0);
	store_commit(c, txn_finish(&t), on_cancelled, u)->drop = user_free;
}

/* The leader knows how its tasks stand; another controller, what the leader told it of late. */
static void answer_live(struct core *c, struct user_req *u, const struct known *k)
{
	struct job *j = c->el.role == ROLE_LEAD ? job_find(c, u->id) : NULL;
	bool fresh = c->now - c->counts_at < COUNTS_KEEP_S;
	uint32_t done = j ? j->ndone : fresh && k ? k->done : 0;
	uint32_t running = j ? j->nrunning : fresh && k ? k->running : 0;

	c->counts_wanted = c->now;
	user_state(c, u, 200, running ? JS_RUNNING : JS_QUEUED, done, running);
}

static void answer_open(struct core *c, struct user_req *u, const struct kv_item *it)
{
	if (json_is_true(json_object_get(it->value, "cancelled")))
		user_state(c, u, 200, JS_CANCELLED, 0, 0);
	else if (u->kind != USER_CANCEL)
		answer_live(c, u, known_find(c, u->id));
	else if (u->settled || c->now - u->since > USER_WAIT_S)
		user_fail(c, u, 503, RETRY_AFTER_S, "unknown outcome");
	else
		user_cancel(c, u, it);
}

static void answer_absent(struct core *c, struct user_req *u)
{
	if (u->kind != USER_SUBMIT)
		user_fail(c, u, 404, 0, "no such job");
	else if (u->verdict == 503)
		user_fail(c, u, 503, RETRY_AFTER_S, u->why);
	else if (u->verdict)
		user_fail(c, u, u->verdict, 0, u->why);
	else
		user_fail(c, u, 503, RETRY_AFTER_S, "unknown outcome");
}

static void note_final_value(struct core *c, const char *id, json_t *value)
{
	const char *s = json_string_value(json_object_get(value, "state"));

	users_note_final(c, id, s && !strcmp(s, W_ST_DONE) ? JS_DONE : JS_CANCELLED,
			 (uint32_t)json_integer_value(json_object_get(value, "tasks")));
}

static void on_final_read(struct core *c, struct call *call, int status, const char *body,
			  size_t len)
{
	struct user_req *u = call->arg;
	struct kv_item it;
	json_t *o;

	c->nreads--;
	store_heard(c, status);
	if (status == 404) {
		answer_absent(c, u);
		return;
	}
	o = status == 200 ? wire_parse(body, len) : NULL;
	if (!o || wire_kv(o, &it)) {
		json_decref(o);
		user_unserved(c, u, status);
		return;
	}
	note_final_value(c, u->id, it.value);
	json_decref(o);
	if (!answer_final(c, u))
		user_fail(c, u, 503, RETRY_AFTER_S, "state");
}

static void user_read(struct core *c, struct user_req *u, const char *prefix, call_fn fn)
{
	char key[ID_MAX + 8];

	snprintf(key, sizeof(key), "%s%s", prefix, u->id);
	c->nreads++;
	store_get(c, key, fn, u)->drop = user_free;
}

static void on_open_read(struct core *c, struct call *call, int status, const char *body,
			 size_t len)
{
	struct user_req *u = call->arg;
	struct kv_item it;
	json_t *o;

	c->nreads--;
	store_heard(c, status);
	if (status == 404) {
		user_read(c, u, JOBS_OVER, on_final_read);
		return;
	}
	o = status == 200 ? wire_parse(body, len) : NULL;
	if (!o || wire_kv(o, &it))
		user_unserved(c, u, status);
	else
		answer_open(c, u, &it);
	json_decref(o);
}

/*
 * A cancellation needs the record itself. All others wait for one read of changes that leaves after
 * they came: it tells of all of them at once, and is as new as their questions.
 */
static void user_lookup(struct core *c, struct user_req *u)
{
	if (answer_final(c, u))
		return;
	if (c->nreads >= USER_READS_SHARE * c->conf->max_connections) {
		user_fail(c, u, 429, RETRY_AFTER_BUSY_S, "busy");
		return;
	}
	if (u->kind == USER_CANCEL) {
		user_read(c, u, JOBS_OPEN, on_open_read);
		return;
	}
	DL_APPEND(c->asking, u);
	c->nreads++;
}

/* --- the index: one read of changes answers all who ask --- */

static void index_item(void *ctx, const struct kv_item *it)
{
	struct core *c = ctx;
	struct known *k;

	if (!strncmp(it->key, JOBS_OVER, strlen(JOBS_OVER)) && it->value) {
		note_final_value(c, it->key + strlen(JOBS_OVER), it->value);
	} else if (!strncmp(it->key, JOBS_OPEN, strlen(JOBS_OPEN)) && it->value) {
		known_open(c, it->key + strlen(JOBS_OPEN), it->value);
	} else if (!strncmp(it->key, JOBS_OPEN, strlen(JOBS_OPEN))) {
		/* Its final record comes with the same transaction; without one, nothing is known.
		 */
		k = known_find(c, it->key + strlen(JOBS_OPEN));
		if (k && !k->final)
			known_drop(c, k);
	}
}

static void answer_asked(struct core *c, struct user_req *u)
{
	struct known *k = known_find(c, u->id);

	c->nreads--;
	if (!k)
		user_read(c, u, JOBS_OVER, on_final_read);
	else if (k->final || k->state == JS_CANCELLED)
		user_state(c, u, 200, k->state, k->final ? k->done : 0, 0);
	else
		answer_live(c, u, k);
}

static void asked_failed(struct core *c, struct user_req **list, int status)
{
	struct user_req *u, *tmp;

	DL_FOREACH_SAFE (*list, u, tmp) {
		DL_DELETE(*list, u);
		c->nreads--;
		user_unserved(c, u, status);
	}
}

/* Too much has happened since: an open job may be over by now, so none is known to be open. */
static void index_forget(struct core *c)
{
	struct known *k, *tmp;

	c->index_known = false;
	HASH_ITER (hh, c->known, k, tmp)
		if (!k->final)
			known_drop(c, k);
}

static void on_changes(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	struct user_req *u, *tmp, *list = c->asked;
	json_t *o;

	(void)call;
	c->asked = NULL;
	c->index_out = false;
	store_heard(c, status);
	if (status != 200) {
		if (status == 410)
			index_forget(c);
		/* The limit of requests, or too old: the next read may tell. */
		if (status == 410 || (status == 429 && list && c->now - list->since < ASK_WAIT_S)) {
			DL_CONCAT(list, c->asking);
			c->asking = list;
			c->index_next = c->now + ASK_AGAIN_S;
		} else {
			asked_failed(c, &list, status);
		}
		return;
	}
	o = wire_parse(body, len);
	wire_items(o, index_item, c);
	if (wire_revision(o) > c->index_revision)
		c->index_revision = wire_revision(o);
	json_decref(o);
	DL_FOREACH_SAFE (list, u, tmp) {
		DL_DELETE(list, u);
		answer_asked(c, u);
	}
}

static void on_index_page(struct core *c, struct call *call, int status, const char *body,
			  size_t len)
{
	bool first = !*c->index_last;
	json_t *o, *last;
	size_t n;

	(void)call;
	c->index_out = false;
	store_heard(c, status);
	c->index_next = c->now + ASK_AGAIN_S;
	if (status != 200) {
		asked_failed(c, &c->asking, status);
		return;
	}
	o = wire_parse(body, len);
	if (first)
		c->index_revision = wire_revision(o);
	wire_items(o, index_item, c);
	n = json_array_size(json_object_get(o, W_ITEMS));
	last = json_object_get(json_array_get(json_object_get(o, W_ITEMS), n ? n - 1 : 0), W_KEY);
	snprintf(c->index_last, sizeof(c->index_last), "%s", last ? json_string_value(last) : "");
	if (!wire_more(o)) {
		c->index_known = true;
		c->index_last[0] = 0;
	}
	c->index_next = c->now;
	json_decref(o);
}

static void index_tick(struct core *c)
{
	if (c->index_out || !c->asking || c->now < c->index_next)
		return;
	c->index_out = true;
	if (!c->index_known) {
		store_range(c, JOBS_OPEN, c->index_last, on_index_page, NULL);
		return;
	}
	c->index_next = c->now + ASK_GATHER_S;
	c->asked = c->asking;
	c->asking = NULL;
	store_watch(c, JOBS_ALL, c->index_revision, 0, on_changes, NULL);
}

/* --- submissions, committed in batches --- */

static struct user_req *take_flying(struct core *c)
{
	struct user_req *list = c->submit_flying;

	c->submit_flying = NULL;
	return list;
}

static void submit_accepted(struct core *c, struct user_req *list)
{
	struct user_req *u, *tmp;

	DL_FOREACH_SAFE (list, u, tmp) {
		DL_DELETE(list, u);
		log_info("accepted", "job=%s class=%s team=%s tasks=%u", u->id, u->spec->class_name,
			 u->spec->team, u->spec->ntasks);
		user_state(c, u, 201, JS_QUEUED, 0, 0);
	}
}

static void submit_conflict(struct core *c, struct user_req *list, const char *body, size_t len)
{
	json_t *o = wire_parse(body, len);
	struct user_req *u, *tmp;

	DL_FOREACH_SAFE (list, u, tmp) {
		char j[ID_MAX + 8], f[ID_MAX + 8];

		DL_DELETE(list, u);
		snprintf(j, sizeof(j), JOBS_OPEN "%s", u->id);
		snprintf(f, sizeof(f), JOBS_OVER "%s", u->id);
		if (wire_failed_has(o, j) || wire_failed_has(o, f)) {
			user_lookup(c, u);
		} else {
			DL_PREPEND(c->submits, u);
			c->nsubmits++;
		}
	}
	json_decref(o);
}

/*
 * A 400 is definite: too many jobs for one transaction, which are sent in smaller ones, or a record
 * that is too large.
 */
static void submit_too_large(struct core *c, struct user_req *list)
{
	struct user_req *u, *tmp;
	int count;

	DL_COUNT(list, u, count);
	limits_refused(c, count, c->submit_largest);
	DL_FOREACH_SAFE (list, u, tmp) {
		DL_DELETE(list, u);
		if (count <= LIMITS_TXN_OPS_MIN && record_bytes(u) > limits_value_bytes(c)) {
			user_fail(c, u, 422, 0, RECORD_TOO_LARGE);
		} else if (count == 1) {
			user_fail(c, u, 503, RETRY_AFTER_S, "state");
		} else {
			DL_PREPEND(c->submits, u);
			c->nsubmits++;
		}
	}
}

static void submit_refused(struct core *c, struct user_req *list, int status)
{
	struct user_req *u, *tmp;

	if (status == 400) {
		submit_too_large(c, list);
		return;
	}
	DL_FOREACH_SAFE (list, u, tmp) {
		DL_DELETE(list, u);
		if (status == 0) {
			/* It may have been committed, or may yet be: look before saying anything.
			 */
			u->settled = true;
			user_lookup(c, u);
		} else {
			user_unserved(c, u, status);
		}
	}
}

static void on_submit(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	struct user_req *list = take_flying(c);

	(void)call;
	store_heard(c, status);
	if (status == 200)
		submit_accepted(c, list);
	else if (status == 409)
		submit_conflict(c, list, body, len);
	else
		submit_refused(c, list, status);
}

static void add_submit(struct txn *t, const struct user_req *u)
{
	char key[ID_MAX + 8];

	snprintf(key, sizeof(key), JOBS_OVER "%s", u->id);
	txn_guard(t, key, 0);
	snprintf(key, sizeof(key), JOBS_OPEN "%s", u->id);
	txn_guard(t, key, 0);
	txn_put(t, key, users_record(u->spec, u->wall, false), 0);
}

static bool in_flight(const struct core *c, const struct user_req *u)
{
	const struct user_req *o;

	DL_FOREACH (c->submit_flying, o)
		if (!strcmp(o->id, u->id))
			return true;
	return false;
}

static void submit_tick(struct core *c)
{
	struct user_req *u, *tmp;
	struct txn_mark mark;
	struct txn t;

	if (c->submit_flying || !c->submits)
		return;
	txn_begin(&t);
	DL_FOREACH_SAFE (c->submits, u, tmp) {
		if (t.nops >= limits_txn_ops(c))
			break;
		if (in_flight(c, u))
			continue; /* the same job twice in one batch would fight itself */
		mark = txn_mark(&t);
		add_submit(&t, u);
		if (mark.nops && txn_bytes(&t) > SUBMIT_BATCH_BYTES) {
			txn_rollback(&t, &mark);
			break;
		}
		DL_DELETE(c->submits, u);
		c->nsubmits--;
		DL_APPEND(c->submit_flying, u);
	}
	c->submit_largest = t.largest;
	store_commit(c, txn_finish(&t), on_submit, NULL);
}

void users_tick(struct core *c)
{
	submit_tick(c);
	index_tick(c);
}

/* --- validation --- */

static bool zone_fits(const struct machine_type *t, const struct job_spec *s)
{
	for (int i = 0; i < t->nzones; i++)
		if (!*s->zone || !strcmp(t->zones[i], s->zone))
			return true;
	return false;
}

static bool type_fits(const struct machine_type *t, const struct job_spec *s)
{
	return zone_fits(t, s) && machine_allowed(t, s->zone, false, s) && s->cpus <= t->cpus &&
	       s->gpus <= t->gpus && s->mem_gb <= t->mem_gb;
}

static bool fits_some_type(const struct core *c, const struct job_spec *s)
{
	for (size_t i = 0; i < c->ntypes; i++)
		if (type_fits(&c->types[i], s))
			return true;
	return false;
}

/* At most half of a scattered gang runs in one zone, so there must be two that it may use. */
static bool zones_suffice(const struct core *c, const struct job_spec *s)
{
	const char *first = NULL;

	if (!s->spread || s->kind == JOB_ARRAY || s->ntasks < 2)
		return true;
	if (s->one_zone || *s->zone)
		return false;
	for (size_t i = 0; i < c->ntypes; i++) {
		const struct machine_type *t = &c->types[i];

		for (int k = 0; k < t->nzones && type_fits(t, s); k++) {
			if (first && strcmp(first, t->zones[k]))
				return true;
			first = t->zones[k];
		}
	}
	return false;
}

static void judge(struct core *c, struct user_req *u)
{
	if (!team_find(c, u->spec->team)) {
		u->verdict = 422;
		u->why = "unknown team";
	} else if (!team_ever_fits(c->conf, u->spec)) {
		u->verdict = 422;
		u->why = "beyond the team's limit";
	} else if (!c->types) {
		u->verdict = 503;
		u->why = "machine types not known yet";
	} else if (!fits_some_type(c, u->spec)) {
		u->verdict = 422;
		u->why = "fits no allowed machine";
	} else if (!zones_suffice(c, u->spec)) {
		u->verdict = 422;
		u->why = "scattered, and no two zones allowed";
	} else if (record_bytes(u) > limits_job_record_bytes(c)) {
		u->verdict = 422;
		u->why = RECORD_TOO_LARGE;
	}
}

static struct user_req *user_new(struct core *c, uint64_t conn, enum user_kind kind, const char *id)
{
	struct user_req *u = calloc(1, sizeof(*u));

	if (!u)
		abort();
	u->conn = conn;
	u->kind = kind;
	u->since = c->now;
	u->wall = c->wall;
	memcpy(u->id, id, strnlen(id, sizeof(u->id) - 1));
	return u;
}

static void submit(struct core *c, const struct core_request *r)
{
	json_t *o = wire_parse(r->body, r->len);
	const char *id = json_string_value(json_object_get(o, W_ID)), *why;
	struct user_req *u;

	/* Without a valid id it can't be a job that was accepted. */
	if (!id || !wire_job_id_ok(id)) {
		core_reply_error(c, r->conn, 400, 0, o ? W_ID : "not JSON");
		json_decref(o);
		return;
	}
	log_debug("submission", "body=%.600s", r->body);
	u = user_new(c, r->conn, USER_SUBMIT, id);
	u->spec = calloc(1, sizeof(*u->spec));
	u->body = strndup(r->body, r->len);
	if (!u->spec || !u->body)
		abort();
	if (wire_job_decode(o, u->spec, &why)) {
		u->verdict = 400;
		u->why = why;
	} else {
		judge(c, u);
	}
	json_decref(o);
	if (u->verdict) {
		user_lookup(c, u);
	} else if (c->nsubmits >= USER_QUEUE_MAX) {
		user_fail(c, u, 429, RETRY_AFTER_BUSY_S, "busy");
	} else if (!answer_final(c, u)) {
		DL_APPEND(c->submits, u);
		c->nsubmits++;
	}
}

static void job_route(struct core *c, const struct core_request *r, const char *rest)
{
	char id[ID_MAX + 1];
	const char *slash = strchr(rest, '/');
	size_t n = slash ? (size_t)(slash - rest) : strlen(rest);

	if (n >= sizeof(id))
		n = sizeof(id) - 1; /* longer than any id: not valid, whatever follows */
	memcpy(id, rest, n);
	id[n] = 0;
	if (slash && strcmp(slash, W_PATH_CANCEL))
		core_reply_error(c, r->conn, 404, 0, "no such path");
	else if (strcmp(r->method, slash ? "POST" : "GET"))
		core_reply_error(c, r->conn, 405, 0, "method");
	else if (!wire_job_id_ok(id))
		core_reply_error(c, r->conn, 404, 0, "no such job");
	else
		user_lookup(c, user_new(c, r->conn, slash ? USER_CANCEL : USER_POLL, id));
}

void users_request(struct core *c, const struct core_request *r)
{
	size_t n = strlen(W_PATH_JOBS);

	if (!strcmp(r->path, W_PATH_READY)) {
		if (strcmp(r->method, "GET"))
			core_reply_error(c, r->conn, 405, 0, "method");
		else
			core_reply(c, r->conn, peers_ready(c) ? 200 : 503, 0, strdup("{}"));
	} else if (!strcmp(r->path, W_PATH_JOBS)) {
		if (strcmp(r->method, "POST"))
			core_reply_error(c, r->conn, 405, 0, "method");
		else
			submit(c, r);
	} else if (!strncmp(r->path, W_PATH_JOBS "/", n + 1)) {
		job_route(c, r, r->path + n + 1);
	} else {
		core_reply_error(c, r->conn, 404, 0, "no such path");
	}
}

void users_clear(struct core *c)
{
	struct user_req *u, *tmp;
	struct known *k, *ktmp;

	DL_FOREACH_SAFE (c->submits, u, tmp)
		user_free(u);
	DL_FOREACH_SAFE (c->submit_flying, u, tmp)
		user_free(u);
	DL_FOREACH_SAFE (c->asking, u, tmp)
		user_free(u);
	DL_FOREACH_SAFE (c->asked, u, tmp)
		user_free(u);
	HASH_ITER (hh, c->known, k, ktmp) {
		HASH_DEL(c->known, k);
		free(k);
	}
}
