/* The state service's items, revisions and leases. Its transactions are in transaction.h. */
#ifndef PLOVERLOFT_STORE_CODEC_H
#define PLOVERLOFT_STORE_CODEC_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

/* A key with its value, or an event on one. Key and value belong to the JSON it was read from. */
struct kv_item {
	const char *key;
	json_t *value; /* NULL: dropped */
	uint64_t version;
};

/* The store's revision that an answer carries; 0 if it carries none. */
uint64_t wire_revision(json_t *object);

/* The lease that an answer grants; 0 if it grants none. */
uint64_t wire_lease(json_t *object);

/* A request for a lease of `ttl_ms` milliseconds. The caller frees the text. */
char *wire_lease_body(int ttl_ms);

/* Reads an item of a range or an event of a watch. 0, or -1 if there is no key, which is NULL. */
int wire_kv(json_t *object, struct kv_item *item);

/* Calls `each` for every item of a range or every event of a watch. */
void wire_items(json_t *object, void (*each)(void *ctx, const struct kv_item *item), void *ctx);

/* True if an answer is one page of several and another follows. */
bool wire_more(json_t *object);

/* True if the answer to a transaction names the guard on this key as one that failed. */
bool wire_failed_has(json_t *object, const char *key);

#endif
