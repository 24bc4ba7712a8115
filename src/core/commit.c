/*
 * The leader's transactions, one at a time. What changed waits in a queue; all that has gathered
 * while one transaction is out goes with the next, so batches widen with the load. Everything is
 * guarded by the leader's key and by the version of each key written: a copy of a transaction
 * that arrives late finds other versions and does nothing.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"

static void queue(struct core *c, enum write_kind kind, void *obj, uint32_t chunk)
{
	struct write *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	w->kind = kind;
	w->obj = obj;
	w->chunk = chunk;
	DL_APPEND(c->writes, w);
}

void commit_machine(struct core *c, struct machine *m)
{
	if (m->dirty)
		return;
	m->dirty = true;
	queue(c, WR_MACHINE, m, 0);
}

void commit_done(struct core *c, struct job *j, uint32_t chunk)
{
	if (j->done_dirty[chunk])
		return;
	j->done_dirty[chunk] = 1;
	queue(c, WR_DONE, j, chunk);
}

void commit_final(struct core *c, struct job *j)
{
	struct write *w, *tmp;

	if (j->final_queued)
		return;
	j->final_queued = true;
	/* The final record stands for the done bits that were still to be written. */
	DL_FOREACH_SAFE (c->writes, w, tmp) {
		if (w->kind == WR_DONE && w->obj == j) {
			DL_DELETE(c->writes, w);
			free(w);
		}
	}
	queue(c, WR_FINAL, j, 0);
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
	commit_clear_flight(c);
}

bool commit_touches(const struct core *c, const void *obj)
{
	const struct write *w;

	DL_FOREACH (c->writes, w)
		if (w->obj == obj)
			return true;
	DL_FOREACH (c->flight.items, w)
		if (w->obj == obj)
			return true;
	return false;
}

/* --- keys and values --- */

#define KEY_MAX 200

static void key_machine(char *key, const struct machine *m)
{
	snprintf(key, KEY_MAX, "m/%s", m->id);
}

static void key_job(char *key, const struct job *j)
{
	snprintf(key, KEY_MAX, "j/%s", j->spec.id);
}

static void key_done(char *key, const struct job *j, uint32_t chunk)
{
	snprintf(key, KEY_MAX, "d/%s/%u", j->spec.id, chunk);
}

static json_t *machine_value(const struct machine *m)
{
	json_t *list = json_array();
	struct binding *b;

	DL_FOREACH2 (m->bindings, b, mnext)
		json_array_append_new(list, json_pack("[s,i,I]", b->job->spec.id, (int)b->task,
						      (json_int_t)b->attempt));
	return json_pack("{s:s,s:s,s:s,s:b,s:o}", "addr", m->addr, "type", m->type_name, "zone",
			 m->zone, "spot", (int)m->spot, "bound", list);
}

static json_t *done_value(const struct job *j, uint32_t chunk)
{
	uint32_t first = chunk * DONE_CHUNK_TASKS, n = j->spec.ntasks - first;
	char *text = bits_encode(j->done + first / 8, n < DONE_CHUNK_TASKS ? n : DONE_CHUNK_TASKS);
	json_t *v = json_pack("{s:s}", "bits", text);

	free(text);
	return v;
}

/* --- building --- */

static int write_ops(const struct write *w)
{
	if (w->kind != WR_FINAL)
		return 1;
	return 2 + (int)job_chunks(w->obj);
}

static size_t write_bytes(const struct write *w)
{
	if (w->kind == WR_MACHINE)
		return 400 + 48 * (size_t)((struct machine *)w->obj)->nbindings;
	return w->kind == WR_DONE ? 200 + DONE_CHUNK_TASKS / 6 : 800;
}

/* Cancelled stays cancelled, even if the last task was done before its stop arrived. */
static enum job_state final_state(const struct job *j)
{
	return j->cancelled ? JS_CANCELLED : JS_DONE;
}

