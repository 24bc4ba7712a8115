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

void round_wanted(struct core *core)
{
	if (core->rounds.due)
		return;
	core->rounds.due = true;
	core->rounds.next = core->now + ROUND_MIN_S + ROUND_JOB_S * HASH_COUNT(core->jobs);
}

static bool job_bad_on(const struct job *job, const struct machine *machine)
{
	for (int i = 0; i < job->nbad && i < ERROR_JOB_MACHINES; i++)
		if (!strcmp(job->bad[i], machine->id))
			return true;
	return false;
}

double place_cost(const struct machine *machine, const struct job *job)
{
	const struct job_spec *spec = &job->spec;
	double cost = 0;

	if (!machine_has_image(machine, spec->image) && machine->type->fetch_gb_per_s > 0)
		cost += spec->image_gb / machine->type->fetch_gb_per_s;
	if (machine->type->cpus > 0)
		cost += FIT_WEIGHT_S * (machine->cpus - spec->cpus) / machine->type->cpus;
	if (!machine->nbindings)
		cost += FIT_WEIGHT_S;
	if (job_bad_on(job, machine))
		cost += ERROR_BACKOFF_MAX_S;
	return cost;
}

/* --- room --- */

static uint32_t slots_for(const struct spot_room *room, const struct job *j)
{
	const struct job *h = room->machine->hold_job;
	const struct job_spec *spec = &j->spec;
	double n = room->machine->hold_tasks;

	if (room->cpus + ROOM_SLACK < spec->cpus || room->gpus + ROOM_SLACK < spec->gpus ||
	    room->mem_gb + ROOM_SLACK < spec->mem_gb)
		return 0;
	if (!h || h == j)
		return room_slots(room->cpus, room->gpus, room->mem_gb, spec);
	return room_slots(room->cpus - n * h->spec.cpus, room->gpus - n * h->spec.gpus,
			  room->mem_gb - n * h->spec.mem_gb, spec);
}

/* A job with room held, or with tasks somewhere, sees other room than its shape alone tells. */
static bool shape_known(const struct job *job)
{
	return !job->hold_until && !job->bindings;
}

static bool no_room_for(const struct round *round, const struct job *job, uint32_t tasks)
{
	for (size_t i = 0; i < round->nno; i++)
		if (tasks >= round->no[i].tasks && same_shape(round->no[i].spec, &job->spec))
			return shape_known(job);
	return false;
}

static void note_no_room(struct round *round, const struct job *job, uint32_t tasks)
{
	if (round->nno == ROUND_NO_MAX || !shape_known(job))
		return;
	round->no[round->nno].spec = &job->spec;
	round->no[round->nno++].tasks = tasks;
}

/* Called right after the pools that the gang may use were marked. */
static void note_wanted(struct round *round, const struct job *job)
{
	for (size_t i = 0; i < round->nwanted; i++)
		if (same_shape(round->wanted[i], &job->spec))
			return;
	if (round->nwanted == ROUND_WANTED_MAX)
		return;
	for (size_t i = 0; i < round->npools; i++)
		round->pools[i].wanted |= (uint32_t)round->pools[i].allowed << round->nwanted;
	round->wanted[round->nwanted++] = &job->spec;
}

/* Whether a task here would take room that a waiting gang of higher priority could use. */
static bool takes_wanted(const struct round *round, const struct spot_room *room,
			 const struct job_spec *s)
{
	for (size_t i = 0; i < round->nwanted; i++) {
		const struct job_spec *w = round->wanted[i];

		if (w->priority < s->priority && (round->pools[room->pool].wanted >> i & 1) &&
		    room_slots(room->cpus - s->cpus, room->gpus - s->gpus, room->mem_gb - s->mem_gb,
			       w) < room_slots(room->cpus, room->gpus, room->mem_gb, w))
			return true;
	}
	return false;
}

static uint32_t in_zone(const struct job *job, const char *zone)
{
	const struct binding *binding;
	uint32_t n = 0;

	DL_FOREACH2 (job->bindings, binding, jnext)
		n += !strcmp(binding->machine->zone, zone);
	return n;
}

/* How many more tasks of a spread job the zone may hold. */
uint32_t job_zone_rest(const struct job *job, const char *zone)
{
	uint32_t most = (job->spec.ntasks + 1) / 2, n;

	if (!job->spec.spread)
		return job->spec.ntasks;
	n = in_zone(job, zone);
	return n < most ? most - n : 0;
}

