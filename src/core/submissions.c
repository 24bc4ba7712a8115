#include "core/submissions.h"

#include <math.h>
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
static size_t record_bytes(const struct user_req *request)
{
	json_t *record = users_record(request->spec, request->wall, true);
	size_t bytes = wire_value_bytes(record);

	json_decref(record);
	return bytes;
}

/* --- batches --- */

static struct user_req *take_submitted(struct core *core)
{
	struct user_req *list = core->users.submits_in_flight;

	core->users.submits_in_flight = NULL;
	return list;
}

static void submit_accepted(struct core *core, struct user_req *list)
{
	struct user_req *request, *tmp;

	DL_FOREACH_SAFE (list, request, tmp) {
		DL_DELETE(list, request);
		log_info("accepted", "job=%s class=%s team=%s tasks=%u", request->id,
			 request->spec->class_name, request->spec->team, request->spec->ntasks);
		user_state(core, request, 201, JS_QUEUED, 0, 0);
	}
}

static void submit_conflict(struct core *core, struct user_req *list, const char *body, size_t len)
{
	json_t *o = wire_parse(body, len);
	struct user_req *request, *tmp;

	DL_FOREACH_SAFE (list, request, tmp) {
		char j[ID_MAX + 8], f[ID_MAX + 8];

		DL_DELETE(list, request);
		snprintf(j, sizeof(j), JOBS_OPEN "%s", request->id);
		snprintf(f, sizeof(f), JOBS_OVER "%s", request->id);
		if (wire_failed_has(o, j) || wire_failed_has(o, f)) {
			user_lookup(core, request);
		} else {
			DL_PREPEND(core->users.submits, request);
			core->users.nsubmits++;
		}
	}
	json_decref(o);
}

/*
 * A 400 is definite: too many jobs for one transaction, which are sent in smaller ones, or a record
 * that is too large.
 */
static void submit_too_large(struct core *core, struct user_req *list)
{
	struct user_req *request, *tmp;
	int count;

	DL_COUNT(list, request, count);
	limits_refused(core, count, core->users.submit_largest);
	DL_FOREACH_SAFE (list, request, tmp) {
		DL_DELETE(list, request);
		if (count <= LIMITS_TXN_OPS_MIN &&
		    record_bytes(request) > limits_value_bytes(core)) {
			user_fail(core, request, 422, 0, RECORD_TOO_LARGE);
		} else if (count == 1) {
			user_fail(core, request, 503, RETRY_AFTER_S, "state");
		} else {
			DL_PREPEND(core->users.submits, request);
			core->users.nsubmits++;
		}
	}
}

static void submit_refused(struct core *core, struct user_req *list, int status)
{
	struct user_req *request, *tmp;

	if (status == 400) {
		submit_too_large(core, list);
		return;
	}
	DL_FOREACH_SAFE (list, request, tmp) {
		DL_DELETE(list, request);
		if (status == 0) {
			/* It may have been committed, or may yet be: look before saying anything.
			 */
			request->settled = true;
			user_lookup(core, request);
		} else {
			user_unserved(core, request, status);
		}
	}
}

static void on_submit(struct core *core, struct call *call, int status, const char *body,
		      size_t len)
{
	struct user_req *list = take_submitted(core);

	(void)call;
	store_heard(core, status);
	if (status == 200)
		submit_accepted(core, list);
	else if (status == 409)
		submit_conflict(core, list, body, len);
	else
		submit_refused(core, list, status);
}

static void add_submit(struct txn *txn, const struct user_req *request)
{
	char key[ID_MAX + 8];

	snprintf(key, sizeof(key), JOBS_OVER "%s", request->id);
	txn_guard(txn, key, 0);
	snprintf(key, sizeof(key), JOBS_OPEN "%s", request->id);
	txn_guard(txn, key, 0);
	txn_put(txn, key, users_record(request->spec, request->wall, false), 0);
}

static bool in_flight(const struct core *core, const struct user_req *u)
{
	const struct user_req *o;

	DL_FOREACH (core->users.submits_in_flight, o)
		if (!strcmp(o->id, u->id))
			return true;
	return false;
}

