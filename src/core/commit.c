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

static struct write *write_add(struct write **list, enum write_kind kind, struct job *job,
			       uint32_t chunk)
{
	struct write *item = calloc(1, sizeof(*item));

	if (!item)
		abort();
	item->kind = kind;
	item->job = job;
	item->chunk = chunk;
	item->list = list;
	DL_APPEND(*list, item);
	return item;
}

/* Out of the queue that it waits in. */
static void write_unlist(struct write *item)
{
	DL_DELETE(*item->list, item);
	item->list = NULL;
	if (item->kind == WR_CHUNK)
		item->job->chunks[item->chunk].queued = NULL;
}

static void write_move(struct write *item, struct write **list)
{
	DL_DELETE(*item->list, item);
	item->list = list;
	DL_APPEND(*list, item);
}

/* The chunk that holds the task is to be written, at the latest after `delay_s`. */
void commit_chunk(struct core *core, struct job *job, uint32_t task, double delay_s)
{
	uint32_t k = job_chunk_of(job, task);
	struct write *item;

	if (k >= job_chunks(job) ||
	    (job->final_queued && !job->chunks[k].nbound && !job->final_done))
		return;
	item = job->chunks[k].queued;
	if (!item) {
		item = write_add(&core->commits.writes, WR_CHUNK, job, k);
		item->due = core->now + delay_s;
		job->chunks[k].queued = item;
	} else if (item->list == &core->commits.migrations) {
		write_move(item, &core->commits.writes);
		item->due = core->now + delay_s;
	}
	if (item->due > core->now + delay_s)
		item->due = core->now + delay_s;
}

void commit_migrate(struct core *core, struct job *job, uint32_t chunk)
{
	if (!job->chunks[chunk].queued)
		job->chunks[chunk].queued =
		    write_add(&core->commits.migrations, WR_CHUNK, job, chunk);
}

void commit_drop(struct core *core, const char *key, uint64_t version)
{
	struct write *w = write_add(&core->commits.drops, WR_DROP, NULL, 0);

	snprintf(w->key, sizeof(w->key), "%s", key);
	w->version = version;
}

static void unqueue_chunks(struct core *core, struct job *job)
{
	(void)core;
	for (uint32_t k = 0; k < job_chunks(job); k++) {
		struct write *item = job->chunks[k].queued;

		if (!item)
			continue;
		write_unlist(item);
		free(item);
	}
}

void commit_final(struct core *core, struct job *job)
{
	if (job->final_queued)
		return;
	job->final_queued = true;
	/* The final record stands for the chunks that were still to be written. */
	unqueue_chunks(core, job);
	write_add(&core->commits.finals, WR_FINAL, job, 0);
}

static void drop_list(struct write **list)
{
	struct write *item, *tmp;

	DL_FOREACH_SAFE (*list, item, tmp) {
		DL_DELETE(*list, item);
		free(item);
	}
}

static void commit_clear_transaction(struct core *core)
{
	drop_list(&core->commits.transaction.items);
	free(core->commits.transaction.body);
	memset(&core->commits.transaction, 0, sizeof(core->commits.transaction));
	core->commits.in_flight = false;
}

void commit_clear(struct core *core)
{
	drop_list(&core->commits.writes);
	drop_list(&core->commits.migrations);
	drop_list(&core->commits.finals);
	drop_list(&core->commits.drops);
	commit_clear_transaction(core);
}

void commit_forget_chunks(struct core *core)
{
	drop_list(&core->commits.writes);
	drop_list(&core->commits.migrations);
}

bool commit_settled(const struct job *job, uint32_t task)
{
	const struct chunk *chunk = &job->chunks[job_chunk_of(job, task)];

	if (job->final_queued)
		return job->final_done;
	return !chunk->queued && !chunk->in_flight;
}

static void key_job(char *key, const struct job *job)
{
	snprintf(key, KEY_MAX, JOBS_OPEN "%s", job->spec.id);
}

/* --- building --- */