/* The zone that a job of one zone is bound to by tasks it still has anywhere. */
const char *job_held_zone(const struct job *job)
{
	return job->spec.one_zone && job->bindings ? job->bindings->machine->zone : NULL;
}

static uint64_t new_attempt(struct core *core)
{
	return (core->election.token << ATTEMPT_SHIFT) + ++core->rounds.attempts;
}

/*
 * Tasks of arrays and services tell starts apart by it, and none starts twice in a round: they
 * share the round's, so that a record names it once.
 */
static uint64_t round_attempt(struct round *round)
{
	if (!round->attempt)
		round->attempt = new_attempt(round->core);
	return round->attempt;
}

static void place(struct round *round, struct job *job, struct machine *machine, uint32_t task,
		  uint64_t attempt)
{
	struct core *core = round->core;

	if (job->spec.kind != JOB_SERVICE)
		plan_release(core, job); /* it has what room was held for */
	else if (machine->hold_job == job && !--machine->hold_tasks)
		machine->hold_job = NULL;
	binding_add(core, machine, job, task, attempt);
	round_take(round, machine, &job->spec);
	log_info("place", "job=%s task=%u attempt=%llu machine=%s waited=%.2f", job->spec.id, task,
		 (unsigned long long)attempt, machine->id, core->wall - job->submitted);
	commit_chunk(core, job, task, 0);
}

/* --- gangs --- */

static void find_candidates(struct round *round, struct job *job)
{
	round_allow(round, &job->spec);
	round->ncands = 0;
	for (size_t i = 0; i < round->nopen; i++) {
		struct spot_room *room = &round->rooms[round->open[i]];
		struct candidate *candidate;
		uint32_t slots;

		if (!round->pools[room->pool].allowed || !(slots = slots_for(room, job)))
			continue;
		candidate = &round->cands[round->ncands++];
		candidate->room = room;
		candidate->slots = slots;
		candidate->cost = INFINITY;
	}
}

static int by_cost(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	return x->cost < y->cost ? -1 : x->cost > y->cost;
}

/* Slots that a gang could use in the zone, or anywhere. */
static uint32_t zone_slots(const struct round *round, const struct job *job, const char *zone)
{
	uint32_t n = 0;

	for (size_t i = 0; i < round->ncands && n < job->spec.ntasks; i++)
		if (!zone || !strcmp(round->cands[i].room->machine->zone, zone))
			n += round->cands[i].slots;
	return n;
}

static void cost_candidates(struct round *round, const struct job *job)
{
	for (size_t i = 0; i < round->ncands; i++) {
		struct spot_room *room = round->cands[i].room;

		if (!isfinite(round->cands[i].cost))
			round->cands[i].cost =
			    round->pools[room->pool].pool_cost + place_cost(room->machine, job);
	}
	qsort(round->cands, round->ncands, sizeof(*round->cands), by_cost);
}

static bool bind_gang(struct round *round, struct job *job, const char *zone)
{
	uint64_t attempt = new_attempt(round->core);
	uint32_t t = 0;

	for (size_t i = 0; i < round->ncands && t < job->spec.ntasks; i++) {
		struct machine *machine = round->cands[i].room->machine;

		if (zone && strcmp(machine->zone, zone))
			continue;
		for (uint32_t k = 0; k < round->cands[i].slots && t < job->spec.ntasks; k++)
			if (job_zone_rest(job, machine->zone))
				place(round, job, machine, t++, attempt);
	}
	job->attempt = attempt;
	return true;
}

/* Whether a spread gang can be had at all: half of it in any one zone at most. */
static bool spread_fits(const struct round *round, const struct job *job)
{
	uint32_t n = 0;

	for (size_t p = 0; p < round->npools; p++) {
		const char *zone = round->pools[p].zone;
		bool again = false;

		for (size_t q = 0; q < p; q++)
			again |= !strcmp(round->pools[q].zone, zone);
		if (!again)
			n += (uint32_t)fmin(zone_slots(round, job, zone), job_zone_rest(job, zone));
	}
	return n >= job->spec.ntasks;
}

/* Of the zones that can take it, the one where its tasks would begin soonest. */
static const char *best_zone(const struct round *round, const struct job *job)
{
	const char *best = NULL;
	double best_cost = INFINITY;

	for (size_t p = 0; p < round->npools; p++) {
		const char *zone = round->pools[p].zone;
		double cost = 0;
		uint32_t n = 0;

		if (!round->pools[p].allowed || zone_slots(round, job, zone) < job->spec.ntasks)
			continue;
		for (size_t i = 0; i < round->ncands && n < job->spec.ntasks; i++) {
			if (strcmp(round->cands[i].room->machine->zone, zone))
				continue;
			cost = fmax(cost, round->cands[i].cost);
			n += round->cands[i].slots;
		}
		if (cost < best_cost) {
			best_cost = cost;
			best = zone;
		}
	}
	return best;
}

