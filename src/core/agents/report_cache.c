#include "core/agents/report_cache.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

#include "constants.h"
#include "wire/names.h"
#include "util/xalloc.h"

static const char sequence_field[] = "\"" W_SEQUENCE "\":";

#define SEQUENCE_FIELD_LEN (sizeof(sequence_field) - 1)

/* A report's text before and after the digits of its sequence number. `head` and `tail` point into
 * the text. */
struct report_text {
	const char *head, *tail;
	size_t head_len, tail_len; /* lengths of the head and the tail in bytes */
	uint64_t sequence;
};

struct report_cache_entry {
	/* Hash of the head and the tail, by which the entry is found; see text_hash. */
	uint64_t hash;
	/* The report's text without the digits of its sequence number: head and tail,
	 * concatenated. */
	char *text;
	size_t head_len, tail_len;
	struct report report; /* the decoded report, whose list of tasks the entry owns */
	UT_hash_handle hh;
};

/*
 * Reads the digits before `end`. Returns the address after the last digit, or NULL if the number is
 * too large.
 */
static const char *parse_sequence(const char *digit, const char *end, uint64_t *sequence)
{
	*sequence = 0;
	for (; digit < end && *digit >= '0' && *digit <= '9'; digit++) {
		if (*sequence > (UINT64_MAX - 9) / 10)
			return NULL;
		*sequence = *sequence * 10 + (uint64_t)(*digit - '0');
	}
	return digit;
}

/*
 * Splits the text at the first field with the name of the sequence number. Returns false if there
 * is no such field, or its value is not a number followed by the end of the field.
 */
static bool text_split(const char *body, size_t len, struct report_text *text)
{
	const char *end = body + len;
	const char *field = memmem(body, len, sequence_field, SEQUENCE_FIELD_LEN);
	const char *digits;

	if (!field)
		return false;
	digits = field + SEQUENCE_FIELD_LEN;
	text->head = body;
	text->head_len = (size_t)(digits - body);
	text->tail = parse_sequence(digits, end, &text->sequence);
	if (!text->tail || text->tail == digits || text->tail == end)
		return false;
	text->tail_len = (size_t)(end - text->tail);
	return *text->tail == ',' || *text->tail == '}';
}

static uint64_t text_hash(const struct report_text *text)
{
	return XXH3_64bits_withSeed(text->tail, text->tail_len,
				    XXH3_64bits(text->head, text->head_len));
}

static bool entry_matches(const struct report_cache_entry *entry, const struct report_text *text)
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

	if (len > REPORT_CACHE_TEXT_MAX || !text_split(body, len, &text))
		return NULL;
	hash = text_hash(&text);
	HASH_FIND(hh, cache->entries, &hash, sizeof(hash), entry);
	if (!entry || !entry_matches(entry, &text))
		return NULL;
	entry->report.sequence = text.sequence;
	return &entry->report;
}

/*
 * True if the number at which the text was split is the report's own sequence number and not the
 * value of a nested field of the same name.
 */
static bool sequence_is_unique(const struct report_text *text, uint64_t sequence)
{
	return text->sequence == sequence &&
	       !memmem(text->tail, text->tail_len, sequence_field, SEQUENCE_FIELD_LEN);
}

static struct report_cache_entry *entry_new(uint64_t hash, const struct report_text *text)
{
	struct report_cache_entry *entry = xcalloc(1, sizeof(*entry));

	entry->hash = hash;
	entry->head_len = text->head_len;
	entry->tail_len = text->tail_len;
	entry->text = xmalloc(text->head_len + text->tail_len);
	memcpy(entry->text, text->head, text->head_len);
	memcpy(entry->text + text->head_len, text->tail, text->tail_len);
	return entry;
}

void report_cache_store(struct report_cache *cache, struct report_cache_entry **slot,
			const char *body, size_t len, struct report *report)
{
	struct report_cache_entry *entry;
	struct report_text text;
	uint64_t hash;

	report_cache_remove(cache, slot);
	if (len > REPORT_CACHE_TEXT_MAX || !text_split(body, len, &text) ||
	    !sequence_is_unique(&text, report->sequence))
		return;
	hash = text_hash(&text);
	HASH_FIND(hh, cache->entries, &hash, sizeof(hash), entry);
	if (entry) /* the entry of another machine has the same hash, and stays in the cache */
		return;
	entry = entry_new(hash, &text);
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