static void add_final(struct txn *t, struct job *j)
{
	char key[KEY_MAX], fkey[KEY_MAX];
	enum job_state s = final_state(j);

	key_job(key, j);
	snprintf(fkey, sizeof(fkey), "f/%s", j->spec.id);
	txn_guard(t, key, j->version);
	txn_guard(t, fkey, 0);
	txn_drop(t, key);
	txn_put(t, fkey,
		json_pack("{s:s,s:i}", "state", wire_job_state(s), "tasks", (int)j->spec.ntasks),
		0);
	for (uint32_t k = 0; k < job_chunks(j); k++) {
		if (!j->done_version[k])
			continue;
		key_done(key, j, k);
		txn_guard(t, key, j->done_version[k]);
		txn_drop(t, key);
	}
}

static void add_write(struct txn *t, struct write *w)
{
	char key[KEY_MAX];

	if (w->kind == WR_MACHINE) {
		struct machine *m = w->obj;
		struct binding *b;

		key_machine(key, m);
		txn_guard(t, key, m->version);
		m->dropping = m->gone && !m->bindings;
		if (m->dropping)
			txn_drop(t, key);
		else
			txn_put(t, key, machine_value(m), 0);
		m->dirty = false;
		m->flying = true;
		DL_FOREACH2 (m->bindings, b, mnext)
			b->flying = true;
	} else if (w->kind == WR_DONE) {
		struct job *j = w->obj;

		key_done(key, j, w->chunk);
		txn_guard(t, key, j->done_version[w->chunk]);
		txn_put(t, key, done_value(j, w->chunk), 0);
		j->done_dirty[w->chunk] = 0;
		j->done_flying[w->chunk] = 1;
	} else {
		add_final(t, w->obj);
	}
}

/* --- outcomes --- */

static void machine_committed(struct core *c, struct machine *m, uint64_t revision)
{
	struct binding *b;

	m->flying = false;
	m->version = m->dropping ? 0 : revision;
	DL_FOREACH2 (m->bindings, b, mnext) {
		if (b->flying && !b->committed) {
			b->committed = true;
			workers_kick(c, m);
		}
		b->flying = false;
	}
	if (m->left)
		workers_kick(c, m);
}

static void final_committed(struct core *c, struct job *j)
{
	enum job_state s = final_state(j);

	log_info("job_final", "job=%s state=%s", j->spec.id, wire_job_state(s));
	users_note_final(c, j->spec.id, s, j->spec.ntasks);
	j->final_done = true;
	j->ghost = true;
	if (!j->bindings)
		job_free(c, j);
}

static void committed(struct core *c, uint64_t revision)
{
	struct write *w, *tmp;

	DL_FOREACH_SAFE (c->flight.items, w, tmp) {
		DL_DELETE(c->flight.items, w);
		if (w->kind == WR_MACHINE) {
			machine_committed(c, w->obj, revision);
		} else if (w->kind == WR_DONE) {
			struct job *j = w->obj;

			j->done_version[w->chunk] = revision;
			j->done_flying[w->chunk] = 0;
		} else {
			final_committed(c, w->obj);
		}
		free(w);
	}
	if (c->flight.fence) {
		log_info("fence", "old=%llu new=%llu", (unsigned long long)c->el.token,
			 (unsigned long long)revision);
		c->el.token = c->el.revision = revision;
		c->attempts = 0;
		log_token(revision);
	}
	commit_clear_flight(c);
}

/* All that flew is to be written again, before what came after it. */
static void requeue(struct core *c)
{
	struct write *w, *tmp;

	DL_FOREACH_SAFE (c->flight.items, w, tmp) {
		DL_DELETE(c->flight.items, w);
		if (w->kind == WR_MACHINE) {
			struct machine *m = w->obj;

			m->flying = false;
			if (m->dirty) {
				free(w);
				continue;
			}
			m->dirty = true;
		} else if (w->kind == WR_DONE) {
			struct job *j = w->obj;

			j->done_flying[w->chunk] = 0;
			if (j->done_dirty[w->chunk] || j->final_queued) {
				free(w);
				continue;
			}
			j->done_dirty[w->chunk] = 1;
		}
		DL_APPEND(c->writes, w);
	}
	commit_clear_flight(c);
}

