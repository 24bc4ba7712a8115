/*
 * Chooses the machines where preemption costs least, reserves their capacity for the job, and stops
 * no more tasks there than necessary.
 */
#include "core/scheduling/preemption.h"

#include <math.h>
#include <string.h>

#include "core/scheduling/candidates.h"
#include "core/scheduling/objectives.h"
#include "core/scheduling/preemption_victims.h"
#include "core/scheduling/reservation.h"
#include "core/scheduling/zones.h"
#include "core/state.h"
#include "util/log.h"

/* --- choosing machines --- */

/* Sets the slots that the machine would have for the job after preemption, and the cost of the
 * tasks that would be stopped. */
static void evaluate_candidate(const struct preemption_demand *demand, struct candidate *candidate)
{
	const struct machine *machine = candidate->room->machine;
	const struct job_spec *spec = &demand->job->spec;
	struct free_room free_after = free_room_of(machine);
	uint32_t free_slots = free_room_slots(&free_after, spec);
	const struct binding *binding;
	double cost = 0;

	DL_FOREACH2 (machine->bindings, binding, machine_next) {
		if (!preemption_may_reclaim(demand, binding))
			continue;
		free_room_add(&free_after, &binding->job->spec);
		if (!binding->stopping)
			cost += stop_cost_s(demand->core, binding);
	}
	candidate->slots = free_room_slots(&free_after, spec);
	candidate->cost = candidate->slots > free_slots ? cost : 0;
}

/* Sets the candidates to the machines where tasks of the job would fit after preemption, the
 * machines with the cheapest slots first. */
static void find_candidates(struct scheduling_cycle *cycle, const struct preemption_demand *demand)
{
	const struct job *job = demand->job;

	cycle_evaluate_pools(cycle, &job->spec);
	cycle->candidate_count = 0;
	for (size_t i = 0; i < cycle->room_count; i++) {
		struct machine_room *room = &cycle->rooms[i];
		struct candidate *candidate = &cycle->candidates[cycle->candidate_count];

		if (!cycle->pools[room->pool].allowed ||
		    machine_is_reserved_for_other(room->machine, job) ||
		    !job_may_use_zone(job, room->machine->zone))
			continue;
		candidate->room = room;
		evaluate_candidate(demand, candidate);
		cycle->candidate_count += candidate->slots > 0;
	}
	candidates_sort_by_cost_per_slot(cycle);
}

/* --- stopping tasks --- */

/* Returns the task on the machine that costs least to stop; NULL: none may be stopped. */
static struct binding *cheapest_victim(const struct preemption_demand *demand,
				       struct machine *machine)
{
	struct binding *binding, *best = NULL;
	double best_cost = INFINITY;

	DL_FOREACH2 (machine->bindings, binding, machine_next) {
		double cost = stop_cost_s(demand->core, binding);

		if (binding->stopping || cost >= best_cost ||
		    !preemption_may_reclaim(demand, binding))
			continue;
		best = binding;
		best_cost = cost;
	}
	return best;
}

/* Returns the machine's free capacity once all tasks that are stopping will have ended. */
static struct free_room free_room_after_stops(const struct machine *machine)
{
	struct free_room free_after = free_room_of(machine);
	const struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, machine_next)
		if (binding->stopping)
			free_room_add(&free_after, &binding->job->spec);
	return free_after;
}

static void stop_victim(const struct preemption_demand *demand, struct binding *victim)
{
	log_info("task_preempted", "job=%s for=%s machine=%s", victim->job->spec.id,
		 demand->job->spec.id, victim->machine->id);
	binding_stop(demand->core, victim, stop_grace_s(victim));
}

/* Stops tasks on the machine until so many slots for the job will be free, if that is possible. */
static void stop_victims(const struct preemption_demand *demand, struct machine *machine,
			 uint32_t slots)
{
	struct free_room free_after = free_room_after_stops(machine);

	while (free_room_slots(&free_after, &demand->job->spec) < slots) {
		struct binding *victim = cheapest_victim(demand, machine);

		if (!victim)
			return;
		free_room_add(&free_after, &victim->job->spec);
		stop_victim(demand, victim);
	}
}

/* Reserves capacity for so many tasks on the cheapest candidates of the zone (NULL: of all zones),
 * and stops the tasks that use it. Returns the number of tasks for which it found none. */
static uint32_t preempt_on_candidates(const struct scheduling_cycle *cycle,
				      const struct preemption_demand *demand, const char *zone,
				      uint32_t tasks_left)
{
	for (size_t i = 0; i < cycle->candidate_count && tasks_left; i++) {
		const struct candidate *candidate = &cycle->candidates[i];
		struct machine *machine = candidate->room->machine;
		uint32_t tasks = candidate->slots < tasks_left ? candidate->slots : tasks_left;

		if (!zone_matches(zone, machine->zone))
			continue;
		reservation_set(machine, demand->job, tasks);
		tasks_left -= tasks;
		stop_victims(demand, machine, tasks);
	}
	return tasks_left;
}

