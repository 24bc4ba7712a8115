#include "core/scheduling/cycle.h"
#include "util/xalloc.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static size_t pool_of(struct scheduling_cycle *cycle, const struct machine *machine)
{
	struct pool *pool;

	for (size_t i = 0; i < cycle->pool_count; i++) {
		pool = &cycle->pools[i];
		if (pool->type == machine->type && pool->spot == machine->spot &&
		    !strcmp(pool->zone, machine->zone))
			return i;
	}
	pool = &cycle->pools[cycle->pool_count];
	memset(pool, 0, sizeof(*pool));
	pool->type = machine->type;
	pool->zone = machine->zone;
	pool->spot = machine->spot;
	return cycle->pool_count++;
}

static void room_add(struct scheduling_cycle *cycle, struct machine *machine)
{
	size_t pool = pool_of(cycle, machine);
	struct machine_room *room;

	machine->scheduling.room_index = (uint32_t)cycle->room_count;
	room = &cycle->rooms[cycle->room_count++];
	room->machine = machine;
	room->pool = (uint16_t)pool;
	room->cpus = machine->free_cpus;
	room->gpus = machine->free_gpus;
	room->mem_gb = machine->free_mem_gb;
}

static bool room_is_open(const struct scheduling_cycle *cycle, const struct machine_room *room)
{
	return room->cpus + ROOM_SLACK >= cycle->least_cpus &&
	       room->mem_gb + ROOM_SLACK >= cycle->least_mem_gb;
}

static void find_least(struct scheduling_cycle *cycle, struct job **jobs, size_t njobs)
{
	cycle->least_cpus = cycle->least_mem_gb = njobs ? INFINITY : 0;
	for (size_t i = 0; i < njobs; i++) {
		cycle->least_cpus = fmin(cycle->least_cpus, jobs[i]->spec.cpus);
		cycle->least_mem_gb = fmin(cycle->least_mem_gb, jobs[i]->spec.mem_gb);
	}
}

static void find_open(struct scheduling_cycle *cycle)
{
	for (size_t i = 0; i < cycle->room_count; i++)
		if (room_is_open(cycle, &cycle->rooms[i]))
			cycle->open_rooms[cycle->open_count++] = (uint32_t)i;
}

/* The room is too small for all from now on: room only shrinks while a cycle lasts. */
static void room_close(struct scheduling_cycle *cycle, uint32_t at)
{
	size_t low = 0, high = cycle->open_count;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (cycle->open_rooms[middle] < at)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == cycle->open_count || cycle->open_rooms[low] != at)
		return;
	cycle->open_count--;
	memmove(&cycle->open_rooms[low], &cycle->open_rooms[low + 1],
		(cycle->open_count - low) * sizeof(*cycle->open_rooms));
}

void cycle_begin(struct core *core, struct scheduling_cycle *cycle, struct job **jobs, size_t njobs)
{
	size_t n = machine_count(core) + 1;
	struct machine *machine, *tmp;
	struct job *job, *jtmp;

	memset(cycle, 0, sizeof(*cycle));
	cycle->core = core;
	cycle->rooms = xmalloc(n * sizeof(*cycle->rooms));
	cycle->candidates = xmalloc(n * sizeof(*cycle->candidates));
	cycle->pools = xmalloc(n * sizeof(*cycle->pools));
	cycle->open_rooms = xmalloc(n * sizeof(*cycle->open_rooms));
	MACHINES_FOR_EACH (core, machine, tmp)
		if (machine_is_usable(core, machine))
			room_add(cycle, machine);
	find_least(cycle, jobs, njobs);
	find_open(cycle);
	cycle->visit_budget =
	    fmax(CYCLE_VISITS_PER_CORE * core->conf->cores, (double)cycle->open_count);
	JOBS_FOR_EACH (core, job, jtmp)
		cycle->on_demand_wanted |= !job->orphan && !job->spec.spot;
}

void cycle_end(struct scheduling_cycle *cycle)
{
	free(cycle->rooms);
	free(cycle->open_rooms);
	free(cycle->candidates);
	free(cycle->pools);
}

void cycle_take_room(struct scheduling_cycle *cycle, const struct machine *machine,
		     const struct job_spec *spec)
{
	struct machine_room *room = &cycle->rooms[machine->scheduling.room_index];

	room->cpus -= spec->cpus;
	room->gpus -= spec->gpus;
	room->mem_gb -= spec->mem_gb;
	if (!room_is_open(cycle, room))
		room_close(cycle, machine->scheduling.room_index);
}

void cycle_mark_allowed(struct scheduling_cycle *cycle, const struct job_spec *spec)
{
	for (size_t i = 0; i < cycle->pool_count; i++) {
		struct pool *pool = &cycle->pools[i];
		const struct machine_type *type = pool->type;

		pool->allowed = machine_type_allowed(type, pool->zone, pool->spot, spec) &&
				type->cpus >= spec->cpus && type->gpus >= spec->gpus &&
				type->mem_gb >= spec->mem_gb;
		pool->pool_cost = spec->gpus <= 0 && type->gpus > 0 ? GPU_WASTE_S : 0;
		/* What must be ordinary needs these machines more. */
		if (cycle->on_demand_wanted && spec->spot && !pool->spot)
			pool->pool_cost += ON_DEMAND_S;
	}
}

uint32_t room_slots(double cpus, double gpus, double mem_gb, const struct job_spec *spec)
{
	double n = JOB_TASKS_MAX;

	if (spec->cpus > 0)
		n = fmin(n, (cpus + ROOM_SLACK) / spec->cpus);
	if (spec->gpus > 0)
		n = fmin(n, (gpus + ROOM_SLACK) / spec->gpus);
	if (spec->mem_gb > 0)
		n = fmin(n, (mem_gb + ROOM_SLACK) / spec->mem_gb);
	return n > 0 ? (uint32_t)n : 0;
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
