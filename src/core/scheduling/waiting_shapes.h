/*
 * What a cycle remembers of the shapes of jobs that wait in it: for which of them no room was
 * found, so that it is not searched for again, and which are gangs, whose room is left to them.
 */
#ifndef PLOVERLOFT_WAITING_SHAPES_H
#define PLOVERLOFT_WAITING_SHAPES_H

#include "core/scheduling/cycle.h"

/* So many tasks of the job found no room. */
void cycle_note_no_room(struct scheduling_cycle *cycle, const struct job *job, uint32_t tasks);
/* Whether as many tasks of the same shape, or fewer, found no room before in this cycle. */
bool cycle_found_no_room(const struct scheduling_cycle *cycle, const struct job *job,
			 uint32_t tasks);
/* The gang waits. Called right after the pools that it may use were marked. */
void cycle_note_waiting_gang(struct scheduling_cycle *cycle, const struct job *job);
/* Whether a task in this room would take what a waiting gang of higher priority could use. */
bool cycle_gang_needs_room(const struct scheduling_cycle *cycle, const struct machine_room *room,
			   const struct job_spec *spec);

#endif
