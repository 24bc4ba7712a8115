/* Slots per job, as the controllers count them for share switching. */
#ifndef PLOVERLOFT_JOB_COUNTS_H
#define PLOVERLOFT_JOB_COUNTS_H

#include <stdbool.h>

#include <uthash.h>

#include "constants.h"
#include "wire/wire.h"

/* The slots of one job, in a table by id that owns it. An empty table is NULL. */
struct job_count {
	char id[ID_MAX];
	double slots;
	bool accepts_slots; /* slots may be switched to it */
	UT_hash_handle hh;
};

/* The job's entry, which stays owned by the table; a new one has no slots. */
struct job_count *job_counts_get(struct job_count **counts, const char *id);
/* Takes the entry out of the table and frees it. */
void job_counts_remove(struct job_count **counts, struct job_count *count);
/* The slots of all jobs together. */
double job_counts_total(const struct job_count *counts);
/* Frees all entries. */
void job_counts_free(struct job_count **counts);

#endif
