/*
 * Resolves a conflict. Either another party has changed a key, or an earlier copy of the same
 * transaction was applied though its answer was lost. The present values of the keys show which of
 * the two happened.
 */
#include <stdlib.h>
#include <string.h>

#include "core/records/transaction.h"
#include "core/records/job_record.h"
#include "core/state.h"

/* Returns true if the state service returned the key's value or said that the key is absent. */
static bool is_definite(const struct call_answer *answer)
{
	return answer->status == STATUS_OK || answer->status == STATUS_NOT_FOUND;
}

/*
 * Parses a definite answer to a read of one key. entry->value is NULL if the key is absent. The
 * entry's fields are valid until the caller releases the returned document.
 */
static json_t *parse_entry(const struct call_answer *answer, struct kv_item *entry)
{
	json_t *answer_json = NULL;

	if (answer->status == STATUS_OK)
		answer_json = wire_parse(answer->body, answer->len);
	wire_item_decode(answer_json, entry);
	return answer_json;
}

/* --- conflicts of writes: reading the keys that they write --- */

static void update_final_write(struct core *core, struct job *job, json_t *value, uint64_t version)
{
	/* Only the transaction that writes the final record deletes the open one. So if the open
	 * record is absent, an earlier copy of our own transaction was applied. */
	job->final_committed = !value;
	if (!value)
		return;
	job->record_version = version;
	if (job_record_is_cancelled(value))
		job_cancel(core, job);
}

/* Updates the transaction's writes of `key` by the key's present version and value in `entry`. */
static void update_writes_of_key(struct core *core, const char *key, const struct kv_item *entry)
{
	struct pending_write *write;
	char write_key[KEY_MAX];

	DL_FOREACH (core->write_queue.transaction.writes, write) {
		struct job *job = write->job;

		if (write->kind == WRITE_CHUNK) {
			task_record_key(write_key, job, write->chunk_index);
			if (!strcmp(write_key, key))
				job->records.chunks[write->chunk_index].version = entry->version;
		} else if (write->kind == WRITE_FINAL) {
			job_record_key(write_key, RECORD_OPEN, job->spec.id);
			if (!strcmp(write_key, key))
				update_final_write(core, job, entry->value, entry->version);
		}
	}
}

/* Called when all keys have been read. Final records that exist already are applied as committed,
 * all other writes are queued again. */
static void finish_reads(struct core *core)
{
	struct transaction *transaction = &core->write_queue.transaction;
	struct pending_write *write, *next;

	DL_FOREACH_SAFE (transaction->writes, write, next) {
		if (write->kind != WRITE_FINAL || !write->job->final_committed)
			continue;
		DL_DELETE(transaction->writes, write);
		transaction_apply_final(core, write->job);
		free(write);
	}
	transaction_requeue(core);
}

static void on_key_read(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct kv_item entry;
	json_t *answer_json;

	if (election_call_is_stale(core, call))
		return;
	store_update_availability(core, answer);
	if (!is_definite(answer)) {
		store_get(core, call->key, on_key_read, NULL);
		return;
	}
	answer_json = parse_entry(answer, &entry);
	update_writes_of_key(core, call->key, &entry);
	json_decref(answer_json);
	if (--core->write_queue.transaction.reads_in_flight == 0)
		finish_reads(core);
}

static void read_keys_of_writes(struct core *core)
{
	struct transaction *transaction = &core->write_queue.transaction;
	const struct pending_write *write;
	char key[KEY_MAX];

	transaction->reads_in_flight = 0;
	DL_FOREACH (transaction->writes, write) {
		if (write->kind == WRITE_DELETE)
			continue;
		if (write->kind == WRITE_CHUNK)
			task_record_key(key, write->job, write->chunk_index);
		else
			job_record_key(key, RECORD_OPEN, write->job->spec.id);
		transaction->reads_in_flight++;
		store_get(core, key, on_key_read, NULL);
	}
	if (!transaction->reads_in_flight)
		transaction_requeue(core);
}

/* --- conflicts of token renewals: reading the leader's key --- */

static void on_leader_key_read(struct core *core, struct call *call,
			       const struct call_answer *answer);

/*
 * Reads the leader's key that the transaction has written if it was committed. If the transaction
 * raises the records' format, this is the leader's key of the newest format.
 */
static void read_leader_key(struct core *core)
{
	int format =
	    core->write_queue.transaction.raises_format ? FORMAT_NEWEST : election_format(core);

	store_get(core, election_leader_key(format), on_leader_key_read, NULL);
}

/*
 * Handles the value of the leader's key. A renewal whose answer was lost may have been committed;
 * the retry then failed since it found the new version. The renewal was committed if the key has
 * our own name and a version above this term's token: only our own renewal, which is guarded by
 * that token, can have written both. Any other value ends the term.
 */
static void on_leader_key_read(struct core *core, struct call *call,
			       const struct call_answer *answer)
{
	const char *name;
	struct kv_item entry;
	json_t *answer_json;

	if (election_call_is_stale(core, call) || !core->write_queue.transaction.in_flight)
		return;
	store_update_availability(core, answer);
	if (!is_definite(answer)) {
		read_leader_key(core);
		return;
	}
	answer_json = parse_entry(answer, &entry);
	name = json_string_value(json_object_get(entry.value, "name"));
	if (name && !strcmp(name, core->conf->name) && entry.version > election_token(core))
		transaction_apply_commit(core, entry.version);
	else
		election_step_down(core, STEP_DOWN_GUARD_FAILED);
	json_decref(answer_json);
}

void transaction_resolve_conflict(struct core *core, json_t *answer)
{
	if (core->write_queue.transaction.renews_token)
		read_leader_key(core);
	else if (wire_guard_failed(answer, election_leader_key(election_format(core))))
		election_step_down(core, STEP_DOWN_GUARD_FAILED);
	else
		read_keys_of_writes(core);
}
