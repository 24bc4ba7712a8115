/*
 * Places gangs. A gang that fits is placed with all its tasks at once, on the machines where they
 * start soonest.
 */
#include "core/scheduling/gang_placement.h"

#include <math.h>
#include <string.h>

#include "core/scheduling/candidates.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/placement_cost.h"
#include "core/scheduling/waiting_shapes.h"
#include "core/scheduling/zones.h"
#include "core/state.h"

/* Sets the candidates to the machines on which a task of the job fits, without their costs. */
static void find_candidates(struct scheduling_cycle *cycle, const struct job *job)
{
	cycle_evaluate_pools(cycle, &job->spec);
	cycle->candidate_count = 0;
	for (size_t i = 0; i < cycle->open_count; i++) {
		struct machine_room *room = &cycle->rooms[cycle->open_rooms[i]];
		struct candidate *candidate = &cycle->candidates[cycle->candidate_count];

		if (!cycle->pools[room->pool].allowed)
			continue;
		candidate->room = room;
		candidate->slots = machine_room_slots(room, job);
		cycle->candidate_count += candidate->slots > 0;
	}
}

/* Sets the costs of the candidates and sorts them, the cheapest first. */
static void sort_candidates_by_placement_cost(struct scheduling_cycle *cycle, const struct job *job)
{
	for (size_t i = 0; i < cycle->candidate_count; i++) {
		struct candidate *candidate = &cycle->candidates[i];
		const struct machine_room *room = candidate->room;

		candidate->cost = cycle->pools[room->pool].cost_s +
				  placement_cost(cycle->core, room->machine, job);
	}
	candidates_sort_by_cost(cycle);
}

/* Whether all tasks of the gang fit if each zone gets no more of them than the gang's rules allow:
 * for a spread gang, half of them. */
static bool spread_fits(const struct scheduling_cycle *cycle, const struct job *job)
{
	uint32_t task_count = job->spec.task_count;
	uint32_t slots = 0;

	for (size_t i = 0; i < cycle->pool_count; i++) {
		const char *zone = cycle->pools[i].zone;
		uint32_t zone_slots, zone_max;

		if (zone_is_in_earlier_pool(cycle, i))
			continue;
		zone_slots = candidates_count_slots(cycle, zone, task_count);
		zone_max = job_zone_tasks_allowed(job, zone);
		slots += zone_slots < zone_max ? zone_slots : zone_max;
	}
	return slots >= task_count;
}

/* Binds tasks from `task` on to the candidate's machine, as many as its slots and the rules on
 * zones allow. Returns the first task that is not bound yet. */
static uint32_t bind_to_candidate(struct scheduling_cycle *cycle, struct job *job,
				  const struct candidate *candidate, uint32_t task,
				  uint64_t attempt)
{
	struct machine *machine = candidate->room->machine;

	for (uint32_t i = 0; i < candidate->slots && task < job->spec.task_count; i++)
		if (job_zone_tasks_allowed(job, machine->zone))
			bind_task(cycle, job, machine, task++, attempt);
	return task;
}

/* Binds all tasks of the gang to the cheapest machines of the zone; NULL: of any zone. */
static void bind_gang(struct scheduling_cycle *cycle, struct job *job, const char *zone)
{
	uint64_t attempt = new_attempt(cycle->core);
	uint32_t task = 0;

	for (size_t i = 0; i < cycle->candidate_count && task < job->spec.task_count; i++) {
		const struct candidate *candidate = &cycle->candidates[i];

		if (zone_matches(zone, candidate->room->machine->zone))
			task = bind_to_candidate(cycle, job, candidate, task, attempt);
	}
	job->gang_attempt = attempt;
}

/* Binds the gang to the machines where its tasks start soonest; false if they do not all fit. */
static bool bind_where_cheapest(struct scheduling_cycle *cycle, struct job *job)
{
	uint32_t task_count = job->spec.task_count;
	struct zone_choice choice;

	if (candidates_count_slots(cycle, NULL, task_count) < task_count ||
	    !spread_fits(cycle, job))
		return false;
	sort_candidates_by_placement_cost(cycle, job);
	choice = candidates_choose_zone(cycle, &job->spec, task_count, COST_RULE_MAX);
	if (!isfinite(choice.cost))
		return false;
	bind_gang(cycle, job, choice.zone);
	return true;
}

bool place_gang(struct scheduling_cycle *cycle, struct job *job)
{
	uint32_t task_count = job->spec.task_count;

	/* Tasks of an earlier attempt use capacity and restrict the zones until they have ended. */
	if (job->bindings || !team_quota_allows(cycle->core, &job->spec, task_count))
		return false;
	if (cycle_found_no_room(cycle, job, task_count))
		return false;
	find_candidates(cycle, job);
	if (bind_where_cheapest(cycle, job))
		return true;
	cycle_record_no_room(cycle, job, task_count);
	cycle_record_waiting_gang(cycle, job);
	return false;
}