static void adopt_version(struct core *c, const char *key, json_t *value, uint64_t version)
{
	struct write *w;
	char k[KEY_MAX];

	DL_FOREACH (c->flight.items, w) {
		if (w->kind == WR_MACHINE) {
			key_machine(k, w->obj);
			if (!strcmp(k, key))
				((struct machine *)w->obj)->version = version;
		} else if (w->kind == WR_DONE) {
			key_done(k, w->obj, w->chunk);
			if (!strcmp(k, key))
				((struct job *)w->obj)->done_version[w->chunk] = version;
		} else {
			struct job *j = w->obj;

			key_job(k, j);
			if (!strcmp(k, key) && value) {
				j->version = version;
				if (json_is_true(json_object_get(value, "cancelled")))
					job_cancel(c, j);
			} else if (!strcmp(k, key)) {
				j->final_done = true; /* our own write had been applied */
			}
		}
	}
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
	adopt_version(c, call->key, it.value, it.version);
	json_decref(o);
	if (--c->flight.reads_out == 0) {
		struct write *w, *tmp;

		DL_FOREACH_SAFE (c->flight.items, w, tmp) {
			struct job *j = w->obj;

			if (w->kind != WR_FINAL || !j->final_done)
				continue;
			DL_DELETE(c->flight.items, w);
			free(w);
			final_committed(c, j);
		}
		requeue(c);
	}
}

/* Someone else changed a key, or an earlier copy of this transaction was applied: read them all. */
static void reread(struct core *c)
{
	struct write *w;
	char key[KEY_MAX];

	c->flight.reads_out = 0;
	DL_FOREACH (c->flight.items, w) {
		if (w->kind == WR_MACHINE)
			key_machine(key, w->obj);
		else if (w->kind == WR_DONE)
			key_done(key, w->obj, w->chunk);
		else
			key_job(key, w->obj);
		c->flight.reads_out++;
		store_get(c, key, on_reread, NULL);
	}
	if (!c->flight.reads_out)
		commit_clear_flight(c);
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
		if (wire_failed_has(o, LEADER_KEY))
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
	double rate = c->conf->state_write_rps * WRITE_SHARE_LEADER;

	c->write_tokens += (c->now - c->write_filled) * rate;
	if (c->write_tokens > rate)
		c->write_tokens = rate;
	c->write_filled = c->now;
}

static void fly(struct core *c)
{
	c->flight.waiting = false;
	refill(c);
	c->write_tokens -= c->flight.nops;
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

/* Nothing was ever written of it, and there is nothing to write. */
static bool write_needless(const struct machine *m)
{
	return !m->version && !m->bindings && !m->flying;
}

static void fly_writes(struct core *c)
{
	struct write *w, *tmp;
	struct txn t;
	size_t bytes = 0;
	int nops = 0;

	txn_begin(&t);
	txn_guard(&t, LEADER_KEY, c->el.token);
	DL_FOREACH_SAFE (c->writes, w, tmp) {
		int n = write_ops(w);

		if (w->kind == WR_MACHINE && write_needless(w->obj)) {
			((struct machine *)w->obj)->dirty = false;
			DL_DELETE(c->writes, w);
			free(w);
			continue;
		}
		if (nops && (nops + n > c->conf->txn_ops || bytes + write_bytes(w) > COMMIT_BYTES ||
			     nops + n > c->write_tokens))
			break;
		DL_DELETE(c->writes, w);
		DL_APPEND(c->flight.items, w);
		add_write(&t, w);
		nops += n;
		bytes += write_bytes(w);
	}
	c->flight.nops = nops;
	c->flight.body = txn_finish(&t);
	if (!nops) {
		commit_clear_flight(c);
		return;
	}
	c->flying = true;
	fly(c);
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
	if (c->write_tokens < 1)
		return;
	if (c->fence_wanted && c->now - c->fence_at >= FENCE_EVERY_S)
		fly_fence(c);
	else if (c->writes)
		fly_writes(c);
}
