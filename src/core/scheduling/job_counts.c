/* The hash table of the number of slots of each job. */
#include "core/scheduling/job_counts.h"

#include <stdio.h>
#include <stdlib.h>

#include "util/xalloc.h"

struct job_slot_count *job_counts_get(struct job_slot_count **counts, const char *id)
{
	struct job_slot_count *count;

	HASH_FIND_STR(*counts, id, count);
	if (count)
		return count;
	count = xcalloc(1, sizeof(*count));
	snprintf(count->id, sizeof(count->id), "%s", id);
	HASH_ADD_STR(*counts, id, count);
	return count;
}

void job_counts_remove(struct job_slot_count **counts, struct job_slot_count *count)
{
	HASH_DEL(*counts, count);
	free(count);
}

double job_counts_total(const struct job_slot_count *counts)
{
	double total = 0;

	for (const struct job_slot_count *count = counts; count; count = count->hh.next)
		total += count->slots;
	return total;
}

void job_counts_free(struct job_slot_count **counts)
{
	struct job_slot_count *count, *next;

	HASH_ITER (hh, *counts, count, next)
		job_counts_remove(counts, count);
}
