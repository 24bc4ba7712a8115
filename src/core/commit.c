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

static struct write *write_add(struct write **list, enum write_kind kind, struct job *j,
			       uint32_t chunk)
{
	struct write *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	w->kind = kind;
	w->job = j;
	w->chunk = chunk;
	w->list = list;
	DL_APPEND(*list, w);
	return w;
}

/* Out of the queue that it waits in. */
static void write_unlist(struct write *w)
{
	DL_DELETE(*w->list, w);
	w->list = NULL;
	if (w->kind == WR_CHUNK)
		w->job->chunks[w->chunk].queued = NULL;
}

static void write_move(struct write *w, struct write **list)
{
	DL_DELETE(*w->list, w);
	w->list = list;
	DL_APPEND(*list, w);
}

/* The chunk that holds the task is to be written, at the latest after `delay_s`. */
void commit_chunk(struct core *c, struct job *j, uint32_t task, double delay_s)
{
	uint32_t k = job_chunk_of(j, task);
	struct write *w;

	if (k >= job_chunks(j) || (j->final_queued && !j->chunks[k].nbound && !j->final_done))
		return;
	w = j->chunks[k].queued;
	if (!w) {
		w = write_add(&c->writes, WR_CHUNK, j, k);
		w->due = c->now + delay_s;
		j->chunks[k].queued = w;
	} else if (w->list == &c->migrations) {
		write_move(w, &c->writes);
		w->due = c->now + delay_s;
	}
	if (w->due > c->now + delay_s)
		w->due = c->now + delay_s;
}

void commit_migrate(struct core *c, struct job *j, uint32_t chunk)
{
	if (!j->chunks[chunk].queued)
		j->chunks[chunk].queued = write_add(&c->migrations, WR_CHUNK, j, chunk);
}

void commit_drop(struct core *c, const char *key, uint64_t version)
{
	struct write *w = write_add(&c->drops, WR_DROP, NULL, 0);

	snprintf(w->key, sizeof(w->key), "%s", key);
	w->version = version;
}

static void unqueue_chunks(struct core *c, struct job *j)
{
	(void)c;
	for (uint32_t k = 0; k < job_chunks(j); k++) {
		struct write *w = j->chunks[k].queued;

		if (!w)
			continue;
		write_unlist(w);
		free(w);
	}
}

void commit_final(struct core *c, struct job *j)
{
	if (j->final_queued)
		return;
	j->final_queued = true;
	/* The final record stands for the chunks that were still to be written. */
	unqueue_chunks(c, j);
	write_add(&c->finals_due, WR_FINAL, j, 0);
}

static void drop_list(struct write **list)
{
	struct write *w, *tmp;

	DL_FOREACH_SAFE (*list, w, tmp) {
		DL_DELETE(*list, w);
		free(w);
	}
}

static void commit_clear_flight(struct core *c)
{
	drop_list(&c->flight.items);
	free(c->flight.body);
	memset(&c->flight, 0, sizeof(c->flight));
	c->flying = false;
}

void commit_clear(struct core *c)
{
	drop_list(&c->writes);
	drop_list(&c->migrations);
	drop_list(&c->finals_due);
	drop_list(&c->drops);
	commit_clear_flight(c);
}

void commit_forget_chunks(struct core *c)
{
	drop_list(&c->writes);
	drop_list(&c->migrations);
}

bool commit_settled(const struct job *j, uint32_t task)
{
	const struct chunk *k = &j->chunks[job_chunk_of(j, task)];

	if (j->final_queued)
		return j->final_done;
	return !k->queued && !k->flying;
}

static void key_job(char *key, const struct job *j)
{
	snprintf(key, KEY_MAX, JOBS_OPEN "%s", j->spec.id);
}

/* --- building --- */

/* On record, and nothing is bound in it or about to be written of it. */
static bool chunk_idle(const struct chunk *k)
{
	return k->version && !k->nbound && !k->queued && !k->flying;
}

static int write_ops(const struct write *w, int most)
{
	int n = 2;

	if (w->kind != WR_FINAL)
		return 1;
	for (uint32_t k = 0; k < job_chunks(w->job) && n < most; k++)
		n += chunk_idle(&w->job->chunks[k]);
	return n;
}

/* Cancelled stays cancelled, even if the last task was done before its stop arrived. */
static enum job_state final_state(const struct job *j)
{
	return j->cancelled ? JS_CANCELLED : JS_DONE;
}

static void add_drop(struct txn *t, const char *key, uint64_t version)
{
	txn_guard(t, key, version);
	txn_drop(t, key);
}

