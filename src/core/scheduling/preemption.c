/*
 * Room for a gang that finds none: lower work is stopped for it, or room is held for it wherever it
 * falls free, until it is enough. Held room is nobody else's, so that what was stopped does not
 * serve others, and so that a large gang is not passed by small ones for ever. Smaller work uses
 * all that is not held; few gangs hold at once, so what idles is small.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/scheduling/candidates.h"
#include "core/scheduling/objectives.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/zones.h"
#include "core/state.h"
#include "util/log.h"

void reservation_release(struct core *core, struct job *job)
{
	struct machine *machine, *tmp;

	if (!job->scheduling.reserved_until)
		return;
	job->scheduling.reserved_until = 0;
	job->scheduling.reserving = false;
	job->scheduling.reserved_zone[0] = 0;
	MACHINES_FOR_EACH (core, machine, tmp) {
		if (machine->scheduling.reserved_for != job)
			continue;
		machine->scheduling.reserved_for = NULL;
		machine->scheduling.reserved_tasks = 0;
	}
}

/* Tasks that room is made for: all of a gang, the first of an array that holds none, and of a
 * service those that do not run. */
static uint32_t plan_tasks(const struct job *job)
{
	if (job->spec.kind == JOB_SERVICE)
		return job_waiting_count(job);
	return job->spec.kind == JOB_ARRAY ? 1 : job->spec.task_count;
}

/* --- what may be stopped --- */

/* Without a task of this kind, the team would still hold all it is guaranteed of CPUs or GPUs. */
static bool beyond_guarantee(const struct team *team, const struct job_spec *spec)
{
	return team->cpus - spec->cpus >= team->conf->cpus ||
	       (spec->gpus > 0 && team->conf->gpus > 0 &&
		team->gpus - spec->gpus >= team->conf->gpus);
}

/* What the team holds beyond its guarantee was borrowed, and is returned to a team within its own.
 */
static bool borrowed(const struct core *core, const struct binding *binding, const struct job *job)
{
	const struct team *team = team_find((struct core *)core, binding->job->spec.team);
	const struct team *own = team_find((struct core *)core, job->spec.team);
	double n = plan_tasks(job);

	if (!team || !own || team == own || own->conf->cpus <= 0 || team->conf->cpus <= 0)
		return false;
	return own->cpus + n * job->spec.cpus <= own->conf->cpus &&
	       (job->spec.gpus <= 0 || own->gpus + n * job->spec.gpus <= own->conf->gpus) &&
	       beyond_guarantee(team, &binding->job->spec);
}

/*
 * A task that would still be done by its job's deadline, but not if it began again: stopping it
 * trades one missed aim for another. Past the deadline there is nothing more to protect.
 */
static bool needs_its_time(const struct core *core, const struct binding *binding)
{
	const struct job_spec *spec = &binding->job->spec;
	double left = binding->job->submitted_at + spec->deadline_s - core->wall;
	double again = spec->estimate_s * RESTART_FACTOR + RESTART_S;

	return spec->deadline_s >= 0 && left > 0 && left < again;
}

static bool may_stop(const struct core *core, const struct job *job, const struct binding *binding)
{
	if (binding->job->spec.kind != JOB_ARRAY || binding->job->orphan ||
	    needs_its_time(core, binding))
		return false;
	if (job->spec.kind == JOB_SERVICE && binding->job->spec.priority > job->spec.priority)
		return true;
	/* A gang that has missed all aims for its wait gathers room instead. */
	if (wait_objective_s(core, job) <= 0 &&
	    binding->job->bound_count <= array_need(core, binding->job).slots &&
	    !borrowed(core, binding, job))
		return false;
	return binding->job->spec.priority > job->spec.priority || borrowed(core, binding, job);
}

/* Work lost or delayed by stopping: what ran longest since placement is nearest its end. */
static double stop_cost(const struct core *core, const struct binding *binding)
{
	return 1 + (binding->running_since > 0 ? core->now - binding->running_since : 0);
}

static double grace_of(const struct binding *binding)
{
	/* Saving needs the full time; a margin for the way there. */
	return binding->job->spec.checkpoint_s > 0 ? binding->job->spec.save_s + 1 : 0;
}

struct room {
	double cpus, gpus, mem_gb;
};

static void room_grow(struct room *r, const struct binding *binding)
{
	r->cpus += binding->job->spec.cpus;
	r->gpus += binding->job->spec.gpus;
	r->mem_gb += binding->job->spec.mem_gb;
}

