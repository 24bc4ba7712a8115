#include "core/agents/report_cache.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

#include "constants.h"
#include "wire/names.h"
#include "util/xalloc.h"

static const char sequence_field[] = "\"" W_SEQUENCE "\":";

#define SEQUENCE_FIELD_LEN (sizeof(sequence_field) - 1)

/* A report's text without the digits of its sequence number. */
struct report_text {
	const char *head, *tail;
	size_t head_len, tail_len;
	uint64_t sequence;
};

struct report_cache_entry {
	uint64_t hash;
	char *text; /* head and tail, one behind the other */
	size_t head_len, tail_len;
	struct report report;
	UT_hash_handle hh;
};

/* 0, or -1 if the text has no sequence number where one is expected. */
static int text_split(const char *body, size_t len, struct report_text *out)
{
	const char *end = body + len;
	const char *field = memmem(body, len, sequence_field, SEQUENCE_FIELD_LEN);
	const char *digit;

	if (!field)
		return -1;
	digit = field + SEQUENCE_FIELD_LEN;
	out->head = body;
	out->head_len = (size_t)(digit - body);
	out->sequence = 0;
	for (; digit < end && *digit >= '0' && *digit <= '9'; digit++) {
		if (out->sequence > (UINT64_MAX - 9) / 10)
			return -1;
		out->sequence = out->sequence * 10 + (uint64_t)(*digit - '0');
	}
	out->tail = digit;
	out->tail_len = (size_t)(end - digit);
	if (out->tail == body + out->head_len || !out->tail_len)
		return -1;
	return *out->tail == ',' || *out->tail == '}' ? 0 : -1;
}

static uint64_t text_hash(const struct report_text *text)
{
	return XXH3_64bits_withSeed(text->tail, text->tail_len,
				    XXH3_64bits(text->head, text->head_len));
}

static int same_text(const struct report_cache_entry *entry, const struct report_text *text)
{
	return entry->head_len == text->head_len && entry->tail_len == text->tail_len &&
	       !memcmp(entry->text, text->head, text->head_len) &&
	       !memcmp(entry->text + entry->head_len, text->tail, text->tail_len);
}

const struct report *report_cache_find(struct report_cache *cache, const char *body, size_t len)
{
	struct report_cache_entry *entry;
	struct report_text text;
	uint64_t hash;

	if (len > REPORT_CACHE_TEXT_MAX || text_split(body, len, &text))
		return NULL;
	hash = text_hash(&text);
	HASH_FIND(hh, cache->entries, &hash, sizeof(hash), entry);
	if (!entry || !same_text(entry, &text))
		return NULL;
	entry->report.sequence = text.sequence;
	return &entry->report;
}

/* The number found in the text must be the report's own, not that of a field further inside. */
static int sequence_is_unique(const struct report_text *text, uint64_t sequence)
{
	return text->sequence == sequence &&
	       !memmem(text->tail, text->tail_len, sequence_field, SEQUENCE_FIELD_LEN);
}

void report_cache_store(struct report_cache *cache, struct report_cache_entry **slot,
			const char *body, size_t len, struct report *report)
{
	struct report_cache_entry *entry, *other;
	struct report_text text;

	report_cache_remove(cache, slot);
	if (len > REPORT_CACHE_TEXT_MAX || text_split(body, len, &text) ||
	    !sequence_is_unique(&text, report->sequence))
		return;
	entry = xcalloc(1, sizeof(*entry));
	entry->hash = text_hash(&text);
	HASH_FIND(hh, cache->entries, &entry->hash, sizeof(entry->hash), other);
	if (other) { /* another machine's text with the same hash stays */
		free(entry);
		return;
	}
	entry->head_len = text.head_len;
	entry->tail_len = text.tail_len;
	entry->text = xmalloc(text.head_len + text.tail_len);
	memcpy(entry->text, text.head, text.head_len);
	memcpy(entry->text + text.head_len, text.tail, text.tail_len);
	entry->report = *report;
	memset(report, 0, sizeof(*report));
	HASH_ADD(hh, cache->entries, hash, sizeof(entry->hash), entry);
	*slot = entry;
}

void report_cache_remove(struct report_cache *cache, struct report_cache_entry **slot)
{
	struct report_cache_entry *entry = *slot;

	if (!entry)
		return;
	HASH_DEL(cache->entries, entry);
	wire_report_free(&entry->report);
	free(entry->text);
	free(entry);
	*slot = NULL;
}