/* As preempt_on_candidates, for a job whose rules allow only some of its tasks in each zone. */
static void preempt_in_each_zone(const struct scheduling_cycle *cycle,
				 const struct preemption_demand *demand)
{
	uint32_t tasks_left = demand->tasks;

	for (size_t i = 0; i < cycle->pool_count && tasks_left; i++) {
		const char *zone = cycle->pools[i].zone;
		uint32_t allowed = job_zone_tasks_allowed(demand->job, zone);
		uint32_t tasks = allowed < tasks_left ? allowed : tasks_left;

		if (!zone_is_in_earlier_pool(cycle, i))
			tasks_left -= tasks - preempt_on_candidates(cycle, demand, zone, tasks);
	}
}

/* Frees capacity for all tasks of the demand. If not all of them would fit, stops no task and
 * returns false. */
static bool preempt(struct scheduling_cycle *cycle, const struct preemption_demand *demand)
{
	struct job *job = demand->job;
	struct zone_choice choice;

	find_candidates(cycle, demand);
	choice = candidates_choose_zone(cycle, &job->spec, demand->tasks, COST_RULE_SUM);
	if (!isfinite(choice.cost))
		return false;
	if (job->spec.spread)
		preempt_in_each_zone(cycle, demand);
	else
		preempt_on_candidates(cycle, demand, choice.zone, demand->tasks);
	job->scheduling.reserved_until = cycle->core->now + PREEMPT_RESERVE_S;
	log_info("reservation_preempting", "job=%s tasks=%u zone=%s cost=%.0f waited=%.1f",
		 job->spec.id, demand->tasks, choice.zone ? choice.zone : "", choice.cost,
		 cycle->core->wall - job->submitted_at);
	return true;
}

/* --- deciding whether to preempt --- */

/*
 * Returns the seconds that the job has to wait before tasks are stopped for it. While its wait
 * objective is not at risk, capacity may fall free by itself.
 */
static double preempt_after_s(const struct core *core, const struct job *job)
{
	return fmax(PREEMPT_AFTER_S,
		    PREEMPT_OBJECTIVE_SHARE * tightest_wait_objective_s(core, job));
}

/*
 * Whether preemption can free capacity for the job. It can't for a gang with tasks of an earlier
 * attempt, which use capacity and restrict the zones until they have ended, nor for a spread gang
 * or array, since the choice of machines does not distribute tasks over zones.
 */
static bool preemption_is_supported(const struct job *job)
{
	return job->spec.kind == JOB_SERVICE || (!job->bindings && !job->spec.spread);
}

static bool may_preempt_now(const struct scheduling_cycle *cycle, const struct job *job)
{
	const struct core *core = cycle->core;
	double waited_s = core->now - job->scheduling.waiting_since;

	/* The search ended before it had visited all machines, so the job may fit without
	 * preemption. */
	if (cycle->budget_exhausted && job->spec.kind != JOB_GANG)
		return false;
	return preemption_is_supported(job) && !job->scheduling.reserved_until &&
	       waited_s >= preempt_after_s(core, job) &&
	       core->now >= job->scheduling.next_preemption_at;
}

static struct preemption_demand preemption_demand_of(struct core *core, struct job *job)
{
	struct preemption_demand demand = {.core = core, .job = job};

	demand.tasks = preemption_task_count(job);
	demand.scope = team_quota_allows(core, &job->spec, demand.tasks) ? VICTIMS_OF_ANY_TEAM
									 : VICTIMS_OF_OWN_TEAM;
	return demand;
}

void preemption_make_room(struct scheduling_cycle *cycle, struct job *job)
{
	struct core *core = cycle->core;
	struct preemption_demand demand;

	if (job->scheduling.has_growing_reservation) {
		reservation_renew(cycle, job);
		return;
	}
	if (job->scheduling.reserved_until && core->now > job->scheduling.reserved_until)
		reservation_release(core, job);
	if (!may_preempt_now(cycle, job))
		return;
	job->scheduling.next_preemption_at = core->now + PREEMPT_RETRY_S;
	demand = preemption_demand_of(core, job);
	if (preempt(cycle, &demand))
		return;
	if (job->spec.kind == JOB_SERVICE) {
		/* Not all waiting replicas fit even with preemption: one is better than none. */
		demand.tasks = 1;
		preempt(cycle, &demand);
	} else if (job->spec.kind == JOB_GANG && demand.scope == VICTIMS_OF_ANY_TEAM &&
		   reservation_may_begin(core, job)) {
		reservation_begin(cycle, job);
	}
}
