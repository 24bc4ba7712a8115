/*
 * Commits cancellations to the open records of jobs.
 */
#include "core/api/cancel_requests.h"

#include "core/api/cancellations.h"
#include "core/records/job_record.h"
#include "core/api/lookups.h"
#include "core/api/user_requests.h"
#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"

/*
 * The leader has to stop the job's tasks. It may be unable to read the change in the state service
 * for a while, so the cancellation is also announced to all other controllers.
 */
static void on_committed(struct core *core, const char *id, uint64_t version)
{
	log_info("cancel_committed", "job=%s", id);
	job_on_cancel_committed(core, id, version);
	cancellations_announce(core, id, version);
	cancellations_record_confirmed(core, id, version);
}

/* Returns the revision of the committed transaction, which is the new version of the record that it
 * wrote. */
static uint64_t committed_revision(const struct call_answer *answer)
{
	json_t *document = wire_parse(answer->body, answer->len);
	uint64_t revision = wire_revision(document);

	json_decref(document);
	return revision;
}

/*
 * After a conflict, another transaction has changed or ended the job, so its records are read again
 * and the cancellation is tried again. Without an answer, the transaction may have been committed,
 * or may yet be: the records are read again to see if the job is cancelled. After any other failure
 * the transaction was not committed, so the request may be forwarded.
 */
static void on_commit_answer(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct user_request *request = call->arg;

	store_update_availability(core, answer);
	if (answer->status == STATUS_OK) {
		on_committed(core, request->id, committed_revision(answer));
		user_request_answer_cancelled(core, request);
	} else if (answer->status == STATUS_CONFLICT) {
		user_request_lookup(core, request);
	} else if (answer->outcome == CALL_UNANSWERED) {
		request->outcome_unknown = true;
		user_request_lookup(core, request);
	} else {
		user_request_forward_or_fail(core, request, answer);
	}
}

/* Sends a transaction that marks the open record `item` of the request's job as cancelled. */
static void commit_cancelled_record(struct core *core, struct user_request *request,
				    const struct kv_item *item)
{
	json_t *value = job_record_cancelled_value(item->value);
	struct txn txn;

	/* A record that was written before a limit was lowered may now be too large. The list of
	 * machine types can be removed: no more tasks of a cancelled job are placed. */
	if (wire_value_bytes(value) > limits_value_bytes(core))
		job_record_remove_machine_types(value);
	txn_begin(&txn);
	txn_guard(&txn, item->key, item->version);
	txn_put(&txn, item->key, value, 0);
	store_commit(core, txn_finish(&txn), on_commit_answer, request)->free_arg =
	    user_request_free;
}

/*
 * Cancels a job that is still open. The request is answered "unknown outcome" instead if an earlier
 * transaction had no answer and may yet be committed, or if the request is so old that the user
 * will have given up before the answer arrives.
 */
static void cancel_open_job(struct core *core, struct user_request *request,
			    const struct kv_item *item)
{
	bool too_late = core->now - request->received_at > CANCEL_REQUEST_MAX_AGE_S;

	if (job_record_is_cancelled(item->value))
		user_request_answer_cancelled(core, request);
	else if (request->outcome_unknown || too_late)
		user_request_fail(core, request, USER_ERROR_UNKNOWN_OUTCOME);
	else
		commit_cancelled_record(core, request, item);
}

static void on_open_record(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct user_request *request = lookup_end_read(core, call, answer);
	struct kv_item item;
	json_t *document;

	if (answer->status == STATUS_NOT_FOUND) {
		lookup_read_final(core, request);
		return;
	}
	document = lookup_parse_record(answer, &item);
	if (document)
		cancel_open_job(core, request, &item);
	else
		user_request_forward_or_fail(core, request, answer);
	json_decref(document);
}

void cancel_request_start(struct core *core, struct user_request *request)
{
	lookup_read_record(core, request, RECORD_OPEN, on_open_record);
}
