/*
 * Recovery: reads all records before the leader makes any decision.
 *
 * The records are read page by page. The watch on the open records delivers the changes of jobs
 * that are committed in the meantime: it begins at the revision of the first page.
 */
#include "core/records/recovery.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/records/jobs_watch.h"
#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"

#define OPEN_JOBS_INDEX 0 /* index of KEY_OPEN_JOBS in the lists of prefixes */

/*
 * Prefixes of the keys of records, in the order in which recovery reads them. Jobs come before the
 * records of their tasks. Records of small chunks come before records of large chunks: a large
 * chunk's record counts only for tasks that no newer record covers.
 */
static const char *const prefixes_large_chunks[] = {KEY_OPEN_JOBS, KEY_LARGE_CHUNKS, NULL};
static const char *const prefixes_small_chunks[] = {KEY_OPEN_JOBS, KEY_SMALL_CHUNKS,
						    KEY_LARGE_CHUNKS, NULL};

/* Progress of recovery. The call that reads the next page owns the struct. */
struct recovery {
	size_t prefix_index;
	/* The last key read under the current prefix; empty: no key was read yet. */
	char cursor[KEY_MAX];
	bool first_page; /* no page has been read yet */
};

/* Returns the prefix of the keys to be read next, or NULL if all have been read. */
static const char *current_prefix(const struct core *core, const struct recovery *recovery)
{
	const char *const *prefixes = election_format(core) >= FORMAT_SMALL_CHUNKS
					  ? prefixes_small_chunks
					  : prefixes_large_chunks;

	return prefixes[recovery->prefix_index];
}

/* --- after the last page --- */

static void stop_bindings(struct core *core, struct job *job)
{
	struct binding *binding;

	DL_FOREACH2 (job->bindings, binding, job_next)
		binding_stop(core, binding, 0);
}

/*
 * Returns true if the job is a gang of which only a part is bound: the earlier leader's term ended
 * between two transactions of one placement.
 */
static bool is_partial_gang(const struct job *job)
{
	return job->spec.kind == JOB_GANG && !job->orphan && job->bound_count &&
	       job->bound_count < job->spec.task_count;
}

static void recover_job(struct core *core, struct job *job)
{
	for (uint32_t task = 0; task < job->spec.task_count; task++)
		job->done_count += task_bit_test(job->done, task);
	if (is_partial_gang(job)) {
		job->gang_stopping = true;
		stop_bindings(core, job);
	}
	if (job->cancelled)
		stop_bindings(core, job);
}

static void finish_recovery(struct core *core)
{
	struct job *job, *next;

	JOBS_FOR_EACH (core, job, next)
		recover_job(core, job);
	JOBS_FOR_EACH (core, job, next) {
		task_records_migrate(core, job);
		job_check_end(core, job);
		job_free_if_unused(core, job);
	}
	election_start_leading(core);
	core->leading_since = core->now;
	write_queue_start(core);
	log_info("leader", "state=leading jobs=%u machines=%u", job_count(core),
		 machine_count(core));
	core->events->placement_needed(core);
}

/* --- reading pages of records --- */

/* Context of load_record, which is called for each record in a page. */
struct page_context {
	struct core *core;
	struct recovery *recovery;
};

static void load_record(void *context, const struct kv_item *entry)
{
	const struct page_context *page = context;
	struct recovery *recovery = page->recovery;

	snprintf(recovery->cursor, sizeof(recovery->cursor), "%s", entry->key);
	if (recovery->prefix_index == OPEN_JOBS_INDEX)
		job_record_load(page->core, entry->key + strlen(KEY_OPEN_JOBS), entry->value,
				entry->version);
	else
		task_record_load(page->core, entry);
}

static void load_page(struct core *core, struct recovery *recovery, const struct call *call,
		      const struct call_answer *answer)
{
	struct page_context page = {core, recovery};
	json_t *answer_json = wire_parse(answer->body, answer->len);

	if (recovery->first_page)
		jobs_watch_start(core, wire_revision(answer_json), call->sent_at);
	recovery->first_page = false;
	wire_items_for_each(answer_json, load_record, &page);
	if (!wire_has_next_page(answer_json)) {
		recovery->prefix_index++;
		recovery->cursor[0] = 0;
	}
	json_decref(answer_json);
}

static void on_page(struct core *core, struct call *call, const struct call_answer *answer);

static void request_page(struct core *core, struct recovery *recovery)
{
	const char *prefix = current_prefix(core, recovery);
	struct call *call = store_range(core, prefix, recovery->cursor, on_page, recovery);

	call->free_arg = free;
}

static void on_page(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct recovery *recovery = call->arg;

	store_update_availability(core, answer);
	if (election_call_is_stale(core, call)) {
		free(recovery);
		return;
	}
	/* If the request failed, the same page is requested again. */
	if (answer->status == STATUS_OK)
		load_page(core, recovery, call, answer);
	if (current_prefix(core, recovery)) {
		request_page(core, recovery);
		return;
	}
	free(recovery);
	finish_recovery(core);
}

void recovery_start(struct core *core)
{
	struct recovery *recovery = xcalloc(1, sizeof(*recovery));

	recovery->first_page = true;
	request_page(core, recovery);
}
