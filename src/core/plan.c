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

void plan_release(struct core *c, struct job *j)
{
	struct machine *m, *tmp;

	if (!j->hold_until)
		return;
	j->hold_until = 0;
	j->gathering = false;
	j->hold_zone[0] = 0;
	HASH_ITER (hh, c->machines, m, tmp) {
		if (m->hold_job != j)
			continue;
		m->hold_job = NULL;
		m->hold_tasks = 0;
	}
}

/* Tasks that room is made for: all of a gang, the first of an array that holds none, and of a
 * service those that do not run. */
static uint32_t plan_tasks(const struct job *j)
{
	if (j->spec.kind == JOB_SERVICE)
		return job_waiting(j);
	return j->spec.kind == JOB_ARRAY ? 1 : j->spec.ntasks;
}

/* --- what may be stopped --- */

/* Without a task of this kind, the team would still hold all it is guaranteed of CPUs or GPUs. */
static bool beyond_guarantee(const struct team *t, const struct job_spec *s)
{
	return t->cpus - s->cpus >= t->conf->cpus ||
	       (s->gpus > 0 && t->conf->gpus > 0 && t->gpus - s->gpus >= t->conf->gpus);
}

/* What the team holds beyond its guarantee was borrowed, and is returned to a team within its own.
 */
static bool borrowed(const struct core *c, const struct binding *b, const struct job *j)
{
	const struct team *t = team_find((struct core *)c, b->job->spec.team);
	const struct team *own = team_find((struct core *)c, j->spec.team);
	double n = plan_tasks(j);

	if (!t || !own || t == own || own->conf->cpus <= 0 || t->conf->cpus <= 0)
		return false;
	return own->cpus + n * j->spec.cpus <= own->conf->cpus &&
	       (j->spec.gpus <= 0 || own->gpus + n * j->spec.gpus <= own->conf->gpus) &&
	       beyond_guarantee(t, &b->job->spec);
}

/*
 * A task that would still be done by its job's deadline, but not if it began again: stopping it
 * trades one missed aim for another. Past the deadline there is nothing more to protect.
 */
static bool needs_its_time(const struct core *c, const struct binding *b)
{
	const struct job_spec *s = &b->job->spec;
	double left = b->job->submitted + s->deadline_s - c->wall;
	double again = s->estimate_s * AGAIN_FACTOR + AGAIN_START_S;

	return s->deadline_s >= 0 && left > 0 && left < again;
}

static bool may_stop(const struct core *c, const struct job *j, const struct binding *b)
{
	if (b->job->spec.kind != JOB_ARRAY || b->job->orphan || needs_its_time(c, b))
		return false;
	if (j->spec.kind == JOB_SERVICE && b->job->spec.priority > j->spec.priority)
		return true;
	/* A gang that has missed all aims for its wait gathers room instead. */
	if (wait_aim(c, j) <= 0 && b->job->nbound <= array_need(c, b->job) && !borrowed(c, b, j))
		return false;
	return b->job->spec.priority > j->spec.priority || borrowed(c, b, j);
}

/* Work lost or delayed by stopping: what ran longest since placement is nearest its end. */
static double stop_cost(const struct core *c, const struct binding *b)
{
	return 1 + (b->running_since > 0 ? c->now - b->running_since : 0);
}

static double grace_of(const struct binding *b)
{
	/* Saving needs the full time; a margin for the way there. */
	return b->job->spec.checkpoint_s > 0 ? b->job->spec.save_s + 1 : 0;
}

struct room {
	double cpus, gpus, mem_gb;
};

static void room_grow(struct room *r, const struct binding *b)
{
	r->cpus += b->job->spec.cpus;
	r->gpus += b->job->spec.gpus;
	r->mem_gb += b->job->spec.mem_gb;
}

static uint32_t slots_of(const struct room *r, const struct job *j)
{
	return room_slots(r->cpus, r->gpus, r->mem_gb, &j->spec);
}

/* At its limit, a team makes room among its own tasks only. */
struct demand {
	const struct core *c;
	const struct job *j;
	bool own;
	uint32_t tasks;
};

static bool frees(const struct demand *d, const struct binding *b)
{
	if (b->stopping)
		return true;
	return may_stop(d->c, d->j, b) && (!d->own || !strcmp(b->job->spec.team, d->j->spec.team));
}