static uint32_t slots_of(const struct room *r, const struct job *job)
{
	return room_slots(r->cpus, r->gpus, r->mem_gb, &job->spec);
}

/* At its limit, a team makes room among its own tasks only. */
struct demand {
	const struct core *core;
	const struct job *job;
	bool own_team_only;
	uint32_t tasks;
};

static bool frees(const struct demand *demand, const struct binding *binding)
{
	if (binding->stopping)
		return true;
	return may_stop(demand->core, demand->job, binding) &&
	       (!demand->own_team_only || !strcmp(binding->job->spec.team, demand->job->spec.team));
}

/* The slots that the machine would have, and what they cost. */
static uint32_t machine_offer(const struct demand *demand, const struct machine *machine,
			      double *cost)
{
	struct room r = {machine->free_cpus, machine->free_gpus, machine->free_mem_gb};
	uint32_t now = slots_of(&r, demand->job), all;
	const struct binding *binding;

	*cost = 0;
	DL_FOREACH2 (machine->bindings, binding, machine_next) {
		if (!frees(demand, binding))
			continue;
		room_grow(&r, binding);
		*cost += binding->stopping ? 0 : stop_cost(demand->core, binding);
	}
	all = slots_of(&r, demand->job);
	if (all > now)
		return all;
	*cost = 0;
	return now;
}

/* --- choosing machines --- */

/* The cycle's candidates, cheapest first, and where among them room is made. */
struct choice {
	const char *zone; /* NULL: anywhere */
	double cost;	  /* of all that are needed */
};

/* Where the job's other tasks leave room for one more by its rules. */
static bool zone_open(const struct job *job, const char *zone)
{
	const char *held = job_bound_zone(job);

	return (!held || !strcmp(held, zone)) && job_zone_capacity_left(job, zone) > 0;
}

static void offers(struct scheduling_cycle *cycle, const struct demand *demand)
{
	cycle_mark_allowed(cycle, &demand->job->spec);
	cycle->candidate_count = 0;
	for (size_t i = 0; i < cycle->room_count; i++) {
		struct machine_room *room = &cycle->rooms[i];
		struct candidate *candidate = &cycle->candidates[cycle->candidate_count];

		if (!cycle->pools[room->pool].allowed ||
		    (room->machine->scheduling.reserved_for &&
		     room->machine->scheduling.reserved_for != demand->job) ||
		    !zone_open(demand->job, room->machine->zone))
			continue;
		candidate->room = room;
		candidate->slots = machine_offer(demand, room->machine, &candidate->cost);
		cycle->candidate_count += candidate->slots > 0;
	}
	candidates_sort_by_cost_per_slot(cycle);
}

/* The cost of the gang's room in the zone, or anywhere; INFINITY if it can't be had. */
static double zone_offer(const struct scheduling_cycle *cycle, const struct demand *demand,
			 const char *zone)
{
	uint32_t n = 0;
	double cost = 0;

	for (size_t i = 0; i < cycle->candidate_count && n < demand->tasks; i++) {
		const struct candidate *candidate = &cycle->candidates[i];

		if (zone && strcmp(zone, candidate->room->machine->zone))
			continue;
		n += candidate->slots;
		cost += candidate->cost;
	}
	return n >= demand->tasks ? cost : INFINITY;
}

static bool choose(struct scheduling_cycle *cycle, const struct demand *demand, struct choice *out)
{
	const struct job *job = demand->job;

	offers(cycle, demand);
	out->zone = NULL;
	out->cost = INFINITY;
	if (!job->spec.one_zone || demand->tasks == 1) {
		out->cost = zone_offer(cycle, demand, NULL);
		return isfinite(out->cost);
	}
	for (size_t p = 0; p < cycle->pool_count; p++) {
		double cost = cycle->pools[p].allowed
				  ? zone_offer(cycle, demand, cycle->pools[p].zone)
				  : INFINITY;

		if (cost < out->cost) {
			out->cost = cost;
			out->zone = cycle->pools[p].zone;
		}
	}
	return isfinite(out->cost);
}

/* --- carrying it out --- */

static struct binding *cheapest(const struct demand *demand, struct machine *machine)
{
	struct binding *binding, *best = NULL;

