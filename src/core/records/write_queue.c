/*
 * The leader's transactions, one at a time. What changed waits in a queue; all that has gathered
 * while one transaction is out goes with the next, so batches widen with the load. Everything is
 * guarded by the leader's key and by the version of each key written: a copy of a transaction
 * that arrives late finds other versions and does nothing.
 *
 * Bindings are kept by job and range of tasks: a gang's placement, or an array's share of a round,
 * is one put however many machines it spans.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"

static struct pending_write *write_add(struct pending_write **list, enum pending_write_kind kind,
				       struct job *job, uint32_t chunk)
{
	struct pending_write *item = xcalloc(1, sizeof(*item));

	item->kind = kind;
	item->job = job;
	item->chunk = chunk;
	item->queue = list;
	DL_APPEND(*list, item);
	return item;
}

/* Out of the queue that it waits in. */
static void write_unlist(struct pending_write *item)
{
	DL_DELETE(*item->queue, item);
	item->queue = NULL;
	if (item->kind == WRITE_CHUNK)
		item->job->records.chunks[item->chunk].queued_write = NULL;
}

static void write_move(struct pending_write *item, struct pending_write **list)
{
	DL_DELETE(*item->queue, item);
	item->queue = list;
	DL_APPEND(*list, item);
}

/* The chunk that holds the task is to be written, at the latest after `delay_s`. */
void write_queue_add_chunk(struct core *core, struct job *job, uint32_t task, double delay_s)
{
	uint32_t k = job_chunk_of(job, task);
	struct pending_write *item;

	if (k >= job_chunk_count(job) ||
	    (job->final_queued && !job->records.chunks[k].binding_count && !job->final_committed))
		return;
	item = job->records.chunks[k].queued_write;
	if (!item) {
		item = write_add(&core->write_queue.chunks, WRITE_CHUNK, job, k);
		item->due_at = core->now + delay_s;
		job->records.chunks[k].queued_write = item;
	} else if (item->queue == &core->write_queue.migrations) {
		write_move(item, &core->write_queue.chunks);
		item->due_at = core->now + delay_s;
	}
	if (item->due_at > core->now + delay_s)
		item->due_at = core->now + delay_s;
}

void write_queue_add_migration(struct core *core, struct job *job, uint32_t chunk)
{
	if (!job->records.chunks[chunk].queued_write)
		job->records.chunks[chunk].queued_write =
		    write_add(&core->write_queue.migrations, WRITE_CHUNK, job, chunk);
}

void write_queue_add_delete(struct core *core, const char *key, uint64_t version)
{
	struct pending_write *w = write_add(&core->write_queue.deletes, WRITE_DELETE, NULL, 0);

	snprintf(w->key, sizeof(w->key), "%s", key);
	w->version = version;
}

static void unqueue_chunks(struct core *core, struct job *job)
{
	(void)core;
	for (uint32_t k = 0; k < job_chunk_count(job); k++) {
		struct pending_write *item = job->records.chunks[k].queued_write;

		if (!item)
			continue;
		write_unlist(item);
		free(item);
	}
}

void write_queue_add_final(struct core *core, struct job *job)
{
	if (job->final_queued)
		return;
	job->final_queued = true;
	/* The final record stands for the chunks that were still to be written. */
	unqueue_chunks(core, job);
	write_add(&core->write_queue.finals, WRITE_FINAL, job, 0);
}

static void drop_list(struct pending_write **list)
{
	struct pending_write *item, *tmp;

	DL_FOREACH_SAFE (*list, item, tmp) {
		DL_DELETE(*list, item);
		free(item);
	}
}

static void commit_clear_transaction(struct core *core)
{
	drop_list(&core->write_queue.transaction.writes);
	free(core->write_queue.transaction.body);
	memset(&core->write_queue.transaction, 0, sizeof(core->write_queue.transaction));
	core->write_queue.in_flight = false;
	election_note_renewing(core, false);
}

