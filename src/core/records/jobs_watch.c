/*
 * Watches the open records of jobs and loads their changes.
 */
#include "core/records/jobs_watch.h"

#include <string.h>

#include "core/records/job_record.h"
#include "core/state.h"
#include "util/log.h"

/* Adds the job that the record describes. Returns NULL if the record can't be decoded. */
static struct job *add_job(struct core *core, const char *job_id, const json_t *value)
{
	struct job_spec spec;
	struct job *job;
	const char *field;

	if (job_record_decode_spec(value, &spec, &field)) {
		log_error("record_unreadable", "job=%s field=%s", job_id, field);
		wire_job_free(&spec);
		return NULL;
	}
	job = job_add(core, &spec);
	job->submitted_at = job_record_submitted_at(value);
	return job;
}

void job_record_load(struct core *core, const char *job_id, const json_t *value, uint64_t version)
{
	struct job *job = job_find(core, job_id);

	if (!job)
		job = add_job(core, job_id, value);
	if (!job)
		return;
	job->record_version = version;
	/*
	 * During recovery, the job's bindings may not have been read yet. A job without bindings
	 * would get its final record at once, and its tasks would run on without being stopped. So
	 * the cancellation is only marked, and recovery stops the bindings at its end.
	 */
	if (job_record_is_cancelled(value)) {
		if (election_role(core) == ROLE_RECOVERING)
			job->cancelled = true;
		else
			job_cancel(core, job);
	}
	core->events->placement_needed(core);
}

static void load_change(void *context, const struct kv_item *entry)
{
	struct core *core = context;
	const size_t prefix_len = strlen(KEY_OPEN_JOBS);
	const struct job *job;
	const char *job_id;

	if (strncmp(entry->key, KEY_OPEN_JOBS, prefix_len) || !entry->value)
		return;
	job_id = entry->key + prefix_len;
	job = job_find(core, job_id);
	if (job && (job->orphan || entry->version <= job->record_version))
		return;
	job_record_load(core, job_id, entry->value, entry->version);
}

static void on_changes(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct jobs_watch *watch = &core->jobs_watch;
	json_t *answer_json;

	if (election_call_is_stale(core, call))
		return;
	watch->in_flight = false;
	if (answer->status == STATUS_GONE) {
		election_step_down(core, STEP_DOWN_WATCH_TOO_OLD);
		return;
	}
	if (answer->status != STATUS_OK) {
		watch->retry_at = core->now + STORE_READ_RETRY_S;
		return;
	}
	answer_json = wire_parse(answer->body, answer->len);
	wire_items_for_each(answer_json, load_change, core);
	if (wire_revision(answer_json) > watch->revision)
		watch->revision = wire_revision(answer_json);
	election_record_jobs_read(core, call->sent_at);
	json_decref(answer_json);
}

void jobs_watch_start(struct core *core, uint64_t revision, double sent_at)
{
	core->jobs_watch.revision = revision;
	election_record_jobs_read(core, sent_at);
}

void jobs_watch_clear(struct core *core)
{
	core->jobs_watch.in_flight = false;
}

void jobs_watch_tick(struct core *core)
{
	struct jobs_watch *watch = &core->jobs_watch;

	if (watch->in_flight || core->now < watch->retry_at)
		return;
	watch->in_flight = true;
	store_watch(core, KEY_OPEN_JOBS, watch->revision, JOBS_WATCH_MS, on_changes, NULL);
}
