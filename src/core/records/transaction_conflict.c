/*
 * What a conflict means. Another party may have changed a key, or an earlier copy of the very same
 * transaction was applied without an answer: the keys show which.
 */
#include <stdlib.h>
#include <string.h>

#include "core/records/transaction.h"
#include "core/records/job_record.h"
#include "core/state.h"

/* The state service returned the key's value, or said that it is absent. */
static bool is_definite(const struct call_answer *answer)
{
	return answer->status == STATUS_OK || answer->status == STATUS_NOT_FOUND;
}

/*
 * Parses a definite answer to a read of one key; entry->value is NULL if the key is absent. The
 * entry's fields live as long as the returned document, which the caller releases.
 */
static json_t *parse_entry(const struct call_answer *answer, struct kv_item *entry)
{
	json_t *answer_json = NULL;

	if (answer->status == STATUS_OK)
		answer_json = wire_parse(answer->body, answer->len);
	wire_kv(answer_json, entry);
	return answer_json;
}

/* --- the keys that were to be written --- */

static void adopt_open_job(struct core *core, struct job *job, json_t *value, uint64_t version)
{
	/* Without an open record there is a final one, and it was our own write. */
	job->final_committed = !value;
	if (!value)
		return;
	job->record_version = version;
	if (job_record_is_cancelled(value))
		job_cancel(core, job);
}

/* Takes the key's present version into the writes that concern it. */
static void adopt_entry(struct core *core, const char *key, const struct kv_item *entry)
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
				adopt_open_job(core, job, entry->value, entry->version);
		}
	}
}

/* All keys are read: final records that are there already count as committed, the rest waits. */
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

static void on_written_key(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct kv_item entry;
	json_t *answer_json;

	if (election_call_is_stale(core, call))
		return;
	store_note_answer(core, answer);
	if (!is_definite(answer)) {
		store_get(core, call->key, on_written_key, NULL);
		return;
	}
	answer_json = parse_entry(answer, &entry);
	adopt_entry(core, call->key, &entry);
	json_decref(answer_json);
	if (--core->write_queue.transaction.reads_in_flight == 0)
		finish_reads(core);
}

static void read_written_keys(struct core *core)
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
		store_get(core, key, on_written_key, NULL);
	}
	if (!transaction->reads_in_flight)
		transaction_requeue(core);
}

/* --- the leader's key, after a renewal of the token --- */

static void on_token_key(struct core *core, struct call *call, const struct call_answer *answer);

/* Reads the leader's key as it is once the transaction in flight is committed. */
static void read_token_key(struct core *core)
{
	int format =
	    core->write_queue.transaction.raises_format ? FORMAT_NEWEST : election_format(core);

	store_get(core, election_leader_key(format), on_token_key, NULL);
}

/*
 * A new token without an answer may have been written all the same, and its second copy then finds
 * it: only our own transaction, guarded by this term's token, writes our name over it.
 */
static void on_token_key(struct core *core, struct call *call, const struct call_answer *answer)
{
	const char *name;
	struct kv_item entry;
	json_t *answer_json;

	if (election_call_is_stale(core, call) || !core->write_queue.transaction.in_flight)
		return;
	store_note_answer(core, answer);
	if (!is_definite(answer)) {
		read_token_key(core);
		return;
	}
	answer_json = parse_entry(answer, &entry);
	name = json_string_value(json_object_get(entry.value, "name"));
	if (name && !strcmp(name, core->conf->name) && entry.version > election_token(core))
		transaction_note_committed(core, entry.version);
	else
		election_step_down(core, STEP_DOWN_GUARD_FAILED);
	json_decref(answer_json);
}

void transaction_resolve_conflict(struct core *core, json_t *answer)
{
	if (core->write_queue.transaction.renews_token)
		read_token_key(core);
	else if (wire_failed_has(answer, election_leader_key(election_format(core))))
		election_step_down(core, STEP_DOWN_GUARD_FAILED);
	else
		read_written_keys(core);
}
