/* Transactions of the state service as text, so that the sizes that it limits are known exactly. */
#include <stdlib.h>
#include <string.h>

#include "wire/names.h"
#include "wire/wire.h"

#define TXN_FRAME_BYTES 32 /* bytes around the lists of guards and changes */

void txn_begin(struct txn *t)
{
	memset(t, 0, sizeof(*t));
}

/* Text in quotes; keys come from names in the settings, which may need escapes. */
static void add_quoted(struct buf *out, const char *text)
{
	json_t *string = json_string(text);
	char *quoted = string ? json_dumps(string, JSON_ENCODE_ANY) : NULL;

	if (!quoted)
		abort();
	buf_add(out, quoted, strlen(quoted));
	free(quoted);
	json_decref(string);
}

static void add_comma(struct buf *out)
{
	if (out->len)
		buf_add(out, ",", 1);
}

void txn_guard(struct txn *t, const char *key, uint64_t version)
{
	add_comma(&t->guards);
	buf_addf(&t->guards, "{\"" W_KEY "\":");
	add_quoted(&t->guards, key);
	buf_addf(&t->guards, ",\"" W_VERSION "\":%llu}", (unsigned long long)version);
}

size_t txn_put(struct txn *t, const char *key, json_t *value, uint64_t lease)
{
	char *text = json_dumps(value, JSON_COMPACT);
	size_t len;

	json_decref(value);
	if (!text)
		abort();
	len = strlen(text);
	add_comma(&t->ops);
	buf_addf(&t->ops, "{\"" W_PUT "\":");
	add_quoted(&t->ops, key);
	buf_addf(&t->ops, ",\"" W_VALUE "\":");
	buf_add(&t->ops, text, len);
	if (lease)
		buf_addf(&t->ops, ",\"" W_LEASE "\":%llu", (unsigned long long)lease);
	buf_add(&t->ops, "}", 1);
	free(text);
	t->nops++;
	if (len > t->largest)
		t->largest = len;
	return len;
}

void txn_drop(struct txn *t, const char *key)
{
	add_comma(&t->ops);
	buf_addf(&t->ops, "{\"" W_DROP "\":");
	add_quoted(&t->ops, key);
	buf_add(&t->ops, "}", 1);
	t->nops++;
}

size_t txn_bytes(const struct txn *t)
{
	return t->guards.len + t->ops.len + TXN_FRAME_BYTES;
}

struct txn_mark txn_mark(const struct txn *t)
{
	struct txn_mark mark = {t->guards.len, t->ops.len, t->largest, t->nops};

	return mark;
}

void txn_rollback(struct txn *t, const struct txn_mark *mark)
{
	t->guards.len = mark->guards_len;
	t->ops.len = mark->ops_len;
	t->largest = mark->largest;
	t->nops = mark->nops;
}

static void add_list(struct buf *out, const struct buf *list)
{
	if (list->len)
		buf_add(out, buf_at(list), list->len);
}

char *txn_finish(struct txn *t)
{
	struct buf out = {0};
	char *text;

	buf_addf(&out, "{\"" W_IF "\":[");
	add_list(&out, &t->guards);
	buf_addf(&out, "],\"" W_THEN "\":[");
	add_list(&out, &t->ops);
	buf_add(&out, "]}", 2);
	text = strndup(buf_at(&out), out.len);
	if (!text)
		abort();
	buf_free(&out);
	txn_abandon(t);
	return text;
}

void txn_abandon(struct txn *t)
{
	buf_free(&t->guards);
	buf_free(&t->ops);
	txn_begin(t);
}
