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

static struct write *write_new(enum write_kind kind, struct job *j, uint32_t chunk)
{
	struct write *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	w->kind = kind;
	w->job = j;
	w->chunk = chunk;
	return w;
}

static struct write *queued_chunk(struct core *c, const struct job *j, uint32_t chunk)
{
	struct write *w;

	DL_FOREACH (c->writes, w)
		if (w->job == j && w->chunk == chunk)
			return w;
	return NULL;
}

/* The chunk that holds the task is to be written, at the latest after `delay_s`. */
void commit_chunk(struct core *c, struct job *j, uint32_t task, double delay_s)
{
	uint32_t k = task / CHUNK_TASKS;
	struct write *w;

	if (k >= job_chunks(j) || (j->final_queued && !j->chunks[k].nbound && !j->final_done))
		return;
	if (j->chunks[k].queued) {
		if (delay_s > 0)
			return;
		w = queued_chunk(c, j, k);
	} else {
		w = write_new(WR_CHUNK, j, k);
		w->due = c->now + delay_s;
		DL_APPEND(c->writes, w);
		j->chunks[k].queued = true;
	}
	if (w->due > c->now + delay_s)
		w->due = c->now + delay_s;
}

/* A chunk whose job is over is dropped when there is room for it. */
void commit_drop(struct core *c, const char *id, uint32_t chunk, uint64_t version)
{
	struct write *w = write_new(WR_DROP, NULL, chunk);

	snprintf(w->id, sizeof(w->id), "%s", id);
	w->version = version;
	DL_APPEND(c->drops, w);
}

static void unqueue_chunks(struct core *c, struct job *j)
{
	struct write *w, *tmp;

	DL_FOREACH_SAFE (c->writes, w, tmp) {
		if (w->job != j)
			continue;
		j->chunks[w->chunk].queued = false;
		DL_DELETE(c->writes, w);
		free(w);
	}
}

void commit_final(struct core *c, struct job *j)
{
	struct write *w;

	if (j->final_queued)
		return;
	j->final_queued = true;
	/* The final record stands for the chunks that were still to be written. */
	unqueue_chunks(c, j);
	w = write_new(WR_FINAL, j, 0);
	DL_APPEND(c->finals_due, w);
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
	drop_list(&c->finals_due);
	drop_list(&c->drops);
	commit_clear_flight(c);
}

bool commit_settled(const struct job *j, uint32_t task)
{
	const struct chunk *k = &j->chunks[task / CHUNK_TASKS];

	if (j->final_queued)
		return j->final_done;
	return !k->queued && !k->flying;
}

/* --- keys and values --- */

static void key_job(char *key, const struct job *j)
{
	snprintf(key, KEY_MAX, JOBS_OPEN "%s", j->spec.id);
}

void key_chunk(char *key, const char *id, uint32_t chunk)
{
	snprintf(key, KEY_MAX, JOBS_BOUND "%s/%u", id, chunk);
}

static char *done_text(const struct job *j, uint32_t chunk)
{
	uint32_t first = chunk * CHUNK_TASKS, n = j->spec.ntasks - first;

	return bits_encode(j->done + first / 8, n < CHUNK_TASKS ? n : CHUNK_TASKS);
}

/* The list of one start and zone: [attempt, zone, task, machine, task, machine, ...] */
static json_t *group_of(json_t *groups, const struct binding *b)
{
	json_t *g;
	size_t i;

	json_array_foreach (groups, i, g) {
		if ((uint64_t)json_integer_value(json_array_get(g, 0)) == b->attempt &&
		    !strcmp(json_string_value(json_array_get(g, 1)), b->machine->zone))
			return g;
	}
	g = json_pack("[I,s]", (json_int_t)b->attempt, b->machine->zone);
	json_array_append_new(groups, g);
	return g;
}

