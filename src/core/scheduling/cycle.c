/* Makes and updates the copy of the machines' free capacity that one scheduling cycle works on. */
#include "core/scheduling/cycle.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/xalloc.h"

static bool pool_contains(const struct pool *pool, const struct machine *machine)
{
	return pool->type == machine->type && pool->spot == machine->spot &&
	       !strcmp(pool->zone, machine->zone);
}

/* Returns the index of the machine's pool, which is added if there is none yet. */
static size_t find_or_add_pool(struct scheduling_cycle *cycle, const struct machine *machine)
{
	for (size_t i = 0; i < cycle->pool_count; i++)
		if (pool_contains(&cycle->pools[i], machine))
			return i;
	cycle->pools[cycle->pool_count] = (struct pool){
	    .type = machine->type,
	    .zone = machine->zone,
	    .spot = machine->spot,
	};
	return cycle->pool_count++;
}

static void add_room(struct scheduling_cycle *cycle, struct machine *machine)
{
	struct machine_room *room = &cycle->rooms[cycle->room_count];

	machine->scheduling.room_index = (uint32_t)cycle->room_count;
	room->machine = machine;
	room->pool = (uint16_t)find_or_add_pool(cycle, machine);
	room->free = free_room_of(machine);
	cycle->room_count++;
}

/* Whether a waiting task may fit in the room (the free capacity of one machine). Compares only CPUs
 * and memory, each with the smallest demand of all waiting tasks. */
static bool room_is_open(const struct scheduling_cycle *cycle, const struct machine_room *room)
{
	return room->free.cpus + ROOM_SLACK >= cycle->least_cpus &&
	       room->free.mem_gb + ROOM_SLACK >= cycle->least_mem_gb;
}

static void find_smallest_demand(struct scheduling_cycle *cycle, const struct job_list *jobs)
{
	if (!jobs->count)
		return;
	cycle->least_cpus = cycle->least_mem_gb = INFINITY;
	for (size_t i = 0; i < jobs->count; i++) {
		cycle->least_cpus = fmin(cycle->least_cpus, jobs->jobs[i]->spec.cpus);
		cycle->least_mem_gb = fmin(cycle->least_mem_gb, jobs->jobs[i]->spec.mem_gb);
	}
}

static void find_open_rooms(struct scheduling_cycle *cycle)
{
	for (size_t i = 0; i < cycle->room_count; i++)
		if (room_is_open(cycle, &cycle->rooms[i]))
			cycle->open_rooms[cycle->open_count++] = (uint32_t)i;
}

/* Removes a room that is too small for all waiting tasks from `open_rooms`, if the list contains
 * the room. */
static void close_room(struct scheduling_cycle *cycle, uint32_t room_index)
{
	size_t low = 0, high = cycle->open_count;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (cycle->open_rooms[middle] < room_index)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == cycle->open_count || cycle->open_rooms[low] != room_index)
		return;
	cycle->open_count--;
	memmove(&cycle->open_rooms[low], &cycle->open_rooms[low + 1],
		(cycle->open_count - low) * sizeof(*cycle->open_rooms));
}

static void allocate_rooms(struct scheduling_cycle *cycle, size_t machine_max)
{
	cycle->rooms = xmalloc(machine_max * sizeof(*cycle->rooms));
	cycle->open_rooms = xmalloc(machine_max * sizeof(*cycle->open_rooms));
	cycle->candidates = xmalloc(machine_max * sizeof(*cycle->candidates));
	cycle->pools = xmalloc(machine_max * sizeof(*cycle->pools));
}

void cycle_begin(struct core *core, struct scheduling_cycle *cycle, const struct job_list *jobs)
{
	struct machine *machine, *next_machine;
	struct job *job, *next_job;

	memset(cycle, 0, sizeof(*cycle));
	cycle->core = core;
	allocate_rooms(cycle, machine_count(core));
	MACHINES_FOR_EACH (core, machine, next_machine)
		if (machine_is_usable(core, machine))
			add_room(cycle, machine);
	find_smallest_demand(cycle, jobs);
	find_open_rooms(cycle);
	cycle->visit_budget =
	    fmax(CYCLE_VISITS_PER_CORE * core->conf->cores, (double)cycle->open_count);
	JOBS_FOR_EACH (core, job, next_job)
		cycle->on_demand_needed |= !job->orphan && !job->spec.spot;
}

void cycle_end(struct scheduling_cycle *cycle)
{
	free(cycle->rooms);
	free(cycle->open_rooms);
	free(cycle->candidates);
	free(cycle->pools);
}

void cycle_subtract_demand(struct scheduling_cycle *cycle, const struct machine *machine,
			   const struct job_spec *spec)
{
	struct machine_room *room = &cycle->rooms[machine->scheduling.room_index];

	free_room_subtract(&room->free, spec, 1);
	if (!room_is_open(cycle, room))
		close_room(cycle, machine->scheduling.room_index);
}

bool zone_is_in_earlier_pool(const struct scheduling_cycle *cycle, size_t pool)
{
	for (size_t i = 0; i < pool; i++)
		if (!strcmp(cycle->pools[i].zone, cycle->pools[pool].zone))
			return true;
	return false;
}

static bool pool_allows(const struct pool *pool, const struct job_spec *spec)
{
	const struct machine_type *type = pool->type;

	return machine_type_allowed(type, pool->zone, pool->spot, spec) &&
	       type->cpus >= spec->cpus && type->gpus >= spec->gpus && type->mem_gb >= spec->mem_gb;
}

static double pool_cost_s(const struct scheduling_cycle *cycle, const struct pool *pool,
			  const struct job_spec *spec)
{
	double cost = spec->gpus <= 0 && pool->type->gpus > 0 ? GPU_WASTE_COST_S : 0;

	/* This cost leaves on-demand machines to the jobs that may not use spot machines. */
	if (cycle->on_demand_needed && spec->spot && !pool->spot)
		cost += ON_DEMAND_COST_S;
	return cost;
}

void cycle_evaluate_pools(struct scheduling_cycle *cycle, const struct job_spec *spec)
{
	for (size_t i = 0; i < cycle->pool_count; i++) {
		struct pool *pool = &cycle->pools[i];

		pool->allowed = pool_allows(pool, spec);
		pool->cost_s = pool_cost_s(cycle, pool, spec);
	}
}
