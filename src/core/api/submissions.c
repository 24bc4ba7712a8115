#include "core/api/submissions.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/api/cancellations.h"
#include "core/api/forwarding.h"
#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"
#include "util/xalloc.h"

json_t *job_record_value(const struct job_spec *spec, double submitted, bool cancelled)
{
	json_t *o = json_pack("{s:o,s:f}", "spec", wire_job_encode(spec), "at", submitted);

	if (cancelled)
		json_object_set_new(o, "cancelled", json_true());
	return o;
}

#define RECORD_TOO_LARGE "description too long to be kept"

/* What a job's record takes at most: a cancellation is noted in it. */
static size_t record_bytes(const struct user_request *request)
{
	json_t *record = job_record_value(request->spec, request->received_wall, true);
	size_t bytes = wire_value_bytes(record);

	json_decref(record);
	return bytes;
}

/* --- batches --- */

static struct user_request *take_submitted(struct core *core)
{
	struct user_request *list = core->api.submissions_in_flight;

	core->api.submissions_in_flight = NULL;
	return list;
}

static void submit_accepted(struct core *core, struct user_request *list)
{
	struct user_request *request, *tmp;

	DL_FOREACH_SAFE (list, request, tmp) {
		DL_DELETE(list, request);
		log_info("job_accepted", "job=%s class=%s team=%s tasks=%u", request->id,
			 request->spec->class_name, request->spec->team, request->spec->task_count);
		user_request_answer_state(core, request, STATUS_CREATED, JOB_STATE_QUEUED, 0, 0);
	}
}

static void submit_conflict(struct core *core, struct user_request *list, const char *body,
			    size_t len)
{
	json_t *o = wire_parse(body, len);
	struct user_request *request, *tmp;

	DL_FOREACH_SAFE (list, request, tmp) {
		char j[ID_MAX + 8], f[ID_MAX + 8];

		DL_DELETE(list, request);
		snprintf(j, sizeof(j), KEY_OPEN_JOBS "%s", request->id);
		snprintf(f, sizeof(f), KEY_FINAL_JOBS "%s", request->id);
		if (wire_failed_has(o, j) || wire_failed_has(o, f)) {
			user_request_lookup(core, request);
		} else {
			DL_PREPEND(core->api.submissions, request);
			core->api.submission_count++;
		}
	}
	json_decref(o);
}

/*
 * A 400 is definite: too many jobs for one transaction, which are sent in smaller ones, or a record
 * that is too large.
 */
static void submit_too_large(struct core *core, struct user_request *list)
{
	struct user_request *request, *tmp;
	int count;

	DL_COUNT(list, request, count);
	limits_note_refusal(core, count, core->api.largest_submission);
	DL_FOREACH_SAFE (list, request, tmp) {
		DL_DELETE(list, request);
		if (count <= LIMITS_TXN_OPS_MIN &&
		    record_bytes(request) > limits_value_bytes(core)) {
			user_request_fail(core, request, STATUS_UNPROCESSABLE, 0, RECORD_TOO_LARGE);
		} else if (count == 1) {
			user_request_fail(core, request, STATUS_UNAVAILABLE, RETRY_AFTER_S,
					  "state");
		} else {
			DL_PREPEND(core->api.submissions, request);
			core->api.submission_count++;
		}
	}
}

static void submit_refused(struct core *core, struct user_request *list,
			   const struct call_answer *answer)
{
	struct user_request *request, *tmp;

	if (answer->status == STATUS_BAD_REQUEST) {
		submit_too_large(core, list);
		return;
	}
	DL_FOREACH_SAFE (list, request, tmp) {
		DL_DELETE(list, request);
		if (answer->outcome == CALL_UNANSWERED) {
			/* It may have been committed, or may yet be: look before saying anything.
			 */
			request->outcome_unknown = true;
			user_request_lookup(core, request);
		} else {
			user_request_unserved(core, request, answer);
		}
	}
}

static void on_submit(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct user_request *list = take_submitted(core);

	(void)call;
	store_note_answer(core, answer);
	if (answer->status == STATUS_OK)
		submit_accepted(core, list);
	else if (answer->status == STATUS_CONFLICT)
		submit_conflict(core, list, answer->body, answer->len);
	else
		submit_refused(core, list, answer);
}

static void add_submit(struct txn *txn, const struct user_request *request)
{
	char key[ID_MAX + 8];

	snprintf(key, sizeof(key), KEY_FINAL_JOBS "%s", request->id);
	txn_guard(txn, key, 0);
	snprintf(key, sizeof(key), KEY_OPEN_JOBS "%s", request->id);
	txn_guard(txn, key, 0);
	txn_put(txn, key, job_record_value(request->spec, request->received_wall, false), 0);
}