/* Chunks beyond what one transaction holds are left over, and dropped one by one afterwards. */
static void add_final(struct txn *t, const struct job *j, int most)
{
	char key[KEY_MAX], fkey[KEY_MAX];
	int n = 2;

	key_job(key, j);
	snprintf(fkey, sizeof(fkey), JOBS_OVER "%s", j->spec.id);
	txn_guard(t, key, j->version);
	txn_guard(t, fkey, 0);
	txn_drop(t, key);
	txn_put(t, fkey,
		json_pack("{s:s,s:i}", "state", wire_job_state(final_state(j)), "tasks",
			  (int)j->spec.ntasks),
		0);
	for (uint32_t k = 0; k < job_chunks(j) && n < most; k++) {
		if (!chunk_idle(&j->chunks[k]))
			continue;
		task_record_key(key, j, k);
		add_drop(t, key, j->chunks[k].version);
		j->chunks[k].ending = true;
		n++;
	}
}

/* Nothing is bound in it any more and its job is over: the record goes. */
static bool chunk_ends(const struct write *w)
{
	return w->job->orphan && !w->job->chunks[w->chunk].nbound;
}

/* The bytes of the chunk's value; 0 if its record goes. */
static size_t add_chunk(struct txn *t, const struct write *w)
{
	char key[KEY_MAX];

	task_record_key(key, w->job, w->chunk);
	txn_guard(t, key, w->job->chunks[w->chunk].version);
	if (!chunk_ends(w))
		return txn_put(t, key, task_record_value(w->job, w->chunk), 0);
	txn_drop(t, key);
	return 0;
}

/* Its bindings are on their way to the record as they are now. */
static void chunk_flies(struct job *j, uint32_t chunk)
{
	struct binding *b;

	j->chunks[chunk].flying = true;
	DL_FOREACH2 (j->bindings, b, jnext)
		if (job_chunk_of(j, b->task) == chunk)
			b->flying = true;
}

/* The bytes of its largest value, as far as that can grow. */
static size_t add_write(struct txn *t, const struct write *w, int most)
{
	if (w->kind == WR_CHUNK)
		return add_chunk(t, w);
	if (w->kind == WR_FINAL)
		add_final(t, w->job, most);
	else
		add_drop(t, w->key, w->version);
	return 0;
}

/* The transaction that was to end the job is not sent. */
static void final_unsent(struct job *j)
{
	for (uint32_t k = 0; k < job_chunks(j); k++)
		j->chunks[k].ending = false;
}

/* --- outcomes --- */

static void binding_committed(struct core *c, struct binding *b)
{
	struct job *j = b->job;
	struct binding *o;

	b->committed = true;
	j->uncommitted--;
	if (j->spec.kind != JOB_GANG) {
		workers_kick(c, b->machine);
		return;
	}
	/* A gang starts when all of it is on record. */
	if (!j->uncommitted)
		DL_FOREACH2 (j->bindings, o, jnext)
			workers_kick(c, o->machine);
}

static void chunk_committed(struct core *c, struct write *w, uint64_t revision)
{
	struct job *j = w->job;
	struct chunk *k = &j->chunks[w->chunk];
	bool dropped = chunk_ends(w);
	struct binding *b;

	k->flying = false;
	k->version = dropped ? 0 : revision;
	DL_FOREACH2 (j->bindings, b, jnext) {
		if (job_chunk_of(j, b->task) != w->chunk)
			continue;
		if (b->flying && !b->committed)
			binding_committed(c, b);
		b->flying = false;
	}
	task_record_superseded(c, j, w->chunk);
	job_release(c, j);
}

static void final_committed(struct core *c, struct job *j)
{
	enum job_state s = final_state(j);
	char key[KEY_MAX];

	log_info("job_final", "job=%s state=%s", j->spec.id, wire_job_state(s));
	users_note_final(c, j->spec.id, s, j->spec.ntasks);
	j->final_done = true;
	j->orphan = true;
	for (uint32_t k = 0; k < job_chunks(j); k++) {
		struct chunk *x = &j->chunks[k];

		if (!x->ending && chunk_idle(x)) {
			task_record_key(key, j, k);
			commit_drop(c, key, x->version);
		}
		if (x->ending)
			x->version = 0;
		x->ending = false;
		if (!x->nbound && !x->queued && !x->flying)
			task_record_superseded(c, j, k);
	}
	job_release(c, j);
}

static void write_committed(struct core *c, struct write *w, uint64_t revision)
{
	if (w->kind == WR_CHUNK)
		chunk_committed(c, w, revision);
	else if (w->kind == WR_FINAL)
		final_committed(c, w->job);
}