void submissions_tick(struct core *core)
{
	struct user_req *request, *tmp;
	struct txn_mark mark;
	struct txn txn;

	if (core->users.submits_in_flight || !core->users.submits)
		return;
	txn_begin(&txn);
	DL_FOREACH_SAFE (core->users.submits, request, tmp) {
		if (txn.nops >= limits_txn_ops(core))
			break;
		if (in_flight(core, request))
			continue; /* the same job twice in one batch would fight itself */
		mark = txn_mark(&txn);
		add_submit(&txn, request);
		if (mark.nops && txn_bytes(&txn) > SUBMIT_BATCH_BYTES) {
			txn_rollback(&txn, &mark);
			break;
		}
		DL_DELETE(core->users.submits, request);
		core->users.nsubmits--;
		DL_APPEND(core->users.submits_in_flight, request);
	}
	core->users.submit_largest = txn.largest;
	store_commit(core, txn_finish(&txn), on_submit, NULL);
}

/* --- validation --- */

static bool zone_fits(const struct machine_type *type, const struct job_spec *spec)
{
	for (int i = 0; i < type->zones.count; i++)
		if (!*spec->zone || !strcmp(type->zones.names[i], spec->zone))
			return true;
	return false;
}

static bool type_fits(const struct machine_type *type, const struct job_spec *spec)
{
	return zone_fits(type, spec) && machine_allowed(type, spec->zone, false, spec) &&
	       spec->cpus <= type->cpus && spec->gpus <= type->gpus && spec->mem_gb <= type->mem_gb;
}

static bool fits_some_type(const struct core *core, const struct job_spec *spec)
{
	for (size_t i = 0; i < core->catalog.ntypes; i++)
		if (type_fits(&core->catalog.types[i], spec))
			return true;
	return false;
}

/* At most half of a scattered gang runs in one zone, so there must be two that it may use. */
static bool zones_suffice(const struct core *core, const struct job_spec *spec)
{
	const char *first = NULL;

	if (!spec->spread || spec->kind == JOB_ARRAY || spec->ntasks < 2)
		return true;
	if (spec->one_zone || *spec->zone)
		return false;
	for (size_t i = 0; i < core->catalog.ntypes; i++) {
		const struct machine_type *type = &core->catalog.types[i];

		for (int k = 0; k < type->zones.count && type_fits(type, spec); k++) {
			if (first && strcmp(first, type->zones.names[k]))
				return true;
			first = type->zones.names[k];
		}
	}
	return false;
}

static void judge(struct core *core, struct user_req *request)
{
	if (!team_find(core, request->spec->team)) {
		request->verdict = 422;
		request->why = "unknown team";
	} else if (!team_ever_fits(core->conf, request->spec)) {
		request->verdict = 422;
		request->why = "beyond the team's limit";
	} else if (!core->catalog.types) {
		request->verdict = 503;
		request->why = "machine types not known yet";
	} else if (!fits_some_type(core, request->spec)) {
		request->verdict = 422;
		request->why = "fits no allowed machine";
	} else if (!zones_suffice(core, request->spec)) {
		request->verdict = 422;
		request->why = "scattered, and no two zones allowed";
	} else if (record_bytes(request) > limits_job_record_bytes(core)) {
		request->verdict = 422;
		request->why = RECORD_TOO_LARGE;
	}
}

/* Submissions that may wait: what is written within some seconds. */
static int queue_max(const struct core *core)
{
	return (int)fmax(USER_QUEUE_LEAST, USER_QUEUE_S * limits_write_rps(core));
}

void submissions_take(struct core *core, const struct core_request *r)
{
	json_t *o = wire_parse(r->body, r->len);
	const char *id = json_string_value(json_object_get(o, W_ID)), *why;
	struct user_req *u;

	/* Without a valid id it can't be a job that was accepted. */
	if (!id || !wire_job_id_ok(id)) {
		core_reply_error(core, r->conn, 400, 0, o ? W_ID : "not JSON");
		json_decref(o);
		return;
	}
	log_debug("submission", "body=%.600s", r->body);
	u = user_req_new(core, r->conn, USER_SUBMIT, id);
	u->spec = calloc(1, sizeof(*u->spec));
	u->body = strndup(r->body, r->len);
	if (!u->spec || !u->body)
		abort();
	if (wire_job_decode(o, u->spec, &why)) {
		u->verdict = 400;
		u->why = why;
	} else {
		judge(core, u);
	}
	json_decref(o);
	if (u->verdict) {
		user_lookup(core, u);
	} else if (core->users.nsubmits >= queue_max(core)) {
		user_fail(core, u, 429, RETRY_AFTER_BUSY_S, "busy");
	} else if (!user_answer_final(core, u)) {
		DL_APPEND(core->users.submits, u);
		core->users.nsubmits++;
	}
}