static bool in_flight(const struct core *core, const struct user_request *u)
{
	const struct user_request *o;

	DL_FOREACH (core->api.submissions_in_flight, o)
		if (!strcmp(o->id, u->id))
			return true;
	return false;
}

void submissions_tick(struct core *core)
{
	struct user_request *request, *tmp;
	struct txn_mark mark;
	struct txn txn;

	if (core->api.submissions_in_flight || !core->api.submissions)
		return;
	txn_begin(&txn);
	DL_FOREACH_SAFE (core->api.submissions, request, tmp) {
		if (txn.op_count >= limits_txn_ops(core))
			break;
		if (in_flight(core, request))
			continue; /* the same job twice in one batch would fight itself */
		mark = txn_mark(&txn);
		add_submit(&txn, request);
		if (mark.op_count && txn_bytes(&txn) > SUBMIT_BATCH_BYTES) {
			txn_rollback(&txn, &mark);
			break;
		}
		DL_DELETE(core->api.submissions, request);
		core->api.submission_count--;
		DL_APPEND(core->api.submissions_in_flight, request);
	}
	core->api.largest_submission = txn.largest_value;
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
	return zone_fits(type, spec) && machine_type_allowed(type, spec->zone, false, spec) &&
	       spec->cpus <= type->cpus && spec->gpus <= type->gpus && spec->mem_gb <= type->mem_gb;
}

static bool fits_some_type(const struct core *core, const struct job_spec *spec)
{
	for (size_t i = 0; i < catalog_type_count(core); i++)
		if (type_fits(catalog_type(core, i), spec))
			return true;
	return false;
}

/* At most half of a scattered gang runs in one zone, so there must be two that it may use. */
static bool zones_suffice(const struct core *core, const struct job_spec *spec)
{
	const char *first = NULL;

	if (!spec->spread || spec->kind == JOB_ARRAY || spec->task_count < 2)
		return true;
	if (spec->one_zone || *spec->zone)
		return false;
	for (size_t i = 0; i < catalog_type_count(core); i++) {
		const struct machine_type *type = catalog_type(core, i);

		for (int k = 0; k < type->zones.count && type_fits(type, spec); k++) {
			if (first && strcmp(first, type->zones.names[k]))
				return true;
			first = type->zones.names[k];
		}
	}
	return false;
}

static void judge(struct core *core, struct user_request *request)
{
	if (!team_find(core, request->spec->team)) {
		request->rejection = STATUS_UNPROCESSABLE;
		request->reason = "unknown team";
	} else if (!team_ever_fits(core->conf, request->spec)) {
		request->rejection = STATUS_UNPROCESSABLE;
		request->reason = "beyond the team's limit";
	} else if (!catalog_is_known(core)) {
		request->rejection = STATUS_UNAVAILABLE;
		request->reason = "machine types not known yet";
	} else if (!fits_some_type(core, request->spec)) {
		request->rejection = STATUS_UNPROCESSABLE;
		request->reason = "fits no allowed machine";
	} else if (!zones_suffice(core, request->spec)) {
		request->rejection = STATUS_UNPROCESSABLE;
		request->reason = "scattered, and no two zones allowed";
	} else if (record_bytes(request) > limits_job_record_bytes(core)) {
		request->rejection = STATUS_UNPROCESSABLE;
		request->reason = RECORD_TOO_LARGE;
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
	struct user_request *u;

	/* Without a valid id it can't be a job that was accepted. */
	if (!id || !wire_job_id_ok(id)) {
		core_reply_error(core, r->conn, STATUS_BAD_REQUEST, 0, o ? W_ID : "not JSON");
		json_decref(o);
		return;
	}
	log_debug("submission", "body=%.600s", r->body);
	u = user_request_new(core, r->conn, USER_SUBMIT, id);
	u->spec = xcalloc(1, sizeof(*u->spec));
	u->body = xstrndup(r->body, r->len);
	if (wire_job_decode(o, u->spec, &why)) {
		u->rejection = STATUS_BAD_REQUEST;
		u->reason = why;
	} else {
		judge(core, u);
	}
	json_decref(o);
	if (u->rejection) {
		user_request_lookup(core, u);
	} else if (core->api.submission_count >= queue_max(core)) {
		user_request_fail(core, u, STATUS_TOO_MANY_REQUESTS, RETRY_AFTER_BUSY_S, "busy");
	} else if (!user_request_answer_final(core, u)) {
		DL_APPEND(core->api.submissions, u);
		core->api.submission_count++;
	}
}