static void committed(struct core *c, uint64_t revision)
{
	struct write *w, *tmp;

	DL_FOREACH_SAFE (c->flight.items, w, tmp) {
		DL_DELETE(c->flight.items, w);
		write_committed(c, w, revision);
		free(w);
	}
	if (c->flight.fence) {
		log_info("fence", "old=%llu new=%llu", (unsigned long long)c->el.token,
			 (unsigned long long)revision);
		c->el.token = c->el.revision = revision;
		c->attempts = 0;
		if (c->flight.raises) {
			election_raised(c, FORMAT_NEWEST, revision);
			task_records_raise(c);
			log_info("format", "raised=%d", FORMAT_NEWEST);
		}
		log_token(revision);
		workers_fenced(c);
	}
	commit_clear_flight(c);
}

static void requeue_chunk(struct core *c, struct write *w)
{
	struct job *j = w->job;
	struct binding *b;

	j->chunks[w->chunk].flying = false;
	DL_FOREACH2 (j->bindings, b, jnext)
		if (job_chunk_of(j, b->task) == w->chunk)
			b->flying = false;
	if (j->chunks[w->chunk].queued) {
		free(w);
		return;
	}
	j->chunks[w->chunk].queued = w;
	w->due = c->now;
	w->list = &c->writes;
	DL_PREPEND(c->writes, w);
}

/* All that flew is to be written again, before what came after it. */
static void requeue(struct core *c)
{
	struct write *w, *tmp;

	DL_FOREACH_SAFE (c->flight.items, w, tmp) {
		DL_DELETE(c->flight.items, w);
		if (w->kind == WR_CHUNK) {
			requeue_chunk(c, w);
		} else if (w->kind == WR_FINAL) {
			final_unsent(w->job);
			w->list = &c->finals_due;
			DL_PREPEND(c->finals_due, w);
		} else {
			free(w); /* read again at the next take-over */
		}
	}
	commit_clear_flight(c);
}

/* What a key holds now; a final record that is there already was our own write. */
static void adopt(struct core *c, const char *key, json_t *value, uint64_t version)
{
	struct write *w;
	char k[KEY_MAX];

	DL_FOREACH (c->flight.items, w) {
		struct job *j = w->job;

		if (w->kind == WR_CHUNK) {
			task_record_key(k, j, w->chunk);
			if (!strcmp(k, key))
				j->chunks[w->chunk].version = version;
		} else if (w->kind == WR_FINAL) {
			key_job(k, j);
			if (strcmp(k, key))
				continue;
			j->final_done = !value;
			if (!value)
				continue;
			j->version = version;
			if (json_is_true(json_object_get(value, "cancelled")))
				job_cancel(c, j);
		}
	}
}

static void reread_done(struct core *c)
{
	struct write *w, *tmp;

	DL_FOREACH_SAFE (c->flight.items, w, tmp) {
		if (w->kind != WR_FINAL || !w->job->final_done)
			continue;
		DL_DELETE(c->flight.items, w);
		final_committed(c, w->job);
		free(w);
	}
	requeue(c);
}

static void on_reread(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	struct kv_item it = {0};
	json_t *o = NULL;

	if (election_stale(c, call))
		return;
	store_heard(c, status);
	if (status != 200 && status != 404) {
		store_get(c, call->key, on_reread, NULL);
		return;
	}
	if (status == 200) {
		o = wire_parse(body, len);
		wire_kv(o, &it);
	}
	adopt(c, call->key, it.value, it.version);
	json_decref(o);
	if (--c->flight.reads_out == 0)
		reread_done(c);
}

/* Someone else changed a key, or an earlier copy of this transaction was applied: read them all. */
static void reread(struct core *c)
{
	struct write *w;
	char key[KEY_MAX];

	c->flight.reads_out = 0;
	DL_FOREACH (c->flight.items, w) {
		if (w->kind == WR_DROP)
			continue;
		if (w->kind == WR_CHUNK)
			task_record_key(key, w->job, w->chunk);
		else
			key_job(key, w->job);
		c->flight.reads_out++;
		store_get(c, key, on_reread, NULL);
	}
	if (!c->flight.reads_out)
		requeue(c);
}

/*
 * A new token without an answer may have been written all the same, and its second copy then finds
 * it: only our own transaction writes our name over the token we hold.
 */
/* The leader's key once the transaction under way is done. */
static const char *fence_key(const struct core *c)
{
	return election_key(c->flight.raises ? FORMAT_NEWEST : c->el.format);
}

