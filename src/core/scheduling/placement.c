/* Searches for the cheapest machine for one task and binds the task to it. */
#include "core/scheduling/placement.h"

#include <math.h>

#include "core/scheduling/placement_cost.h"
#include "core/scheduling/reservation.h"
#include "core/scheduling/waiting_shapes.h"
#include "core/scheduling/zones.h"
#include "core/state.h"
#include "util/log.h"

/* --- searching for a machine --- */

uint32_t machine_room_slots(const struct machine_room *room, const struct job *job)
{
	const struct machine *machine = room->machine;
	struct free_room unreserved = room->free;
	uint32_t slots, listable;

	if (!free_room_fits(&room->free, &job->spec))
		return 0;
	if (machine_is_reserved_for_other(machine, job))
		free_room_subtract(&unreserved, &machine->scheduling.reserved_for->spec,
				   machine->scheduling.reserved_tasks);
	slots = free_room_slots(&unreserved, &job->spec);
	listable = machine_listable_tasks(machine);
	return slots < listable ? slots : listable;
}

struct machine *find_machine(struct scheduling_cycle *cycle, const struct job *job,
			     enum room_scope scope)
{
	const char *bound_zone = job_bound_zone(job);
	struct machine *best = NULL;
	double best_cost = INFINITY;

	cycle_evaluate_pools(cycle, &job->spec);
	cycle->visit_budget -= (double)cycle->open_count;
	for (size_t i = 0; i < cycle->open_count; i++) {
		const struct machine_room *room = &cycle->rooms[cycle->open_rooms[i]];
		const struct pool *pool = &cycle->pools[room->pool];
		double cost = pool->cost_s;

		if (!pool->allowed || cost >= best_cost || !machine_room_slots(room, job) ||
		    !zone_matches(bound_zone, pool->zone))
			continue;
		if (scope == ROOM_SPARE && cycle_gang_needs_room(cycle, room, &job->spec))
			continue;
		cost += placement_cost(cycle->core, room->machine, job) +
			replica_cost(cycle->core, job, room->machine);
		if (cost < best_cost && job_zone_tasks_allowed(job, pool->zone)) {
			best_cost = cost;
			best = room->machine;
		}
	}
	return best;
}

/* --- binding a task --- */

uint64_t new_attempt(struct core *core)
{
	return (election_token(core) << ATTEMPT_COUNTER_BITS) + ++core->cycles.attempt_counter;
}

uint64_t cycle_attempt(struct scheduling_cycle *cycle)
{
	if (!cycle->attempt)
		cycle->attempt = new_attempt(cycle->core);
	return cycle->attempt;
}

/* Updates the job's reservation when a task is bound. A bound replica reduces the reservation on
 * its machine by one; for a gang or an array the whole reservation ends. */
static void update_reservation(struct core *core, struct job *job, struct machine *machine)
{
	if (job->spec.kind == JOB_SERVICE)
		reservation_remove_task(machine, job);
	else
		reservation_release(core, job);
}

void bind_task(struct scheduling_cycle *cycle, struct job *job, struct machine *machine,
	       uint32_t task, uint64_t attempt)
{
	struct core *core = cycle->core;

	update_reservation(core, job, machine);
	binding_add(core, machine, job, task, attempt);
	cycle_subtract_demand(cycle, machine, &job->spec);
	log_info("binding_created", "job=%s task=%u attempt=%llu machine=%s waited=%.2f",
		 job->spec.id, task, (unsigned long long)attempt, machine->id,
		 core->wall - job->submitted_at);
	write_queue_add_chunk(core, job, task, 0);
}

/* --- placing one task --- */

uint32_t next_placeable_task(const struct core *core, struct job *job)
{
	uint32_t per_chunk = job->records.tasks_per_chunk;
	uint32_t task = job_first_waiting(job);

	while (task < job->spec.task_count) {
		if (task_record_is_full(core, job, task))
			task = (task / per_chunk + 1) * per_chunk;
		else if (task_bit_test(job->done, task) || task_bit_test(job->bound, task))
			task++;
		else
			break;
	}
	return task;
}

bool place_next_task(struct scheduling_cycle *cycle, struct job *job, enum room_scope scope)
{
	struct machine *machine;
	uint32_t task;

	if (!job_waiting_count(job) || !team_quota_allows(cycle->core, &job->spec, 1) ||
	    cycle_found_no_room(cycle, job, 1))
		return false;
	task = next_placeable_task(cycle->core, job);
	if (task >= job->spec.task_count)
		return false;
	/* A longer cycle would delay renewals of the leader's lease. */
	cycle->budget_exhausted |= cycle->visit_budget <= 0;
	if (cycle->budget_exhausted)
		return false;
	machine = find_machine(cycle, job, scope);
	if (!machine) {
		if (scope == ROOM_ANY)
			cycle_record_no_room(cycle, job, 1);
		return false;
	}
	bind_task(cycle, job, machine, task, cycle_attempt(cycle));
	return true;
}
