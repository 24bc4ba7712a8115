/* Take-over: all records are read before anything is decided; then the jobs' key range is watched.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"

/* In this order: an older record of tasks counts only where no newer one was read. */
static const char *const prefixes_chunks[] = {JOBS_OPEN, JOBS_BOUND, NULL};
static const char *const prefixes_pieces[] = {JOBS_OPEN, JOBS_PIECES, JOBS_BOUND, NULL};

static const char *load_prefix(const struct core *c, size_t at)
{
	return (c->el.format >= FORMAT_PIECES ? prefixes_pieces : prefixes_chunks)[at];
}

struct load {
	size_t at;
	char last[200];
	bool first;
};

void load_job_record(struct core *c, const char *id, json_t *value, uint64_t version)
{
	struct job *j = job_find(c, id);
	struct job_spec spec;
	const char *why;

	if (!j) {
		if (wire_job_decode(json_object_get(value, "spec"), &spec, &why)) {
			log_error("record_unreadable", "job=%s field=%s", id, why);
			return;
		}
		j = job_add(c, &spec);
		j->submitted = json_number_value(json_object_get(value, "at"));
	}
	j->version = version;
	/*
	 * While loading, its bindings may not have been read yet: a job that seems to have none
	 * would be closed at once, and its tasks run on with nobody to stop them.
	 */
	if (json_is_true(json_object_get(value, "cancelled"))) {
		if (c->el.role == ROLE_LOADING)
			j->cancelled = true;
		else
			job_cancel(c, j);
	}
	round_wanted(c);
}

struct load_ctx {
	struct core *c;
	struct load *l;
};

static void load_item(void *ctx, const struct kv_item *it)
{
	struct load_ctx *x = ctx;

	snprintf(x->l->last, sizeof(x->l->last), "%s", it->key);
	if (x->l->at == 0)
		load_job_record(x->c, it->key + strlen(JOBS_OPEN), it->value, it->version);
	else
		task_record_load(x->c, it);
}

static void load_finish(struct core *c)
{
	struct job *j, *tmp;

	HASH_ITER (hh, c->jobs, j, tmp) {
		struct binding *b;

		for (uint32_t t = 0; t < j->spec.ntasks; t++)
			j->ndone += job_bit(j->done, t);
		/* Part of a gang: the leader before ended between two transactions of one
		 * placement. */
		if (j->spec.kind == JOB_GANG && !j->orphan && j->nbound &&
		    j->nbound < j->spec.ntasks) {
			j->gang_stopping = true;
			DL_FOREACH2 (j->bindings, b, jnext)
				binding_stop(c, b, 0);
		}
		if (j->cancelled)
			DL_FOREACH2 (j->bindings, b, jnext)
				binding_stop(c, b, 0);
	}
	HASH_ITER (hh, c->jobs, j, tmp) {
		task_records_migrate(c, j);
		job_settle(c, j);
		job_release(c, j);
	}
	c->el.role = ROLE_LEAD;
	c->lead_since = c->now;
	c->puts.filled = c->now;
	c->puts.left = limits_write_rps(c) * WRITE_SHARE_LEADER;
	log_info("lead", "state=leading jobs=%u machines=%u", HASH_COUNT(c->jobs),
		 HASH_COUNT(c->machines));
	round_wanted(c);
}

static void on_page(struct core *c, struct call *call, int status, const char *body, size_t len);

static void ask_page(struct core *c, struct load *l)
{
	store_range(c, load_prefix(c, l->at), l->last, on_page, l)->drop = free;
}

static void on_page(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	struct load *l = call->arg;
	struct load_ctx x = {c, l};
	json_t *o;

	store_heard(c, status);
	if (election_stale(c, call)) {
		free(l);
		return;
	}
	if (status != 200) {
		ask_page(c, l);
		return;
	}
	o = wire_parse(body, len);
	if (l->first) {
		c->jobs_revision = wire_revision(o);
		c->jobs_read = call->sent;
	}
	l->first = false;
	wire_items(o, load_item, &x);
	if (!wire_more(o)) {
		l->at++;
		l->last[0] = 0;
	}
	json_decref(o);
	if (load_prefix(c, l->at)) {
		ask_page(c, l);
		return;
	}
	free(l);
	load_finish(c);
}

void load_start(struct core *c)
{
	struct load *l = calloc(1, sizeof(*l));

	if (!l)
		abort();
	l->first = true;
	ask_page(c, l);
}

static void watch_item(void *ctx, const struct kv_item *it)
{
	struct core *c = ctx;
	struct job *j;

	size_t n = strlen(JOBS_OPEN);

	if (strncmp(it->key, JOBS_OPEN, n) || !it->value)
		return;
	j = job_find(c, it->key + n);
	if (j && (j->orphan || it->version <= j->version))
		return;
	load_job_record(c, it->key + n, it->value, it->version);
}

static void on_watch(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	json_t *o;

	if (election_stale(c, call))
		return;
	c->jobs_watching = false;
	if (status == 410) {
		election_step_down(c, "watch_too_old");
		return;
	}
	if (status != 200) {
		c->jobs_watch_again = c->now + LEADER_REREAD_S;
		return;
	}
	o = wire_parse(body, len);
	wire_items(o, watch_item, c);
	if (wire_revision(o) > c->jobs_revision)
		c->jobs_revision = wire_revision(o);
	c->jobs_read = call->sent;
	json_decref(o);
}

void load_tick(struct core *c)
{
	if (c->jobs_watching || c->now < c->jobs_watch_again)
		return;
	c->jobs_watching = true;
	store_watch(c, JOBS_OPEN, c->jobs_revision, JOBS_WATCH_MS, on_watch, NULL);
}

/* All that only a leader knows; what the next one needs is in the records. */
void leader_clear(struct core *c)
{
	struct machine *m, *mtmp;
	struct job *j, *jtmp;

	commit_clear(c);
	rent_clear(c);
	format_clear(c);
	c->kicked = NULL;
	HASH_ITER (hh, c->machines, m, mtmp) {
		struct binding *b, *tmp;

		DL_FOREACH_SAFE2 (m->bindings, b, tmp, mnext)
			free(b);
		machine_free(c, m);
	}
	HASH_ITER (hh, c->jobs, j, jtmp)
		job_free(c, j);
	for (size_t i = 0; i < c->conf->nteams; i++)
		c->teams[i].cpus = c->teams[i].gpus = 0;
	c->jobs_watching = false;
	c->round_due = false;
	c->fence_wanted = false;
	c->attempts = 0;
}