void write_queue_clear(struct core *core)
{
	drop_list(&core->write_queue.chunks);
	drop_list(&core->write_queue.migrations);
	drop_list(&core->write_queue.finals);
	drop_list(&core->write_queue.deletes);
	commit_clear_transaction(core);
}

void write_queue_discard_chunks(struct core *core)
{
	drop_list(&core->write_queue.chunks);
	drop_list(&core->write_queue.migrations);
}

bool write_queue_settled(const struct job *job, uint32_t task)
{
	const struct chunk *chunk = &job->records.chunks[job_chunk_of(job, task)];

	if (job->final_queued)
		return job->final_committed;
	return !chunk->queued_write && !chunk->in_flight;
}

static void key_job(char *key, const struct job *job)
{
	snprintf(key, KEY_MAX, KEY_OPEN_JOBS "%s", job->spec.id);
}

/* --- building --- */

/* On record, and nothing is bound in it or about to be written of it. */
static bool chunk_idle(const struct chunk *chunk)
{
	return chunk->version && !chunk->binding_count && !chunk->queued_write && !chunk->in_flight;
}

static int write_ops(const struct pending_write *item, int most)
{
	int n = 2;

	if (item->kind != WRITE_FINAL)
		return 1;
	for (uint32_t k = 0; k < job_chunk_count(item->job) && n < most; k++)
		n += chunk_idle(&item->job->records.chunks[k]);
	return n;
}

/* Cancelled stays cancelled, even if the last task was done before its stop arrived. */
static enum job_state final_state(const struct job *job)
{
	return job->cancelled ? JOB_STATE_CANCELLED : JOB_STATE_DONE;
}

static void add_drop(struct txn *txn, const char *key, uint64_t version)
{
	txn_guard(txn, key, version);
	txn_drop(txn, key);
}

/* Chunks beyond what one transaction holds are left over, and dropped one by one afterwards. */
static void add_final(struct txn *txn, const struct job *job, int most)
{
	char key[KEY_MAX], fkey[KEY_MAX];
	int n = 2;

	key_job(key, job);
	snprintf(fkey, sizeof(fkey), KEY_FINAL_JOBS "%s", job->spec.id);
	txn_guard(txn, key, job->record_version);
	txn_guard(txn, fkey, 0);
	txn_drop(txn, key);
	txn_put(txn, fkey,
		json_pack("{s:s,s:i}", "state", wire_job_state(final_state(job)), "tasks",
			  (int)job->spec.task_count),
		0);
	for (uint32_t k = 0; k < job_chunk_count(job) && n < most; k++) {
		if (!chunk_idle(&job->records.chunks[k]))
			continue;
		task_record_key(key, job, k);
		add_drop(txn, key, job->records.chunks[k].version);
		job->records.chunks[k].ends_with_job = true;
		n++;
	}
}

/* Nothing is bound in it any more and its job is over: the record goes. */
static bool chunk_ends(const struct pending_write *item)
{
	return item->job->orphan && !item->job->records.chunks[item->chunk].binding_count;
}

/* The bytes of the chunk's value; 0 if its record goes. */
static size_t add_chunk(struct txn *txn, const struct pending_write *item)
{
	char key[KEY_MAX];

	task_record_key(key, item->job, item->chunk);
	txn_guard(txn, key, item->job->records.chunks[item->chunk].version);
	if (!chunk_ends(item))
		return txn_put(txn, key, task_record_value(item->job, item->chunk), 0);
	txn_drop(txn, key);
	return 0;
}

/* Its bindings are on their way to the record as they are now. */
static void chunk_sent(struct job *job, uint32_t chunk)
{
	struct binding *binding;

	job->records.chunks[chunk].in_flight = true;
	DL_FOREACH2 (job->records.chunks[chunk].bindings, binding, chunk_next)
		binding->in_flight = true;
}