/* The slots that the machine would have, and what they cost. */
static uint32_t machine_offer(const struct demand *d, const struct machine *m, double *cost)
{
	struct room r = {m->cpus, m->gpus, m->mem_gb};
	uint32_t now = slots_of(&r, d->j), all;
	const struct binding *b;

	*cost = 0;
	DL_FOREACH2 (m->bindings, b, mnext) {
		if (!frees(d, b))
			continue;
		room_grow(&r, b);
		*cost += b->stopping ? 0 : stop_cost(d->c, b);
	}
	all = slots_of(&r, d->j);
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
static bool zone_open(const struct job *j, const char *zone)
{
	const char *held = job_held_zone(j);

	return (!held || !strcmp(held, zone)) && job_zone_rest(j, zone) > 0;
}

static void offers(struct round *r, const struct demand *d)
{
	round_allow(r, &d->j->spec);
	r->ncands = 0;
	for (size_t i = 0; i < r->nrooms; i++) {
		struct spot_room *x = &r->rooms[i];
		struct candidate *k = &r->cands[r->ncands];

		if (!r->pools[x->pool].allowed || (x->m->hold_job && x->m->hold_job != d->j) ||
		    !zone_open(d->j, x->m->zone))
			continue;
		k->room = x;
		k->slots = machine_offer(d, x->m, &k->cost);
		r->ncands += k->slots > 0;
	}
	qsort(r->cands, r->ncands, sizeof(*r->cands), by_cost_per_slot);
}

/* The cost of the gang's room in the zone, or anywhere; INFINITY if it can't be had. */
static double zone_offer(const struct round *r, const struct demand *d, const char *zone)
{
	uint32_t n = 0;
	double cost = 0;

	for (size_t i = 0; i < r->ncands && n < d->tasks; i++) {
		const struct candidate *k = &r->cands[i];

		if (zone && strcmp(zone, k->room->m->zone))
			continue;
		n += k->slots;
		cost += k->cost;
	}
	return n >= d->tasks ? cost : INFINITY;
}

static bool choose(struct round *r, const struct demand *d, struct choice *out)
{
	const struct job *j = d->j;

	offers(r, d);
	out->zone = NULL;
	out->cost = INFINITY;
	if (!j->spec.one_zone || d->tasks == 1) {
		out->cost = zone_offer(r, d, NULL);
		return isfinite(out->cost);
	}
	for (size_t p = 0; p < r->npools; p++) {
		double cost = r->pools[p].allowed ? zone_offer(r, d, r->pools[p].zone) : INFINITY;

		if (cost < out->cost) {
			out->cost = cost;
			out->zone = r->pools[p].zone;
		}
	}
	return isfinite(out->cost);
}

/* --- carrying it out --- */

static struct binding *cheapest(const struct demand *d, struct machine *m)
{
	struct binding *b, *best = NULL;

	DL_FOREACH2 (m->bindings, b, mnext)
		if (!b->stopping && frees(d, b) &&
		    (!best || stop_cost(d->c, b) < stop_cost(d->c, best)))
			best = b;
	return best;
}

static void stop_for(struct core *c, const struct demand *d, struct machine *m, uint32_t want)
{
	struct room r = {m->cpus, m->gpus, m->mem_gb};
	struct binding *b;

	DL_FOREACH2 (m->bindings, b, mnext)
		if (b->stopping)
			room_grow(&r, b);
	while (slots_of(&r, d->j) < want && (b = cheapest(d, m))) {
		log_info("preempt", "job=%s for=%s machine=%s", b->job->spec.id, d->j->spec.id,
			 m->id);
		room_grow(&r, b);
		binding_stop(c, b, grace_of(b));
	}
}

static void carry_out(struct round *r, const struct demand *d, struct job *j,
		      const struct choice *ch)
{
	uint32_t left = d->tasks;

	for (size_t i = 0; i < r->ncands && left; i++) {
		struct candidate *k = &r->cands[i];
		struct machine *m = k->room->m;
		uint32_t n = k->slots < left ? k->slots : left;

		if (ch->zone && strcmp(ch->zone, m->zone))
			continue;
		m->hold_job = j;
		m->hold_tasks = n;
		left -= n;
		stop_for(r->c, d, m, n);
	}
}

static bool stop_lower(struct round *r, struct job *j, struct demand *d)
{
	struct choice ch;

	if (!choose(r, d, &ch))
		return false;
	carry_out(r, d, j, &ch);
	j->hold_until = r->c->now + PREEMPT_HOLD_S;
	log_info("hold", "job=%s tasks=%u zone=%s cost=%.0f waited=%.1f", j->spec.id, d->tasks,
		 ch.zone ? ch.zone : "", ch.cost, r->c->wall - j->submitted);
	return true;
}

/* --- holding room as it falls free --- */

/*
 * Held room is idle room: a share of the fleet may be held so, at least that of a few gangs, of
 * more when some have waited long.
 */
static bool may_gather(struct core *c, const struct job *next, double waited)
{
	bool late = waited >= GATHER_LATE_S;
	uint32_t most = late ? GATHER_MOST_LATE : GATHER_MOST, n = 0;
	double held = next->spec.ntasks * next->spec.cpus, all = 0;
	struct machine *m, *mtmp;
	struct job *j, *tmp;

	HASH_ITER (hh, c->jobs, j, tmp) {
		n += j->gathering;
		held += j->gathering ? j->spec.ntasks * j->spec.cpus : 0;
	}
	HASH_ITER (hh, c->machines, m, mtmp)
		all += m->type && machine_usable(c, m) ? m->type->cpus : 0;
	return n < most || held <= (late ? GATHER_SHARE_LATE : GATHER_SHARE) * all;
}

static bool may_hold(const struct round *r, const struct spot_room *x, const struct job *j,
		     const char *zone)
{
	const struct pool *p = &r->pools[x->pool];

	return p->allowed && (!*zone || !strcmp(zone, p->zone)) &&
	       (!x->m->hold_job || x->m->hold_job == j);
}

/* The zone with most room for it, free or in use: there it falls free soonest. */
static const char *gather_zone(const struct round *r, const struct job *j)
{
	const char *best = NULL;
	double most = 0;

	for (size_t p = 0; p < r->npools; p++) {
		const char *zone = r->pools[p].zone;
		double n = 0;

		for (size_t i = 0; i < r->nrooms; i++) {
			const struct spot_room *x = &r->rooms[i];
			const struct machine_type *t = x->m->type;

			if (!may_hold(r, x, j, zone))
				continue;
			n += room_slots(x->cpus, x->gpus, x->mem_gb, &j->spec) +
			     GATHER_USED_SHARE * room_slots(t->cpus, t->gpus, t->mem_gb, &j->spec);
		}
		if (n > most) {
			most = n;
			best = zone;
		}
	}
	return best;
}

/* Holds what is free now, anew in each round: what was lost or is not needed goes back. */
static void gather(struct round *r, struct job *j)
{
	uint32_t left = j->spec.ntasks;

	round_allow(r, &j->spec);
	for (size_t i = 0; i < r->nrooms; i++) {
		struct spot_room *x = &r->rooms[i];
		uint32_t n;

		if (!may_hold(r, x, j, j->hold_zone))
			continue;
		n = room_slots(x->cpus, x->gpus, x->mem_gb, &j->spec);
		x->m->hold_tasks = n < left ? n : left;
		x->m->hold_job = x->m->hold_tasks ? j : NULL;
		left -= x->m->hold_tasks;
	}
	j->hold_until = r->c->now + GATHER_HOLD_S;
}

static void gather_begin(struct round *r, struct job *j)
{
	const char *zone;

	round_allow(r, &j->spec);
	zone = gather_zone(r, j);
	if (!zone)
		return;
	if (j->spec.one_zone)
		snprintf(j->hold_zone, sizeof(j->hold_zone), "%s", zone);
	j->gathering = true;
	gather(r, j);
	log_info("gather", "job=%s tasks=%u zone=%s waited=%.1f", j->spec.id, j->spec.ntasks,
		 j->hold_zone, r->c->wall - j->submitted);
}

/* Seconds of waiting before lower work is stopped: room may fall free while the aim is not at risk.
 */
static double patience(const struct core *c, const struct job *j)
{
	double within = 0;

	for (size_t i = 0; i < c->conf->nobjectives; i++) {
		const struct conf_objective *o = &c->conf->objectives[i];

		if (o->kind == OBJ_WAIT && !strcmp(o->class_name, j->spec.class_name) &&
		    (within <= 0 || o->within_s < within))
			within = o->within_s;
	}
	return fmax(PREEMPT_AFTER_S, PREEMPT_SHARE * within);
}

/*
 * Seconds of waiting before room is held as it falls free. Held room idles, and a large gang's
 * would serve several small ones: one whose next aim is far can wait for it.
 */
static double gather_after(const struct core *c, const struct job *j)
{
	return fmin(LATE_FIRST_S, fmax(GATHER_AFTER_S, wait_aim(c, j) - GATHER_LEAD_S));
}

/* Tasks of a gang keep their places, and a scattered one's zones are not weighed against each
 * other. */
static bool plan_possible(const struct job *j)
{
	return j->spec.kind == JOB_SERVICE || (!j->bindings && !j->spec.spread);
}

/* Called in a round for each gang, service, and array that holds nothing, that found no room. */
bool plan_room(struct round *r, struct job *j)
{
	struct core *c = r->c;
	double waited = c->now - j->waiting_since;
	struct demand d = {c, j, false, plan_tasks(j)};

	if (j->gathering) {
		gather(r, j);
		return true;
	}
	if (j->hold_until && c->now > j->hold_until)
		plan_release(c, j);
	if (!plan_possible(j) || j->hold_until || waited < patience(c, j) || c->now < j->next_plan)
		return false;
	j->next_plan = c->now + PLAN_AGAIN_S;
	d.own = !team_has_room(c, &j->spec, d.tasks);
	if (stop_lower(r, j, &d))
		return true;
	if (j->spec.kind == JOB_SERVICE) {
		/* Room for one replica is worth more than none for all. */
		d.tasks = 1;
		return stop_lower(r, j, &d);
	}
	waited = c->wall - j->submitted;
	if (d.own || j->spec.kind == JOB_ARRAY || waited < gather_after(c, j) ||
	    !may_gather(c, j, waited))
		return false;
	gather_begin(r, j);
	return true;
}
