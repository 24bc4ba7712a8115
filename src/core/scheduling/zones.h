/* The rules of jobs about zones: all tasks in one zone, or spread over several. */
#ifndef PLOVERLOFT_ZONES_H
#define PLOVERLOFT_ZONES_H

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

struct job;

/* Whether a zone will do where `required` is; NULL: any will. */
static inline bool zone_matches(const char *required, const char *zone)
{
	return !required || !strcmp(required, zone);
}

/*
 * The zone that a job of one zone is bound to by the tasks it still has anywhere; NULL: none yet,
 * or the job has no such rule. The text belongs to a machine.
 */
const char *job_bound_zone(const struct job *job);
/* How many more tasks of the job the zone may have: of a spread job, half of all at most. */
uint32_t job_zone_capacity_left(const struct job *job, const char *zone);
/* Whether the job's other tasks leave the zone open to one more. */
bool job_may_use_zone(const struct job *job, const char *zone);

#endif