/* The bytes of its largest value, as far as that can grow. */
static size_t add_write(struct txn *txn, const struct pending_write *item, int most)
{
	if (item->kind == WRITE_CHUNK)
		return add_chunk(txn, item);
	if (item->kind == WRITE_FINAL)
		add_final(txn, item->job, most);
	else
		add_drop(txn, item->key, item->version);
	return 0;
}

/* The transaction that was to end the job is not sent. */
static void final_unsent(struct job *job)
{
	for (uint32_t k = 0; k < job_chunk_count(job); k++)
		job->records.chunks[k].ends_with_job = false;
}

/* --- outcomes --- */

static void binding_committed(struct core *core, struct binding *b)
{
	struct job *job = b->job;
	struct binding *binding;

	b->committed = true;
	job->uncommitted_count--;
	if (job->spec.kind != JOB_GANG) {
		core->events->commands_due(core, b->machine);
		return;
	}
	/* A gang starts when all of it is on record. */
	if (!job->uncommitted_count)
		DL_FOREACH2 (job->bindings, binding, job_next)
			core->events->commands_due(core, binding->machine);
}

static void chunk_committed(struct core *core, struct pending_write *item, uint64_t revision)
{
	struct job *job = item->job;
	struct chunk *chunk = &job->records.chunks[item->chunk];
	bool dropped = chunk_ends(item);
	struct binding *binding;

	chunk->in_flight = false;
	chunk->version = dropped ? 0 : revision;
	DL_FOREACH2 (chunk->bindings, binding, chunk_next) {
		if (binding->in_flight && !binding->committed)
			binding_committed(core, binding);
		binding->in_flight = false;
	}
	task_record_note_superseded(core, job, item->chunk);
	job_release_if_over(core, job);
}

static void final_committed(struct core *core, struct job *job)
{
	enum job_state s = final_state(job);
	char key[KEY_MAX];

	log_info("job_final", "job=%s state=%s", job->spec.id, wire_job_state(s));
	core->events->job_finished(core, job->spec.id, s, job->spec.task_count);
	job->final_committed = true;
	job->orphan = true;
	for (uint32_t k = 0; k < job_chunk_count(job); k++) {
		struct chunk *chunk = &job->records.chunks[k];

		if (!chunk->ends_with_job && chunk_idle(chunk)) {
			task_record_key(key, job, k);
			write_queue_add_delete(core, key, chunk->version);
		}
		if (chunk->ends_with_job)
			chunk->version = 0;
		chunk->ends_with_job = false;
		if (!chunk->binding_count && !chunk->queued_write && !chunk->in_flight)
			task_record_note_superseded(core, job, k);
	}
	job_release_if_over(core, job);
}

static void write_committed(struct core *core, struct pending_write *item, uint64_t revision)
{
	if (item->kind == WRITE_CHUNK)
		chunk_committed(core, item, revision);
	else if (item->kind == WRITE_FINAL)
		final_committed(core, item->job);
}

/*
 * Whoever shows this token was there after it was taken, which no copy from a machine deleted
 * before does. So reports count only under it from now on, and the tombstones are not needed.
 */
static void forget_deleted(struct core *core)
{
	election_require_current_token(core);
	tombstones_trim(core, core->write_queue.token_renewed_at);
}

static void committed(struct core *core, uint64_t revision)
{
	struct pending_write *item, *tmp;

	DL_FOREACH_SAFE (core->write_queue.transaction.writes, item, tmp) {
		DL_DELETE(core->write_queue.transaction.writes, item);
		write_committed(core, item, revision);
		free(item);
	}
	if (core->write_queue.transaction.renews_token) {
		log_info("token_renewed", "old=%llu new=%llu",
			 (unsigned long long)election_token(core), (unsigned long long)revision);
		election_note_token(core, revision);
		if (tombstones_need_new_token(core))
			forget_deleted(core);
		if (core->write_queue.transaction.raises_format) {
			election_note_format(core, FORMAT_NEWEST, revision);
			task_records_raise(core);
			log_info("format", "raised=%d", FORMAT_NEWEST);
		}
		log_token(revision);
		core->events->token_renewed(core);
	}
	commit_clear_transaction(core);
}