static bool place_gang(struct round *round, struct job *job)
{
	bool together = job->spec.one_zone && job->spec.ntasks > 1;
	const char *zone = NULL;

	/* Tasks of an old attempt keep their places and zones until they exit. */
	if (job->bindings || !team_has_room(round->core, &job->spec, job->spec.ntasks))
		return false;
	if (no_room_for(round, job, job->spec.ntasks))
		return false;
	find_candidates(round, job);
	if (zone_slots(round, job, NULL) >= job->spec.ntasks && spread_fits(round, job)) {
		cost_candidates(round, job);
		if (!together || (zone = best_zone(round, job)))
			return bind_gang(round, job, zone);
	}
	note_no_room(round, job, job->spec.ntasks);
	note_wanted(round, job);
	return false;
}

/* --- arrays and services --- */

/*
 * Replicas of one service apart, so that one machine or zone takes one of them, and off machines
 * that may be taken back, that tasks failed on or that are overdue: seconds that it is worth to
 * wait for an image elsewhere.
 */
static double replica_cost(const struct core *core, const struct job *job,
			   const struct machine *machine)
{
	const struct binding *binding;
	double cost = 0;

	if (job->spec.kind != JOB_SERVICE)
		return 0;
	DL_FOREACH2 (job->bindings, binding, jnext) {
		if (binding->machine == machine)
			cost += REPLICA_MACHINE_S;
		else if (!strcmp(binding->machine->zone, machine->zone))
			cost += REPLICA_ZONE_S;
	}
	cost += REPLICA_CROWD_S * machine->nreplicas;
	/* It may be gone without anyone knowing yet. */
	if (core->now - machine->last_word > REPLICA_OVERDUE_REPORTS * core->conf->report_s)
		cost += REPLICA_OVERDUE_S;
	return cost + (machine->spot ? REPLICA_SPOT_S : 0) +
	       machine->nfailed_jobs * REPLICA_MACHINE_S;
}

/* `spare`: only room that no waiting gang could use. */
static struct machine *best_machine(struct round *round, struct job *job, bool spare)
{
	const char *held = job_held_zone(job);
	struct machine *best = NULL;
	double best_cost = INFINITY;

	round_allow(round, &job->spec);
	round->visits -= (double)round->nopen;
	for (size_t i = 0; i < round->nopen; i++) {
		struct spot_room *room = &round->rooms[round->open[i]];
		const struct pool *pool = &round->pools[room->pool];
		double cost = pool->pool_cost;

		if (!pool->allowed || cost >= best_cost || !slots_for(room, job) ||
		    (held && strcmp(held, pool->zone)) ||
		    (spare && takes_wanted(round, room, &job->spec)))
			continue;
		cost +=
		    place_cost(room->machine, job) + replica_cost(round->core, job, room->machine);
		if (cost < best_cost && job_zone_rest(job, pool->zone)) {
			best_cost = cost;
			best = room->machine;
		}
	}
	return best;
}

/* The next waiting task whose record has room for one more binding. */
static uint32_t next_task(const struct core *core, struct job *job)
{
	uint32_t t = job_next_waiting(job);

	while (t < job->spec.ntasks &&
	       (job_bit(job->done, t) || job_bit(job->bound, t) || job_chunk_full(core, job, t)))
		t = job_chunk_full(core, job, t) ? (t / job->chunk_tasks + 1) * job->chunk_tasks
						 : t + 1;
	return t;
}

static bool place_task(struct round *round, struct job *job, bool spare)
{
	struct machine *machine;
	uint32_t task;

	if (!job_waiting(job) || !team_has_room(round->core, &job->spec, 1) ||
	    no_room_for(round, job, 1))
		return false;
	task = next_task(round->core, job);
	if (task >= job->spec.ntasks)
		return false;
	/* A turn must not last so long that renewals are late. */
	round->cut |= round->visits <= 0;
	if (round->cut)
		return false;
	machine = best_machine(round, job, spare);
	if (!machine) {
		if (!spare)
			note_no_room(round, job, 1);
		return false;
	}
	place(round, job, machine, task, round_attempt(round));
	return true;
}

/* Replicas are independent, and each that runs serves: they start one by one. */
static bool place_service(struct round *round, struct job *job)
{
	while (place_task(round, job, false))
		;
	if (!job_waiting(job))
		plan_release(round->core, job);
	return job_waiting(job) == 0;
}

