/*
 * Rounds of decisions: gangs first-fit, all or nothing; arrays level by level, so that the one
 * that holds least is served first. A round comes soon after an event, later the more jobs wait.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/round.h"
#include "core/state.h"
#include "util/log.h"

void round_wanted(struct core *c)
{
	if (c->round_due)
		return;
	c->round_due = true;
	c->next_round = c->now + ROUND_MIN_S + ROUND_JOB_S * HASH_COUNT(c->jobs);
}

static bool job_bad_on(const struct job *j, const struct machine *m)
{
	for (int i = 0; i < j->nbad && i < ERROR_JOB_MACHINES; i++)
		if (!strcmp(j->bad[i], m->id))
			return true;
	return false;
}

double place_cost(const struct machine *m, const struct job *j)
{
	const struct job_spec *s = &j->spec;
	double cost = 0;

	if (!machine_has_image(m, s->image) && m->type->fetch_gb_per_s > 0)
		cost += s->image_gb / m->type->fetch_gb_per_s;
	if (m->type->cpus > 0)
		cost += FIT_WEIGHT_S * (m->cpus - s->cpus) / m->type->cpus;
	if (!m->nbindings)
		cost += FIT_WEIGHT_S;
	if (job_bad_on(j, m))
		cost += ERROR_BACKOFF_MAX_S;
	return cost;
}

/* --- room --- */

static uint32_t slots_for(const struct spot_room *x, const struct job *j)
{
	const struct job *h = x->m->hold_job;
	const struct job_spec *s = &j->spec;
	double n = x->m->hold_tasks;

	if (x->cpus + ROOM_SLACK < s->cpus || x->gpus + ROOM_SLACK < s->gpus ||
	    x->mem_gb + ROOM_SLACK < s->mem_gb)
		return 0;
	if (!h || h == j)
		return room_slots(x->cpus, x->gpus, x->mem_gb, s);
	return room_slots(x->cpus - n * h->spec.cpus, x->gpus - n * h->spec.gpus,
			  x->mem_gb - n * h->spec.mem_gb, s);
}

/* A job with room held, or with tasks somewhere, sees other room than its shape alone tells. */
static bool shape_known(const struct job *j)
{
	return !j->hold_until && !j->bindings;
}

static bool no_room_for(const struct round *r, const struct job *j, uint32_t tasks)
{
	for (size_t i = 0; i < r->nno; i++)
		if (tasks >= r->no[i].tasks && same_shape(r->no[i].spec, &j->spec))
			return shape_known(j);
	return false;
}

static void note_no_room(struct round *r, const struct job *j, uint32_t tasks)
{
	if (r->nno == ROUND_NO_MAX || !shape_known(j))
		return;
	r->no[r->nno].spec = &j->spec;
	r->no[r->nno++].tasks = tasks;
}

/* Called right after the pools that the gang may use were marked. */
static void note_wanted(struct round *r, const struct job *j)
{
	for (size_t i = 0; i < r->nwanted; i++)
		if (same_shape(r->wanted[i], &j->spec))
			return;
	if (r->nwanted == ROUND_WANTED_MAX)
		return;
	for (size_t i = 0; i < r->npools; i++)
		r->pools[i].wanted |= (uint8_t)(r->pools[i].allowed << r->nwanted);
	r->wanted[r->nwanted++] = &j->spec;
}

/* Whether a task here would take room that a waiting gang of higher priority could use. */
static bool takes_wanted(const struct round *r, const struct spot_room *x, const struct job_spec *s)
{
	for (size_t i = 0; i < r->nwanted; i++) {
		const struct job_spec *w = r->wanted[i];

		if (w->priority < s->priority && (r->pools[x->pool].wanted >> i & 1) &&
		    room_slots(x->cpus - s->cpus, x->gpus - s->gpus, x->mem_gb - s->mem_gb, w) <
			room_slots(x->cpus, x->gpus, x->mem_gb, w))
			return true;
	}
	return false;
}