static void requeue_chunk(struct core *core, struct pending_write *item)
{
	struct job *job = item->job;
	struct binding *binding;

	job->records.chunks[item->chunk].in_flight = false;
	DL_FOREACH2 (job->records.chunks[item->chunk].bindings, binding, chunk_next)
		binding->in_flight = false;
	if (job->records.chunks[item->chunk].queued_write) {
		free(item);
		return;
	}
	job->records.chunks[item->chunk].queued_write = item;
	item->due_at = core->now;
	item->queue = &core->write_queue.chunks;
	DL_PREPEND(core->write_queue.chunks, item);
}

/* All that flew is to be written again, before what came after it. */
static void requeue(struct core *core)
{
	struct pending_write *item, *tmp;

	DL_FOREACH_SAFE (core->write_queue.transaction.writes, item, tmp) {
		DL_DELETE(core->write_queue.transaction.writes, item);
		if (item->kind == WRITE_CHUNK) {
			requeue_chunk(core, item);
		} else if (item->kind == WRITE_FINAL) {
			final_unsent(item->job);
			item->queue = &core->write_queue.finals;
			DL_PREPEND(core->write_queue.finals, item);
		} else {
			free(item); /* read again at the next take-over */
		}
	}
	commit_clear_transaction(core);
}

/* What a key holds now; a final record that is there already was our own write. */
static void adopt(struct core *core, const char *key, json_t *value, uint64_t version)
{
	struct pending_write *item;
	char k[KEY_MAX];

	DL_FOREACH (core->write_queue.transaction.writes, item) {
		struct job *job = item->job;

		if (item->kind == WRITE_CHUNK) {
			task_record_key(k, job, item->chunk);
			if (!strcmp(k, key))
				job->records.chunks[item->chunk].version = version;
		} else if (item->kind == WRITE_FINAL) {
			key_job(k, job);
			if (strcmp(k, key))
				continue;
			job->final_committed = !value;
			if (!value)
				continue;
			job->record_version = version;
			if (json_is_true(json_object_get(value, "cancelled")))
				job_cancel(core, job);
		}
	}
}

static void reread_done(struct core *core)
{
	struct pending_write *item, *tmp;

	DL_FOREACH_SAFE (core->write_queue.transaction.writes, item, tmp) {
		if (item->kind != WRITE_FINAL || !item->job->final_committed)
			continue;
		DL_DELETE(core->write_queue.transaction.writes, item);
		final_committed(core, item->job);
		free(item);
	}
	requeue(core);
}

static void on_reread(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct kv_item it = {0};
	json_t *o = NULL;

	if (election_call_is_stale(core, call))
		return;
	store_note_answer(core, answer);
	if (answer->status != STATUS_OK && answer->status != STATUS_NOT_FOUND) {
		store_get(core, call->key, on_reread, NULL);
		return;
	}
	if (answer->status == STATUS_OK) {
		o = wire_parse(answer->body, answer->len);
		wire_kv(o, &it);
	}
	adopt(core, call->key, it.value, it.version);
	json_decref(o);
	if (--core->write_queue.transaction.reads_in_flight == 0)
		reread_done(core);
}

/* Someone else changed a key, or an earlier copy of this transaction was applied: read them all. */
static void reread(struct core *core)
{
	struct pending_write *item;
	char key[KEY_MAX];

	core->write_queue.transaction.reads_in_flight = 0;
	DL_FOREACH (core->write_queue.transaction.writes, item) {
		if (item->kind == WRITE_DELETE)
			continue;
		if (item->kind == WRITE_CHUNK)
			task_record_key(key, item->job, item->chunk);
		else
			key_job(key, item->job);
		core->write_queue.transaction.reads_in_flight++;
		store_get(core, key, on_reread, NULL);
	}
	if (!core->write_queue.transaction.reads_in_flight)
		requeue(core);
}

