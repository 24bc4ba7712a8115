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

static void user_free(void *arg)
{
	struct user_req *u = arg;

	free(u->spec);
	free(u);
}

static void user_fail(struct core *c, struct user_req *u, int status, int retry, const char *why)
{
	core_reply_error(c, u->conn, status, retry, why);
	user_free(u);
}

static void user_state(struct core *c, struct user_req *u, int status, enum job_state s,
		       uint32_t done, uint32_t running)
{
	core_reply(c, u->conn, status, 0, wire_job_answer(u->id, s, done, running));
	user_free(u);
}

/* --- final states, which never change --- */

void users_note_final(struct core *c, const char *id, enum job_state s, uint32_t ntasks)
{
	struct final *f;

	HASH_FIND_STR(c->finals, id, f);
	if (f)
		return;
	if (HASH_COUNT(c->finals) >= FINAL_CACHE_MAX) {
		f = c->finals;
		HASH_DEL(c->finals, f);
		free(f);
	}
	f = calloc(1, sizeof(*f));
	if (!f)
		abort();
	snprintf(f->id, sizeof(f->id), "%s", id);
	f->state = s;
	f->ntasks = ntasks;
	HASH_ADD_STR(c->finals, id, f);
}

static bool answer_final(struct core *c, struct user_req *u)
{
	struct final *f;

	HASH_FIND_STR(c->finals, u->id, f);
	if (!f)
		return false;
	user_state(c, u, 200, f->state, f->state == JS_DONE ? f->ntasks : 0, 0);
	return true;
}

/* --- reading a job's records: first the open one, then the final one --- */

static void user_lookup(struct core *c, struct user_req *u);

static void on_cancelled(struct core *c, struct call *call, int status, const char *body,
			 size_t len)
{
	struct user_req *u = call->arg;

	(void)body;
	(void)len;
	store_heard(c, status);
	if (status == 200) {
		log_info("cancel", "job=%s", u->id);
		user_state(c, u, 200, JS_CANCELLED, 0, 0);
	} else if (status == 409) {
		user_lookup(c, u);
	} else if (status == 0) {
		u->settled = true;
		user_lookup(c, u);
	} else {
		user_fail(c, u, 503, RETRY_AFTER_S, "state");
	}
}

static void user_cancel(struct core *c, struct user_req *u, const struct kv_item *it)
{
	json_t *v = json_copy(it->value);
	struct txn t;

	json_object_set_new(v, "cancelled", json_true());
	txn_begin(&t);
	txn_guard(&t, it->key, it->version);
	txn_put(&t, it->key, v, 0);
	store_commit(c, txn_finish(&t), on_cancelled, u)->drop = user_free;
}

static void answer_open(struct core *c, struct user_req *u, const struct kv_item *it)
{
	uint32_t done = 0, running = 0;
	struct job *j;

	if (json_is_true(json_object_get(it->value, "cancelled"))) {
		user_state(c, u, 200, JS_CANCELLED, 0, 0);
		return;
	}
	if (u->kind == USER_CANCEL) {
		if (u->settled || c->now - u->since > USER_WAIT_S)
			user_fail(c, u, 503, RETRY_AFTER_S, "unknown outcome");
		else
			user_cancel(c, u, it);
		return;
	}
	j = c->el.role == ROLE_LEAD ? job_find(c, u->id) : NULL;
	if (j) {
		done = j->ndone;
		running = j->nrunning;
	}
	user_state(c, u, 200, running ? JS_RUNNING : JS_QUEUED, done, running);
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

static void on_final_read(struct core *c, struct call *call, int status, const char *body,
			  size_t len)
{
	struct user_req *u = call->arg;
	struct kv_item it;
	const char *s;
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
		user_fail(c, u, status == 429 ? 429 : 503, RETRY_AFTER_S, "state");
		return;
	}
	s = json_string_value(json_object_get(it.value, "state"));
	users_note_final(c, u->id, s && !strcmp(s, W_ST_DONE) ? JS_DONE : JS_CANCELLED,
			 (uint32_t)json_integer_value(json_object_get(it.value, "tasks")));
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
		user_fail(c, u, status == 429 ? 429 : 503, RETRY_AFTER_S, "state");
	else
		answer_open(c, u, &it);
	json_decref(o);
}

