/*
 * Reads the records of jobs and their changes, which keep the index current.
 */
#include "core/api/job_index.h"

#include <stdio.h>

#include "core/api/lookups.h"
#include "core/state.h"
#include "wire/names.h"

static void apply_item(void *core, const struct kv_item *item)
{
	job_index_apply(core, item);
}

/* --- reads of changes --- */

static void apply_changes(struct core *core, const struct call_answer *answer)
{
	struct job_index *index = &core->api.index;
	json_t *document = wire_parse(answer->body, answer->len);

	wire_items_for_each(document, apply_item, core);
	index->current_as_of = index->changes_sent_at;
	if (wire_revision(document) > index->revision)
		index->revision = wire_revision(document);
	json_decref(document);
}

/* After a refused read of changes: lets the lookups that waited for it wait for the next read. */
static void requeue_batch(struct core *core)
{
	lookups_requeue_batch(core);
	core->api.index.next_read_at = core->now + INDEX_RETRY_S;
}

/*
 * Handles the answer to a read of changes. 410: the state service no longer keeps all changes since
 * the last read, so the open records are read again. 429: the state service limits the rate of
 * requests, so the read is tried again as long as the lookups can wait.
 */
static void on_changes(struct core *core, struct call *call, const struct call_answer *answer)
{
	(void)call;
	core->api.index.read_in_flight = false;
	store_update_availability(core, answer);
	if (answer->status == STATUS_OK) {
		apply_changes(core, answer);
		lookups_answer_batch(core);
	} else if (answer->status == STATUS_GONE) {
		job_index_invalidate(core);
		requeue_batch(core);
	} else if (answer->status == STATUS_TOO_MANY_REQUESTS && lookups_batch_may_retry(core)) {
		requeue_batch(core);
	} else {
		lookups_fail_batch(core, answer);
	}
}

static void read_changes(struct core *core)
{
	struct job_index *index = &core->api.index;

	index->next_read_at = core->now + INDEX_BATCH_S;
	index->changes_sent_at = core->now;
	lookups_begin_batch(core);
	store_watch(core, KEY_JOBS, index->revision, 0, on_changes, NULL);
}

/* --- reads of pages of open records --- */

/* Returns the last key of the page of records in `document`; an empty string if the page is empty
 * or its last item has no readable key. */
static const char *last_key(json_t *document)
{
	json_t *items = json_object_get(document, W_ITEMS);
	size_t count = json_array_size(items);
	json_t *last = json_array_get(items, count ? count - 1 : 0);
	const char *key = json_string_value(json_object_get(last, W_KEY));

	return key ? key : "";
}

/*
 * Applies a page of open records. The pages are read at different revisions. So after the last
 * page, the changes since the revision of the first page are read.
 */
static void apply_page(struct core *core, const struct call *call, json_t *document)
{
	struct job_index *index = &core->api.index;

	if (!*index->cursor) {
		index->revision = wire_revision(document);
		index->current_as_of = call->sent_at;
	}
	wire_items_for_each(document, apply_item, core);
	snprintf(index->cursor, sizeof(index->cursor), "%s", last_key(document));
	if (!wire_has_next_page(document)) {
		index->valid = true;
		index->cursor[0] = 0;
	}
}

/* Handles the answer to a read of a page. If the read failed, the pages read so far stay valid: the
 * next read continues after them. */
static void on_page(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct job_index *index = &core->api.index;
	json_t *document;

	index->read_in_flight = false;
	store_update_availability(core, answer);
	if (answer->status != STATUS_OK) {
		index->next_read_at = core->now + INDEX_RETRY_S;
		lookups_fail_waiting(core, answer);
		return;
	}
	index->next_read_at = core->now;
	document = wire_parse(answer->body, answer->len);
	apply_page(core, call, document);
	json_decref(document);
}

/* --- choice and timing of the next read --- */

/* True if there was no lookup for so long that the changes should be read before they are too many
 * for one answer. */
static bool idle_read_due(const struct core *core)
{
	const struct job_index *index = &core->api.index;

	return index->valid && !store_is_unavailable(core) &&
	       core->now - index->changes_sent_at > INDEX_IDLE_READ_S;
}

/* True if so many records may have changed since the last read, at the allowed rate of writes, that
 * one answer with all changes would be too large. The pages of open records are then read again. */
static bool may_have_too_many_changes(const struct core *core)
{
	double age_s = core->now - core->api.index.current_as_of;

	return age_s * core->conf->limits.write_rps > INDEX_CHANGES_MAX;
}

static bool read_due(const struct core *core)
{
	const struct job_index *index = &core->api.index;

	if (index->read_in_flight || core->now < index->next_read_at)
		return false;
	return lookups_waiting(core) || idle_read_due(core);
}

void job_index_tick(struct core *core)
{
	struct job_index *index = &core->api.index;

	if (!read_due(core))
		return;
	if (index->valid && may_have_too_many_changes(core))
		job_index_invalidate(core);
	index->read_in_flight = true;
	if (index->valid)
		read_changes(core);
	else
		store_range(core, KEY_OPEN_JOBS, index->cursor, on_page, NULL);
}
