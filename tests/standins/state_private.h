/* What the files of the state service's stand-in share with each other. */
#ifndef PLOVERLOFT_STANDINS_STATE_PRIVATE_H
#define PLOVERLOFT_STANDINS_STATE_PRIVATE_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "standins/state_service.h"

/* --- state_keys.c --- */

/* NULL if there is none. */
struct standin_key *state_key_find(struct standin_state_service *state_service, const char *key);

/* Writes or drops a key at the present revision, and notes the change for watches. */
void state_key_put(struct standin_state_service *state_service, const char *key, json_t *value,
		   uint64_t lease);
void state_key_drop(struct standin_state_service *state_service, struct standin_key *key);

/* Answers a request for one key, or for a page of keys. */
void state_get(struct standin *standin, uint64_t handle, const char *path);
void state_range(struct standin *standin, uint64_t handle, const char *path);

/* The parameter's value in the path's query, or an empty text; `value` has room for `size` bytes.
 */
const char *query_parameter(const char *path, const char *name, char *value, size_t size);

/* --- state_leases.c --- */

/* NULL if there is none. */
struct standin_lease *state_lease_find(struct standin_state_service *state_service, uint64_t id);

/* Answers a request to grant, renew or revoke a lease. */
void state_lease_request(struct standin *standin, uint64_t handle, const char *method,
			 const char *path, const char *body);

/* Drops the keys of leases that have expired. */
void state_leases_expire(struct standin *standin);

/* Gives every lease its full time again. */
void state_leases_extend(struct standin *standin);

/* --- state_transactions.c --- */

/* Answers a transaction: carries it out, or refuses it. */
void state_transaction(struct standin *standin, uint64_t handle, const char *body);

/* --- state_watches.c --- */

/* Notes a change at the present revision; `value` is NULL if the key was dropped. */
void state_note_change(struct standin_state_service *state_service, const char *key, json_t *value);

/* Takes a watch, and answers it at once if there is something to tell or it begins too far back. */
void state_watch(struct standin *standin, int controller, uint64_t handle, const char *path);

/* Answers the watches that have changes to tell or have waited long enough. */
void state_watches_answer(struct standin *standin);

#endif
