/* Builds the text of transactions. */
#include "wire/transaction.h"

#include <stdlib.h>
#include <string.h>

#include "util/xalloc.h"
#include "wire/json_text.h"
#include "wire/names.h"

/* Upper bound of a transaction's bytes outside its two lists: the braces, brackets and names of the
 * lists. */
#define TXN_FRAME_BYTES 32

void txn_begin(struct txn *txn)
{
	memset(txn, 0, sizeof(*txn));
}

/* Adds a text in quotes. Some keys contain names from the settings, which may need escapes. */
static void add_quoted(struct buf *out, const char *text)
{
	json_t *string = json_string(text);
	char *quoted = xalloc_checked(string ? json_dumps(string, JSON_ENCODE_ANY) : NULL);

	buf_add(out, quoted, strlen(quoted));
	free(quoted);
	json_decref(string);
}

/* Adds the comma before an element of a list, except before the first element. */
static void add_comma(struct buf *list)
{
	if (list->len)
		buf_add(list, ",", 1);
}

/* Begins a guard or a change with its first field: `field` is W_KEY for a guard, W_PUT or W_DROP
 * for a change. */
static void begin_element(struct buf *list, const char *field, const char *key)
{
	add_comma(list);
	buf_addf(list, "{\"%s\":", field);
	add_quoted(list, key);
}

void txn_guard(struct txn *txn, const char *key, uint64_t version)
{
	begin_element(&txn->guards, W_KEY, key);
	buf_addf(&txn->guards, ",\"" W_VERSION "\":%llu}", (unsigned long long)version);
}

size_t txn_put(struct txn *txn, const char *key, json_t *value, uint64_t lease)
{
	char *text = wire_serialize(value);
	size_t length = strlen(text);

	begin_element(&txn->ops, W_PUT, key);
	buf_addf(&txn->ops, ",\"" W_VALUE "\":");
	buf_add(&txn->ops, text, length);
	free(text);
	if (lease)
		buf_addf(&txn->ops, ",\"" W_LEASE "\":%llu", (unsigned long long)lease);
	buf_add(&txn->ops, "}", 1);
	txn->op_count++;
	if (length > txn->largest_value)
		txn->largest_value = length;
	return length;
}

void txn_drop(struct txn *txn, const char *key)
{
	begin_element(&txn->ops, W_DROP, key);
	buf_add(&txn->ops, "}", 1);
	txn->op_count++;
}

size_t txn_bytes(const struct txn *txn)
{
	return txn->guards.len + txn->ops.len + TXN_FRAME_BYTES;
}

struct txn_savepoint txn_savepoint(const struct txn *txn)
{
	struct txn_savepoint savepoint = {
	    .guards_len = txn->guards.len,
	    .ops_len = txn->ops.len,
	    .largest_value = txn->largest_value,
	    .op_count = txn->op_count,
	};

	return savepoint;
}

void txn_rollback(struct txn *txn, const struct txn_savepoint *savepoint)
{
	txn->guards.len = savepoint->guards_len;
	txn->ops.len = savepoint->ops_len;
	txn->largest_value = savepoint->largest_value;
	txn->op_count = savepoint->op_count;
}

static void add_list(struct buf *out, const struct buf *list)
{
	if (list->len)
		buf_add(out, buf_contents(list), list->len);
}

char *txn_finish(struct txn *txn)
{
	struct buf out = {0};
	char *text;

	buf_addf(&out, "{\"" W_GUARDS "\":[");
	add_list(&out, &txn->guards);
	buf_addf(&out, "],\"" W_CHANGES "\":[");
	add_list(&out, &txn->ops);
	buf_add(&out, "]}", 2);
	text = xalloc_checked(strndup(buf_contents(&out), out.len));
	buf_free(&out);
	txn_abandon(txn);
	return text;
}

void txn_abandon(struct txn *txn)
{
	buf_free(&txn->guards);
	buf_free(&txn->ops);
	txn_begin(txn);
}
