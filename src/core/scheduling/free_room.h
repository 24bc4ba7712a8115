/* The free room of a machine, and how many tasks of a job fit in it. */
#ifndef PLOVERLOFT_FREE_ROOM_H
#define PLOVERLOFT_FREE_ROOM_H

#include <stdbool.h>
#include <stdint.h>

#include "constants.h"
#include "wire/wire.h"

struct machine;

/* What is free: CPUs, GPUs and GB of memory. */
struct free_room {
	double cpus, gpus, mem_gb;
};

/* Tasks of the job that fit in so much room, with ROOM_SLACK for sums of decimal amounts. */
uint32_t room_slots(double cpus, double gpus, double mem_gb, const struct job_spec *spec);
/* How many tasks of this shape the room takes. */
uint32_t free_room_slots(const struct free_room *room, const struct job_spec *spec);
/* The room that the machine has now. */
struct free_room free_room_of(const struct machine *machine);
/* Whether a single task fits. Inline, since searches evaluate it for each machine. */
static inline bool free_room_fits(const struct free_room *room, const struct job_spec *spec)
{
	return room->cpus + ROOM_SLACK >= spec->cpus && room->gpus + ROOM_SLACK >= spec->gpus &&
	       room->mem_gb + ROOM_SLACK >= spec->mem_gb;
}
/* Takes the room of so many tasks; it may become negative. */
void free_room_take(struct free_room *room, const struct job_spec *spec, double tasks);
/* Adds the room that one task gives back. */
void free_room_add(struct free_room *room, const struct job_spec *spec);

/* Whether two jobs make the same demands on machines: what suits one suits the other. */
bool same_shape(const struct job_spec *a, const struct job_spec *b);

#endif