static json_t *chunk_value(const struct job *j, uint32_t chunk)
{
	char *text = done_text(j, chunk);
	json_t *groups = json_array();
	struct binding *b;

	DL_FOREACH2 (j->bindings, b, jnext) {
		json_t *g;

		if (b->task / CHUNK_TASKS != chunk)
			continue;
		g = group_of(groups, b);
		json_array_append_new(g, json_integer((json_int_t)b->task));
		json_array_append_new(g, json_string(b->machine->id));
	}
	groups = json_pack("{s:s,s:o}", "done", text, "bound", groups);
	free(text);
	return groups;
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

static size_t write_bytes(const struct write *w)
{
	if (w->kind == WR_CHUNK)
		return CHUNK_SPARE_BYTES + w->job->chunks[w->chunk].bytes;
	return w->kind == WR_DROP ? 200 : 600;
}

/* Cancelled stays cancelled, even if the last task was done before its stop arrived. */
static enum job_state final_state(const struct job *j)
{
	return j->cancelled ? JS_CANCELLED : JS_DONE;
}

static void add_drop(struct txn *t, const char *id, uint32_t chunk, uint64_t version)
{
	char key[KEY_MAX];

	key_chunk(key, id, chunk);
	txn_guard(t, key, version);
	txn_drop(t, key);
}

/* Chunks beyond what one transaction holds are left over, and dropped one by one afterwards. */
static void add_final(struct txn *t, struct job *j, int most)
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
		add_drop(t, j->spec.id, k, j->chunks[k].version);
		j->chunks[k].ending = true;
		n++;
	}
}

/* Nothing is bound in it any more and its job is over: the record goes. */
static bool chunk_ends(const struct write *w)
{
	return w->job->ghost && !w->job->chunks[w->chunk].nbound;
}

static void add_chunk(struct txn *t, struct write *w)
{
	struct job *j = w->job;
	struct chunk *k = &j->chunks[w->chunk];
	char key[KEY_MAX];
	struct binding *b;

	key_chunk(key, j->spec.id, w->chunk);
	txn_guard(t, key, k->version);
	if (chunk_ends(w))
		txn_drop(t, key);
	else
		txn_put(t, key, chunk_value(j, w->chunk), 0);
	k->queued = false;
	k->flying = true;
	DL_FOREACH2 (j->bindings, b, jnext)
		if (b->task / CHUNK_TASKS == w->chunk)
			b->flying = true;
}

static void add_write(struct txn *t, struct write *w, int most)
{
	if (w->kind == WR_CHUNK)
		add_chunk(t, w);
	else if (w->kind == WR_FINAL)
		add_final(t, w->job, most);
	else
		add_drop(t, w->id, w->chunk, w->version);
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
		if (b->task / CHUNK_TASKS != w->chunk)
			continue;
		if (b->flying && !b->committed)
			binding_committed(c, b);
		b->flying = false;
	}
	job_release(c, j);
}

