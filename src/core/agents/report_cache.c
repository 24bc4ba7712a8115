#include "core/agents/report_cache.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

#include "constants.h"
#include "wire/names.h"
#include "util/xalloc.h"

/* The fields in which a report may differ from a cached one. Both are whole numbers. */
enum varying_field { FIELD_SEQUENCE, FIELD_TOKEN, VARYING_FIELDS };

#define PART_COUNT (VARYING_FIELDS + 1)

struct field_name {
	const char *text; /* the name and the colon, as in the report */
	size_t len;
};

#define FIELD_NAME(name)                                                                           \
	{                                                                                          \
		"\"" name "\":", sizeof("\"" name "\":") - 1                                       \
	}

static const struct field_name field_names[VARYING_FIELDS] = {
    [FIELD_SEQUENCE] = FIELD_NAME(W_SEQUENCE),
    [FIELD_TOKEN] = FIELD_NAME(W_TOKEN),
};

/* A piece of a report's text, which it points into. */
struct text_part {
	const char *text;
	size_t len;
};

/* A varying field of a report. */
struct number_field {
	struct text_part digits;
	uint64_t value;
};

/* A report's text: the varying numbers, and the parts before, between and after them. */
struct report_text {
	struct number_field fields[VARYING_FIELDS];
	struct text_part parts[PART_COUNT];
};

struct report_cache_entry {
	uint64_t hash; /* by which the entry is found, see text_hash */
	/* The report's text without the digits of the varying numbers: the parts, concatenated. */
	char *text;
	size_t part_lens[PART_COUNT];
	struct report report; /* the decoded report, whose list of tasks the entry owns */
	UT_hash_handle hh;
};

static bool is_digit(char c)
{
	return c >= '0' && c <= '9';
}

/* Reads the digits at the start of `text`. Returns false if there are none, if they are no number
 * in JSON because of a leading zero, or if the number is too large. */
static bool parse_number(const char *text, const char *end, struct number_field *field)
{
	const char *digit = text;

	field->value = 0;
	for (; digit < end && is_digit(*digit); digit++) {
		if (field->value > (UINT64_MAX - 9) / 10)
			return false;
		field->value = field->value * 10 + (uint64_t)(*digit - '0');
	}
	field->digits.text = text;
	field->digits.len = (size_t)(digit - text);
	return field->digits.len > 0 && (field->digits.len == 1 || *text != '0');
}

static const char *part_end(const struct text_part *part)
{
	return part->text + part->len;
}

/* Finds the first field with this name. Returns false if there is none, or its value is not a whole
 * number followed by the end of the field. */
static bool find_field(const char *body, size_t len, const struct field_name *name,
		       struct number_field *field)
{
	const char *end = body + len;
	const char *found = memmem(body, len, name->text, name->len);
	const char *after;

	if (!found || !parse_number(found + name->len, end, field))
		return false;
	after = part_end(&field->digits);
	return after < end && (*after == ',' || *after == '}');
}

/* Splits the text at the varying fields. Returns false if find_field does for one of them. */
static bool text_split(const char *body, size_t len, struct report_text *text)
{
	const struct text_part *first, *second;

	for (int i = 0; i < VARYING_FIELDS; i++)
		if (!find_field(body, len, &field_names[i], &text->fields[i]))
			return false;
	first = &text->fields[FIELD_SEQUENCE].digits;
	second = &text->fields[FIELD_TOKEN].digits;
	if (first->text > second->text) {
		first = second;
		second = &text->fields[FIELD_SEQUENCE].digits;
	}
	text->parts[0] = (struct text_part){body, (size_t)(first->text - body)};
	text->parts[1] =
	    (struct text_part){part_end(first), (size_t)(second->text - part_end(first))};
	text->parts[2] =
	    (struct text_part){part_end(second), (size_t)(body + len - part_end(second))};
	return true;
}

static uint64_t text_hash(const struct report_text *text)
{
	uint64_t hash = 0;

	for (int i = 0; i < PART_COUNT; i++)
		hash = XXH3_64bits_withSeed(text->parts[i].text, text->parts[i].len, hash);
	return hash;
}

static bool entry_matches(const struct report_cache_entry *entry, const struct report_text *text)
{
	const char *cached = entry->text;

	for (int i = 0; i < PART_COUNT; i++) {
		if (entry->part_lens[i] != text->parts[i].len ||
		    memcmp(cached, text->parts[i].text, text->parts[i].len) != 0)
			return false;
		cached += text->parts[i].len;
	}
	return true;
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
	entry->report.sequence = text.fields[FIELD_SEQUENCE].value;
	entry->report.token = text.fields[FIELD_TOKEN].value;
	return &entry->report;
}

/* True if the text after the field has a second field of its name. */
static bool is_repeated(const struct report_text *text, enum varying_field field)
{
	const char *after = part_end(&text->fields[field].digits);
	const char *end = part_end(&text->parts[PART_COUNT - 1]);

	return memmem(after, (size_t)(end - after), field_names[field].text,
		      field_names[field].len);
}

/*
 * True if the numbers at which the text was split are the report's own ones and not the values of
 * nested fields of the same names.
 */
static bool fields_are_unique(const struct report_text *text, const struct report *report)
{
	return text->fields[FIELD_SEQUENCE].value == report->sequence &&
	       text->fields[FIELD_TOKEN].value == report->token &&
	       !is_repeated(text, FIELD_SEQUENCE) && !is_repeated(text, FIELD_TOKEN);
}

/* The parts of the text, concatenated. The caller owns the result. */
static char *parts_copy(const struct report_text *text)
{
	char *copy = NULL;
	size_t len = 0;

	for (int i = 0; i < PART_COUNT; i++) {
		copy = xreallocarray(copy, len + text->parts[i].len, 1);
		memcpy(copy + len, text->parts[i].text, text->parts[i].len);
		len += text->parts[i].len;
	}
	return copy;
}

static struct report_cache_entry *entry_new(uint64_t hash, const struct report_text *text)
{
	struct report_cache_entry *entry = xcalloc(1, sizeof(*entry));

	entry->hash = hash;
	for (int i = 0; i < PART_COUNT; i++)
		entry->part_lens[i] = text->parts[i].len;
	entry->text = parts_copy(text);
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
	    !fields_are_unique(&text, report))
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