static uint32_t in_zone(const struct job *j, const char *zone)
{
	const struct binding *b;
	uint32_t n = 0;

	DL_FOREACH2 (j->bindings, b, jnext)
		n += !strcmp(b->machine->zone, zone);
	return n;
}

/* How many more tasks of a spread job the zone may hold. */
uint32_t job_zone_rest(const struct job *j, const char *zone)
{
	uint32_t most = (j->spec.ntasks + 1) / 2, n;

	if (!j->spec.spread)
		return j->spec.ntasks;
	n = in_zone(j, zone);
	return n < most ? most - n : 0;
}

/* The zone that a job of one zone is bound to by tasks it still has anywhere. */
const char *job_held_zone(const struct job *j)
{
	return j->spec.one_zone && j->bindings ? j->bindings->machine->zone : NULL;
}

static uint64_t new_attempt(struct core *c)
{
	return (c->el.token << ATTEMPT_SHIFT) + ++c->attempts;
}

/*
 * Tasks of arrays and services tell starts apart by it, and none starts twice in a round: they
 * share the round's, so that a record names it once.
 */
static uint64_t round_attempt(struct round *r)
{
	if (!r->attempt)
		r->attempt = new_attempt(r->c);
	return r->attempt;
}

static void place(struct round *r, struct job *j, struct machine *m, uint32_t task,
		  uint64_t attempt)
{
	struct core *c = r->c;

	if (j->spec.kind != JOB_SERVICE)
		plan_release(c, j); /* it has what room was held for */
	else if (m->hold_job == j && !--m->hold_tasks)
		m->hold_job = NULL;
	binding_add(c, m, j, task, attempt);
	round_take(r, m, &j->spec);
	log_info("place", "job=%s task=%u attempt=%llu machine=%s waited=%.2f", j->spec.id, task,
		 (unsigned long long)attempt, m->id, c->wall - j->submitted);
	commit_chunk(c, j, task, 0);
}

/* --- gangs --- */

static void find_candidates(struct round *r, struct job *j)
{
	round_allow(r, &j->spec);
	r->ncands = 0;
	for (size_t i = 0; i < r->nrooms; i++) {
		struct spot_room *x = &r->rooms[i];
		struct candidate *k;
		uint32_t slots;

		if (!r->pools[x->pool].allowed || !(slots = slots_for(x, j)))
			continue;
		k = &r->cands[r->ncands++];
		k->room = x;
		k->slots = slots;
		k->cost = INFINITY;
	}
}

static int by_cost(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	return x->cost < y->cost ? -1 : x->cost > y->cost;
}

/* Slots that a gang could use in the zone, or anywhere. */
static uint32_t zone_slots(const struct round *r, const struct job *j, const char *zone)
{
	uint32_t n = 0;

	for (size_t i = 0; i < r->ncands && n < j->spec.ntasks; i++)
		if (!zone || !strcmp(r->cands[i].room->m->zone, zone))
			n += r->cands[i].slots;
	return n;
}

static void cost_candidates(struct round *r, const struct job *j)
{
	for (size_t i = 0; i < r->ncands; i++) {
		struct spot_room *x = r->cands[i].room;

		if (!isfinite(r->cands[i].cost))
			r->cands[i].cost = r->pools[x->pool].pool_cost + place_cost(x->m, j);
	}
	qsort(r->cands, r->ncands, sizeof(*r->cands), by_cost);
}

static bool bind_gang(struct round *r, struct job *j, const char *zone)
{
	uint64_t attempt = new_attempt(r->c);
	uint32_t t = 0;

	for (size_t i = 0; i < r->ncands && t < j->spec.ntasks; i++) {
		struct machine *m = r->cands[i].room->m;

		if (zone && strcmp(m->zone, zone))
			continue;
		for (uint32_t k = 0; k < r->cands[i].slots && t < j->spec.ntasks; k++)
			if (job_zone_rest(j, m->zone))
				place(r, j, m, t++, attempt);
	}
	j->attempt = attempt;
	return true;
}