/* On record, and nothing is bound in it or about to be written of it. */
static bool chunk_idle(const struct chunk *chunk)
{
	return chunk->version && !chunk->nbound && !chunk->queued && !chunk->in_flight;
}

static int write_ops(const struct write *item, int most)
{
	int n = 2;

	if (item->kind != WR_FINAL)
		return 1;
	for (uint32_t k = 0; k < job_chunks(item->job) && n < most; k++)
		n += chunk_idle(&item->job->chunks[k]);
	return n;
}

/* Cancelled stays cancelled, even if the last task was done before its stop arrived. */
static enum job_state final_state(const struct job *job)
{
	return job->cancelled ? JS_CANCELLED : JS_DONE;
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
	snprintf(fkey, sizeof(fkey), JOBS_OVER "%s", job->spec.id);
	txn_guard(txn, key, job->version);
	txn_guard(txn, fkey, 0);
	txn_drop(txn, key);
	txn_put(txn, fkey,
		json_pack("{s:s,s:i}", "state", wire_job_state(final_state(job)), "tasks",
			  (int)job->spec.ntasks),
		0);
	for (uint32_t k = 0; k < job_chunks(job) && n < most; k++) {
		if (!chunk_idle(&job->chunks[k]))
			continue;
		task_record_key(key, job, k);
		add_drop(txn, key, job->chunks[k].version);
		job->chunks[k].ending = true;
		n++;
	}
}

/* Nothing is bound in it any more and its job is over: the record goes. */
static bool chunk_ends(const struct write *item)
{
	return item->job->orphan && !item->job->chunks[item->chunk].nbound;
}

/* The bytes of the chunk's value; 0 if its record goes. */
static size_t add_chunk(struct txn *txn, const struct write *item)
{
	char key[KEY_MAX];

	task_record_key(key, item->job, item->chunk);
	txn_guard(txn, key, item->job->chunks[item->chunk].version);
	if (!chunk_ends(item))
		return txn_put(txn, key, task_record_value(item->job, item->chunk), 0);
	txn_drop(txn, key);
	return 0;
}

/* Its bindings are on their way to the record as they are now. */
static void chunk_sent(struct job *job, uint32_t chunk)
{
	struct binding *binding;

	job->chunks[chunk].in_flight = true;
	DL_FOREACH2 (job->chunks[chunk].bindings, binding, cnext)
		binding->in_flight = true;
}

/* The bytes of its largest value, as far as that can grow. */
static size_t add_write(struct txn *txn, const struct write *item, int most)
{
	if (item->kind == WR_CHUNK)
		return add_chunk(txn, item);
	if (item->kind == WR_FINAL)
		add_final(txn, item->job, most);
	else
		add_drop(txn, item->key, item->version);
	return 0;
}

/* The transaction that was to end the job is not sent. */
static void final_unsent(struct job *job)
{
	for (uint32_t k = 0; k < job_chunks(job); k++)
		job->chunks[k].ending = false;
}

/* --- outcomes --- */

static void binding_committed(struct core *core, struct binding *b)
{
	struct job *job = b->job;
	struct binding *binding;

	b->committed = true;
	job->uncommitted--;
	if (job->spec.kind != JOB_GANG) {
		commands_wanted(core, b->machine);
		return;
	}
	/* A gang starts when all of it is on record. */
	if (!job->uncommitted)
		DL_FOREACH2 (job->bindings, binding, jnext)
			commands_wanted(core, binding->machine);
}

static void chunk_committed(struct core *core, struct write *item, uint64_t revision)
{
	struct job *job = item->job;
	struct chunk *chunk = &job->chunks[item->chunk];
	bool dropped = chunk_ends(item);
	struct binding *binding;

	chunk->in_flight = false;
	chunk->version = dropped ? 0 : revision;
	DL_FOREACH2 (chunk->bindings, binding, cnext) {
		if (binding->in_flight && !binding->committed)
			binding_committed(core, binding);
		binding->in_flight = false;
	}
	task_record_superseded(core, job, item->chunk);
	job_release(core, job);
}

