#include "core/round.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static size_t pool_of(struct round *round, const struct machine *machine)
{
	struct pool *pool;

	for (size_t i = 0; i < round->npools; i++) {
		pool = &round->pools[i];
		if (pool->type == machine->type && pool->spot == machine->spot &&
		    !strcmp(pool->zone, machine->zone))
			return i;
	}
	pool = &round->pools[round->npools];
	memset(pool, 0, sizeof(*pool));
	pool->type = machine->type;
	pool->zone = machine->zone;
	pool->spot = machine->spot;
	return round->npools++;
}

static void room_add(struct round *round, struct machine *machine)
{
	size_t pool = pool_of(round, machine);
	struct spot_room *room;

	machine->round_at = (uint32_t)round->nrooms;
	room = &round->rooms[round->nrooms++];
	room->machine = machine;
	room->pool = (uint16_t)pool;
	room->cpus = machine->cpus;
	room->gpus = machine->gpus;
	room->mem_gb = machine->mem_gb;
}

static bool room_is_open(const struct round *round, const struct spot_room *room)
{
	return room->cpus + ROOM_SLACK >= round->least_cpus &&
	       room->mem_gb + ROOM_SLACK >= round->least_mem_gb;
}

static void find_least(struct round *round, struct job **jobs, size_t njobs)
{
	round->least_cpus = round->least_mem_gb = njobs ? INFINITY : 0;
	for (size_t i = 0; i < njobs; i++) {
		round->least_cpus = fmin(round->least_cpus, jobs[i]->spec.cpus);
		round->least_mem_gb = fmin(round->least_mem_gb, jobs[i]->spec.mem_gb);
	}
}

static void find_open(struct round *round)
{
	for (size_t i = 0; i < round->nrooms; i++)
		if (room_is_open(round, &round->rooms[i]))
			round->open[round->nopen++] = (uint32_t)i;
}

/* The room is too small for all from now on: room only shrinks while a round lasts. */
static void room_close(struct round *round, uint32_t at)
{
	size_t low = 0, high = round->nopen;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (round->open[middle] < at)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == round->nopen || round->open[low] != at)
		return;
	round->nopen--;
	memmove(&round->open[low], &round->open[low + 1],
		(round->nopen - low) * sizeof(*round->open));
}

void round_begin(struct core *core, struct round *round, struct job **jobs, size_t njobs)
{
	size_t n = HASH_COUNT(core->fleet.machines) + 1;
	struct machine *machine, *tmp;
	struct job *job, *jtmp;

	memset(round, 0, sizeof(*round));
	round->core = core;
	round->rooms = malloc(n * sizeof(*round->rooms));
	round->cands = malloc(n * sizeof(*round->cands));
	round->pools = malloc(n * sizeof(*round->pools));
	round->open = malloc(n * sizeof(*round->open));
	if (!round->rooms || !round->cands || !round->pools || !round->open)
		abort();
	HASH_ITER (hh, core->fleet.machines, machine, tmp)
		if (machine_usable(core, machine))
			room_add(round, machine);
	find_least(round, jobs, njobs);
	find_open(round);
	round->visits = fmax(ROUND_VISITS_PER_CORE * core->conf->cores, (double)round->nopen);
	HASH_ITER (hh, core->jobs, job, jtmp)
		round->ordinary_wanted |= !job->orphan && !job->spec.spot;
}

void round_end(struct round *round)
{
	free(round->rooms);
	free(round->open);
	free(round->cands);
	free(round->pools);
}

void round_take(struct round *round, const struct machine *machine, const struct job_spec *spec)
{
	struct spot_room *room = &round->rooms[machine->round_at];

	room->cpus -= spec->cpus;
	room->gpus -= spec->gpus;
	room->mem_gb -= spec->mem_gb;
	if (!room_is_open(round, room))
		room_close(round, machine->round_at);
}

void round_allow(struct round *round, const struct job_spec *spec)
{
	for (size_t i = 0; i < round->npools; i++) {
		struct pool *pool = &round->pools[i];
		const struct machine_type *type = pool->type;

		pool->allowed = machine_allowed(type, pool->zone, pool->spot, spec) &&
				type->cpus >= spec->cpus && type->gpus >= spec->gpus &&
				type->mem_gb >= spec->mem_gb;
		pool->pool_cost = spec->gpus <= 0 && type->gpus > 0 ? GPU_WASTE_S : 0;
		/* What must be ordinary needs these machines more. */
		if (round->ordinary_wanted && spec->spot && !pool->spot)
			pool->pool_cost += ORDINARY_S;
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