/* Whether a spread gang can be had at all: half of it in any one zone at most. */
static bool spread_fits(const struct round *r, const struct job *j)
{
	uint32_t n = 0;

	for (size_t p = 0; p < r->npools; p++) {
		const char *zone = r->pools[p].zone;
		bool again = false;

		for (size_t q = 0; q < p; q++)
			again |= !strcmp(r->pools[q].zone, zone);
		if (!again)
			n += (uint32_t)fmin(zone_slots(r, j, zone), job_zone_rest(j, zone));
	}
	return n >= j->spec.ntasks;
}

/* Of the zones that can take it, the one where its tasks would begin soonest. */
static const char *best_zone(const struct round *r, const struct job *j)
{
	const char *best = NULL;
	double best_cost = INFINITY;

	for (size_t p = 0; p < r->npools; p++) {
		const char *zone = r->pools[p].zone;
		double cost = 0;
		uint32_t n = 0;

		if (!r->pools[p].allowed || zone_slots(r, j, zone) < j->spec.ntasks)
			continue;
		for (size_t i = 0; i < r->ncands && n < j->spec.ntasks; i++) {
			if (strcmp(r->cands[i].room->m->zone, zone))
				continue;
			cost = fmax(cost, r->cands[i].cost);
			n += r->cands[i].slots;
		}
		if (cost < best_cost) {
			best_cost = cost;
			best = zone;
		}
	}
	return best;
}

static bool place_gang(struct round *r, struct job *j)
{
	bool together = j->spec.one_zone && j->spec.ntasks > 1;
	const char *zone = NULL;

	/* Tasks of an old attempt keep their places and zones until they exit. */
	if (j->bindings || !team_has_room(r->c, &j->spec, j->spec.ntasks))
		return false;
	if (no_room_for(r, j, j->spec.ntasks))
		return false;
	find_candidates(r, j);
	if (zone_slots(r, j, NULL) >= j->spec.ntasks && spread_fits(r, j)) {
		cost_candidates(r, j);
		if (!together || (zone = best_zone(r, j)))
			return bind_gang(r, j, zone);
	}
	note_no_room(r, j, j->spec.ntasks);
	note_wanted(r, j);
	return false;
}

/* --- arrays and services --- */

/*
 * Replicas of one service apart, so that one machine or zone takes one of them, and off machines
 * that may be taken back or that tasks failed on: seconds that it is worth to wait for an image
 * elsewhere.
 */
static double replica_cost(const struct job *j, const struct machine *m)
{
	const struct binding *b;
	double cost = 0;

	if (j->spec.kind != JOB_SERVICE)
		return 0;
	DL_FOREACH2 (j->bindings, b, jnext) {
		if (b->machine == m)
			cost += REPLICA_MACHINE_S;
		else if (!strcmp(b->machine->zone, m->zone))
			cost += REPLICA_ZONE_S;
	}
	return cost + (m->spot ? REPLICA_SPOT_S : 0) + m->nfailed_jobs * REPLICA_MACHINE_S;
}

/* `spare`: only room that no waiting gang could use. */
static struct machine *best_machine(struct round *r, struct job *j, bool spare)
{
	const char *held = job_held_zone(j);
	struct machine *best = NULL;
	double best_cost = INFINITY;

	round_allow(r, &j->spec);
	for (size_t i = 0; i < r->nrooms; i++) {
		struct spot_room *x = &r->rooms[i];
		const struct pool *p = &r->pools[x->pool];
		double cost = p->pool_cost;

		if (!p->allowed || cost >= best_cost || !slots_for(x, j) ||
		    (held && strcmp(held, p->zone)) || (spare && takes_wanted(r, x, &j->spec)))
			continue;
		cost += place_cost(x->m, j) + replica_cost(j, x->m);
		if (cost < best_cost && job_zone_rest(j, p->zone)) {
			best_cost = cost;
			best = x->m;
		}
	}
	return best;
}