static void final_committed(struct core *core, struct job *job)
{
	enum job_state s = final_state(job);
	char key[KEY_MAX];

	log_info("job_final", "job=%s state=%s", job->spec.id, wire_job_state(s));
	users_note_final(core, job->spec.id, s, job->spec.ntasks);
	job->final_done = true;
	job->orphan = true;
	for (uint32_t k = 0; k < job_chunks(job); k++) {
		struct chunk *chunk = &job->chunks[k];

		if (!chunk->ending && chunk_idle(chunk)) {
			task_record_key(key, job, k);
			commit_drop(core, key, chunk->version);
		}
		if (chunk->ending)
			chunk->version = 0;
		chunk->ending = false;
		if (!chunk->nbound && !chunk->queued && !chunk->in_flight)
			task_record_superseded(core, job, k);
	}
	job_release(core, job);
}

static void write_committed(struct core *core, struct write *item, uint64_t revision)
{
	if (item->kind == WR_CHUNK)
		chunk_committed(core, item, revision);
	else if (item->kind == WR_FINAL)
		final_committed(core, item->job);
}

/*
 * Whoever shows this token was there after it was taken, which no copy from a machine deleted
 * before does. So reports count only under it from now on, and the tombstones are not needed.
 */
static void forget_deleted(struct core *core)
{
	core->election.first_token = core->election.token;
	tombstones_drop(core, core->commits.fence_at);
}

static void committed(struct core *core, uint64_t revision)
{
	struct write *item, *tmp;

	DL_FOREACH_SAFE (core->commits.transaction.items, item, tmp) {
		DL_DELETE(core->commits.transaction.items, item);
		write_committed(core, item, revision);
		free(item);
	}
	if (core->commits.transaction.fence) {
		log_info("fence", "old=%llu new=%llu", (unsigned long long)core->election.token,
			 (unsigned long long)revision);
		core->election.token = core->election.revision = revision;
		if (tombstones_many(core))
			forget_deleted(core);
		core->rounds.attempts = 0;
		if (core->commits.transaction.raises) {
			election_raised(core, FORMAT_NEWEST, revision);
			task_records_raise(core);
			log_info("format", "raised=%d", FORMAT_NEWEST);
		}
		log_token(revision);
		workers_fenced(core);
	}
	commit_clear_transaction(core);
}

static void requeue_chunk(struct core *core, struct write *item)
{
	struct job *job = item->job;
	struct binding *binding;

	job->chunks[item->chunk].in_flight = false;
	DL_FOREACH2 (job->chunks[item->chunk].bindings, binding, cnext)
		binding->in_flight = false;
	if (job->chunks[item->chunk].queued) {
		free(item);
		return;
	}
	job->chunks[item->chunk].queued = item;
	item->due = core->now;
	item->list = &core->commits.writes;
	DL_PREPEND(core->commits.writes, item);
}

/* All that flew is to be written again, before what came after it. */
static void requeue(struct core *core)
{
	struct write *item, *tmp;

	DL_FOREACH_SAFE (core->commits.transaction.items, item, tmp) {
		DL_DELETE(core->commits.transaction.items, item);
		if (item->kind == WR_CHUNK) {
			requeue_chunk(core, item);
		} else if (item->kind == WR_FINAL) {
			final_unsent(item->job);
			item->list = &core->commits.finals;
			DL_PREPEND(core->commits.finals, item);
		} else {
			free(item); /* read again at the next take-over */
		}
	}
	commit_clear_transaction(core);
}

/* What a key holds now; a final record that is there already was our own write. */
static void adopt(struct core *core, const char *key, json_t *value, uint64_t version)
{
	struct write *item;
	char k[KEY_MAX];

	DL_FOREACH (core->commits.transaction.items, item) {
		struct job *job = item->job;

		if (item->kind == WR_CHUNK) {
			task_record_key(k, job, item->chunk);
			if (!strcmp(k, key))
				job->chunks[item->chunk].version = version;
		} else if (item->kind == WR_FINAL) {
			key_job(k, job);
			if (strcmp(k, key))
				continue;
			job->final_done = !value;
			if (!value)
				continue;
			job->version = version;
			if (json_is_true(json_object_get(value, "cancelled")))
				job_cancel(core, job);
		}
	}
}

