/*
 * The transaction in flight: sends it, and retries it unchanged until its answer is definite.
 */
#include "core/records/transaction.h"

#include <stdlib.h>
#include <string.h>

#include "core/records/write_ops.h"
#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"

#define LOGGED_BODY_MAX 200 /* largest number of bytes of an answer that are logged */

/* --- ending the transaction --- */

void transaction_clear(struct core *core)
{
	struct transaction *transaction = &core->write_queue.transaction;

	pending_writes_free(&transaction->writes);
	free(transaction->body);
	*transaction = (struct transaction){0};
	election_on_token_renewal_ended(core);
}

static void requeue_chunk(struct core *core, struct pending_write *write)
{
	struct chunk *chunk = &write->job->records.chunks[write->chunk_index];
	struct binding *binding;

	chunk->in_flight = false;
	DL_FOREACH2 (chunk->bindings, binding, chunk_next)
		binding->in_flight = false;
	if (chunk->queued_write) {
		free(write);
		return;
	}
	chunk->queued_write = write;
	write->due_at = core->now;
	write_queue_requeue(core, write);
}

static void requeue_write(struct core *core, struct pending_write *write)
{
	switch (write->kind) {
	case WRITE_CHUNK:
		requeue_chunk(core, write);
		break;
	case WRITE_FINAL:
		final_record_unmark_chunks(write->job);
		write_queue_requeue(core, write);
		break;
	case WRITE_DELETE:
		free(write); /* given up: the next recovery deletes the record */
		break;
	}
}

void transaction_requeue(struct core *core)
{
	struct transaction *transaction = &core->write_queue.transaction;
	struct pending_write *write, *next;

	DL_FOREACH_SAFE (transaction->writes, write, next) {
		DL_DELETE(transaction->writes, write);
		requeue_write(core, write);
	}
	transaction_clear(core);
}

/* --- handling the answer --- */

static int logged_length(const struct call_answer *answer)
{
	return (int)(answer->len < LOGGED_BODY_MAX ? answer->len : LOGGED_BODY_MAX);
}

static void on_committed(struct core *core, const struct call_answer *answer)
{
	json_t *answer_json = wire_parse(answer->body, answer->len);

	transaction_apply_commit(core, wire_revision(answer_json));
	json_decref(answer_json);
}

static void on_conflict(struct core *core, const struct call_answer *answer)
{
	json_t *answer_json = wire_parse(answer->body, answer->len);

	log_info("transaction_conflict", "body=%.*s", logged_length(answer), answer->body);
	transaction_resolve_conflict(core, answer_json);
	json_decref(answer_json);
}

/* Returns true if neither the number of changes nor a value of the transaction can be made
 * smaller. */
static bool is_minimal(const struct transaction *transaction)
{
	return transaction->op_count <= LIMITS_TXN_OPS_MIN &&
	       transaction->largest_value <= LIMITS_VALUE_MIN_BYTES;
}

/*
 * Handles a 400, which is a definite answer. If the transaction renews the token, the write of the
 * leader's key was refused, and the term ends. Otherwise the transaction has too many changes or
 * too large a value. It is not sent again unchanged, unless it can't be made smaller.
 */
static void on_refused(struct core *core, const struct call_answer *answer)
{
	const struct transaction *transaction = &core->write_queue.transaction;
	double retry_s = is_minimal(transaction) ? LIMITS_REFUSED_RETRY_S : COMMIT_RETRY_S;

	log_error("transaction_refused", "nops=%d largest=%zu body=%.*s", transaction->op_count,
		  transaction->largest_value, logged_length(answer), answer->body);
	if (transaction->renews_token) {
		election_step_down(core, STEP_DOWN_LEASE_REFUSED);
		return;
	}
	limits_learn_from_refusal(core, transaction->op_count, transaction->largest_value);
	transaction_requeue(core);
	core->write_queue.retry_at = core->now + retry_s;
}

static void on_answer(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct write_queue *queue = &core->write_queue;

	store_update_availability(core, answer);
	if (election_call_is_stale(core, call) || !queue->transaction.in_flight)
		return;
	switch (answer->status) {
	case STATUS_OK:
		on_committed(core, answer);
		break;
	case STATUS_CONFLICT:
		on_conflict(core, answer);
		break;
	case STATUS_BAD_REQUEST:
		on_refused(core, answer);
		break;
	default:
		/*
		 * The transaction was refused for now, or its outcome is unknown. It is sent again
		 * unchanged and ends only with a definite answer: until then, an earlier copy may
		 * be applied at any time.
		 */
		queue->retry_at = core->now + COMMIT_RETRY_S;
		queue->transaction.awaits_retry = true;
	}
}

/* --- sending --- */

static void send_body(struct core *core)
{
	struct write_queue *queue = &core->write_queue;

	queue->transaction.awaits_retry = false;
	write_queue_refill_limiter(core);
	queue->write_limiter.tokens -= queue->transaction.op_count;
	store_commit(core, xstrdup(queue->transaction.body), on_answer, NULL);
}

void transaction_send(struct core *core, struct txn *txn)
{
	struct transaction *transaction = &core->write_queue.transaction;

	transaction->in_flight = true;
	transaction->op_count = txn->op_count;
	transaction->largest_value = txn->largest_value;
	transaction->body = txn_finish(txn);
	send_body(core);
}

void transaction_retry_if_due(struct core *core)
{
	const struct write_queue *queue = &core->write_queue;

	if (queue->transaction.awaits_retry && core->now >= queue->retry_at)
		send_body(core);
}