/* The next waiting task whose record has room for one more binding. */
static uint32_t next_task(const struct core *c, struct job *j)
{
	uint32_t t = job_next_waiting(j);

	while (t < j->spec.ntasks &&
	       (job_bit(j->done, t) || job_bit(j->bound, t) || job_chunk_full(c, j, t)))
		t = job_chunk_full(c, j, t) ? (t / CHUNK_TASKS + 1) * CHUNK_TASKS : t + 1;
	return t;
}

static bool place_task(struct round *r, struct job *j, bool spare)
{
	struct machine *m;
	uint32_t task;

	if (!job_waiting(j) || !team_has_room(r->c, &j->spec, 1) || no_room_for(r, j, 1))
		return false;
	task = next_task(r->c, j);
	if (task >= j->spec.ntasks)
		return false;
	m = best_machine(r, j, spare);
	if (!m) {
		if (!spare)
			note_no_room(r, j, 1);
		return false;
	}
	place(r, j, m, task, round_attempt(r));
	return true;
}

/* Replicas are independent, and each that runs serves: they start one by one. */
static bool place_service(struct round *r, struct job *j)
{
	while (place_task(r, j, false))
		;
	if (!job_waiting(j))
		plan_release(r->c, j);
	return job_waiting(j) == 0;
}

/* --- the round --- */

/* Seconds within which a job's tasks should start, by the first aim that it can still meet; 0:
 * none. */
double wait_aim(const struct core *c, const struct job *j)
{
	double waited = c->wall - j->submitted, best = 0;

	for (size_t i = 0; i < c->conf->nobjectives; i++) {
		const struct conf_objective *o = &c->conf->objectives[i];

		if (o->kind == OBJ_WAIT && o->within_s > waited &&
		    !strcmp(o->class_name, j->spec.class_name) && (best <= 0 || o->within_s < best))
			best = o->within_s;
	}
	return best;
}

/*
 * The order within a priority. When not all can be served in time, first come would make all of
 * them late: gangs that can still meet an aim for their wait go before those that have missed it,
 * the tightest aim first. Among those, small before large: one large gang's room serves several.
 * Who has waited long goes before all; so does who gathers room, else others take what falls free
 * before it is held.
 */
static double due(const struct core *c, const struct job *j)
{
	double aim;

	if (j->spec.kind == JOB_ARRAY)
		return j->submitted + (j->spec.deadline_s >= 0 ? j->spec.deadline_s : 0);
	if (j->gathering || c->wall - j->submitted > LATE_FIRST_S)
		return -ORDER_FAR_S;
	aim = wait_aim(c, j);
	return aim > 0 ? aim : ORDER_FAR_S;
}

/* What a gang takes, for comparison with others alike; an array is served task by task. */
static double size_of(const struct job *j)
{
	return j->spec.kind == JOB_ARRAY || j->due < 0 ? 0 : j->spec.ntasks * j->spec.cpus;
}

static int by_order(const void *a, const void *b)
{
	const struct job *x = *(struct job *const *)a, *y = *(struct job *const *)b;

	if (x->spec.priority != y->spec.priority)
		return x->spec.priority < y->spec.priority ? -1 : 1;
	if (x->due != y->due)
		return x->due < y->due ? -1 : 1;
	if (size_of(x) != size_of(y))
		return size_of(x) < size_of(y) ? -1 : 1;
	if (x->submitted != y->submitted)
		return x->submitted < y->submitted ? -1 : 1;
	return strcmp(x->spec.id, y->spec.id);
}

/* The job whose freed slot, kept for it or switched to it, this is; NULL if it can't use it. */
static struct job *turn_of(struct round *r, struct machine *m)
{
	struct core *c = r->c;
	struct job *j = *m->turn ? job_find(c, m->turn) : NULL;
	struct spot_room *x = &r->rooms[m->round_at];
	const char *zone;