	DL_FOREACH2 (machine->bindings, binding, machine_next)
		if (!binding->stopping && frees(demand, binding) &&
		    (!best || stop_cost(demand->core, binding) < stop_cost(demand->core, best)))
			best = binding;
	return best;
}

static void stop_for(struct core *core, const struct demand *demand, struct machine *machine,
		     uint32_t want)
{
	struct room r = {machine->free_cpus, machine->free_gpus, machine->free_mem_gb};
	struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, machine_next)
		if (binding->stopping)
			room_grow(&r, binding);
	while (slots_of(&r, demand->job) < want && (binding = cheapest(demand, machine))) {
		log_info("task_preempted", "job=%s for=%s machine=%s", binding->job->spec.id,
			 demand->job->spec.id, machine->id);
		room_grow(&r, binding);
		binding_stop(core, binding, grace_of(binding));
	}
}

static void carry_out(struct scheduling_cycle *cycle, const struct demand *demand, struct job *job,
		      const struct choice *ch)
{
	uint32_t left = demand->tasks;

	for (size_t i = 0; i < cycle->candidate_count && left; i++) {
		struct candidate *candidate = &cycle->candidates[i];
		struct machine *machine = candidate->room->machine;
		uint32_t n = candidate->slots < left ? candidate->slots : left;

		if (ch->zone && strcmp(ch->zone, machine->zone))
			continue;
		machine->scheduling.reserved_for = job;
		machine->scheduling.reserved_tasks = n;
		left -= n;
		stop_for(cycle->core, demand, machine, n);
	}
}

static bool stop_lower(struct scheduling_cycle *cycle, struct job *job, struct demand *demand)
{
	struct choice ch;

	if (!choose(cycle, demand, &ch))
		return false;
	carry_out(cycle, demand, job, &ch);
	job->scheduling.reserved_until = cycle->core->now + PREEMPT_RESERVE_S;
	log_info("reservation_preempting", "job=%s tasks=%u zone=%s cost=%.0f waited=%.1f",
		 job->spec.id, demand->tasks, ch.zone ? ch.zone : "", ch.cost,
		 cycle->core->wall - job->submitted_at);
	return true;
}

/* --- holding room as it falls free --- */

/*
 * Held room is idle room: a share of the fleet may be held so, at least that of a few gangs, of
 * more when some have waited long.
 */
static bool may_gather(struct core *core, const struct job *next, double waited)
{
	bool late = waited >= RESERVE_LATE_S;
	uint32_t most = late ? RESERVE_MAX_GANGS_LATE : RESERVE_MAX_GANGS, n = 0;
	double held = next->spec.task_count * next->spec.cpus, all = 0;
	struct machine *machine, *mtmp;
	struct job *job, *tmp;

	JOBS_FOR_EACH (core, job, tmp) {
		n += job->scheduling.reserving;
		held += job->scheduling.reserving ? job->spec.task_count * job->spec.cpus : 0;
	}
	MACHINES_FOR_EACH (core, machine, mtmp)
		all += machine->type && machine_is_usable(core, machine) ? machine->type->cpus : 0;
	return n < most || held <= (late ? RESERVE_SHARE_LATE : RESERVE_SHARE) * all;
}

static bool may_hold(const struct scheduling_cycle *cycle, const struct machine_room *room,
		     const struct job *job, const char *zone)
{
	const struct pool *pool = &cycle->pools[room->pool];

	return pool->allowed && (!*zone || !strcmp(zone, pool->zone)) &&
	       (!room->machine->scheduling.reserved_for ||
		room->machine->scheduling.reserved_for == job);
}

/* The zone with most room for it, free or in use: there it falls free soonest. */
static const char *gather_zone(const struct scheduling_cycle *cycle, const struct job *job)
{
	const char *best = NULL;
	double most = 0;

	for (size_t p = 0; p < cycle->pool_count; p++) {
		const char *zone = cycle->pools[p].zone;
		double n = 0;

		for (size_t i = 0; i < cycle->room_count; i++) {
			const struct machine_room *room = &cycle->rooms[i];
			const struct machine_type *type = room->machine->type;

			if (!may_hold(cycle, room, job, zone))
				continue;
			n += room_slots(room->free.cpus, room->free.gpus, room->free.mem_gb,
					&job->spec) +
			     RESERVE_USED_SHARE *
				 room_slots(type->cpus, type->gpus, type->mem_gb, &job->spec);
		}
		if (n > most) {
			most = n;
			best = zone;
		}
	}
	return best;
}

