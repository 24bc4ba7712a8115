/*
 * Shapes (see same_shape in free_room.h) of jobs that a cycle could not place. Until the cycle
 * ends, no search is made for such a shape again, and capacity that a gang of such a shape could
 * use is left to the gang.
 */
#ifndef PLOVERLOFT_WAITING_SHAPES_H
#define PLOVERLOFT_WAITING_SHAPES_H

#include "core/scheduling/cycle.h"

/* Records that no capacity was found for so many tasks of the job. */
void cycle_record_no_room(struct scheduling_cycle *cycle, const struct job *job, uint32_t tasks);
/* Whether the cycle has recorded that so many tasks of the job's shape, or fewer, do not fit. */
bool cycle_found_no_room(const struct scheduling_cycle *cycle, const struct job *job,
			 uint32_t tasks);
/* Records that a gang of the job's shape waits. The pools (struct pool) must be evaluated for the
 * gang, by the latest call of cycle_evaluate_pools. */
void cycle_record_waiting_gang(struct scheduling_cycle *cycle, const struct job *job);
/* Whether a task of the job `spec` in the room would use capacity that suits a waiting gang of
 * higher priority. */
bool cycle_gang_needs_room(const struct scheduling_cycle *cycle, const struct machine_room *room,
			   const struct job_spec *spec);

#endif