	m->turn[0] = 0;
	if (!j || c->now > m->turn_until || !job_waiting(j) || c->now < j->not_before ||
	    j->spec.kind != JOB_ARRAY || job_bad_on(j, m) || !team_has_room(c, &j->spec, 1))
		return NULL;
	round_allow(r, &j->spec);
	zone = job_held_zone(j);
	if (!r->pools[x->pool].allowed || !slots_for(x, j) || !job_zone_rest(j, m->zone) ||
	    (zone && strcmp(zone, m->zone)) || takes_wanted(r, x, &j->spec))
		return NULL;
	return j;
}

static void serve_turns(struct round *r)
{
	for (size_t i = 0; i < r->nrooms; i++) {
		struct machine *m = r->rooms[i].m;
		struct job *j = *m->turn ? turn_of(r, m) : NULL;
		uint32_t task = j ? next_task(r->c, j) : 0;

		if (j && task < j->spec.ntasks)
			place(r, j, m, task, round_attempt(r));
	}
}

struct need {
	struct job *job;
	double times; /* of its deadline, which it can still meet */
	uint32_t slots;
};

/* Slots that an array needs at once to be done by then, as far as the estimate tells; 0: too late.
 */
static uint32_t slots_needed(const struct core *c, const struct job *j, double times)
{
	double left = j->submitted + times * j->spec.deadline_s - c->wall - NEED_START_S;
	double run = fmax(j->spec.estimate_s, 1);
	uint32_t rest = j->spec.ntasks - j->ndone;

	return left < run ? 0 : (uint32_t)ceil(rest / floor(left / run));
}

/* The soonest of the times at which its class's deadline counts that it can still meet. */
static void job_need(const struct core *c, struct job *j, struct need *out)
{
	const struct conf_objective *o = c->conf->objectives;
	uint32_t n;

	out->job = j;
	out->slots = j->spec.deadline_s < 0 ? 0 : slots_needed(c, j, 1);
	out->times = 1;
	for (size_t i = 0; i < c->conf->nobjectives && j->spec.deadline_s >= 0; i++) {
		if (o[i].kind != OBJ_DEADLINE || strcmp(o[i].class_name, j->spec.class_name) ||
		    o[i].times <= 1 || (out->slots && o[i].times >= out->times))
			continue;
		n = slots_needed(c, j, o[i].times);
		if (!n)
			continue;
		out->slots = n;
		out->times = o[i].times;
	}
}

uint32_t array_need(const struct core *c, struct job *j)
{
	struct need n;

	job_need(c, j, &n);
	return n.slots;
}

static int by_need(const void *a, const void *b)
{
	const struct need *x = a, *y = b;

	if (x->times != y->times)
		return x->times < y->times ? -1 : 1;
	if (x->slots != y->slots)
		return x->slots < y->slots ? -1 : 1;
	return strcmp(x->job->spec.id, y->job->spec.id);
}

/*
 * When not all can be done by their deadlines, equal shares would make all of them late. Who needs
 * least is served first, up to what it needs; what is left is shared equally.
 */
static void serve_needs(struct round *r, struct job **jobs, size_t n)
{
	struct need *all = calloc(n + 1, sizeof(*all));
	size_t k = 0;

	if (!all)
		abort();
	for (size_t i = 0; i < n; i++) {
		job_need(r->c, jobs[i], &all[k]);
		k += all[k].slots > 0;
	}
	qsort(all, k, sizeof(*all), by_need);
	for (size_t i = 0; i < k; i++)
		while (all[i].job->nbound < all[i].slots && place_task(r, all[i].job, false))
			;
	free(all);
}

/* Arrays that hold nothing: the leader grants one slot to each. */
static void serve_grants(struct round *r, struct job **jobs, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (!jobs[i]->nbound && !place_task(r, jobs[i], false))
			plan_room(r, jobs[i]);
}

