/* Functions that the source files of the state service's stand-in share. */
#ifndef PLOVERLOFT_STANDINS_STATE_PRIVATE_H
#define PLOVERLOFT_STANDINS_STATE_PRIVATE_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "standins/state_service.h"

/* --- state_keys.c --- */

/* The key of this name, or NULL. */
struct standin_key *state_key_find(struct standin_state_service *state_service, const char *name);

/* Writes a key at the present revision and records the change. The caller keeps its reference to
 * the value. */
void state_key_put(struct standin_state_service *state_service, const char *name, json_t *value,
		   uint64_t lease);
/* Deletes a key at the present revision, and records the change. */
void state_key_delete(struct standin_state_service *state_service, struct standin_key *key);

/* Answers a request for one key. */
void state_get(struct standin *standin, uint64_t handle, const char *path);
/* Answers a request for a page of the keys with a prefix. */
void state_range(struct standin *standin, uint64_t handle, const char *path);

/*
 * Copies the value of a query parameter of the path to `value`, a buffer of `size` bytes, and
 * returns it. Without such a parameter the text is empty.
 */
const char *query_parameter(const char *path, const char *name, char *value, size_t size);

/* --- state_leases.c --- */

/* The lease with this id, or NULL. */
struct standin_lease *state_lease_find(struct standin_state_service *state_service, uint64_t id);

/* Answers a request to grant, renew or revoke a lease. */
void state_lease_request(struct standin *standin, uint64_t handle, const char *method,
			 const char *path, const char *body);

/* Ends the leases that have expired, with their keys. None expires during an outage. */
void state_leases_expire(struct standin *standin);

/* Renews every lease. */
void state_leases_renew_all(struct standin *standin);

/* --- state_transactions.c --- */

/* Applies a transaction if its guards hold and it is within the limits, and answers it. */
void state_transaction(struct standin *standin, uint64_t handle, const char *body);

/* --- state_watches.c --- */

/* Records a change at the present revision. `value` is NULL if the key was deleted. */
void state_record_change(struct standin_state_service *state_service, const char *key,
			 json_t *value);

/*
 * Registers a watch. It is answered at once if there are changes for it, or if the changes since
 * its revision are no longer kept.
 */
void state_watch(struct standin *standin, int controller, uint64_t handle, const char *path);

/* Answers the watches that have changes to return, or whose time is over. */
void state_watches_answer(struct standin *standin);

#endif
