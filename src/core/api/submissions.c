/*
 * Checks submissions, and commits the records of accepted ones in batches.
 */
#include "core/api/submissions.h"

#include <math.h>
#include <string.h>

#include "core/records/job_record.h"
#include "core/api/lookups.h"
#include "core/api/user_requests.h"
#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"
#include "wire/names.h"

/* --- transactions --- */

/* Returns the submissions of the transaction that was in flight and has ended. The caller owns the
 * submissions. */
static struct user_request *detach_batch(struct core *core)
{
	struct user_request *batch = core->api.submissions.in_flight;

	core->api.submissions.in_flight = NULL;
	return batch;
}

/* Puts a submission back at the head of the queue, ahead of submissions that came later. */
static void requeue(struct core *core, struct user_request *request)
{
	DL_PREPEND(core->api.submissions.waiting, request);
	core->api.submissions.waiting_count++;
}

static void on_batch_committed(struct core *core, struct user_request *batch)
{
	const struct job_status status = {JOB_STATE_QUEUED, 0, 0};
	struct user_request *request, *next;

	DL_FOREACH_SAFE (batch, request, next) {
		DL_DELETE(batch, request);
		log_info("job_accepted", "job=%s class=%s team=%s tasks=%u", request->id,
			 request->spec->class_name, request->spec->team, request->spec->task_count);
		user_request_answer(core, request, STATUS_CREATED, status);
	}
}

/* True if the answer to the transaction names a guard of the job as failed: the job has a record
 * already. */
static bool has_record(json_t *conflict, const char *id)
{
	char open_key[KEY_MAX], final_key[KEY_MAX];

	job_record_key(open_key, RECORD_OPEN, id);
	job_record_key(final_key, RECORD_FINAL, id);
	return wire_guard_failed(conflict, open_key) || wire_guard_failed(conflict, final_key);
}

/*
 * A submission whose job has a record already is answered with the job's status. The other
 * submissions of the transaction were not committed either, and wait for the next transaction.
 */
static void on_batch_conflict(struct core *core, struct user_request *batch,
			      const struct call_answer *answer)
{
	json_t *conflict = wire_parse(answer->body, answer->len);
	struct user_request *request, *next;

	DL_FOREACH_SAFE (batch, request, next) {
		DL_DELETE(batch, request);
		if (has_record(conflict, request->id))
			user_request_lookup(core, request);
		else
			requeue(core, request);
	}
	json_decref(conflict);
}

/* True if the record exceeds the present limit. A refusal may have lowered the limit since the job
 * was admitted, see limits_learn_from_refusal. */
static bool is_record_too_large(const struct core *core, const struct user_request *request)
{
	return job_record_max_bytes(request->spec, request->received_wall_at) >
	       limits_value_bytes(core);
}

/*
 * After a 400, nothing was or will be committed. Either the transaction has too many changes, and
 * the submissions are sent again in smaller ones, or a record is too large. Which of the two is the
 * cause is known only if the transaction has at most LIMITS_TXN_OPS_MIN changes, a number that the
 * state service is assumed to allow. Only then is a submission refused for the size of its record.
 * A single submission whose record is not too large was refused for an unknown reason and is not
 * sent again.
 */
static void on_batch_too_large(struct core *core, struct user_request *batch)
{
	struct user_request *request, *next;
	int count;

	DL_COUNT(batch, request, count);
	limits_learn_from_refusal(core, count, core->api.submissions.largest_record);
	DL_FOREACH_SAFE (batch, request, next) {
		DL_DELETE(batch, request);
		if (count <= LIMITS_TXN_OPS_MIN && is_record_too_large(core, request)) {
			request->admission.outcome = ADMISSION_RECORD_TOO_LARGE;
			user_request_reject(core, request);
		} else if (count == 1) {
			user_request_fail(core, request, USER_ERROR_STORE_UNAVAILABLE);
		} else {
			requeue(core, request);
		}
	}
}

/*
 * Without an answer, the transaction may have been committed, or may yet be: the records are read
 * to find out. After any other failure the transaction was not committed, so the submissions may be
 * forwarded.
 */
static void on_batch_failed(struct core *core, struct user_request *batch,
			    const struct call_answer *answer)
{
	struct user_request *request, *next;

	DL_FOREACH_SAFE (batch, request, next) {
		DL_DELETE(batch, request);
		if (answer->outcome == CALL_UNANSWERED)
			user_request_lookup(core, request);
		else
			user_request_forward_or_fail(core, request, answer);
	}
}

static void on_batch_answer(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct user_request *batch = detach_batch(core);

	(void)call;
	store_update_availability(core, answer);
	if (answer->status == STATUS_OK)
		on_batch_committed(core, batch);
	else if (answer->status == STATUS_CONFLICT)
		on_batch_conflict(core, batch, answer);
	else if (answer->status == STATUS_BAD_REQUEST)
		on_batch_too_large(core, batch);
	else
		on_batch_failed(core, batch, answer);
}

/* Adds the write of the job's open record, guarded so that the job must not have a record yet. */
static void add_to_transaction(struct txn *txn, const struct user_request *request)
{
	char key[KEY_MAX];

	job_record_key(key, RECORD_FINAL, request->id);
	txn_guard(txn, key, 0);
	job_record_key(key, RECORD_OPEN, request->id);
	txn_guard(txn, key, 0);
	txn_put(txn, key, job_record_open_value(request->spec, request->received_wall_at), 0);
}