/*
 * A new token without an answer may have been written all the same, and its second copy then finds
 * it: only our own transaction writes our name over the token we hold.
 */
/* The leader's key once the transaction under way is done. */
static const char *fence_key(const struct core *core)
{
	return election_key(core->write_queue.transaction.raises_format ? FORMAT_NEWEST
									: election_format(core));
}

static void on_fence_read(struct core *core, struct call *call, const struct call_answer *answer)
{
	const char *name;
	struct kv_item it = {0};
	json_t *o;

	if (election_call_is_stale(core, call) || !core->write_queue.in_flight)
		return;
	store_note_answer(core, answer);
	if (answer->status != STATUS_OK && answer->status != STATUS_NOT_FOUND) {
		store_get(core, fence_key(core), on_fence_read, NULL);
		return;
	}
	o = answer->status == STATUS_OK ? wire_parse(answer->body, answer->len) : NULL;
	wire_kv(o, &it);
	name = json_string_value(json_object_get(it.value, "name"));
	if (name && !strcmp(name, core->conf->name) && it.version > election_token(core))
		committed(core, it.version);
	else
		election_step_down(core, "guard_failed");
	json_decref(o);
}

/*
 * A definite answer: too many changes or too large a value, if the key of the leader has no part in
 * it. What was sent so is not sent again unchanged, unless nothing of it can be smaller.
 */
static void refused(struct core *core, const char *body, size_t len)
{
	bool small = core->write_queue.transaction.op_count <= LIMITS_TXN_OPS_MIN &&
		     core->write_queue.transaction.largest_value <= LIMITS_VALUE_FLOOR;

	log_error("transaction_refused", "nops=%d largest=%zu body=%.*s",
		  core->write_queue.transaction.op_count,
		  core->write_queue.transaction.largest_value, (int)(len < 200 ? len : 200), body);
	if (core->write_queue.transaction.renews_token) {
		election_step_down(core, "lease_refused");
		return;
	}
	limits_note_refusal(core, core->write_queue.transaction.op_count,
			    core->write_queue.transaction.largest_value);
	requeue(core);
	core->write_queue.retry_at = core->now + (small ? LIMITS_REFUSED_S : COMMIT_RETRY_S);
}

static void on_commit(struct core *core, struct call *call, const struct call_answer *answer)
{
	json_t *o;

	store_note_answer(core, answer);
	if (election_call_is_stale(core, call) || !core->write_queue.in_flight)
		return;
	if (answer->status == STATUS_OK) {
		o = wire_parse(answer->body, answer->len);
		committed(core, wire_revision(o));
		json_decref(o);
		return;
	}
	if (answer->status == STATUS_CONFLICT) {
		o = wire_parse(answer->body, answer->len);
		log_info("transaction_conflict", "body=%.*s",
			 (int)(answer->len < 200 ? answer->len : 200), answer->body);
		if (core->write_queue.transaction.renews_token)
			store_get(core, fence_key(core), on_fence_read, NULL);
		else if (wire_failed_has(o, election_key(election_format(core))))
			election_step_down(core, "guard_failed");
		else
			reread(core);
		json_decref(o);
		return;
	}
	if (answer->status == STATUS_BAD_REQUEST) {
		refused(core, answer->body, answer->len);
		return;
	}
	/*
	 * Refused, or unknown: the very same transaction goes again. Only a definite answer ends
	 * it, since an unknown one may still be applied at any time until then.
	 */
	core->write_queue.retry_at = core->now + COMMIT_RETRY_S;
	core->write_queue.transaction.awaits_retry = true;
}

/* --- sending --- */

static void refill(struct core *core)
{
	rate_limiter_refill(core, &core->write_queue.put_limiter,
			    limits_write_rps(core) * WRITE_SHARE_LEADER);
}

