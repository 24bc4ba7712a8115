/* The rules of jobs on zones: `one_zone` jobs run in a single zone, `spread` jobs have at most half
 * of their tasks in any zone. */
#ifndef PLOVERLOFT_ZONES_H
#define PLOVERLOFT_ZONES_H

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

struct job;

/* Whether the zone is the required one. `required` is NULL if no zone is required. */
static inline bool zone_matches(const char *required, const char *zone)
{
	return !required || !strcmp(required, zone);
}

/*
 * Returns the zone of the bindings of a `one_zone` job, where its other tasks have to run too.
 * NULL: the job has no bindings, or does not need to run in one zone. The machine owns the string.
 */
const char *job_bound_zone(const struct job *job);
/* How many more tasks of the job may run in the zone. A spread job may have at most half of all its
 * tasks there, rounded up. For other jobs this returns the number of all their tasks. */
uint32_t job_zone_tasks_allowed(const struct job *job, const char *zone);
/* Whether the job's rules on zones allow one more task in the zone. */
bool job_may_use_zone(const struct job *job, const char *zone);

#endif