static void user_lookup(struct core *c, struct user_req *u)
{
	if (answer_final(c, u))
		return;
	if (c->nreads >= USER_READS_MAX) {
		user_fail(c, u, 429, RETRY_AFTER_BUSY_S, "busy");
		return;
	}
	user_read(c, u, JOBS_OPEN, on_open_read);
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

static void submit_refused(struct core *c, struct user_req *list, int status)
{
	struct user_req *u, *tmp;

	DL_FOREACH_SAFE (list, u, tmp) {
		DL_DELETE(list, u);
		if (status == 0) {
			/* It may have been committed, or may yet be: look before saying anything.
			 */
			u->settled = true;
			user_lookup(c, u);
		} else {
			user_fail(c, u, status == 429 ? 429 : 503, RETRY_AFTER_S, "state");
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

static void add_submit(struct core *c, struct txn *t, struct user_req *u)
{
	char key[ID_MAX + 8];

	snprintf(key, sizeof(key), JOBS_OVER "%s", u->id);
	txn_guard(t, key, 0);
	snprintf(key, sizeof(key), JOBS_OPEN "%s", u->id);
	txn_guard(t, key, 0);
	txn_put(t, key, users_record(u->spec, c->wall, false), 0);
}

static bool in_flight(const struct core *c, const struct user_req *u)
{
	const struct user_req *o;

	DL_FOREACH (c->submit_flying, o)
		if (!strcmp(o->id, u->id))
			return true;
	return false;
}

void users_tick(struct core *c)
{
	struct user_req *u, *tmp;
	size_t bytes = 0;
	struct txn t;
	int n = 0;

	if (c->submit_flying || !c->submits)
		return;
	txn_begin(&t);
	DL_FOREACH_SAFE (c->submits, u, tmp) {
		size_t more = 1200 + (size_t)u->spec->ntypes * NAME_MAX_LEN;

		if (n && (n == c->conf->txn_ops || bytes + more > SUBMIT_BATCH_BYTES))
			break;
		if (in_flight(c, u))
			continue; /* the same job twice in one batch would fight itself */
		DL_DELETE(c->submits, u);
		c->nsubmits--;
		DL_APPEND(c->submit_flying, u);
		add_submit(c, &t, u);
		bytes += more;
		n++;
	}
	store_commit(c, txn_finish(&t), on_submit, NULL);
}

/* --- validation --- */

static bool zone_fits(const struct machine_type *t, const struct job_spec *s)
{
	for (int i = 0; i < t->nzones; i++)
		if (!*s->zone || !strcmp(t->zones[i], s->zone))
			return true;
	return false;
}

static bool fits_some_type(const struct core *c, const struct job_spec *s)
{
	for (size_t i = 0; i < c->ntypes; i++) {
		const struct machine_type *t = &c->types[i];

		if (zone_fits(t, s) && machine_allowed(t, s->zone, false, s) &&
		    s->cpus <= t->cpus && s->gpus <= t->gpus && s->mem_gb <= t->mem_gb)
			return true;
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
	if (!u->spec)
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
			core_reply(c, r->conn, 200, 0, strdup("{}"));
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
	struct final *f, *ftmp;

	DL_FOREACH_SAFE (c->submits, u, tmp)
		user_free(u);
	DL_FOREACH_SAFE (c->submit_flying, u, tmp)
		user_free(u);
	HASH_ITER (hh, c->finals, f, ftmp) {
		HASH_DEL(c->finals, f);
		free(f);
	}
}
