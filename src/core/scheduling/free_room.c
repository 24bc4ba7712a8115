/* Adds, subtracts and compares amounts of CPUs, GPUs and memory. */
#include "core/scheduling/free_room.h"

#include <math.h>
#include <string.h>

#include "core/model/machine.h"

uint32_t room_slots(double cpus, double gpus, double mem_gb, const struct job_spec *spec)
{
	double slots = JOB_TASKS_MAX;

	if (spec->cpus > 0)
		slots = fmin(slots, (cpus + ROOM_SLACK) / spec->cpus);
	if (spec->gpus > 0)
		slots = fmin(slots, (gpus + ROOM_SLACK) / spec->gpus);
	if (spec->mem_gb > 0)
		slots = fmin(slots, (mem_gb + ROOM_SLACK) / spec->mem_gb);
	return slots > 0 ? (uint32_t)slots : 0;
}

uint32_t free_room_slots(const struct free_room *room, const struct job_spec *spec)
{
	return room_slots(room->cpus, room->gpus, room->mem_gb, spec);
}

struct free_room free_room_of(const struct machine *machine)
{
	return (struct free_room){machine->free_cpus, machine->free_gpus, machine->free_mem_gb};
}

void free_room_subtract(struct free_room *room, const struct job_spec *spec, double tasks)
{
	room->cpus -= tasks * spec->cpus;
	room->gpus -= tasks * spec->gpus;
	room->mem_gb -= tasks * spec->mem_gb;
}

void free_room_add(struct free_room *room, const struct job_spec *spec)
{
	room->cpus += spec->cpus;
	room->gpus += spec->gpus;
	room->mem_gb += spec->mem_gb;
}

bool same_shape(const struct job_spec *a, const struct job_spec *b)
{
	if (a->cpus != b->cpus || a->gpus != b->gpus || a->mem_gb != b->mem_gb ||
	    a->spot != b->spot || a->one_zone != b->one_zone || a->spread != b->spread ||
	    a->types.count != b->types.count || strcmp(a->zone, b->zone))
		return false;
	for (int i = 0; i < a->types.count; i++)
		if (strcmp(a->types.names[i], b->types.names[i]))
			return false;
	return true;
}
