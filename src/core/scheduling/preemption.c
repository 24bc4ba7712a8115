/*
 * Preemption: chooses the machines where stopping lower work costs least, reserves their room for
 * the job, and stops no more tasks there than it needs.
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

/* Sets the slots that the machine would have, and the cost of the work stopped for them. */
static void weigh_candidate(const struct preemption_demand *demand, struct candidate *candidate)
{
	const struct machine *machine = candidate->room->machine;
	const struct job_spec *spec = &demand->job->spec;
	struct free_room room = free_room_of(machine);
	uint32_t free_slots = free_room_slots(&room, spec);
	const struct binding *binding;
	double cost = 0;

	DL_FOREACH2 (machine->bindings, binding, machine_next) {
		if (!preemption_frees(demand, binding))
			continue;
		free_room_add(&room, &binding->job->spec);
		if (!binding->stopping)
			cost += stop_cost_s(demand->core, binding);
	}
	candidate->slots = free_room_slots(&room, spec);
	candidate->cost = candidate->slots > free_slots ? cost : 0;
}

/* Lists the machines where the job would find room, the cheapest slots first. */
static void find_candidates(struct scheduling_cycle *cycle, const struct preemption_demand *demand)
{
	const struct job *job = demand->job;

	cycle_mark_allowed(cycle, &job->spec);
	cycle->candidate_count = 0;
	for (size_t i = 0; i < cycle->room_count; i++) {
		struct machine_room *room = &cycle->rooms[i];
		struct candidate *candidate = &cycle->candidates[cycle->candidate_count];

		if (!cycle->pools[room->pool].allowed ||
		    machine_is_reserved_for_other(room->machine, job) ||
		    !job_may_use_zone(job, room->machine->zone))
			continue;
		candidate->room = room;
		weigh_candidate(demand, candidate);
		cycle->candidate_count += candidate->slots > 0;
	}
	candidates_sort_by_cost_per_slot(cycle);
}

/* --- stopping tasks --- */

/* The machine's task that costs least to stop; NULL: none may be. */
static struct binding *cheapest_victim(const struct preemption_demand *demand,
				       struct machine *machine)
{
	struct binding *binding, *best = NULL;
	double best_cost = INFINITY;

	DL_FOREACH2 (machine->bindings, binding, machine_next) {
		double cost = stop_cost_s(demand->core, binding);

		if (binding->stopping || cost >= best_cost || !preemption_frees(demand, binding))
			continue;
		best = binding;
		best_cost = cost;
	}
	return best;
}

/* The machine's room once all tasks that are stopping have ended. */
static struct free_room room_after_stops(const struct machine *machine)
{
	struct free_room room = free_room_of(machine);
	const struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, machine_next)
		if (binding->stopping)
			free_room_add(&room, &binding->job->spec);
	return room;
}

static void stop_victim(const struct preemption_demand *demand, struct binding *victim)
{
	log_info("task_preempted", "job=%s for=%s machine=%s", victim->job->spec.id,
		 demand->job->spec.id, victim->machine->id);
	binding_stop(demand->core, victim, stop_grace_s(victim));
}

/* Stops tasks on the machine until there will be so many slots. */
static void stop_victims(const struct preemption_demand *demand, struct machine *machine,
			 uint32_t slots)
{
	struct free_room room = room_after_stops(machine);

	while (free_room_slots(&room, &demand->job->spec) < slots) {
		struct binding *victim = cheapest_victim(demand, machine);

		if (!victim)
			return;
		free_room_add(&room, &victim->job->spec);
		stop_victim(demand, victim);
	}
}

/* Reserves the cheapest candidates of the zone, and stops what is in the way there. */
static void preempt_on_candidates(const struct scheduling_cycle *cycle,
				  const struct preemption_demand *demand, const char *zone)
{
	uint32_t tasks_left = demand->tasks;

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
}

/* Stops lower work for all tasks of the demand; false if that does not make enough room. */
static bool preempt(struct scheduling_cycle *cycle, const struct preemption_demand *demand)
{
	struct job *job = demand->job;
	struct zone_choice choice;

	find_candidates(cycle, demand);
	choice = candidates_choose_zone(cycle, &job->spec, demand->tasks, COST_OF_ALL);
	if (!isfinite(choice.cost))
		return false;
	preempt_on_candidates(cycle, demand, choice.zone);
	job->scheduling.reserved_until = cycle->core->now + PREEMPT_RESERVE_S;
	log_info("reservation_preempting", "job=%s tasks=%u zone=%s cost=%.0f waited=%.1f",
		 job->spec.id, demand->tasks, choice.zone ? choice.zone : "", choice.cost,
		 cycle->core->wall - job->submitted_at);
	return true;
}

/* --- when room is made --- */

/*
 * Seconds of waiting before lower work is stopped: room may fall free while the wait objective is
 * not at risk.
 */
static double preempt_after_s(const struct core *core, const struct job *job)
{
	return fmax(PREEMPT_AFTER_S,
		    PREEMPT_OBJECTIVE_SHARE * tightest_wait_objective_s(core, job));
}

/*
 * Tasks of a gang keep their places, and the zones of a spread one are not weighed against each
 * other.
 */
static bool may_be_made_room_for(const struct job *job)
{
	return job->spec.kind == JOB_SERVICE || (!job->bindings && !job->spec.spread);
}

static bool may_preempt_now(const struct scheduling_cycle *cycle, const struct job *job)
{
	const struct core *core = cycle->core;
	double waited_s = core->now - job->scheduling.waiting_since;

	/* There may be room that the search has not visited. */
	if (cycle->budget_exhausted && job->spec.kind != JOB_GANG)
		return false;
	return may_be_made_room_for(job) && !job->scheduling.reserved_until &&
	       waited_s >= preempt_after_s(core, job) &&
	       core->now >= job->scheduling.next_preemption_at;
}

static struct preemption_demand demand_of(struct core *core, struct job *job)
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
	demand = demand_of(core, job);
	if (preempt(cycle, &demand))
		return;
	if (job->spec.kind == JOB_SERVICE) {
		/* Room for one replica is worth more than none for all. */
		demand.tasks = 1;
		preempt(cycle, &demand);
	} else if (job->spec.kind == JOB_GANG && demand.scope == VICTIMS_OF_ANY_TEAM &&
		   reservation_may_begin(core, job)) {
		reservation_begin(cycle, job);
	}
}
