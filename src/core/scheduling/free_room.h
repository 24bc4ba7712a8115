/*
 * Amounts of free capacity, and how many tasks of a job fit in them. "Room" in names means free
 * capacity, and a slot is the capacity for one task of a job, be it free or in use. A struct
 * machine_room (cycle.h) is the free capacity of one machine in a scheduling cycle.
 */
#ifndef PLOVERLOFT_FREE_ROOM_H
#define PLOVERLOFT_FREE_ROOM_H

#include <stdbool.h>
#include <stdint.h>

#include "constants.h"
#include "wire/wire.h"

struct machine;

/* An amount of free capacity. Negative if more is in use than there is. */
struct free_room {
	double cpus, gpus, mem_gb;
};

/* Returns the number of slots for the job in these amounts of free capacity: how many of its tasks
 * fit. ROOM_SLACK is tolerated, since the amounts are sums of decimal numbers, which binary
 * floating point rounds. */
uint32_t room_slots(double cpus, double gpus, double mem_gb, const struct job_spec *spec);
/* Returns the number of slots for the job in the free capacity, as room_slots does. */
uint32_t free_room_slots(const struct free_room *room, const struct job_spec *spec);
/* Returns the machine's current free capacity. */
struct free_room free_room_of(const struct machine *machine);
/* Whether one task of the job fits in the free capacity. Inline, since searches evaluate it for
 * each machine. */
static inline bool free_room_fits(const struct free_room *room, const struct job_spec *spec)
{
	return room->cpus + ROOM_SLACK >= spec->cpus && room->gpus + ROOM_SLACK >= spec->gpus &&
	       room->mem_gb + ROOM_SLACK >= spec->mem_gb;
}
/* Subtracts the demand of so many tasks of the job from the free capacity; the result may be
 * negative. */
void free_room_subtract(struct free_room *room, const struct job_spec *spec, double tasks);
/* Adds the demand of one task of the job to the free capacity, as if the task had ended. */
void free_room_add(struct free_room *room, const struct job_spec *spec);

/* Whether two jobs have the same shape, that is the same demands and rules on machines for each of
 * their tasks: a machine that suits one suits the other too. */
bool same_shape(const struct job_spec *a, const struct job_spec *b);

#endif
