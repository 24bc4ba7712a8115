/* Records the shapes of jobs that do not fit. Free capacity only shrinks during a cycle, so a
 * record is kept until the cycle ends. Capacity whose reservation ends meanwhile is found by the
 * next cycle. */
#include "core/scheduling/waiting_shapes.h"

/* Whether the job's shape alone decides which capacity it can use. It does not if the job has
 * reserved capacity, which other jobs can't use, or bindings, which restrict its zones. */
static bool capacity_depends_on_shape_only(const struct job *job)
{
	return !job->scheduling.reserved_until && !job->bindings;
}

void cycle_record_no_room(struct scheduling_cycle *cycle, const struct job *job, uint32_t tasks)
{
	struct shape_without_room *shape;

	if (cycle->shape_without_room_count == CYCLE_NO_ROOM_SHAPES_MAX ||
	    !capacity_depends_on_shape_only(job))
		return;
	shape = &cycle->shapes_without_room[cycle->shape_without_room_count++];
	shape->spec = &job->spec;
	shape->tasks = tasks;
}

bool cycle_found_no_room(const struct scheduling_cycle *cycle, const struct job *job,
			 uint32_t tasks)
{
	for (size_t i = 0; i < cycle->shape_without_room_count; i++) {
		const struct shape_without_room *shape = &cycle->shapes_without_room[i];

		if (tasks >= shape->tasks && same_shape(shape->spec, &job->spec))
			return capacity_depends_on_shape_only(job);
	}
	return false;
}

static bool gang_shape_is_recorded(const struct scheduling_cycle *cycle,
				   const struct job_spec *spec)
{
	for (size_t i = 0; i < cycle->gang_shape_count; i++)
		if (same_shape(cycle->gang_shapes[i], spec))
			return true;
	return false;
}

void cycle_record_waiting_gang(struct scheduling_cycle *cycle, const struct job *job)
{
	if (gang_shape_is_recorded(cycle, &job->spec) ||
	    cycle->gang_shape_count == CYCLE_GANG_SHAPES_MAX)
		return;
	for (size_t i = 0; i < cycle->pool_count; i++) {
		struct pool *pool = &cycle->pools[i];

		pool->gang_shapes |= (uint32_t)pool->allowed << cycle->gang_shape_count;
	}
	cycle->gang_shapes[cycle->gang_shape_count++] = &job->spec;
}

bool cycle_gang_needs_room(const struct scheduling_cycle *cycle, const struct machine_room *room,
			   const struct job_spec *spec)
{
	uint32_t shapes_allowed = cycle->pools[room->pool].gang_shapes;
	struct free_room free_after = room->free;

	free_room_subtract(&free_after, spec, 1);
	for (size_t i = 0; i < cycle->gang_shape_count; i++) {
		const struct job_spec *gang = cycle->gang_shapes[i];

		if (gang->priority >= spec->priority || !(shapes_allowed >> i & 1))
			continue;
		if (free_room_slots(&free_after, gang) < free_room_slots(&room->free, gang))
			return true;
	}
	return false;
}
