#include "core/round.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static size_t pool_of(struct scheduling_cycle *round, const struct machine *machine)
{
	struct pool *pool;

	for (size_t i = 0; i < round->pool_count; i++) {
		pool = &round->pools[i];
		if (pool->type == machine->type && pool->spot == machine->spot &&
		    !strcmp(pool->zone, machine->zone))
			return i;
	}
	pool = &round->pools[round->pool_count];
	memset(pool, 0, sizeof(*pool));
	pool->type = machine->type;
	pool->zone = machine->zone;
	pool->spot = machine->spot;
	return round->pool_count++;
}

static void room_add(struct scheduling_cycle *round, struct machine *machine)
{
	size_t pool = pool_of(round, machine);
	struct machine_room *room;

	machine->scheduling.room_index = (uint32_t)round->room_count;
	room = &round->rooms[round->room_count++];
	room->machine = machine;
	room->pool = (uint16_t)pool;
	room->cpus = machine->free_cpus;
	room->gpus = machine->free_gpus;
	room->mem_gb = machine->free_mem_gb;
}

static bool room_is_open(const struct scheduling_cycle *round, const struct machine_room *room)
{
	return room->cpus + ROOM_SLACK >= round->least_cpus &&
	       room->mem_gb + ROOM_SLACK >= round->least_mem_gb;
}

static void find_least(struct scheduling_cycle *round, struct job **jobs, size_t njobs)
{
	round->least_cpus = round->least_mem_gb = njobs ? INFINITY : 0;
	for (size_t i = 0; i < njobs; i++) {
		round->least_cpus = fmin(round->least_cpus, jobs[i]->spec.cpus);
		round->least_mem_gb = fmin(round->least_mem_gb, jobs[i]->spec.mem_gb);
	}
}

static void find_open(struct scheduling_cycle *round)
{
	for (size_t i = 0; i < round->room_count; i++)
		if (room_is_open(round, &round->rooms[i]))
			round->open_rooms[round->open_count++] = (uint32_t)i;
}

/* The room is too small for all from now on: room only shrinks while a round lasts. */
static void room_close(struct scheduling_cycle *round, uint32_t at)
{
	size_t low = 0, high = round->open_count;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (round->open_rooms[middle] < at)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == round->open_count || round->open_rooms[low] != at)
		return;
	round->open_count--;
	memmove(&round->open_rooms[low], &round->open_rooms[low + 1],
		(round->open_count - low) * sizeof(*round->open_rooms));
}

void cycle_begin(struct core *core, struct scheduling_cycle *round, struct job **jobs, size_t njobs)
{
	size_t n = HASH_COUNT(core->fleet.machines) + 1;
	struct machine *machine, *tmp;
	struct job *job, *jtmp;

	memset(round, 0, sizeof(*round));
	round->core = core;
	round->rooms = malloc(n * sizeof(*round->rooms));
	round->candidates = malloc(n * sizeof(*round->candidates));
	round->pools = malloc(n * sizeof(*round->pools));
	round->open_rooms = malloc(n * sizeof(*round->open_rooms));
	if (!round->rooms || !round->candidates || !round->pools || !round->open_rooms)
		abort();
	HASH_ITER (hh, core->fleet.machines, machine, tmp)
		if (machine_is_usable(core, machine))
			room_add(round, machine);
	find_least(round, jobs, njobs);
	find_open(round);
	round->visit_budget =
	    fmax(CYCLE_VISITS_PER_CORE * core->conf->cores, (double)round->open_count);
	HASH_ITER (hh, core->jobs, job, jtmp)
		round->on_demand_wanted |= !job->orphan && !job->spec.spot;
}

void cycle_end(struct scheduling_cycle *round)
{
	free(round->rooms);
	free(round->open_rooms);
	free(round->candidates);
	free(round->pools);
}

void cycle_take_room(struct scheduling_cycle *round, const struct machine *machine,
		     const struct job_spec *spec)
{
	struct machine_room *room = &round->rooms[machine->scheduling.room_index];

	room->cpus -= spec->cpus;
	room->gpus -= spec->gpus;
	room->mem_gb -= spec->mem_gb;
	if (!room_is_open(round, room))
		room_close(round, machine->scheduling.room_index);
}

void cycle_mark_allowed(struct scheduling_cycle *round, const struct job_spec *spec)
{
	for (size_t i = 0; i < round->pool_count; i++) {
		struct pool *pool = &round->pools[i];
		const struct machine_type *type = pool->type;

		pool->allowed = machine_type_allowed(type, pool->zone, pool->spot, spec) &&
				type->cpus >= spec->cpus && type->gpus >= spec->gpus &&
				type->mem_gb >= spec->mem_gb;
		pool->pool_cost = spec->gpus <= 0 && type->gpus > 0 ? GPU_WASTE_S : 0;
		/* What must be ordinary needs these machines more. */
		if (round->on_demand_wanted && spec->spot && !pool->spot)
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
