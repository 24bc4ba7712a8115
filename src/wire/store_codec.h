/* Messages of the state service: items, events, revisions and leases. For transactions see
 * transaction.h. */
#ifndef PLOVERLOFT_STORE_CODEC_H
#define PLOVERLOFT_STORE_CODEC_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

/* An item (a key with its value), or an event (the change of a key). Key and value belong to the
 * decoded JSON. */
struct kv_item {
	const char *key;
	json_t *value; /* NULL: the key was deleted */
	uint64_t version;
};

/* Returns the store's revision from an answer; 0 if the answer has none. */
uint64_t wire_revision(json_t *object);

/* Returns the number of the lease that an answer grants; 0 if the answer grants none. */
uint64_t wire_lease(json_t *object);

/* Encodes a request for a lease of `ttl_ms` milliseconds. The caller frees the text. */
char *wire_lease_request(int ttl_ms);

/* Decodes an item of a range or an event of a watch. Returns 0. If the object has no key, sets
 * `item->key` to NULL and returns -1. */
int wire_item_decode(json_t *object, struct kv_item *item);

/* Calls `each` for every item of a range or event of a watch, except those without a key. */
void wire_items_for_each(json_t *object, void (*each)(void *ctx, const struct kv_item *item),
			 void *ctx);

/* Whether an answer is a page that another page follows. */
bool wire_has_next_page(json_t *object);

/* Whether the answer to a transaction lists the guard of this key as failed. */
bool wire_guard_failed(json_t *object, const char *key);

#endif
