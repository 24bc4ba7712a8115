/*
 * Places job arrays, one task at a time. The tasks that an array needs most are placed first. The
 * last step shares the other capacity equally, except what waiting gangs of higher priority could
 * use: the next task is always of an array that has the fewest slots (max-min fairness).
 */
#include "core/scheduling/array_placement.h"

#include <stdlib.h>
#include <string.h>

#include "core/scheduling/compare.h"
#include "core/scheduling/objectives.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/placement_cost.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/waiting_shapes.h"
#include "core/scheduling/zones.h"
#include "core/state.h"
#include "util/xalloc.h"

/* Places one task of each array that has no bound task. Preemption is tried only for these first
 * tasks. */
static void place_first_tasks(struct scheduling_cycle *cycle, const struct job_list *arrays)
{
	for (size_t i = 0; i < arrays->count; i++) {
		struct job *job = arrays->jobs[i];

		if (!job->bound_count && !place_next_task(cycle, job, ROOM_ANY))
			preemption_make_room(cycle, job);
	}
}

/* --- slots that deadlines need --- */

static int compare_deadline_demands(const void *a, const void *b)
{
	const struct deadline_demand *left = a, *right = b;
	int order = compare_numbers(left->deadline_factor, right->deadline_factor);

	if (!order)
		order = compare_numbers(left->slots, right->slots);
	return order ? order : strcmp(left->job->spec.id, right->job->spec.id);
}

/*
 * Places as many tasks of each array as its deadline needs. If not all arrays can meet their
 * deadlines, equal shares would make all of them late; so the arrays that can still meet their own
 * deadline come first, and among them the array that needs the fewest slots. The capacity that is
 * left is shared equally afterwards.
 */
static void place_for_deadlines(struct scheduling_cycle *cycle, const struct job_list *arrays)
{
	struct deadline_demand *demands = xcalloc(arrays->count, sizeof(*demands));
	size_t demand_count = 0;

	for (size_t i = 0; i < arrays->count; i++) {
		demands[demand_count] = deadline_demand(cycle->core, arrays->jobs[i]);
		demand_count += demands[demand_count].slots > 0;
	}
	qsort(demands, demand_count, sizeof(*demands), compare_deadline_demands);
	for (size_t i = 0; i < demand_count; i++) {
		struct job *job = demands[i].job;

		while (job->bound_count < demands[i].slots && place_next_task(cycle, job, ROOM_ANY))
			;
	}
	free(demands);
}

/* --- freed slots that are kept for an array --- */

static bool may_start_now(struct core *core, const struct job *job)
{
	return job->spec.kind == JOB_ARRAY && job_waiting_count(job) &&
	       core->now >= job->scheduling.retry_at && team_quota_allows(core, &job->spec, 1);
}

/* Whether one more task of the job may be placed on the machine: the job has not failed there, the
 * machine suits it, the job's rules on zones allow it, and the capacity is neither reserved for
 * another job nor left to a waiting gang. */
static bool may_use_machine(struct scheduling_cycle *cycle, const struct job *job,
			    const struct machine *machine)
{
	const struct machine_room *room = &cycle->rooms[machine->scheduling.room_index];

	if (job_failed_on(job, machine))
		return false;
	cycle_evaluate_pools(cycle, &job->spec);
	return cycle->pools[room->pool].allowed && machine_room_slots(room, job) &&
	       job_may_use_zone(job, machine->zone) &&
	       !cycle_gang_needs_room(cycle, room, &job->spec);
}

/*
 * Clears the machine's record of a freed slot. Returns the array for which the slot is kept: the
 * array whose task ended on the machine, or the array that the slot was switched to. NULL: this
 * array can't use the slot now.
 */
static struct job *claim_freed_slot(struct scheduling_cycle *cycle, struct machine *machine)
{
	struct core *core = cycle->core;
	struct job *job = job_find(core, machine->scheduling.freed_slot_job);

	machine->scheduling.freed_slot_job[0] = 0;
	if (!job || core->now > machine->scheduling.freed_slot_until)
		return NULL;
	return may_start_now(core, job) && may_use_machine(cycle, job, machine) ? job : NULL;
}

/* Places tasks in the freed slots that are kept for an array, of whatever priority. */
static void place_in_freed_slots(struct scheduling_cycle *cycle)
{
	for (size_t i = 0; i < cycle->room_count; i++) {
		struct machine *machine = cycle->rooms[i].machine;
		struct job *job;
		uint32_t task;

		if (!*machine->scheduling.freed_slot_job)
			continue;
		job = claim_freed_slot(cycle, machine);
		if (!job)
			continue;
		task = next_placeable_task(cycle->core, job);
		if (task < job->spec.task_count)
			bind_task(cycle, job, machine, task, cycle_attempt(cycle));
	}
}

/* --- equal shares of the other capacity --- */

/*
 * Places one more task of each array that has at most `level` slots. Arrays for which no task can
 * be placed are removed from the list. Returns the number of arrays that remain.
 */
static size_t place_fair_share_round(struct scheduling_cycle *cycle, struct job_list *arrays,
				     uint32_t level)
{
	size_t remaining = 0;

	for (size_t i = 0; i < arrays->count; i++) {
		struct job *job = arrays->jobs[i];

		if (job->bound_count > level || place_next_task(cycle, job, ROOM_SPARE))
			arrays->jobs[remaining++] = job;
	}
	arrays->count = remaining;
	return remaining;
}

void place_arrays(struct scheduling_cycle *cycle, struct job_list *arrays)
{
	uint32_t level = 0;

	if (!arrays->count)
		return;
	place_first_tasks(cycle, arrays);
	place_for_deadlines(cycle, arrays);
	place_in_freed_slots(cycle);
	while (place_fair_share_round(cycle, arrays, level))
		level++;
}
