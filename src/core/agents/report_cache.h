/*
 * Cache of decoded agent reports. Most reports equal the previous report of their machine in all
 * but the sequence number and the fencing token. Such a report is found in the cache by its bytes
 * and is not parsed again.
 */
#ifndef PLOVERLOFT_REPORT_CACHE_H
#define PLOVERLOFT_REPORT_CACHE_H

#include <stddef.h>

#include "wire/wire.h"

/* The cache owns its entries, though a machine also points to the entry of its report. */
struct report_cache_entry;

/* The cache: a hash table of entries, by the hash of their text; NULL if the cache is empty. */
struct report_cache {
	struct report_cache_entry *entries;
};

/*
 * Returns the cached report that equals the one in `body` in all but the sequence number and the
 * fencing token, with these numbers from `body`. Returns NULL if there is no such report. The cache
 * keeps ownership.
 */
const struct report *report_cache_find(struct report_cache *cache, const char *body, size_t len);

/*
 * Replaces *slot, the entry of one machine, by an entry with this report. On success the cache owns
 * the report's task list and *report is cleared. A report whose repetition could not be recognised
 * is not stored: *slot is then NULL, and the caller still owns the report.
 */
void report_cache_store(struct report_cache *cache, struct report_cache_entry **slot,
			const char *body, size_t len, struct report *report);

/* Removes *slot, the entry of one machine, from the cache and sets *slot to NULL. Does nothing if
 * *slot is NULL. */
void report_cache_remove(struct report_cache *cache, struct report_cache_entry **slot);

#endif