static void reread_done(struct core *core)
{
	struct write *item, *tmp;

	DL_FOREACH_SAFE (core->commits.transaction.items, item, tmp) {
		if (item->kind != WR_FINAL || !item->job->final_done)
			continue;
		DL_DELETE(core->commits.transaction.items, item);
		final_committed(core, item->job);
		free(item);
	}
	requeue(core);
}

static void on_reread(struct core *core, struct call *call, int status, const char *body,
		      size_t len)
{
	struct kv_item it = {0};
	json_t *o = NULL;

	if (election_stale(core, call))
		return;
	store_heard(core, status);
	if (status != 200 && status != 404) {
		store_get(core, call->key, on_reread, NULL);
		return;
	}
	if (status == 200) {
		o = wire_parse(body, len);
		wire_kv(o, &it);
	}
	adopt(core, call->key, it.value, it.version);
	json_decref(o);
	if (--core->commits.transaction.reads_out == 0)
		reread_done(core);
}

/* Someone else changed a key, or an earlier copy of this transaction was applied: read them all. */
static void reread(struct core *core)
{
	struct write *item;
	char key[KEY_MAX];

	core->commits.transaction.reads_out = 0;
	DL_FOREACH (core->commits.transaction.items, item) {
		if (item->kind == WR_DROP)
			continue;
		if (item->kind == WR_CHUNK)
			task_record_key(key, item->job, item->chunk);
		else
			key_job(key, item->job);
		core->commits.transaction.reads_out++;
		store_get(core, key, on_reread, NULL);
	}
	if (!core->commits.transaction.reads_out)
		requeue(core);
}

/*
 * A new token without an answer may have been written all the same, and its second copy then finds
 * it: only our own transaction writes our name over the token we hold.
 */
/* The leader's key once the transaction under way is done. */
static const char *fence_key(const struct core *core)
{
	return election_key(core->commits.transaction.raises ? FORMAT_NEWEST
							     : core->election.format);
}

static void on_fence_read(struct core *core, struct call *call, int status, const char *body,
			  size_t len)
{
	const char *name;
	struct kv_item it = {0};
	json_t *o;

	if (election_stale(core, call) || !core->commits.in_flight)
		return;
	store_heard(core, status);
	if (status != 200 && status != 404) {
		store_get(core, fence_key(core), on_fence_read, NULL);
		return;
	}
	o = status == 200 ? wire_parse(body, len) : NULL;
	wire_kv(o, &it);
	name = json_string_value(json_object_get(it.value, "name"));
	if (name && !strcmp(name, core->conf->name) && it.version > core->election.token)
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
	bool small = core->commits.transaction.nops <= LIMITS_TXN_OPS_MIN &&
		     core->commits.transaction.largest <= LIMITS_VALUE_FLOOR;

	log_error("commit_refused", "nops=%d largest=%zu body=%.*s", core->commits.transaction.nops,
		  core->commits.transaction.largest, (int)(len < 200 ? len : 200), body);
	if (core->commits.transaction.fence) {
		election_step_down(core, "lease_refused");
		return;
	}
	limits_refused(core, core->commits.transaction.nops, core->commits.transaction.largest);
	requeue(core);
	core->commits.again = core->now + (small ? LIMITS_REFUSED_S : COMMIT_RETRY_S);
}

