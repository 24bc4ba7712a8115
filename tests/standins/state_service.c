/*
 * The state service's stand-in: initialisation and release, the limits on the rate of requests, and
 * the dispatch of requests.
 */
#include "standins/state_service.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "standins/answers.h"
#include "standins/standin.h"
#include "standins/state_private.h"
#include "wire/names.h"
#include "wire/wire.h"

#define BYTES_PER_KB 1024

void state_service_init(struct standin_state_service *state_service,
			const struct conf_limits *limits)
{
	state_service->revision = 1;
	state_service->next_lease_id = 1;
	state_service->txn_ops = limits->txn_ops;
	state_service->value_bytes = (size_t)(limits->value_kb * BYTES_PER_KB);
	state_service->rps = limits->rps;
	state_service->write_rps = limits->write_rps;
}

static void free_keys(struct standin_state_service *state_service)
{
	struct standin_key *key, *next;

	HASH_ITER (hh, state_service->keys, key, next) {
		HASH_DEL(state_service->keys, key);
		json_decref(key->value);
		free(key);
	}
}

static void free_leases(struct standin_state_service *state_service)
{
	while (state_service->leases) {
		struct standin_lease *lease = state_service->leases;

		state_service->leases = lease->next;
		free(lease);
	}
}

static void free_watches(struct standin_state_service *state_service)
{
	while (state_service->watches) {
		struct standin_watch *watch = state_service->watches;

		state_service->watches = watch->next;
		free(watch);
	}
}

static void free_changes(struct standin_state_service *state_service)
{
	for (size_t i = 0; i < state_service->change_count; i++)
		json_decref(state_service->changes[i].value);
	free(state_service->changes);
}

void state_service_free(struct standin_state_service *state_service)
{
	free_keys(state_service);
	free_leases(state_service);
	free_watches(state_service);
	free_changes(state_service);
}

/* --- limits on the rate of requests --- */

/* Refills the allowances up to standin->now. */
static void refill_allowances(struct standin *standin)
{
	struct standin_state_service *state_service = &standin->state_service;
	double elapsed_s = standin->now - state_service->allowance_at;

	state_service->allowance_at = standin->now;
	state_service->request_allowance = fmin(
	    state_service->rps, state_service->request_allowance + elapsed_s * state_service->rps);
	state_service->write_allowance =
	    fmin(state_service->write_rps,
		 state_service->write_allowance + elapsed_s * state_service->write_rps);
}

/* The number of writes, which are puts and deletes, that a request asks for. */
static double count_writes(const char *path, const char *body)
{
	json_t *transaction;
	double writes;

	if (strcmp(path, W_PATH_TXN))
		return 0;
	transaction = wire_parse(body, strlen(body));
	writes = (double)json_array_size(json_object_get(transaction, W_CHANGES));
	json_decref(transaction);
	return writes;
}

/*
 * True if the rates allow the request; then it is counted and subtracted from the allowances. Else
 * it counts in requests_over_limit.
 */
static bool limits_allow(struct standin *standin, const char *path, const char *body)
{
	struct standin_state_service *state_service = &standin->state_service;
	double writes;

	refill_allowances(standin);
	writes = count_writes(path, body);
	if (state_service->request_allowance < 1 ||
	    (writes > 0 && state_service->write_allowance < writes)) {
		state_service->requests_over_limit++;
		return false;
	}
	state_service->request_allowance -= 1;
	state_service->write_allowance -= writes;
	state_service->requests++;
	state_service->writes += (uint64_t)writes;
	return true;
}

/* --- requests --- */

static bool begins_with(const char *text, const char *prefix)
{
	return !strncmp(text, prefix, strlen(prefix));
}

static void dispatch_request(struct standin *standin, int controller, uint64_t handle,
			     const char *method, const char *path, const char *body)
{
	if (!strcmp(path, W_PATH_TXN))
		state_transaction(standin, handle, body);
	else if (begins_with(path, W_PATH_LEASES))
		state_lease_request(standin, handle, method, path, body);
	else if (begins_with(path, W_PATH_WATCH))
		state_watch(standin, controller, handle, path);
	else if (begins_with(path, W_PATH_KEYS "?"))
		state_range(standin, handle, path);
	else
		state_get(standin, handle, path);
}

void standin_state_handle_request(struct standin *standin, int controller, uint64_t handle,
				  const char *method, const char *path, const char *body)
{
	const struct standin_state_service *state_service = &standin->state_service;

	/* The text "trouble" stands for an outage, "limit" for a rate of requests beyond the
	 * limits. */
	if (state_service->down || state_service->refuses[controller])
		standin_answer_error(standin, handle, STATUS_UNAVAILABLE, "trouble");
	else if (!limits_allow(standin, path, body))
		standin_answer_error(standin, handle, STATUS_TOO_MANY_REQUESTS, "limit");
	else
		dispatch_request(standin, controller, handle, method, path, body);
}

void standin_state_set_outage(struct standin *standin, bool down)
{
	struct standin_state_service *state_service = &standin->state_service;

	if (state_service->down && !down)
		state_leases_renew_all(standin);
	state_service->down = down;
	state_watches_answer(standin);
}

void state_service_tick(struct standin *standin)
{
	state_leases_expire(standin);
	state_watches_answer(standin);
}