/* True if a submission of the same job is in flight. */
static bool is_in_flight(const struct core *core, const struct user_request *request)
{
	const struct user_request *other;

	DL_FOREACH (core->api.submissions.in_flight, other)
		if (!strcmp(other->id, request->id))
			return true;
	return false;
}

/* Adds waiting submissions to the transaction, up to its limits, and moves these submissions to the
 * list of those in flight. The first submission is added whatever its size. */
static void fill_batch(struct core *core, struct txn *txn)
{
	struct submission_queue *queue = &core->api.submissions;
	struct user_request *request, *next;
	struct txn_savepoint mark;

	DL_FOREACH_SAFE (queue->waiting, request, next) {
		if (txn->op_count >= limits_txn_ops(core))
			break;
		/* A second write of the same job in one transaction would violate its guards. The
		 * submission waits for the next transaction. */
		if (is_in_flight(core, request))
			continue;
		mark = txn_savepoint(txn);
		add_to_transaction(txn, request);
		if (mark.op_count && txn_bytes(txn) > SUBMIT_BATCH_MAX_BYTES) {
			txn_rollback(txn, &mark);
			break;
		}
		DL_DELETE(queue->waiting, request);
		queue->waiting_count--;
		DL_APPEND(queue->in_flight, request);
	}
}

void submissions_tick(struct core *core)
{
	struct submission_queue *queue = &core->api.submissions;
	struct txn txn;

	if (queue->in_flight || !queue->waiting)
		return;
	txn_begin(&txn);
	fill_batch(core, &txn);
	queue->largest_record = txn.largest_value;
	store_commit(core, txn_finish(&txn), on_batch_answer, NULL);
}

void submissions_clear(struct core *core)
{
	user_requests_clear(&core->api.submissions.waiting);
	user_requests_clear(&core->api.submissions.in_flight);
}

/* --- arriving submissions --- */

/* The capacity of the queue: as many submissions as can be committed within SUBMIT_QUEUE_S, since
 * users who wait longer give up, but at least SUBMIT_QUEUE_MIN. */
static int queue_capacity(const struct core *core)
{
	return (int)fmax(SUBMIT_QUEUE_MIN, SUBMIT_QUEUE_S * limits_write_rps(core));
}

/* Decodes and checks the submitted description, and sets `admission` of the request to the
 * result. */
static void decode_and_admit(struct core *core, struct user_request *request, json_t *document)
{
	const char *reason;

	request->spec = xcalloc(1, sizeof(*request->spec));
	if (wire_job_decode(document, request->spec, &reason)) {
		request->admission.outcome = ADMISSION_MALFORMED;
		request->admission.malformed_field = reason;
		return;
	}
	request->admission = admission_check(core, request->spec, request->received_wall_at);
}

/* Lets an accepted submission wait for a transaction. The submission is answered at once if the
 * queue is full, or if the job is known to have ended. */
static void enqueue(struct core *core, struct user_request *request)
{
	struct submission_queue *queue = &core->api.submissions;

	if (queue->waiting_count >= queue_capacity(core)) {
		request->admission.outcome = ADMISSION_OVERLOADED;
		user_request_reject(core, request);
	} else if (!user_request_answer_final(core, request)) {
		DL_APPEND(queue->waiting, request);
		queue->waiting_count++;
	}
}

/*
 * The id of a refused description may be that of a job that was accepted before. So the job is
 * looked up. Only if it has no record, the user is told why the description is refused.
 */
static void receive_document(struct core *core, const struct core_request *received, const char *id,
			     json_t *document)
{
	struct user_request *request =
	    user_request_new(core, received->connection, USER_SUBMIT, id);

	request->body = xstrndup(received->body, received->len);
	decode_and_admit(core, request, document);
	if (request->admission.outcome == ADMISSION_ACCEPTED)
		enqueue(core, request);
	else
		user_request_lookup(core, request);
}

/*
 * Without a valid id, the job can't have been accepted before, so no lookup is needed. The error
 * text is "not JSON" if the body can't be parsed, else W_ID, the name of the invalid field.
 */
static void refuse_without_id(struct core *core, const struct core_request *received, bool is_json,
			      size_t failed_at)
{
	const struct refusal refusal = {
	    .kind = "submission",
	    .job = "-",
	    .status = STATUS_BAD_REQUEST,
	    .reason = is_json ? W_ID : "not JSON",
	    .body = received->body,
	    .len = received->len,
	    .failed_at = failed_at,
	};

	core_log_refusal(core, &refusal);
	core_reply_error(core, received->connection, refusal.status, 0, refusal.reason);
}

void submissions_receive(struct core *core, const struct core_request *received)
{
	size_t failed_at;
	json_t *document = wire_parse_at(received->body, received->len, &failed_at);
	const char *id = json_string_value(json_object_get(document, W_ID));

	if (!id || !wire_job_id_is_valid(id)) {
		refuse_without_id(core, received, document != NULL, failed_at);
	} else {
		log_debug("submission", "body=%.600s", received->body);
		receive_document(core, received, id, document);
	}
	json_decref(document);
}