static void send_transaction(struct core *core)
{
	core->write_queue.transaction.awaits_retry = false;
	refill(core);
	core->write_queue.put_limiter.tokens -= core->write_queue.transaction.op_count;
	store_commit(core, xstrdup(core->write_queue.transaction.body), on_commit, NULL);
}

static void send_txn(struct core *core, struct txn *txn)
{
	core->write_queue.in_flight = true;
	core->write_queue.transaction.op_count = txn->op_count;
	core->write_queue.transaction.largest_value = txn->largest_value;
	core->write_queue.transaction.body = txn_finish(txn);
	send_transaction(core);
}

/* The leader's key is written again, for a new token; with it, the format is raised if it can be.
 */
static void send_fence(struct core *core)
{
	bool raises = format_raise_due(core);
	struct txn txn;

	txn_begin(&txn);
	txn_guard(&txn, election_key(election_format(core)), election_token(core));
	if (raises)
		txn_put(&txn, LEADER_KEY, election_gate_value(FORMAT_NEWEST), 0);
	txn_put(&txn, election_key(raises ? FORMAT_NEWEST : election_format(core)),
		election_leader_value(core), election_lease(core));
	core->write_queue.transaction.renews_token = true;
	election_note_renewing(core, true);
	core->write_queue.transaction.raises_format = raises;
	core->write_queue.new_token_wanted = false;
	core->write_queue.token_renewed_at = core->now;
	send_txn(core, &txn);
}

/* A binding that the chunk's last record does not hold and no transaction carries. */
static struct binding *unrecorded(const struct job *job, uint32_t chunk)
{
	struct binding *binding;

	DL_FOREACH2 (job->records.chunks[chunk].bindings, binding, chunk_next)
		if (!binding->committed && binding_start_never_sent(binding))
			return binding;
	return NULL;
}

/*
 * The chunk's value is over the limit, as when that was lowered: bindings that were never on record
 * are taken back. Without any, it waits until tasks have ended.
 */
static void chunk_too_large(struct core *core, struct pending_write *item)
{
	struct job *job = item->job;
	uint32_t chunk = item->chunk;
	struct binding *binding;

	log_info("record_too_large", "job=%s chunk=%u bound=%u limit=%zu", job->spec.id, chunk,
		 job->records.chunks[chunk].binding_count, limits_value_bytes(core));
	job->scheduling.retry_at = core->now + LIMITS_WAIT_S;
	if (!unrecorded(job, chunk))
		item->blocked_until = core->now + LIMITS_WAIT_S;
	while ((binding = unrecorded(job, chunk)))
		binding_end(core, binding, END_STOPPED);
}

enum batch_result {
	BATCH_ADDED,
	BATCH_SKIPPED, /* it can't be written now */
	BATCH_FULL
};

static enum batch_result batch_add(struct core *core, struct txn *txn, struct pending_write *item)
{
	int most = limits_txn_ops(core), n = write_ops(item, most);
	struct txn_mark mark = txn_mark(txn);
	size_t bytes;

	if (core->now < item->blocked_until)
		return BATCH_SKIPPED;
	if (txn->op_count &&
	    (txn->op_count + n > most || txn->op_count + n > core->write_queue.put_limiter.tokens))
		return BATCH_FULL;
	bytes = add_write(txn, item, most);
	if (mark.op_count && txn_bytes(txn) > COMMIT_BYTES) {
		txn_rollback(txn, &mark);
		if (item->kind == WRITE_FINAL)
			final_unsent(item->job);
		return BATCH_FULL;
	}
	if (bytes > limits_value_bytes(core)) {
		txn_rollback(txn, &mark);
		chunk_too_large(core, item);
		return BATCH_FULL; /* other writes may have left the queue with it */
	}
	write_unlist(item);
	DL_APPEND(core->write_queue.transaction.writes, item);
	if (item->kind == WRITE_CHUNK)
		chunk_sent(item->job, item->chunk);
	return BATCH_ADDED;
}

