/*
 * Answers requests from the records of their jobs: from the index, or from a read of one record.
 */
#include "core/api/lookups.h"

#include "core/api/cancel_requests.h"
#include "core/api/task_counts.h"
#include "core/state.h"

/* --- reads of one record --- */

void lookup_read_record(struct core *core, struct user_request *request, enum job_record_kind kind,
			answer_fn on_answer)
{
	char key[KEY_MAX];

	job_record_key(key, kind, request->id);
	core->api.lookups.count++;
	store_get(core, key, on_answer, request)->free_arg = user_request_free;
}

struct user_request *lookup_end_read(struct core *core, const struct call *call,
				     const struct call_answer *answer)
{
	core->api.lookups.count--;
	store_update_availability(core, answer);
	return call->arg;
}

json_t *lookup_parse_record(const struct call_answer *answer, struct kv_item *item)
{
	json_t *document;

	if (answer->status != STATUS_OK)
		return NULL;
	document = wire_parse(answer->body, answer->len);
	if (document && !wire_item_decode(document, item))
		return document;
	json_decref(document);
	return NULL;
}

/*
 * Answers a request whose job has neither an open nor a final record. The job had no record when
 * the request came either: a final record is never deleted, and an open record is deleted only by
 * the transaction that writes the final record. If the request is a submission, either admission
 * has refused it, or it was accepted and its transaction has no answer. In the second case the
 * transaction may yet be committed, so the outcome is unknown.
 */
static void answer_no_record(struct core *core, struct user_request *request)
{
	if (request->kind != USER_SUBMIT)
		user_request_fail(core, request, USER_ERROR_NO_SUCH_JOB);
	else if (request->admission.outcome != ADMISSION_ACCEPTED)
		user_request_reject(core, request);
	else
		user_request_fail(core, request, USER_ERROR_UNKNOWN_OUTCOME);
}

static void on_final_record(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct user_request *request = lookup_end_read(core, call, answer);
	struct job_outcome outcome;
	struct kv_item item;
	json_t *document;

	if (answer->status == STATUS_NOT_FOUND) {
		answer_no_record(core, request);
		return;
	}
	document = lookup_parse_record(answer, &item);
	if (!document) {
		user_request_forward_or_fail(core, request, answer);
		return;
	}
	outcome = job_record_outcome(item.value);
	json_decref(document);
	job_index_set_final(core, request->id, outcome.state, outcome.task_count);
	if (!user_request_answer_final(core, request))
		user_request_fail(core, request, USER_ERROR_STORE_UNAVAILABLE);
}

void lookup_read_final(struct core *core, struct user_request *request)
{
	lookup_read_record(core, request, RECORD_FINAL, on_final_record);
}

/* --- lookups that share a read of changes --- */

/* A cancellation is not answered from the index: a cancellation needs the open record itself, and
 * replaces it by a cancelled one. */
void user_request_lookup(struct core *core, struct user_request *request)
{
	struct lookup_queue *queue = &core->api.lookups;

	if (user_request_answer_final(core, request))
		return;
	if (queue->count >= LOOKUP_CONNS_SHARE * core->conf->max_connections) {
		user_request_fail(core, request, USER_ERROR_BUSY);
	} else if (request->kind == USER_CANCEL) {
		cancel_request_start(core, request);
	} else {
		DL_APPEND(queue->waiting, request);
		queue->count++;
	}
}

/*
 * The status of an open job that is not cancelled. `job` is the leader's own state of the job, with
 * its task counts. It is NULL in other controllers, which use the counts that the leader has sent
 * if these are fresh.
 */
static struct job_status open_status(const struct core *core, const struct indexed_job *entry,
				     const struct job *job)
{
	struct job_status status = {JOB_STATE_QUEUED, 0, 0};

	if (job) {
		status.done_count = job->done_count;
		status.running_count = job->running_count;
	} else if (task_counts_are_fresh(core)) {
		status.done_count = entry->status.done_count;
		status.running_count = entry->status.running_count;
	}
	if (status.running_count)
		status.state = JOB_STATE_RUNNING;
	return status;
}

static void answer_open(struct core *core, struct user_request *request,
			const struct indexed_job *entry)
{
	const struct job *job = election_is_leader(core) ? job_find(core, request->id) : NULL;

	task_counts_record_demand(core);
	user_request_answer(core, request, STATUS_OK, open_status(core, entry, job));
}

/* Answers the request from the index of jobs. A job without an entry has no open record, but may
 * have a final record that the index does not keep. */
static void answer_from_index(struct core *core, struct user_request *request)
{
	const struct indexed_job *entry = job_index_find(core, request->id);

	core->api.lookups.count--;
	if (!entry)
		lookup_read_final(core, request);
	else if (entry->final)
		user_request_answer(core, request, STATUS_OK, entry->status);
	else if (entry->status.state == JOB_STATE_CANCELLED)
		user_request_answer_cancelled(core, request);
	else
		answer_open(core, request, entry);
}

bool lookups_waiting(const struct core *core)
{
	return core->api.lookups.waiting != NULL;
}

void lookups_begin_batch(struct core *core)
{
	struct lookup_queue *queue = &core->api.lookups;

	queue->batch = queue->waiting;
	queue->waiting = NULL;
}

void lookups_answer_batch(struct core *core)
{
	struct user_request *batch = core->api.lookups.batch;
	struct user_request *request, *next;

	core->api.lookups.batch = NULL;
	DL_FOREACH_SAFE (batch, request, next) {
		DL_DELETE(batch, request);
		answer_from_index(core, request);
	}
}

bool lookups_batch_may_retry(const struct core *core)
{
	const struct user_request *oldest = core->api.lookups.batch;

	return oldest && core->now - oldest->received_at < LOOKUP_MAX_WAIT_S;
}

void lookups_requeue_batch(struct core *core)
{
	struct lookup_queue *queue = &core->api.lookups;

	DL_CONCAT(queue->batch, queue->waiting);
	queue->waiting = queue->batch;
	queue->batch = NULL;
}

/* Ends all requests of the list, because a call to the state service failed with `answer`. */
static void fail_all(struct core *core, struct user_request **list,
		     const struct call_answer *answer)
{
	struct user_request *request, *next;

	DL_FOREACH_SAFE (*list, request, next) {
		DL_DELETE(*list, request);
		core->api.lookups.count--;
		user_request_forward_or_fail(core, request, answer);
	}
}

void lookups_fail_batch(struct core *core, const struct call_answer *answer)
{
	fail_all(core, &core->api.lookups.batch, answer);
}

void lookups_fail_waiting(struct core *core, const struct call_answer *answer)
{
	fail_all(core, &core->api.lookups.waiting, answer);
}

void lookups_clear(struct core *core)
{
	user_requests_clear(&core->api.lookups.waiting);
	user_requests_clear(&core->api.lookups.batch);
}