static void on_fence_read(struct core *c, struct call *call, int status, const char *body,
			  size_t len)
{
	const char *name;
	struct kv_item it = {0};
	json_t *o;

	if (election_stale(c, call) || !c->flying)
		return;
	store_heard(c, status);
	if (status != 200 && status != 404) {
		store_get(c, fence_key(c), on_fence_read, NULL);
		return;
	}
	o = status == 200 ? wire_parse(body, len) : NULL;
	wire_kv(o, &it);
	name = json_string_value(json_object_get(it.value, "name"));
	if (name && !strcmp(name, c->conf->name) && it.version > c->el.token)
		committed(c, it.version);
	else
		election_step_down(c, "guard_failed");
	json_decref(o);
}

/*
 * A definite answer: too many changes or too large a value, if the key of the leader has no part in
 * it. What was sent so is not sent again unchanged, unless nothing of it can be smaller.
 */
static void refused(struct core *c, const char *body, size_t len)
{
	bool small =
	    c->flight.nops <= LIMITS_TXN_OPS_MIN && c->flight.largest <= LIMITS_VALUE_FLOOR;

	log_error("commit_refused", "nops=%d largest=%zu body=%.*s", c->flight.nops,
		  c->flight.largest, (int)(len < 200 ? len : 200), body);
	if (c->flight.fence) {
		election_step_down(c, "lease_refused");
		return;
	}
	limits_refused(c, c->flight.nops, c->flight.largest);
	requeue(c);
	c->commit_again = c->now + (small ? LIMITS_REFUSED_S : COMMIT_RETRY_S);
}

static void on_commit(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	json_t *o;

	store_heard(c, status);
	if (election_stale(c, call) || !c->flying)
		return;
	if (status == 200) {
		o = wire_parse(body, len);
		committed(c, wire_revision(o));
		json_decref(o);
		return;
	}
	if (status == 409) {
		o = wire_parse(body, len);
		log_info("commit_conflict", "body=%.*s", (int)(len < 200 ? len : 200), body);
		if (c->flight.fence)
			store_get(c, fence_key(c), on_fence_read, NULL);
		else if (wire_failed_has(o, election_key(c->el.format)))
			election_step_down(c, "guard_failed");
		else
			reread(c);
		json_decref(o);
		return;
	}
	if (status == 400) {
		refused(c, body, len);
		return;
	}
	/*
	 * Refused, or unknown: the very same transaction goes again. Only a definite answer ends
	 * it, since an unknown one may still be applied at any time until then.
	 */
	c->commit_again = c->now + COMMIT_RETRY_S;
	c->flight.waiting = true;
}

/* --- sending --- */

static void refill(struct core *c)
{
	allowance_fill(c, &c->puts, limits_write_rps(c) * WRITE_SHARE_LEADER);
}

static void fly(struct core *c)
{
	c->flight.waiting = false;
	refill(c);
	c->puts.left -= c->flight.nops;
	store_commit(c, strdup(c->flight.body), on_commit, NULL);
}

static void fly_txn(struct core *c, struct txn *t)
{
	c->flying = true;
	c->flight.nops = t->nops;
	c->flight.largest = t->largest;
	c->flight.body = txn_finish(t);
	fly(c);
}

/* The leader's key is written again, for a new token; with it, the format is raised if it can be.
 */
static void fly_fence(struct core *c)
{
	bool raises = format_wanted(c);
	struct txn t;

	txn_begin(&t);
	txn_guard(&t, election_key(c->el.format), c->el.token);
	if (raises)
		txn_put(&t, LEADER_KEY, election_gate_value(FORMAT_NEWEST), 0);
	txn_put(&t, election_key(raises ? FORMAT_NEWEST : c->el.format), election_value(c),
		c->el.lease);
	c->flight.fence = true;
	c->flight.raises = raises;
	c->fence_wanted = false;
	c->fence_at = c->now;
	fly_txn(c, &t);
}

/* A binding that the chunk's last record does not hold and no transaction carries. */
static struct binding *unrecorded(const struct job *j, uint32_t chunk)
{
	struct binding *b;

	DL_FOREACH2 (j->bindings, b, jnext)
		if (job_chunk_of(j, b->task) == chunk && !b->committed && binding_unsent(b))
			return b;
	return NULL;
}

/*
 * The chunk's value is over the limit, as when that was lowered: bindings that were never on record
 * are taken back. Without any, it waits until tasks have ended.
 */