static void final_committed(struct core *c, struct job *j)
{
	enum job_state s = final_state(j);

	log_info("job_final", "job=%s state=%s", j->spec.id, wire_job_state(s));
	users_note_final(c, j->spec.id, s, j->spec.ntasks);
	j->final_done = true;
	j->ghost = true;
	for (uint32_t k = 0; k < job_chunks(j); k++) {
		struct chunk *x = &j->chunks[k];

		if (x->ending)
			x->version = 0;
		else if (chunk_idle(x))
			commit_drop(c, j->spec.id, k, x->version);
		x->ending = false;
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
		if (b->task / CHUNK_TASKS == w->chunk)
			b->flying = false;
	if (j->chunks[w->chunk].queued) {
		free(w);
		return;
	}
	j->chunks[w->chunk].queued = true;
	w->due = c->now;
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
			for (uint32_t k = 0; k < job_chunks(w->job); k++)
				w->job->chunks[k].ending = false;
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
			key_chunk(k, j->spec.id, w->chunk);
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
			key_chunk(key, w->job->spec.id, w->chunk);
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
		store_get(c, LEADER_KEY, on_fence_read, NULL);
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
		log_info("commit_conflict", "body=%.200s", body);
		if (c->flight.fence)
			store_get(c, LEADER_KEY, on_fence_read, NULL);
		else if (wire_failed_has(o, LEADER_KEY))
			election_step_down(c, "guard_failed");
		else
			reread(c);
		json_decref(o);
		return;
	}
	if (status == 400) {
		log_error("commit_refused", "body=%.200s", body);
		if (c->flight.fence)
			election_step_down(c, "lease_refused");
		else
			requeue(c);
		c->commit_again = c->now + COMMIT_RETRY_S;
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
	allowance_fill(c, &c->puts, c->conf->state_write_rps * WRITE_SHARE_LEADER);
}

static void fly(struct core *c)
{
	c->flight.waiting = false;
	refill(c);
	c->puts.left -= c->flight.nops;
	store_commit(c, strdup(c->flight.body), on_commit, NULL);
}

static void fly_fence(struct core *c)
{
	struct txn t;

	txn_begin(&t);
	txn_guard(&t, LEADER_KEY, c->el.token);
	txn_put(&t, LEADER_KEY, election_value(c), c->el.lease);
	c->flying = true;
	c->flight.fence = true;
	c->flight.nops = 1;
	c->flight.body = txn_finish(&t);
	c->fence_wanted = false;
	c->fence_at = c->now;
	fly(c);
}

struct batch {
	struct txn txn;
	size_t bytes;
	int nops;
};

/* False if the transaction has no room for it. */
static bool batch_add(struct core *c, struct batch *t, struct write **list, struct write *w)
{
	int most = c->conf->txn_ops, n = write_ops(w, most);

	if (t->nops && (t->nops + n > most || t->bytes + write_bytes(w) > COMMIT_BYTES ||
			t->nops + n > c->puts.left))
		return false;
	DL_DELETE(*list, w);
	DL_APPEND(c->flight.items, w);
	add_write(&t->txn, w, most);
	t->nops += n;
	t->bytes += write_bytes(w);
	return true;
}

/* What is due; with it go the ends that could wait longer, as far as there is room. */
static bool batch_chunks(struct core *c, struct batch *t, bool due)
{
	struct write *w, *tmp;

	DL_FOREACH_SAFE (c->writes, w, tmp)
		if ((w->due <= c->now) == due && !w->job->chunks[w->chunk].flying &&
		    !batch_add(c, t, &c->writes, w))
			return false;
	return true;
}

static bool batch_all(struct core *c, struct batch *t, struct write **list)
{
	while (*list)
		if (!batch_add(c, t, list, *list))
			return false;
	return true;
}

static void fly_writes(struct core *c)
{
	struct batch t = {0};

	txn_begin(&t.txn);
	txn_guard(&t.txn, LEADER_KEY, c->el.token);
	/* Ends of jobs first: they are few, and their users wait for the word. */
	if (batch_all(c, &t, &c->finals_due) && batch_chunks(c, &t, true) && t.nops)
		batch_chunks(c, &t, false);
	if (!t.nops)
		batch_all(c, &t, &c->drops);
	c->flight.nops = t.nops;
	log_debug("commit", "nops=%d bytes=%zu tokens=%.1f kind=%d", t.nops, t.bytes, c->puts.left,
		  c->flight.items ? (int)c->flight.items->kind : -1);
	c->flight.body = txn_finish(&t.txn);
	if (!t.nops) {
		commit_clear_flight(c);
		return;
	}
	c->flying = true;
	fly(c);
}

static bool anything_due(const struct core *c)
{
	const struct write *w;

	if (c->finals_due || (c->drops && c->puts.left > c->conf->state_write_rps / 2))
		return true;
	DL_FOREACH (c->writes, w)
		if (w->due <= c->now)
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
	if (c->fence_wanted && c->now - c->fence_at >= FENCE_EVERY_S)
		fly_fence(c);
	else if (anything_due(c))
		fly_writes(c);
}