static void on_commit(struct core *core, struct call *call, int status, const char *body,
		      size_t len)
{
	json_t *o;

	store_heard(core, status);
	if (election_stale(core, call) || !core->commits.in_flight)
		return;
	if (status == 200) {
		o = wire_parse(body, len);
		committed(core, wire_revision(o));
		json_decref(o);
		return;
	}
	if (status == 409) {
		o = wire_parse(body, len);
		log_info("commit_conflict", "body=%.*s", (int)(len < 200 ? len : 200), body);
		if (core->commits.transaction.fence)
			store_get(core, fence_key(core), on_fence_read, NULL);
		else if (wire_failed_has(o, election_key(core->election.format)))
			election_step_down(core, "guard_failed");
		else
			reread(core);
		json_decref(o);
		return;
	}
	if (status == 400) {
		refused(core, body, len);
		return;
	}
	/*
	 * Refused, or unknown: the very same transaction goes again. Only a definite answer ends
	 * it, since an unknown one may still be applied at any time until then.
	 */
	core->commits.again = core->now + COMMIT_RETRY_S;
	core->commits.transaction.waiting = true;
}

/* --- sending --- */

static void refill(struct core *core)
{
	allowance_fill(core, &core->commits.puts, limits_write_rps(core) * WRITE_SHARE_LEADER);
}

static void send_transaction(struct core *core)
{
	core->commits.transaction.waiting = false;
	refill(core);
	core->commits.puts.left -= core->commits.transaction.nops;
	store_commit(core, strdup(core->commits.transaction.body), on_commit, NULL);
}

static void send_txn(struct core *core, struct txn *txn)
{
	core->commits.in_flight = true;
	core->commits.transaction.nops = txn->nops;
	core->commits.transaction.largest = txn->largest;
	core->commits.transaction.body = txn_finish(txn);
	send_transaction(core);
}

/* The leader's key is written again, for a new token; with it, the format is raised if it can be.
 */
static void send_fence(struct core *core)
{
	bool raises = format_wanted(core);
	struct txn txn;

	txn_begin(&txn);
	txn_guard(&txn, election_key(core->election.format), core->election.token);
	if (raises)
		txn_put(&txn, LEADER_KEY, election_gate_value(FORMAT_NEWEST), 0);
	txn_put(&txn, election_key(raises ? FORMAT_NEWEST : core->election.format),
		election_value(core), core->election.lease);
	core->commits.transaction.fence = true;
	core->commits.transaction.raises = raises;
	core->commits.fence_wanted = false;
	core->commits.fence_at = core->now;
	send_txn(core, &txn);
}

/* A binding that the chunk's last record does not hold and no transaction carries. */
static struct binding *unrecorded(const struct job *job, uint32_t chunk)
{
	struct binding *binding;

	DL_FOREACH2 (job->chunks[chunk].bindings, binding, cnext)
		if (!binding->committed && binding_unsent(binding))
			return binding;
	return NULL;
}

/*
 * The chunk's value is over the limit, as when that was lowered: bindings that were never on record
 * are taken back. Without any, it waits until tasks have ended.
 */
static void chunk_too_large(struct core *core, struct write *item)
{
	struct job *job = item->job;
	uint32_t chunk = item->chunk;
	struct binding *binding;

	log_info("record_too_large", "job=%s chunk=%u bound=%u limit=%zu", job->spec.id, chunk,
		 job->chunks[chunk].nbound, limits_value_bytes(core));
	job->not_before = core->now + LIMITS_WAIT_S;
	if (!unrecorded(job, chunk))
		item->held_until = core->now + LIMITS_WAIT_S;
	while ((binding = unrecorded(job, chunk)))
		binding_end(core, binding, WHY_STOPPED);
}

enum batch_result {
	BATCH_ADDED,
	BATCH_SKIPPED, /* it can't be written now */
	BATCH_FULL
};

static enum batch_result batch_add(struct core *core, struct txn *txn, struct write *item)
{
	int most = limits_txn_ops(core), n = write_ops(item, most);
	struct txn_mark mark = txn_mark(txn);
	size_t bytes;

