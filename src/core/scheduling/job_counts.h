/* A hash table of the number of slots of each job, for share switching. */
#ifndef PLOVERLOFT_JOB_COUNTS_H
#define PLOVERLOFT_JOB_COUNTS_H

#include <stdbool.h>

#include <uthash.h>

#include "constants.h"
#include "wire/wire.h"

/* An entry of the table: the slots (see share_switching.h) of one job. The table owns its entries;
 * an empty table is NULL. */
struct job_slot_count {
	char id[ID_MAX];
	double slots;
	bool accepts_slots; /* slots of other jobs may be switched to this job */
	UT_hash_handle hh;
};

/* Returns the job's entry, which the table owns; adds an entry without slots if there is none. */
struct job_slot_count *job_counts_get(struct job_slot_count **counts, const char *id);
/* Removes the entry from the table and frees it. */
void job_counts_remove(struct job_slot_count **counts, struct job_slot_count *count);
/* Returns the sum of the slots of all jobs in the table. */
double job_counts_total(const struct job_slot_count *counts);
/* Frees all entries and leaves the table empty. */
void job_counts_free(struct job_slot_count **counts);

#endif