/* Holds what is free now, anew in each cycle: what was lost or is not needed goes back. */
static void gather(struct scheduling_cycle *cycle, struct job *job)
{
	uint32_t left = job->spec.task_count;

	cycle_mark_allowed(cycle, &job->spec);
	for (size_t i = 0; i < cycle->room_count; i++) {
		struct machine_room *room = &cycle->rooms[i];
		uint32_t n;

		if (!may_hold(cycle, room, job, job->scheduling.reserved_zone))
			continue;
		n = room_slots(room->free.cpus, room->free.gpus, room->free.mem_gb, &job->spec);
		room->machine->scheduling.reserved_tasks = n < left ? n : left;
		room->machine->scheduling.reserved_for =
		    room->machine->scheduling.reserved_tasks ? job : NULL;
		left -= room->machine->scheduling.reserved_tasks;
	}
	job->scheduling.reserved_until = cycle->core->now + RESERVE_EXTEND_S;
}

static void gather_begin(struct scheduling_cycle *cycle, struct job *job)
{
	const char *zone;

	cycle_mark_allowed(cycle, &job->spec);
	zone = gather_zone(cycle, job);
	if (!zone)
		return;
	if (job->spec.one_zone)
		snprintf(job->scheduling.reserved_zone, sizeof(job->scheduling.reserved_zone), "%s",
			 zone);
	job->scheduling.reserving = true;
	gather(cycle, job);
	log_info("reservation_started", "job=%s tasks=%u zone=%s waited=%.1f", job->spec.id,
		 job->spec.task_count, job->scheduling.reserved_zone,
		 cycle->core->wall - job->submitted_at);
}

/* Seconds of waiting before lower work is stopped: room may fall free while the aim is not at risk.
 */
static double patience(const struct core *core, const struct job *job)
{
	double within = 0;

	for (size_t i = 0; i < core->conf->nobjectives; i++) {
		const struct conf_objective *objective = &core->conf->objectives[i];

		if (objective->kind == OBJECTIVE_WAIT &&
		    !strcmp(objective->class_name, job->spec.class_name) &&
		    (within <= 0 || objective->within_s < within))
			within = objective->within_s;
	}
	return fmax(PREEMPT_AFTER_S, PREEMPT_SHARE * within);
}

/*
 * Seconds of waiting before room is held as it falls free. Held room idles, and a large gang's
 * would serve several small ones: one whose next aim is far can wait for it.
 */
static double gather_after(const struct core *core, const struct job *job)
{
	return fmin(LATE_FIRST_S,
		    fmax(RESERVE_AFTER_S, wait_objective_s(core, job) - RESERVE_LEAD_S));
}

/* Tasks of a gang keep their places, and a scattered one's zones are not weighed against each
 * other. */
static bool plan_possible(const struct job *job)
{
	return job->spec.kind == JOB_SERVICE || (!job->bindings && !job->spec.spread);
}

/* Called in a cycle for each gang, service, and array that holds nothing, that found no room. */
bool preemption_make_room(struct scheduling_cycle *cycle, struct job *job)
{
	struct core *core = cycle->core;
	double waited = core->now - job->scheduling.waiting_since;
	struct demand demand = {core, job, false, plan_tasks(job)};

	if (job->scheduling.reserving) {
		gather(cycle, job);
		return true;
	}
	if (job->scheduling.reserved_until && core->now > job->scheduling.reserved_until)
		reservation_release(core, job);
	/* There may be room that was not looked at. */
	if (cycle->budget_exhausted && job->spec.kind != JOB_GANG)
		return false;
	if (!plan_possible(job) || job->scheduling.reserved_until || waited < patience(core, job) ||
	    core->now < job->scheduling.next_preemption_at)
		return false;
	job->scheduling.next_preemption_at = core->now + PREEMPT_RETRY_S;
	demand.own_team_only = !team_has_room(core, &job->spec, demand.tasks);
	if (stop_lower(cycle, job, &demand))
		return true;
	if (job->spec.kind == JOB_SERVICE) {
		/* Room for one replica is worth more than none for all. */
		demand.tasks = 1;
		return stop_lower(cycle, job, &demand);
	}
	waited = core->wall - job->submitted_at;
	if (demand.own_team_only || job->spec.kind == JOB_ARRAY ||
	    waited < gather_after(core, job) || !may_gather(core, job, waited))
		return false;
	gather_begin(cycle, job);
	return true;
}