	if (core->now < item->held_until)
		return BATCH_SKIPPED;
	if (txn->nops && (txn->nops + n > most || txn->nops + n > core->commits.puts.left))
		return BATCH_FULL;
	bytes = add_write(txn, item, most);
	if (mark.nops && txn_bytes(txn) > COMMIT_BYTES) {
		txn_rollback(txn, &mark);
		if (item->kind == WR_FINAL)
			final_unsent(item->job);
		return BATCH_FULL;
	}
	if (bytes > limits_value_bytes(core)) {
		txn_rollback(txn, &mark);
		chunk_too_large(core, item);
		return BATCH_FULL; /* other writes may have left the queue with it */
	}
	write_unlist(item);
	DL_APPEND(core->commits.transaction.items, item);
	if (item->kind == WR_CHUNK)
		chunk_sent(item->job, item->chunk);
	return BATCH_ADDED;
}

/* The chunk has no record of its own, and needs none any more. */
static bool chunk_needless(const struct write *item)
{
	return chunk_ends(item) && !item->job->chunks[item->chunk].version;
}

static void chunk_forget(struct core *core, struct write *item)
{
	struct job *job = item->job;

	write_unlist(item);
	task_record_superseded(core, job, item->chunk);
	job_release(core, job);
	free(item);
}

/* Chunks of the list that are due, or those that could wait; false if there is no room for all. */
static bool batch_chunks(struct core *core, struct txn *txn, struct write **list, bool due)
{
	struct write *item, *tmp;

	DL_FOREACH_SAFE (*list, item, tmp) {
		if ((item->due <= core->now) != due || item->job->chunks[item->chunk].in_flight)
			continue;
		if (chunk_needless(item))
			chunk_forget(core, item);
		else if (batch_add(core, txn, item) == BATCH_FULL)
			return false;
	}
	return true;
}

static bool batch_all(struct core *core, struct txn *txn, struct write **list)
{
	while (*list)
		if (batch_add(core, txn, *list) == BATCH_FULL)
			return false;
	return true;
}

/* Enough of the rate is left for what can wait for ever. */
static bool puts_spare(const struct core *core)
{
	return core->commits.puts.left > limits_write_rps(core) / 2;
}

static void send_writes(struct core *core)
{
	struct txn txn;

	txn_begin(&txn);
	txn_guard(&txn, election_key(core->election.format), core->election.token);
	/* Ends of jobs first: they are few, and their users wait for the word. */
	if (batch_all(core, &txn, &core->commits.finals) &&
	    batch_chunks(core, &txn, &core->commits.writes, true) && txn.nops)
		batch_chunks(core, &txn, &core->commits.writes, false);
	if (!txn.nops)
		batch_chunks(core, &txn, &core->commits.migrations, true);
	if (!txn.nops)
		batch_all(core, &txn, &core->commits.drops);
	log_debug("commit", "nops=%d largest=%zu tokens=%.1f kind=%d", txn.nops, txn.largest,
		  core->commits.puts.left,
		  core->commits.transaction.items ? (int)core->commits.transaction.items->kind
						  : -1);
	if (txn.nops) {
		send_txn(core, &txn);
		return;
	}
	txn_abandon(&txn);
	commit_clear_transaction(core);
}

static bool anything_due(const struct core *core)
{
	const struct write *item;

	if (core->commits.finals ||
	    ((core->commits.drops || core->commits.migrations) && puts_spare(core)))
		return true;
	DL_FOREACH (core->commits.writes, item)
		if (item->due <= core->now && item->held_until <= core->now)
			return true;
	return false;
}

void commit_tick(struct core *core)
{
	if (core->commits.in_flight) {
		if (core->commits.transaction.waiting && core->now >= core->commits.again)
			send_transaction(core);
		return;
	}
	if (core->now < core->commits.again)
		return;
	refill(core);
	if (core->commits.puts.left < 1)
		return;
	if (tombstones_many(core))
		core->commits.fence_wanted = true;
	if ((core->commits.fence_wanted && core->now - core->commits.fence_at >= FENCE_EVERY_S) ||
	    format_wanted(core))
		send_fence(core);
	else if (anything_due(core))
		send_writes(core);
}
