/* The state service's leases: grant, renewal, revocation and expiry. */
#include <stdlib.h>
#include <string.h>

#include "standins/answers.h"
#include "standins/standin.h"
#include "standins/state_private.h"
#include "util/xalloc.h"
#include "wire/names.h"
#include "wire/wire.h"

#define MS_PER_S 1000.0

struct standin_lease *state_lease_find(struct standin_state_service *state_service, uint64_t id)
{
	struct standin_lease *lease = state_service->leases;

	while (lease && lease->id != id)
		lease = lease->next;
	return lease;
}

static void renew_lease(const struct standin *standin, struct standin_lease *lease)
{
	lease->expires_at = standin->now + lease->ttl_ms / MS_PER_S;
}

static void unlink_lease(struct standin_state_service *state_service, struct standin_lease *lease)
{
	struct standin_lease **link = &state_service->leases;

	while (*link != lease)
		link = &(*link)->next;
	*link = lease->next;
}

/* Deletes all keys of a lease, in one revision. */
static void delete_lease_keys(struct standin_state_service *state_service, uint64_t lease)
{
	struct standin_key *key, *next;
	bool any = false;

	HASH_ITER (hh, state_service->keys, key, next) {
		if (key->lease != lease)
			continue;
		if (!any)
			state_service->revision++;
		any = true;
		state_key_delete(state_service, key);
	}
}

/* Ends a lease that has expired or is revoked: its keys are deleted, and it is freed. */
static void end_lease(struct standin *standin, struct standin_lease *lease)
{
	struct standin_state_service *state_service = &standin->state_service;

	unlink_lease(state_service, lease);
	delete_lease_keys(state_service, lease->id);
	free(lease);
	state_watches_answer(standin);
}

static void grant_lease(struct standin *standin, uint64_t handle, const char *body)
{
	struct standin_state_service *state_service = &standin->state_service;
	struct standin_lease *lease = xcalloc(1, sizeof(*lease));
	json_t *request = wire_parse(body, strlen(body));

	lease->id = state_service->next_lease_id++;
	lease->ttl_ms = (int)json_integer_value(json_object_get(request, W_TTL));
	renew_lease(standin, lease);
	lease->next = state_service->leases;
	state_service->leases = lease;
	json_decref(request);
	standin_answer(standin, handle, STATUS_OK,
		       json_pack("{s:I}", W_LEASE, (json_int_t)lease->id));
}

void state_lease_request(struct standin *standin, uint64_t handle, const char *method,
			 const char *path, const char *body)
{
	struct standin_lease *lease;

	if (!strcmp(path, W_PATH_LEASES)) {
		grant_lease(standin, handle, body);
		return;
	}
	lease = state_lease_find(&standin->state_service,
				 strtoull(path + strlen(W_PATH_LEASES) + 1, NULL, 10));
	if (!lease) {
		standin_answer_error(standin, handle, STATUS_NOT_FOUND, "no such lease");
		return;
	}
	if (!strcmp(method, "DELETE"))
		end_lease(standin, lease);
	else
		renew_lease(standin, lease);
	standin_answer_error(standin, handle, STATUS_OK, "");
}

void state_leases_expire(struct standin *standin)
{
	struct standin_lease *lease = standin->state_service.leases;
	struct standin_lease *next;

	if (standin->state_service.down)
		return;
	for (; lease; lease = next) {
		next = lease->next;
		if (standin->now > lease->expires_at)
			end_lease(standin, lease);
	}
}

void state_leases_renew_all(struct standin *standin)
{
	struct standin_lease *lease = standin->state_service.leases;

	for (; lease; lease = lease->next)
		renew_lease(standin, lease);
}
