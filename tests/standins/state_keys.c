/* The state service's keys: writes and deletions of one, and reads of one or of a page. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/answers.h"
#include "standins/standin.h"
#include "standins/state_private.h"
#include "util/xalloc.h"
#include "wire/names.h"

#define LIMIT_DIGITS 16 /* bytes of the limit of a page as text, with its NUL */

struct standin_key *state_key_find(struct standin_state_service *state_service, const char *name)
{
	struct standin_key *key;

	HASH_FIND_STR(state_service->keys, name, key);
	return key;
}

void state_key_delete(struct standin_state_service *state_service, struct standin_key *key)
{
	state_record_change(state_service, key->key, NULL);
	HASH_DEL(state_service->keys, key);
	json_decref(key->value);
	free(key);
}

static struct standin_key *add_key(struct standin_state_service *state_service, const char *name)
{
	struct standin_key *key = xcalloc(1, sizeof(*key));

	snprintf(key->key, sizeof(key->key), "%s", name);
	HASH_ADD_STR(state_service->keys, key, key);
	return key;
}

void state_key_put(struct standin_state_service *state_service, const char *name, json_t *value,
		   uint64_t lease)
{
	struct standin_key *key = state_key_find(state_service, name);

	if (!key)
		key = add_key(state_service, name);
	json_decref(key->value);
	key->value = json_incref(value);
	key->version = state_service->revision;
	key->lease = lease;
	state_record_change(state_service, name, value);
}

/* --- reads --- */

const char *query_parameter(const char *path, const char *name, char *value, size_t size)
{
	char pattern[64];
	const char *at = strchr(path, '?');
	size_t length = 0;

	snprintf(pattern, sizeof(pattern), "%s=", name);
	value[0] = 0;
	while (at && strncmp(at + 1, pattern, strlen(pattern)))
		at = strchr(at + 1, '&');
	if (!at)
		return value;
	for (at += 1 + strlen(pattern); *at && *at != '&' && length + 1 < size; at++)
		value[length++] = *at;
	value[length] = 0;
	return value;
}

static json_t *encode_key(const struct standin_key *key)
{
	return json_pack("{s:s,s:O,s:I}", W_KEY, key->key, W_VALUE, key->value, W_VERSION,
			 (json_int_t)key->version);
}

void state_get(struct standin *standin, uint64_t handle, const char *path)
{
	struct standin_state_service *state_service = &standin->state_service;
	const char *name = path + strlen(W_PATH_KEYS) + 1;
	const struct standin_key *key = state_key_find(state_service, name);

	if (key)
		standin_answer(standin, handle, STATUS_OK, encode_key(key));
	else
		standin_answer(standin, handle, STATUS_NOT_FOUND,
			       json_pack("{s:I}", W_REVISION, (json_int_t)state_service->revision));
}

static int compare_keys(const void *left, const void *right)
{
	const struct standin_key *const *left_key = left;
	const struct standin_key *const *right_key = right;

	return strcmp((*left_key)->key, (*right_key)->key);
}

/* All keys, sorted by name. The caller frees the array. */
static struct standin_key **sorted_keys(const struct standin_state_service *state_service)
{
	size_t count = HASH_COUNT(state_service->keys);
	struct standin_key **sorted = xcalloc(count, sizeof(struct standin_key *));
	struct standin_key *key, *next;
	size_t i = 0;

	HASH_ITER (hh, state_service->keys, key, next)
		sorted[i++] = key;
	qsort(sorted, count, sizeof(struct standin_key *), compare_keys);
	return sorted;
}

/* Up to `limit` keys with the prefix, from the first one behind the key `after`, if that is not
 * empty. *more is true if others follow. */
static json_t *encode_page(const struct standin_state_service *state_service, const char *prefix,
			   const char *after, size_t limit, bool *more)
{
	size_t count = HASH_COUNT(state_service->keys);
	struct standin_key **sorted = sorted_keys(state_service);
	json_t *page = json_array();

	*more = false;
	for (size_t i = 0; i < count && !*more; i++) {
		const char *name = sorted[i]->key;

		if (strncmp(name, prefix, strlen(prefix)) || (*after && strcmp(name, after) <= 0))
			continue;
		*more = json_array_size(page) >= limit;
		if (!*more)
			json_array_append_new(page, encode_key(sorted[i]));
	}
	free(sorted);
	return page;
}

void state_range(struct standin *standin, uint64_t handle, const char *path)
{
	const struct standin_state_service *state_service = &standin->state_service;
	char prefix[STANDIN_KEY_MAX], after[STANDIN_KEY_MAX], limit[LIMIT_DIGITS];
	json_t *page;
	bool more;

	query_parameter(path, W_PREFIX, prefix, sizeof(prefix));
	query_parameter(path, W_AFTER, after, sizeof(after));
	query_parameter(path, W_LIMIT, limit, sizeof(limit));
	page = encode_page(state_service, prefix, after, (size_t)atoi(limit), &more);
	standin_answer(standin, handle, STATUS_OK,
		       json_pack("{s:o,s:b,s:I}", W_ITEMS, page, W_MORE, (int)more, W_REVISION,
				 (json_int_t)state_service->revision));
}