static void chunk_too_large(struct core *c, struct write *w)
{
	struct job *j = w->job;
	uint32_t chunk = w->chunk;
	struct binding *b;

	log_info("record_too_large", "job=%s chunk=%u bound=%u limit=%zu", j->spec.id, chunk,
		 j->chunks[chunk].nbound, limits_value_bytes(c));
	j->not_before = c->now + LIMITS_WAIT_S;
	if (!unrecorded(j, chunk))
		w->held_until = c->now + LIMITS_WAIT_S;
	while ((b = unrecorded(j, chunk)))
		binding_end(c, b, WHY_STOPPED);
}

enum batch_result {
	BATCH_ADDED,
	BATCH_SKIPPED, /* it can't be written now */
	BATCH_FULL
};

static enum batch_result batch_add(struct core *c, struct txn *t, struct write *w)
{
	int most = limits_txn_ops(c), n = write_ops(w, most);
	struct txn_mark mark = txn_mark(t);
	size_t bytes;

	if (c->now < w->held_until)
		return BATCH_SKIPPED;
	if (t->nops && (t->nops + n > most || t->nops + n > c->puts.left))
		return BATCH_FULL;
	bytes = add_write(t, w, most);
	if (mark.nops && txn_bytes(t) > COMMIT_BYTES) {
		txn_rollback(t, &mark);
		if (w->kind == WR_FINAL)
			final_unsent(w->job);
		return BATCH_FULL;
	}
	if (bytes > limits_value_bytes(c)) {
		txn_rollback(t, &mark);
		chunk_too_large(c, w);
		return BATCH_FULL; /* other writes may have left the queue with it */
	}
	write_unlist(w);
	DL_APPEND(c->flight.items, w);
	if (w->kind == WR_CHUNK)
		chunk_flies(w->job, w->chunk);
	return BATCH_ADDED;
}

/* The chunk has no record of its own, and needs none any more. */
static bool chunk_needless(const struct write *w)
{
	return chunk_ends(w) && !w->job->chunks[w->chunk].version;
}

static void chunk_forget(struct core *c, struct write *w)
{
	struct job *j = w->job;

	write_unlist(w);
	task_record_superseded(c, j, w->chunk);
	job_release(c, j);
	free(w);
}

/* Chunks of the list that are due, or those that could wait; false if there is no room for all. */
static bool batch_chunks(struct core *c, struct txn *t, struct write **list, bool due)
{
	struct write *w, *tmp;

	DL_FOREACH_SAFE (*list, w, tmp) {
		if ((w->due <= c->now) != due || w->job->chunks[w->chunk].flying)
			continue;
		if (chunk_needless(w))
			chunk_forget(c, w);
		else if (batch_add(c, t, w) == BATCH_FULL)
			return false;
	}
	return true;
}

static bool batch_all(struct core *c, struct txn *t, struct write **list)
{
	while (*list)
		if (batch_add(c, t, *list) == BATCH_FULL)
			return false;
	return true;
}

/* Enough of the rate is left for what can wait for ever. */
static bool puts_spare(const struct core *c)
{
	return c->puts.left > limits_write_rps(c) / 2;
}

static void fly_writes(struct core *c)
{
	struct txn t;

	txn_begin(&t);
	txn_guard(&t, election_key(c->el.format), c->el.token);
	/* Ends of jobs first: they are few, and their users wait for the word. */
	if (batch_all(c, &t, &c->finals_due) && batch_chunks(c, &t, &c->writes, true) && t.nops)
		batch_chunks(c, &t, &c->writes, false);
	if (!t.nops)
		batch_chunks(c, &t, &c->migrations, true);
	if (!t.nops)
		batch_all(c, &t, &c->drops);
	log_debug("commit", "nops=%d largest=%zu tokens=%.1f kind=%d", t.nops, t.largest,
		  c->puts.left, c->flight.items ? (int)c->flight.items->kind : -1);
	if (t.nops) {
		fly_txn(c, &t);
		return;
	}
	txn_abandon(&t);
	commit_clear_flight(c);
}

static bool anything_due(const struct core *c)
{
	const struct write *w;

	if (c->finals_due || ((c->drops || c->migrations) && puts_spare(c)))
		return true;
	DL_FOREACH (c->writes, w)
		if (w->due <= c->now && w->held_until <= c->now)
			return true;
	return false;
}

void commit_tick(struct core *c)
{
	if (c->flying) {
		if (c->flight.waiting && c->now >= c->commit_again)
			fly(c);
		return;
	}
	if (c->now < c->commit_again)
		return;
	refill(c);
	if (c->puts.left < 1)
		return;
	if ((c->fence_wanted && c->now - c->fence_at >= FENCE_EVERY_S) || format_wanted(c))
		fly_fence(c);
	else if (anything_due(c))
		fly_writes(c);
}