/* The chunk has no record of its own, and needs none any more. */
static bool chunk_needless(const struct pending_write *item)
{
	return chunk_ends(item) && !item->job->records.chunks[item->chunk].version;
}

static void chunk_forget(struct core *core, struct pending_write *item)
{
	struct job *job = item->job;

	write_unlist(item);
	task_record_note_superseded(core, job, item->chunk);
	job_release_if_over(core, job);
	free(item);
}

/* Chunks of the list that are due, or those that could wait; false if there is no room for all. */
static bool batch_chunks(struct core *core, struct txn *txn, struct pending_write **list, bool due)
{
	struct pending_write *item, *tmp;

	DL_FOREACH_SAFE (*list, item, tmp) {
		if ((item->due_at <= core->now) != due ||
		    item->job->records.chunks[item->chunk].in_flight)
			continue;
		if (chunk_needless(item))
			chunk_forget(core, item);
		else if (batch_add(core, txn, item) == BATCH_FULL)
			return false;
	}
	return true;
}

static bool batch_all(struct core *core, struct txn *txn, struct pending_write **list)
{
	while (*list)
		if (batch_add(core, txn, *list) == BATCH_FULL)
			return false;
	return true;
}

/* Enough of the rate is left for what can wait for ever. */
static bool puts_spare(const struct core *core)
{
	return core->write_queue.put_limiter.tokens > limits_write_rps(core) / 2;
}

static void send_writes(struct core *core)
{
	struct txn txn;

	txn_begin(&txn);
	txn_guard(&txn, election_key(election_format(core)), election_token(core));
	/* Ends of jobs first: they are few, and their users wait for the word. */
	if (batch_all(core, &txn, &core->write_queue.finals) &&
	    batch_chunks(core, &txn, &core->write_queue.chunks, true) && txn.op_count)
		batch_chunks(core, &txn, &core->write_queue.chunks, false);
	if (!txn.op_count)
		batch_chunks(core, &txn, &core->write_queue.migrations, true);
	if (!txn.op_count)
		batch_all(core, &txn, &core->write_queue.deletes);
	log_debug("transaction", "nops=%d largest=%zu tokens=%.1f kind=%d", txn.op_count,
		  txn.largest_value, core->write_queue.put_limiter.tokens,
		  core->write_queue.transaction.writes
		      ? (int)core->write_queue.transaction.writes->kind
		      : -1);
	if (txn.op_count) {
		send_txn(core, &txn);
		return;
	}
	txn_abandon(&txn);
	commit_clear_transaction(core);
}

static bool anything_due(const struct core *core)
{
	const struct pending_write *item;

	if (core->write_queue.finals ||
	    ((core->write_queue.deletes || core->write_queue.migrations) && puts_spare(core)))
		return true;
	DL_FOREACH (core->write_queue.chunks, item)
		if (item->due_at <= core->now && item->blocked_until <= core->now)
			return true;
	return false;
}

void write_queue_request_token(struct core *core)
{
	core->write_queue.new_token_wanted = true;
}

void write_queue_tick(struct core *core)
{
	if (core->write_queue.in_flight) {
		if (core->write_queue.transaction.awaits_retry &&
		    core->now >= core->write_queue.retry_at)
			send_transaction(core);
		return;
	}
	if (core->now < core->write_queue.retry_at)
		return;
	refill(core);
	if (core->write_queue.put_limiter.tokens < 1)
		return;
	if (tombstones_need_new_token(core))
		core->write_queue.new_token_wanted = true;
	if ((core->write_queue.new_token_wanted &&
	     core->now - core->write_queue.token_renewed_at >= TOKEN_RENEW_S) ||
	    format_raise_due(core))
		send_fence(core);
	else if (anything_due(core))
		send_writes(core);
}
