/* Reads of the jobs' records that keep the index current. */
#include "core/api/job_index.h"

#include <stdio.h>

#include "core/api/lookups.h"
#include "core/state.h"
#include "wire/names.h"

static void apply_item(void *core, const struct kv_item *item)
{
	job_index_apply(core, item);
}

/* --- changes --- */

static void apply_changes(struct core *core, const struct call_answer *answer)
{
	struct job_index *index = &core->api.index;
	json_t *document = wire_parse(answer->body, answer->len);

	wire_items_for_each(document, apply_item, core);
	index->read_at = index->sent_at;
	if (wire_revision(document) > index->revision)
		index->revision = wire_revision(document);
	json_decref(document);
}

/* The same requests wait for another read. */
static void retry_read(struct core *core)
{
	lookups_requeue_batch(core);
	core->api.index.retry_at = core->now + INDEX_RETRY_S;
}

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
		retry_read(core);
	} else if (answer->status == STATUS_TOO_MANY_REQUESTS && lookups_batch_may_wait(core)) {
		retry_read(core);
	} else {
		lookups_fail_batch(core, answer);
	}
}

static void read_changes(struct core *core)
{
	struct job_index *index = &core->api.index;

	index->retry_at = core->now + INDEX_BATCH_S;
	index->sent_at = core->now;
	lookups_begin_batch(core);
	store_watch(core, KEY_JOBS, index->revision, 0, on_changes, NULL);
}

/* --- pages of open jobs --- */

/* The page's last key; empty if it has no items. */
static const char *last_key(json_t *document)
{
	json_t *items = json_object_get(document, W_ITEMS);
	size_t count = json_array_size(items);
	json_t *last = json_array_get(items, count ? count - 1 : 0);
	json_t *key = json_object_get(last, W_KEY);

	return key ? json_string_value(key) : "";
}

/* Changes from the first page's revision on are read after the last page. */
static void apply_page(struct core *core, const struct call *call, json_t *document)
{
	struct job_index *index = &core->api.index;

	if (!*index->cursor) {
		index->revision = wire_revision(document);
		index->read_at = call->sent_at;
	}
	wire_items_for_each(document, apply_item, core);
	snprintf(index->cursor, sizeof(index->cursor), "%s", last_key(document));
	if (!wire_has_next_page(document)) {
		index->valid = true;
		index->cursor[0] = 0;
	}
}

static void on_page(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct job_index *index = &core->api.index;
	json_t *document;

	index->read_in_flight = false;
	store_update_availability(core, answer);
	if (answer->status != STATUS_OK) {
		index->retry_at = core->now + INDEX_RETRY_S;
		lookups_fail_waiting(core, answer);
		return;
	}
	index->retry_at = core->now;
	document = wire_parse(answer->body, answer->len);
	apply_page(core, call, document);
	json_decref(document);
}

/* --- when to read --- */

/* No request has come for a while: the changes are read before they are too many. */
static bool idle_read_due(const struct core *core)
{
	const struct job_index *index = &core->api.index;

	return index->valid && !store_is_unavailable(core) &&
	       core->now - index->sent_at > INDEX_IDLE_READ_S;
}

/* One answer with all that may have changed since would be too large: the pages are read again. */
static bool is_far_behind(const struct core *core)
{
	double age_s = core->now - core->api.index.read_at;

	return age_s * core->conf->limits.write_rps > INDEX_CHANGES_MAX;
}

static bool read_due(const struct core *core)
{
	const struct job_index *index = &core->api.index;

	if (index->read_in_flight || core->now < index->retry_at)
		return false;
	return lookups_waiting(core) || idle_read_due(core);
}

void job_index_tick(struct core *core)
{
	struct job_index *index = &core->api.index;

	if (!read_due(core))
		return;
	if (index->valid && is_far_behind(core))
		job_index_invalidate(core);
	index->read_in_flight = true;
	if (index->valid)
		read_changes(core);
	else
		store_range(core, KEY_OPEN_JOBS, index->cursor, on_page, NULL);
}