/* --- the round --- */

/* Seconds within which a job's tasks should start, by the first aim that it can still meet; 0:
 * none. */
double wait_aim(const struct core *core, const struct job *job)
{
	double waited = core->wall - job->submitted, best = 0;

	for (size_t i = 0; i < core->conf->nobjectives; i++) {
		const struct conf_objective *objective = &core->conf->objectives[i];

		if (objective->kind == OBJ_WAIT && objective->within_s > waited &&
		    !strcmp(objective->class_name, job->spec.class_name) &&
		    (best <= 0 || objective->within_s < best))
			best = objective->within_s;
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
static double due(const struct core *core, const struct job *job)
{
	double aim;

	if (job->spec.kind == JOB_ARRAY)
		return job->submitted + (job->spec.deadline_s >= 0 ? job->spec.deadline_s : 0);
	if (job->gathering || core->wall - job->submitted > LATE_FIRST_S)
		return -ORDER_FAR_S;
	aim = wait_aim(core, job);
	return aim > 0 ? aim : ORDER_FAR_S;
}

/* What a gang takes, for comparison with others alike; an array is served task by task. */
static double size_of(const struct job *job)
{
	return job->spec.kind == JOB_ARRAY || job->due < 0 ? 0 : job->spec.ntasks * job->spec.cpus;
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
static struct job *turn_of(struct round *round, struct machine *machine)
{
	struct core *core = round->core;
	struct job *j = *machine->turn ? job_find(core, machine->turn) : NULL;
	struct spot_room *room = &round->rooms[machine->round_at];
	const char *zone;

	machine->turn[0] = 0;
	if (!j || core->now > machine->turn_until || !job_waiting(j) || core->now < j->not_before ||
	    j->spec.kind != JOB_ARRAY || job_bad_on(j, machine) ||
	    !team_has_room(core, &j->spec, 1))
		return NULL;
	round_allow(round, &j->spec);
	zone = job_held_zone(j);
	if (!round->pools[room->pool].allowed || !slots_for(room, j) ||
	    !job_zone_rest(j, machine->zone) || (zone && strcmp(zone, machine->zone)) ||
	    takes_wanted(round, room, &j->spec))
		return NULL;
	return j;
}

static void serve_turns(struct round *round)
{
	for (size_t i = 0; i < round->nrooms; i++) {
		struct machine *machine = round->rooms[i].machine;
		struct job *job = *machine->turn ? turn_of(round, machine) : NULL;
		uint32_t task = job ? next_task(round->core, job) : 0;

		if (job && task < job->spec.ntasks)
			place(round, job, machine, task, round_attempt(round));
	}
}

struct need {
	struct job *job;
	double times; /* of its deadline, which it can still meet */
	uint32_t slots;
};

/* Slots that an array needs at once to be done by then, as far as the estimate tells; 0: too late.
 */
static uint32_t slots_needed(const struct core *core, const struct job *job, double times)
{
	double left = job->submitted + times * job->spec.deadline_s - core->wall - NEED_START_S;
	double run = fmax(job->spec.estimate_s, 1);
	uint32_t rest = job->spec.ntasks - job->ndone;

	return left < run ? 0 : (uint32_t)ceil(rest / floor(left / run));
}

/* The soonest of the times at which its class's deadline counts that it can still meet. */
static void job_need(const struct core *core, struct job *job, struct need *out)
{
	const struct conf_objective *objective = core->conf->objectives;
	uint32_t n;

	out->job = job;
	out->slots = job->spec.deadline_s < 0 ? 0 : slots_needed(core, job, 1);
	out->times = 1;
	for (size_t i = 0; i < core->conf->nobjectives && job->spec.deadline_s >= 0; i++) {
		if (objective[i].kind != OBJ_DEADLINE ||
		    strcmp(objective[i].class_name, job->spec.class_name) ||
		    objective[i].times <= 1 || (out->slots && objective[i].times >= out->times))
			continue;
		n = slots_needed(core, job, objective[i].times);
		if (!n)
			continue;
		out->slots = n;
		out->times = objective[i].times;
	}
}

uint32_t array_need(const struct core *core, struct job *job)
{
	struct need need;

	job_need(core, job, &need);
	return need.slots;
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
static void serve_needs(struct round *round, struct job **jobs, size_t n)
{
	struct need *all = calloc(n + 1, sizeof(*all));
	size_t k = 0;

	if (!all)
		abort();
	for (size_t i = 0; i < n; i++) {
		job_need(round->core, jobs[i], &all[k]);
		k += all[k].slots > 0;
	}
	qsort(all, k, sizeof(*all), by_need);
	for (size_t i = 0; i < k; i++)
		while (all[i].job->nbound < all[i].slots && place_task(round, all[i].job, false))
			;
	free(all);
}

/* Arrays that hold nothing: the leader grants one slot to each. */
static void serve_grants(struct round *round, struct job **jobs, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (!jobs[i]->nbound && !place_task(round, jobs[i], false))
			plan_room(round, jobs[i]);
}

/* Arrays of one priority: whoever holds least is served first, one task at a time. */
static void serve_arrays(struct round *round, struct job **jobs, size_t n)
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
			if (place_task(round, jobs[i], true)) {
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
static void move_replica(struct round *round, struct binding *binding)
{
	struct job *job = binding->job;
	struct machine *target;

	if (binding->stopping || !binding->seen || job->spec.kind != JOB_SERVICE || job->orphan ||
	    job->cancelled)
		return;
	target = best_machine(round, job, false);
	if (!target || (target->hold_job && target->hold_job != job))
		return;
	target->hold_tasks = target->hold_job == job ? target->hold_tasks + 1 : 1;
	target->hold_job = job;
	job->hold_until = round->core->now + PREEMPT_HOLD_S;
	round_take(round, target, &job->spec);
	log_info("replica_moves", "job=%s task=%u machine=%s to=%s", job->spec.id, binding->task,
		 binding->machine->id, target->id);
	binding_stop(round->core, binding, 0);
}

static void move_replicas(struct round *round)
{
	struct machine *machine, *tmp;
	struct binding *binding;

	HASH_ITER (hh, round->core->fleet.machines, machine, tmp) {
		if (!machine->nreplicas || !replica_watch_leaves(round->core, machine))
			continue;
		DL_FOREACH2 (machine->bindings, binding, mnext)
			move_replica(round, binding);
	}
}

static size_t waiting_jobs(struct core *core, struct job ***out)
{
	struct job *job, *tmp;
	size_t n = 0;

	*out = calloc(HASH_COUNT(core->jobs) + 1, sizeof(**out));
	if (!*out)
		abort();
	HASH_ITER (hh, core->jobs, job, tmp) {
		if (!job_waiting(job) || core->now < job->not_before)
			continue;
		job->due = due(core, job);
		(*out)[n++] = job;
	}
	qsort(*out, n, sizeof(**out), by_order);
	return n;
}

static void serve_priority(struct round *round, struct job **jobs, size_t n)
{
	size_t narrays = 0;
	struct job **arrays = calloc(n + 1, sizeof(*arrays));

	if (!arrays)
		abort();
	for (size_t i = 0; i < n; i++) {
		if (jobs[i]->spec.kind == JOB_ARRAY)
			arrays[narrays++] = jobs[i];
		else if (!(jobs[i]->spec.kind == JOB_GANG ? place_gang : place_service)(round,
											jobs[i]))
			plan_room(round, jobs[i]);
	}
	serve_grants(round, arrays, narrays);
	serve_needs(round, arrays, narrays);
	if (narrays)
		serve_turns(round);
	serve_arrays(round, arrays, narrays);
	free(arrays);
}

static void round_run(struct core *core, struct job **jobs, size_t n)
{
	struct round round;
	size_t first = 0;

	round_begin(core, &round, jobs, core->fleet.replicas_leave ? 0 : n);
	while (first < n) {
		size_t last = first;

		while (last < n && jobs[last]->spec.priority == jobs[first]->spec.priority)
			last++;
		serve_priority(&round, jobs + first, last - first);
		first = last;
	}
	if (core->fleet.replicas_leave)
		move_replicas(&round);
	if (round.cut)
		round_wanted(core);
	round_end(&round);
}

void round_tick(struct core *core)
{
	struct job **jobs;
	size_t n;

	if (core->now >= core->rounds.again)
		round_wanted(core); /* backoffs and freshness pass without an event */
	if (!core->rounds.due || core->now < core->rounds.next)
		return;
	core->rounds.due = false;
	core->rounds.again = core->now + ROUND_AGAIN_S;
	if (core->now - core->election.renewed > LEADER_TTL_MS / 1000.0 * 2)
		return; /* without the state service nothing can be committed */
	n = waiting_jobs(core, &jobs);
	if (n || core->fleet.replicas_leave)
		round_run(core, jobs, n);
	free(jobs);
}
