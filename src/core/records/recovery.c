/* Take-over: all records are read before anything is decided; then the jobs' key range is watched.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"

/* In this order: an older record of tasks counts only where no newer one was read. */
static const char *const prefixes_large_chunks[] = {KEY_OPEN_JOBS, KEY_LARGE_CHUNKS, NULL};
static const char *const prefixes_small_chunks[] = {KEY_OPEN_JOBS, KEY_SMALL_CHUNKS,
						    KEY_LARGE_CHUNKS, NULL};

static const char *load_prefix(const struct core *core, size_t at)
{
	return (election_format(core) >= FORMAT_SMALL_CHUNKS ? prefixes_small_chunks
							     : prefixes_large_chunks)[at];
}

struct recovery {
	size_t prefix_index;
	char cursor[200];
	bool first_page;
};

void recovery_take_job_record(struct core *core, const char *id, json_t *value, uint64_t version)
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
		job->submitted_at = json_number_value(json_object_get(value, "at"));
	}
	job->record_version = version;
	/*
	 * While loading, its bindings may not have been read yet: a job that seems to have none
	 * would be closed at once, and its tasks run on with nobody to stop them.
	 */
	if (json_is_true(json_object_get(value, "cancelled"))) {
		if (election_role(core) == ROLE_RECOVERING)
			job->cancelled = true;
		else
			job_cancel(core, job);
	}
	core->events->placement_needed(core);
}

struct recovery_context {
	struct core *core;
	struct recovery *recovery;
};

static void load_item(void *ctx, const struct kv_item *it)
{
	struct recovery_context *x = ctx;

	snprintf(x->recovery->cursor, sizeof(x->recovery->cursor), "%s", it->key);
	if (x->recovery->prefix_index == 0)
		recovery_take_job_record(x->core, it->key + strlen(KEY_OPEN_JOBS), it->value,
					 it->version);
	else
		task_record_load(x->core, it);
}

static void load_finish(struct core *core)
{
	struct job *job, *tmp;

	JOBS_FOR_EACH (core, job, tmp) {
		struct binding *binding;

		for (uint32_t t = 0; t < job->spec.task_count; t++)
			job->done_count += task_bit_test(job->done, t);
		/* Part of a gang: the leader before ended between two transactions of one
		 * placement. */
		if (job->spec.kind == JOB_GANG && !job->orphan && job->bound_count &&
		    job->bound_count < job->spec.task_count) {
			job->gang_stopping = true;
			DL_FOREACH2 (job->bindings, binding, job_next)
				binding_stop(core, binding, 0);
		}
		if (job->cancelled)
			DL_FOREACH2 (job->bindings, binding, job_next)
				binding_stop(core, binding, 0);
	}
	JOBS_FOR_EACH (core, job, tmp) {
		task_records_migrate(core, job);
		job_check_end(core, job);
		job_release_if_over(core, job);
	}
	election_note_recovered(core);
	core->leading_since = core->now;
	write_queue_start(core);
	log_info("leader", "state=leading jobs=%u machines=%u", job_count(core),
		 machine_count(core));
	core->events->placement_needed(core);
}

static void on_page(struct core *core, struct call *call, const struct call_answer *answer);

static void ask_page(struct core *core, struct recovery *load)
{
	store_range(core, load_prefix(core, load->prefix_index), load->cursor, on_page, load)
	    ->free_arg = free;
}

static void on_page(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct recovery *load = call->arg;
	struct recovery_context x = {core, load};
	json_t *o;

	store_note_answer(core, answer);
	if (election_call_is_stale(core, call)) {
		free(load);
		return;
	}
	if (answer->status != STATUS_OK) {
		ask_page(core, load);
		return;
	}
	o = wire_parse(answer->body, answer->len);
	if (load->first_page) {
		core->jobs_watch.revision = wire_revision(o);
		core->jobs_watch.read_at = call->sent_at;
		election_note_jobs_read(core, call->sent_at);
	}
	load->first_page = false;
	wire_items(o, load_item, &x);
	if (!wire_more(o)) {
		load->prefix_index++;
		load->cursor[0] = 0;
	}
	json_decref(o);
	if (load_prefix(core, load->prefix_index)) {
		ask_page(core, load);
		return;
	}
	free(load);
	load_finish(core);
}

void recovery_start(struct core *core)
{
	struct recovery *load = xcalloc(1, sizeof(*load));

	load->first_page = true;
	ask_page(core, load);
}

static void watch_item(void *ctx, const struct kv_item *it)
{
	struct core *core = ctx;
	struct job *job;

	size_t n = strlen(KEY_OPEN_JOBS);

	if (strncmp(it->key, KEY_OPEN_JOBS, n) || !it->value)
		return;
	job = job_find(core, it->key + n);
	if (job && (job->orphan || it->version <= job->record_version))
		return;
	recovery_take_job_record(core, it->key + n, it->value, it->version);
}

static void on_watch(struct core *core, struct call *call, const struct call_answer *answer)
{
	json_t *o;

	if (election_call_is_stale(core, call))
		return;
	core->jobs_watch.in_flight = false;
	if (answer->status == STATUS_GONE) {
		election_step_down(core, STEP_DOWN_WATCH_TOO_OLD);
		return;
	}
	if (answer->status != STATUS_OK) {
		core->jobs_watch.retry_at = core->now + LEADER_REREAD_S;
		return;
	}
	o = wire_parse(answer->body, answer->len);
	wire_items(o, watch_item, core);
	if (wire_revision(o) > core->jobs_watch.revision)
		core->jobs_watch.revision = wire_revision(o);
	core->jobs_watch.read_at = call->sent_at;
	election_note_jobs_read(core, call->sent_at);
	json_decref(o);
}

void jobs_watch_tick(struct core *core)
{
	if (core->jobs_watch.in_flight || core->now < core->jobs_watch.retry_at)
		return;
	core->jobs_watch.in_flight = true;
	store_watch(core, KEY_OPEN_JOBS, core->jobs_watch.revision, JOBS_WATCH_MS, on_watch, NULL);
}
