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

#include "core/round.h"
#include "util/log.h"

void plan_release(struct core *core, struct job *job)
{
	struct machine *machine, *tmp;

	if (!job->hold_until)
		return;
	job->hold_until = 0;
	job->gathering = false;
	job->hold_zone[0] = 0;
	HASH_ITER (hh, core->fleet.machines, machine, tmp) {
		if (machine->hold_job != job)
			continue;
		machine->hold_job = NULL;
		machine->hold_tasks = 0;
	}
}

/* Tasks that room is made for: all of a gang, the first of an array that holds none, and of a
 * service those that do not run. */
static uint32_t plan_tasks(const struct job *job)
{
	if (job->spec.kind == JOB_SERVICE)
		return job_waiting(job);
	return job->spec.kind == JOB_ARRAY ? 1 : job->spec.ntasks;
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
	double left = binding->job->submitted + spec->deadline_s - core->wall;
	double again = spec->estimate_s * AGAIN_FACTOR + AGAIN_START_S;

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
	if (wait_aim(core, job) <= 0 && binding->job->nbound <= array_need(core, binding->job) &&
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
	const struct core *c;
	const struct job *j;
	bool own;
	uint32_t tasks;
};

static bool frees(const struct demand *demand, const struct binding *binding)
{
	if (binding->stopping)
		return true;
	return may_stop(demand->c, demand->j, binding) &&
	       (!demand->own || !strcmp(binding->job->spec.team, demand->j->spec.team));
}

/* The slots that the machine would have, and what they cost. */
static uint32_t machine_offer(const struct demand *demand, const struct machine *machine,
			      double *cost)
{
	struct room r = {machine->cpus, machine->gpus, machine->mem_gb};
	uint32_t now = slots_of(&r, demand->j), all;
	const struct binding *binding;

	*cost = 0;
	DL_FOREACH2 (machine->bindings, binding, mnext) {
		if (!frees(demand, binding))
			continue;
		room_grow(&r, binding);
		*cost += binding->stopping ? 0 : stop_cost(demand->c, binding);
	}
	all = slots_of(&r, demand->j);
	if (all > now)
		return all;
	*cost = 0;
	return now;
}

/* --- choosing machines --- */

/* The round's candidates, cheapest first, and where among them room is made. */
struct choice {
	const char *zone; /* NULL: anywhere */
	double cost;	  /* of all that are needed */
};

static int by_cost_per_slot(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;
	double cx = x->cost / x->slots, cy = y->cost / y->slots;

	return cx < cy ? -1 : cx > cy;
}

/* Where the job's other tasks leave room for one more by its rules. */
static bool zone_open(const struct job *job, const char *zone)
{
	const char *held = job_held_zone(job);

	return (!held || !strcmp(held, zone)) && job_zone_rest(job, zone) > 0;
}

static void offers(struct round *round, const struct demand *demand)
{
	round_allow(round, &demand->j->spec);
	round->ncands = 0;
	for (size_t i = 0; i < round->nrooms; i++) {
		struct spot_room *room = &round->rooms[i];
		struct candidate *candidate = &round->cands[round->ncands];

		if (!round->pools[room->pool].allowed ||
		    (room->machine->hold_job && room->machine->hold_job != demand->j) ||
		    !zone_open(demand->j, room->machine->zone))
			continue;
		candidate->room = room;
		candidate->slots = machine_offer(demand, room->machine, &candidate->cost);
		round->ncands += candidate->slots > 0;
	}
	qsort(round->cands, round->ncands, sizeof(*round->cands), by_cost_per_slot);
}

/* The cost of the gang's room in the zone, or anywhere; INFINITY if it can't be had. */
static double zone_offer(const struct round *round, const struct demand *demand, const char *zone)
{
	uint32_t n = 0;
	double cost = 0;

	for (size_t i = 0; i < round->ncands && n < demand->tasks; i++) {
		const struct candidate *candidate = &round->cands[i];

		if (zone && strcmp(zone, candidate->room->machine->zone))
			continue;
		n += candidate->slots;
		cost += candidate->cost;
	}
	return n >= demand->tasks ? cost : INFINITY;
}

static bool choose(struct round *round, const struct demand *demand, struct choice *out)
{
	const struct job *job = demand->j;

	offers(round, demand);
	out->zone = NULL;
	out->cost = INFINITY;
	if (!job->spec.one_zone || demand->tasks == 1) {
		out->cost = zone_offer(round, demand, NULL);
		return isfinite(out->cost);
	}
	for (size_t p = 0; p < round->npools; p++) {
		double cost = round->pools[p].allowed
				  ? zone_offer(round, demand, round->pools[p].zone)
				  : INFINITY;

		if (cost < out->cost) {
			out->cost = cost;
			out->zone = round->pools[p].zone;
		}
	}
	return isfinite(out->cost);
}

/* --- carrying it out --- */

static struct binding *cheapest(const struct demand *demand, struct machine *machine)
{
	struct binding *binding, *best = NULL;

	DL_FOREACH2 (machine->bindings, binding, mnext)
		if (!binding->stopping && frees(demand, binding) &&
		    (!best || stop_cost(demand->c, binding) < stop_cost(demand->c, best)))
			best = binding;
	return best;
}

static void stop_for(struct core *core, const struct demand *demand, struct machine *machine,
		     uint32_t want)
{
	struct room r = {machine->cpus, machine->gpus, machine->mem_gb};
	struct binding *binding;

	DL_FOREACH2 (machine->bindings, binding, mnext)
		if (binding->stopping)
			room_grow(&r, binding);
	while (slots_of(&r, demand->j) < want && (binding = cheapest(demand, machine))) {
		log_info("preempt", "job=%s for=%s machine=%s", binding->job->spec.id,
			 demand->j->spec.id, machine->id);
		room_grow(&r, binding);
		binding_stop(core, binding, grace_of(binding));
	}
}

static void carry_out(struct round *round, const struct demand *demand, struct job *job,
		      const struct choice *ch)
{
	uint32_t left = demand->tasks;

	for (size_t i = 0; i < round->ncands && left; i++) {
		struct candidate *candidate = &round->cands[i];
		struct machine *machine = candidate->room->machine;
		uint32_t n = candidate->slots < left ? candidate->slots : left;

		if (ch->zone && strcmp(ch->zone, machine->zone))
			continue;
		machine->hold_job = job;
		machine->hold_tasks = n;
		left -= n;
		stop_for(round->core, demand, machine, n);
	}
}

static bool stop_lower(struct round *round, struct job *job, struct demand *demand)
{
	struct choice ch;

	if (!choose(round, demand, &ch))
		return false;
	carry_out(round, demand, job, &ch);
	job->hold_until = round->core->now + PREEMPT_HOLD_S;
	log_info("hold", "job=%s tasks=%u zone=%s cost=%.0f waited=%.1f", job->spec.id,
		 demand->tasks, ch.zone ? ch.zone : "", ch.cost,
		 round->core->wall - job->submitted);
	return true;
}

/* --- holding room as it falls free --- */

/*
 * Held room is idle room: a share of the fleet may be held so, at least that of a few gangs, of
 * more when some have waited long.
 */
static bool may_gather(struct core *core, const struct job *next, double waited)
{
	bool late = waited >= GATHER_LATE_S;
	uint32_t most = late ? GATHER_MOST_LATE : GATHER_MOST, n = 0;
	double held = next->spec.ntasks * next->spec.cpus, all = 0;
	struct machine *machine, *mtmp;
	struct job *job, *tmp;

	HASH_ITER (hh, core->jobs, job, tmp) {
		n += job->gathering;
		held += job->gathering ? job->spec.ntasks * job->spec.cpus : 0;
	}
	HASH_ITER (hh, core->fleet.machines, machine, mtmp)
		all += machine->type && machine_usable(core, machine) ? machine->type->cpus : 0;
	return n < most || held <= (late ? GATHER_SHARE_LATE : GATHER_SHARE) * all;
}

static bool may_hold(const struct round *round, const struct spot_room *room, const struct job *job,
		     const char *zone)
{
	const struct pool *pool = &round->pools[room->pool];

	return pool->allowed && (!*zone || !strcmp(zone, pool->zone)) &&
	       (!room->machine->hold_job || room->machine->hold_job == job);
}

/* The zone with most room for it, free or in use: there it falls free soonest. */
static const char *gather_zone(const struct round *round, const struct job *job)
{
	const char *best = NULL;
	double most = 0;

	for (size_t p = 0; p < round->npools; p++) {
		const char *zone = round->pools[p].zone;
		double n = 0;

		for (size_t i = 0; i < round->nrooms; i++) {
			const struct spot_room *room = &round->rooms[i];
			const struct machine_type *type = room->machine->type;

			if (!may_hold(round, room, job, zone))
				continue;
			n += room_slots(room->cpus, room->gpus, room->mem_gb, &job->spec) +
			     GATHER_USED_SHARE *
				 room_slots(type->cpus, type->gpus, type->mem_gb, &job->spec);
		}
		if (n > most) {
			most = n;
			best = zone;
		}
	}
	return best;
}

/* Holds what is free now, anew in each round: what was lost or is not needed goes back. */
static void gather(struct round *round, struct job *job)
{
	uint32_t left = job->spec.ntasks;

	round_allow(round, &job->spec);
	for (size_t i = 0; i < round->nrooms; i++) {
		struct spot_room *room = &round->rooms[i];
		uint32_t n;

		if (!may_hold(round, room, job, job->hold_zone))
			continue;
		n = room_slots(room->cpus, room->gpus, room->mem_gb, &job->spec);
		room->machine->hold_tasks = n < left ? n : left;
		room->machine->hold_job = room->machine->hold_tasks ? job : NULL;
		left -= room->machine->hold_tasks;
	}
	job->hold_until = round->core->now + GATHER_HOLD_S;
}

static void gather_begin(struct round *round, struct job *job)
{
	const char *zone;

	round_allow(round, &job->spec);
	zone = gather_zone(round, job);
	if (!zone)
		return;
	if (job->spec.one_zone)
		snprintf(job->hold_zone, sizeof(job->hold_zone), "%s", zone);
	job->gathering = true;
	gather(round, job);
	log_info("gather", "job=%s tasks=%u zone=%s waited=%.1f", job->spec.id, job->spec.ntasks,
		 job->hold_zone, round->core->wall - job->submitted);
}

/* Seconds of waiting before lower work is stopped: room may fall free while the aim is not at risk.
 */
static double patience(const struct core *core, const struct job *job)
{
	double within = 0;

	for (size_t i = 0; i < core->conf->nobjectives; i++) {
		const struct conf_objective *objective = &core->conf->objectives[i];

		if (objective->kind == OBJ_WAIT &&
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
	return fmin(LATE_FIRST_S, fmax(GATHER_AFTER_S, wait_aim(core, job) - GATHER_LEAD_S));
}

/* Tasks of a gang keep their places, and a scattered one's zones are not weighed against each
 * other. */
static bool plan_possible(const struct job *job)
{
	return job->spec.kind == JOB_SERVICE || (!job->bindings && !job->spec.spread);
}

/* Called in a round for each gang, service, and array that holds nothing, that found no room. */
bool plan_room(struct round *round, struct job *job)
{
	struct core *core = round->core;
	double waited = core->now - job->waiting_since;
	struct demand demand = {core, job, false, plan_tasks(job)};

	if (job->gathering) {
		gather(round, job);
		return true;
	}
	if (job->hold_until && core->now > job->hold_until)
		plan_release(core, job);
	/* There may be room that was not looked at. */
	if (round->cut && job->spec.kind != JOB_GANG)
		return false;
	if (!plan_possible(job) || job->hold_until || waited < patience(core, job) ||
	    core->now < job->next_plan)
		return false;
	job->next_plan = core->now + PLAN_AGAIN_S;
	demand.own = !team_has_room(core, &job->spec, demand.tasks);
	if (stop_lower(round, job, &demand))
		return true;
	if (job->spec.kind == JOB_SERVICE) {
		/* Room for one replica is worth more than none for all. */
		demand.tasks = 1;
		return stop_lower(round, job, &demand);
	}
	waited = core->wall - job->submitted;
	if (demand.own || job->spec.kind == JOB_ARRAY || waited < gather_after(core, job) ||
	    !may_gather(core, job, waited))
		return false;
	gather_begin(round, job);
	return true;
}
