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

static const char *load_prefix(const struct core *core, size_t at)
{
	return (core->election.format >= FORMAT_PIECES ? prefixes_pieces : prefixes_chunks)[at];
}

struct load {
	size_t at;
	char last[200];
	bool first;
};

void load_job_record(struct core *core, const char *id, json_t *value, uint64_t version)
{
	struct job *job = job_find(core, id);
	struct job_spec spec;
	const char *why;

	if (!job) {
		if (wire_job_decode(json_object_get(value, "spec"), &spec, &why)) {
			log_error("record_unreadable", "job=%s field=%s", id, why);
			wire_job_free(&spec);
			return;
		}
		job = job_add(core, &spec);
		job->submitted = json_number_value(json_object_get(value, "at"));
	}
	job->version = version;
	/*
	 * While loading, its bindings may not have been read yet: a job that seems to have none
	 * would be closed at once, and its tasks run on with nobody to stop them.
	 */
	if (json_is_true(json_object_get(value, "cancelled"))) {
		if (core->election.role == ROLE_LOADING)
			job->cancelled = true;
		else
			job_cancel(core, job);
	}
	round_wanted(core);
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

static void load_finish(struct core *core)
{
	struct job *job, *tmp;

	HASH_ITER (hh, core->jobs, job, tmp) {
		struct binding *binding;

		for (uint32_t t = 0; t < job->spec.ntasks; t++)
			job->ndone += job_bit(job->done, t);
		/* Part of a gang: the leader before ended between two transactions of one
		 * placement. */
		if (job->spec.kind == JOB_GANG && !job->orphan && job->nbound &&
		    job->nbound < job->spec.ntasks) {
			job->gang_stopping = true;
			DL_FOREACH2 (job->bindings, binding, jnext)
				binding_stop(core, binding, 0);
		}
		if (job->cancelled)
			DL_FOREACH2 (job->bindings, binding, jnext)
				binding_stop(core, binding, 0);
	}
	HASH_ITER (hh, core->jobs, job, tmp) {
		task_records_migrate(core, job);
		job_settle(core, job);
		job_release(core, job);
	}
	core->election.role = ROLE_LEAD;
	core->lead_since = core->now;
	core->commits.puts.filled = core->now;
	core->commits.puts.left = limits_write_rps(core) * WRITE_SHARE_LEADER;
	log_info("lead", "state=leading jobs=%u machines=%u", HASH_COUNT(core->jobs),
		 HASH_COUNT(core->fleet.machines));
	round_wanted(core);
}

static void on_page(struct core *core, struct call *call, int status, const char *body, size_t len);

static void ask_page(struct core *core, struct load *load)
{
	store_range(core, load_prefix(core, load->at), load->last, on_page, load)->drop = free;
}

static void on_page(struct core *core, struct call *call, int status, const char *body, size_t len)
{
	struct load *load = call->arg;
	struct load_ctx x = {core, load};
	json_t *o;

	store_heard(core, status);
	if (election_stale(core, call)) {
		free(load);
		return;
	}
	if (status != 200) {
		ask_page(core, load);
		return;
	}
	o = wire_parse(body, len);
	if (load->first) {
		core->jobs_watch.revision = wire_revision(o);
		core->jobs_watch.read_at = call->sent;
	}
	load->first = false;
	wire_items(o, load_item, &x);
	if (!wire_more(o)) {
		load->at++;
		load->last[0] = 0;
	}
	json_decref(o);
	if (load_prefix(core, load->at)) {
		ask_page(core, load);
		return;
	}
	free(load);
	load_finish(core);
}

void load_start(struct core *core)
{
	struct load *load = calloc(1, sizeof(*load));

	if (!load)
		abort();
	load->first = true;
	ask_page(core, load);
}

static void watch_item(void *ctx, const struct kv_item *it)
{
	struct core *core = ctx;
	struct job *job;

	size_t n = strlen(JOBS_OPEN);

	if (strncmp(it->key, JOBS_OPEN, n) || !it->value)
		return;
	job = job_find(core, it->key + n);
	if (job && (job->orphan || it->version <= job->version))
		return;
	load_job_record(core, it->key + n, it->value, it->version);
}

static void on_watch(struct core *core, struct call *call, int status, const char *body, size_t len)
{
	json_t *o;

	if (election_stale(core, call))
		return;
	core->jobs_watch.watching = false;
	if (status == 410) {
		election_step_down(core, "watch_too_old");
		return;
	}
	if (status != 200) {
		core->jobs_watch.again = core->now + LEADER_REREAD_S;
		return;
	}
	o = wire_parse(body, len);
	wire_items(o, watch_item, core);
	if (wire_revision(o) > core->jobs_watch.revision)
		core->jobs_watch.revision = wire_revision(o);
	core->jobs_watch.read_at = call->sent;
	json_decref(o);
}

void load_tick(struct core *core)
{
	if (core->jobs_watch.watching || core->now < core->jobs_watch.again)
		return;
	core->jobs_watch.watching = true;
	store_watch(core, JOBS_OPEN, core->jobs_watch.revision, JOBS_WATCH_MS, on_watch, NULL);
}

/* All that only a leader knows; what the next one needs is in the records. */
void leader_clear(struct core *core)
{
	struct machine *machine, *mtmp;
	struct job *job, *jtmp;

	commit_clear(core);
	rent_clear(core);
	format_clear(core);
	core->fleet.command_queue = NULL;
	HASH_ITER (hh, core->fleet.machines, machine, mtmp) {
		struct binding *binding, *tmp;

		DL_FOREACH_SAFE2 (machine->bindings, binding, tmp, mnext)
			free(binding);
		machine_free(core, machine);
	}
	HASH_ITER (hh, core->jobs, job, jtmp)
		job_free(core, job);
	for (size_t i = 0; i < core->conf->nteams; i++)
		core->teams[i].cpus = core->teams[i].gpus = 0;
	core->jobs_watch.watching = false;
	core->rounds.due = false;
	core->commits.fence_wanted = false;
	core->rounds.attempts = 0;
}