/* Arrays of one priority: whoever holds least is served first, one task at a time. */
static void serve_arrays(struct round *r, struct job **jobs, size_t n)
{
	uint32_t level = 0;
	size_t open;

	for (bool moved = true; moved; level++) {
		moved = false;
		open = 0;
		for (size_t i = 0; i < n; i++) {
			if (!jobs[i])
				continue;
			if (jobs[i]->nbound > level) {
				open++;
				continue;
			}
			if (place_task(r, jobs[i], true)) {
				moved = true;
				open++;
			} else {
				jobs[i] = NULL;
			}
		}
		if (open)
			moved = true;
	}
}

/*
 * A replica on a machine that is about to go is stopped once there is room for it elsewhere, which
 * is held: it can't run in both places.
 */
static void move_replica(struct round *r, struct binding *b)
{
	struct job *j = b->job;
	struct machine *target;

	if (b->stopping || !b->seen || j->spec.kind != JOB_SERVICE || j->orphan || j->cancelled)
		return;
	target = best_machine(r, j, false);
	if (!target || (target->hold_job && target->hold_job != j))
		return;
	target->hold_tasks = target->hold_job == j ? target->hold_tasks + 1 : 1;
	target->hold_job = j;
	j->hold_until = r->c->now + PREEMPT_HOLD_S;
	round_take(r, target, &j->spec);
	log_info("replica_moves", "job=%s task=%u machine=%s to=%s", j->spec.id, b->task,
		 b->machine->id, target->id);
	binding_stop(r->c, b, 0);
}

static void move_replicas(struct round *r)
{
	struct machine *m, *tmp;
	struct binding *b;

	HASH_ITER (hh, r->c->machines, m, tmp) {
		if (!machine_leaves(m) || !m->nreplicas)
			continue;
		DL_FOREACH2 (m->bindings, b, mnext)
			move_replica(r, b);
	}
}

static size_t waiting_jobs(struct core *c, struct job ***out)
{
	struct job *j, *tmp;
	size_t n = 0;

	*out = calloc(HASH_COUNT(c->jobs) + 1, sizeof(**out));
	if (!*out)
		abort();
	HASH_ITER (hh, c->jobs, j, tmp) {
		if (!job_waiting(j) || c->now < j->not_before)
			continue;
		j->due = due(c, j);
		(*out)[n++] = j;
	}
	qsort(*out, n, sizeof(**out), by_order);
	return n;
}

static void serve_priority(struct round *r, struct job **jobs, size_t n)
{
	size_t narrays = 0;
	struct job **arrays = calloc(n + 1, sizeof(*arrays));

	if (!arrays)
		abort();
	for (size_t i = 0; i < n; i++) {
		if (jobs[i]->spec.kind == JOB_ARRAY)
			arrays[narrays++] = jobs[i];
		else if (!(jobs[i]->spec.kind == JOB_GANG ? place_gang : place_service)(r, jobs[i]))
			plan_room(r, jobs[i]);
	}
	serve_grants(r, arrays, narrays);
	serve_needs(r, arrays, narrays);
	if (narrays)
		serve_turns(r);
	serve_arrays(r, arrays, narrays);
	free(arrays);
}

static void round_run(struct core *c, struct job **jobs, size_t n)
{
	struct round r;
	size_t first = 0;

	round_begin(c, &r);
	while (first < n) {
		size_t last = first;

		while (last < n && jobs[last]->spec.priority == jobs[first]->spec.priority)
			last++;
		serve_priority(&r, jobs + first, last - first);
		first = last;
	}
	if (c->replicas_leave)
		move_replicas(&r);
	round_end(&r);
}

void round_tick(struct core *c)
{
	struct job **jobs;
	size_t n;

	if (c->now >= c->round_again)
		round_wanted(c); /* backoffs and freshness pass without an event */
	if (!c->round_due || c->now < c->next_round)
		return;
	c->round_due = false;
	c->round_again = c->now + ROUND_AGAIN_S;
	if (c->now - c->el.renewed > LEADER_TTL_MS / 1000.0 * 2)
		return; /* without the state service nothing can be committed */
	n = waiting_jobs(c, &jobs);
	if (n || c->replicas_leave)
		round_run(c, jobs, n);
	free(jobs);
}
