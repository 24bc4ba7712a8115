/*
 * The state service's transactions. A transaction has guards, which are versions that keys must
 * have, and changes, which are applied only if all guards hold.
 */
#include <stdlib.h>
#include <string.h>

#include "core/election/election.h"
#include "standins/answers.h"
#include "standins/standin.h"
#include "standins/state_private.h"
#include "wire/names.h"
#include "wire/wire.h"

/* A transaction may have this many guards for each change that the limit allows. */
#define GUARDS_PER_CHANGE 4
/* Field with the version of the records' format in the value of LEADER_KEY, from the second version
 * on. */
#define FORMAT_FIELD "format"

static uint64_t integer_field(const json_t *object, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(object, name));
}

/* --- guards and limits --- */

/* The names of the keys whose version is not the one in the guard. A missing key has version 0. */
static json_t *failed_guards(struct standin_state_service *state_service, const json_t *guards)
{
	json_t *failed = json_array();
	json_t *guard;
	size_t i;

	json_array_foreach (guards, i, guard) {
		const char *name = json_string_value(json_object_get(guard, W_KEY));
		const struct standin_key *key = state_key_find(state_service, name);
		uint64_t version = key ? key->version : 0;

		if (version != integer_field(guard, W_VERSION))
			json_array_append_new(failed, json_string(name));
	}
	return failed;
}

/* Size of a value as JSON text in bytes; 0 without a value. */
static size_t value_size(const json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	size_t size = text ? strlen(text) : 0;

	free(text);
	return size;
}

/* The reason for which a change is invalid, or NULL. */
static const char *change_error(struct standin_state_service *state_service, const json_t *change)
{
	const json_t *lease = json_object_get(change, W_LEASE);

	if (lease && !state_lease_find(state_service, (uint64_t)json_integer_value(lease)))
		return "no such lease";
	if (value_size(json_object_get(change, W_VALUE)) > state_service->value_bytes)
		return "value too large";
	return NULL;
}

/*
 * The reason for which a transaction is invalid whatever the versions of the keys are, or NULL: it
 * exceeds a limit, or names an unknown lease.
 */
static const char *transaction_error(struct standin_state_service *state_service,
				     const json_t *guards, const json_t *changes)
{
	size_t max_changes = (size_t)state_service->txn_ops;
	const char *error = NULL;
	json_t *change;
	size_t i;

	if (json_array_size(guards) > GUARDS_PER_CHANGE * max_changes)
		return "too many conditions";
	if (json_array_size(changes) > max_changes)
		error = "too many operations";
	json_array_foreach (changes, i, change) {
		const char *why = change_error(state_service, change);

		error = why ? why : error;
	}
	return error;
}

/* --- changes --- */

/*
 * The write of the leader's key in a transaction: a controller becomes leader, or renews its token.
 * NULL: there is none, or the transaction raises the version of the records' format.
 */
static const json_t *leader_key_change(const json_t *changes)
{
	const json_t *found = NULL;
	json_t *change;
	size_t i;

	json_array_foreach (changes, i, change) {
		const char *name = json_string_value(json_object_get(change, W_PUT));
		const json_t *value = json_object_get(change, W_VALUE);

		if (!name || strncmp(name, LEADER_KEY, strlen(LEADER_KEY)))
			continue;
		if (json_object_get(value, FORMAT_FIELD))
			return NULL;
		found = change;
	}
	return found;
}

/* Counts a write of the leader's key. It is a claim if it is under another lease than the write
 * before: a leader renews its token under the lease of its claim. */
static void count_leader_key_write(struct standin_state_service *state_service,
				   const json_t *change)
{
	uint64_t lease = (uint64_t)json_integer_value(json_object_get(change, W_LEASE));

	state_service->leader_key_writes++;
	state_service->leader_claims += lease != state_service->claim_lease;
	state_service->claim_lease = lease;
}

static void apply_change(struct standin_state_service *state_service, const json_t *change)
{
	const char *put = json_string_value(json_object_get(change, W_PUT));
	const char *name = json_string_value(json_object_get(change, W_DROP));
	struct standin_key *deleted = name ? state_key_find(state_service, name) : NULL;

	if (put)
		state_key_put(state_service, put, json_object_get(change, W_VALUE),
			      integer_field(change, W_LEASE));
	else if (deleted)
		state_key_delete(state_service, deleted);
}

/* Applies all changes in one new revision. */
static void apply_changes(struct standin_state_service *state_service, const json_t *changes)
{
	const json_t *leader_change = leader_key_change(changes);
	json_t *change;
	size_t i;

	if (json_array_size(changes))
		state_service->revision++;
	if (leader_change)
		count_leader_key_write(state_service, leader_change);
	json_array_foreach (changes, i, change)
		apply_change(state_service, change);
}

/* --- requests --- */

/* Applies a valid transaction if all its guards hold, and answers it. */
static void commit(struct standin *standin, uint64_t handle, const json_t *guards,
		   const json_t *changes)
{
	struct standin_state_service *state_service = &standin->state_service;
	json_t *failed = failed_guards(state_service, guards);

	if (json_array_size(failed)) {
		standin_answer(standin, handle, STATUS_CONFLICT,
			       json_pack("{s:o,s:I}", W_FAILED, failed, W_REVISION,
					 (json_int_t)state_service->revision));
		return;
	}
	json_decref(failed);
	apply_changes(state_service, changes);
	standin_answer(standin, handle, STATUS_OK,
		       json_pack("{s:I}", W_REVISION, (json_int_t)state_service->revision));
	state_watches_answer(standin);
}

void state_transaction(struct standin *standin, uint64_t handle, const char *body)
{
	struct standin_state_service *state_service = &standin->state_service;
	json_t *transaction = wire_parse(body, strlen(body));
	const json_t *guards = json_object_get(transaction, W_GUARDS);
	const json_t *changes = json_object_get(transaction, W_CHANGES);
	const char *error = transaction_error(state_service, guards, changes);

	if (error) {
		state_service->invalid_transactions++;
		standin_answer_error(standin, handle, STATUS_BAD_REQUEST, error);
	} else {
		commit(standin, handle, guards, changes);
	}
	json_decref(transaction);
}
