/*
 * Recognition of unchanged agent reports. Most reports repeat the previous one of their machine
 * but for the sequence number; such a report is found by its bytes and need not be parsed again.
 */
#ifndef PLOVERLOFT_REPORT_CACHE_H
#define PLOVERLOFT_REPORT_CACHE_H

#include <stddef.h>

#include "wire/wire.h"

struct report_cache_entry; /* owned by the cache, even where a machine's slot points to it */

/* Entries by the hash of their text; NULL is the empty cache. */
struct report_cache {
	struct report_cache_entry *entries;
};

/*
 * The decoded report, with the sequence number that `body` carries, if the cache holds one that
 * differs in nothing else; NULL otherwise. It stays owned by the cache.
 */
const struct report *report_cache_find(struct report_cache *cache, const char *body, size_t len);

/*
 * Replaces *slot, the entry of one machine, by this report. On success the cache owns the report's
 * task list and *report is cleared; a report that can't be recognised later is left to the caller.
 */
void report_cache_store(struct report_cache *cache, struct report_cache_entry **slot,
			const char *body, size_t len, struct report *report);

/* Removes the machine's entry, if there is one. */
void report_cache_remove(struct report_cache *cache, struct report_cache_entry **slot);

#endif
