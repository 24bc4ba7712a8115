/*
 * Cycles of decisions: gangs first-fit, all or nothing; arrays level by level, so that the one
 * that holds least is served first. A cycle comes soon after an event, later the more jobs wait.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/scheduling/cycle.h"
#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"

void cycle_request(struct core *core)
{
	if (core->cycles.requested)
		return;
	core->cycles.requested = true;
	core->cycles.next_at = core->now + CYCLE_MIN_S + CYCLE_JOB_S * job_count(core);
}

static bool job_bad_on(const struct job *job, const struct machine *machine)
{
	for (int i = 0; i < job->scheduling.failed_machine_count && i < ERROR_JOB_MACHINES; i++)
		if (!strcmp(job->scheduling.failed_machines[i], machine->id))
			return true;
	return false;
}

double placement_cost(const struct machine *machine, const struct job *job)
{
	const struct job_spec *spec = &job->spec;
	double cost = 0;

	if (!machine_has_image(machine, spec->image) && machine->type->fetch_gb_per_s > 0)
		cost += spec->image_gb / machine->type->fetch_gb_per_s;
	if (machine->type->cpus > 0)
		cost += FIT_WEIGHT_S * (machine->free_cpus - spec->cpus) / machine->type->cpus;
	if (!machine->binding_count)
		cost += FIT_WEIGHT_S;
	if (job_bad_on(job, machine))
		cost += ERROR_BACKOFF_MAX_S;
	return cost;
}

/* --- room --- */

static uint32_t slots_for(const struct machine_room *room, const struct job *j)
{
	const struct job *h = room->machine->scheduling.reserved_for;
	const struct job_spec *spec = &j->spec;
	double n = room->machine->scheduling.reserved_tasks;

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
	return !job->scheduling.reserved_until && !job->bindings;
}

static bool no_fit_for(const struct scheduling_cycle *cycle, const struct job *job, uint32_t tasks)
{
	for (size_t i = 0; i < cycle->no_fit_count; i++)
		if (tasks >= cycle->no_fits[i].tasks &&
		    same_shape(cycle->no_fits[i].spec, &job->spec))
			return shape_known(job);
	return false;
}

static void note_no_fit(struct scheduling_cycle *cycle, const struct job *job, uint32_t tasks)
{
	if (cycle->no_fit_count == CYCLE_NO_FITS_MAX || !shape_known(job))
		return;
	cycle->no_fits[cycle->no_fit_count].spec = &job->spec;
	cycle->no_fits[cycle->no_fit_count++].tasks = tasks;
}

/* Called right after the pools that the gang may use were marked. */
static void note_gang_shape(struct scheduling_cycle *cycle, const struct job *job)
{
	for (size_t i = 0; i < cycle->gang_shape_count; i++)
		if (same_shape(cycle->gang_shapes[i], &job->spec))
			return;
	if (cycle->gang_shape_count == CYCLE_GANG_SHAPES_MAX)
		return;
	for (size_t i = 0; i < cycle->pool_count; i++)
		cycle->pools[i].gang_shapes |= (uint32_t)cycle->pools[i].allowed
					       << cycle->gang_shape_count;
	cycle->gang_shapes[cycle->gang_shape_count++] = &job->spec;
}

/* Whether a task here would take room that a waiting gang of higher priority could use. */
static bool takes_gang_room(const struct scheduling_cycle *cycle, const struct machine_room *room,
			    const struct job_spec *s)
{
	for (size_t i = 0; i < cycle->gang_shape_count; i++) {
		const struct job_spec *w = cycle->gang_shapes[i];

		if (w->priority < s->priority && (cycle->pools[room->pool].gang_shapes >> i & 1) &&
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

	DL_FOREACH2 (job->bindings, binding, job_next)
		n += !strcmp(binding->machine->zone, zone);
	return n;
}

/* How many more tasks of a spread job the zone may hold. */
uint32_t job_zone_rest(const struct job *job, const char *zone)
{
	uint32_t most = (job->spec.task_count + 1) / 2, n;

	if (!job->spec.spread)
		return job->spec.task_count;
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
	return (election_token(core) << ATTEMPT_SHIFT) + ++core->cycles.attempt_counter;
}

/*
 * Tasks of arrays and services tell starts apart by it, and none starts twice in a cycle: they
 * share the cycle's, so that a record names it once.
 */
static uint64_t cycle_attempt(struct scheduling_cycle *cycle)
{
	if (!cycle->attempt)
		cycle->attempt = new_attempt(cycle->core);
	return cycle->attempt;
}

static void place(struct scheduling_cycle *cycle, struct job *job, struct machine *machine,
		  uint32_t task, uint64_t attempt)
{
	struct core *core = cycle->core;

	if (job->spec.kind != JOB_SERVICE)
		reservation_release(core, job); /* it has what room was held for */
	else if (machine->scheduling.reserved_for == job && !--machine->scheduling.reserved_tasks)
		machine->scheduling.reserved_for = NULL;
	binding_add(core, machine, job, task, attempt);
	cycle_take_room(cycle, machine, &job->spec);
	log_info("binding_created", "job=%s task=%u attempt=%llu machine=%s waited=%.2f",
		 job->spec.id, task, (unsigned long long)attempt, machine->id,
		 core->wall - job->submitted_at);
	write_queue_add_chunk(core, job, task, 0);
}

/* --- gangs --- */

static void find_candidates(struct scheduling_cycle *cycle, struct job *job)
{
	cycle_mark_allowed(cycle, &job->spec);
	cycle->candidate_count = 0;
	for (size_t i = 0; i < cycle->open_count; i++) {
		struct machine_room *room = &cycle->rooms[cycle->open_rooms[i]];
		struct candidate *candidate;
		uint32_t slots;

		if (!cycle->pools[room->pool].allowed || !(slots = slots_for(room, job)))
			continue;
		candidate = &cycle->candidates[cycle->candidate_count++];
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
static uint32_t zone_slots(const struct scheduling_cycle *cycle, const struct job *job,
			   const char *zone)
{
	uint32_t n = 0;

	for (size_t i = 0; i < cycle->candidate_count && n < job->spec.task_count; i++)
		if (!zone || !strcmp(cycle->candidates[i].room->machine->zone, zone))
			n += cycle->candidates[i].slots;
	return n;
}

static void cost_candidates(struct scheduling_cycle *cycle, const struct job *job)
{
	for (size_t i = 0; i < cycle->candidate_count; i++) {
		struct machine_room *room = cycle->candidates[i].room;

		if (!isfinite(cycle->candidates[i].cost))
			cycle->candidates[i].cost =
			    cycle->pools[room->pool].pool_cost + placement_cost(room->machine, job);
	}
	qsort(cycle->candidates, cycle->candidate_count, sizeof(*cycle->candidates), by_cost);
}

static bool bind_gang(struct scheduling_cycle *cycle, struct job *job, const char *zone)
{
	uint64_t attempt = new_attempt(cycle->core);
	uint32_t t = 0;

	for (size_t i = 0; i < cycle->candidate_count && t < job->spec.task_count; i++) {
		struct machine *machine = cycle->candidates[i].room->machine;

		if (zone && strcmp(machine->zone, zone))
			continue;
		for (uint32_t k = 0; k < cycle->candidates[i].slots && t < job->spec.task_count;
		     k++)
			if (job_zone_rest(job, machine->zone))
				place(cycle, job, machine, t++, attempt);
	}
	job->gang_attempt = attempt;
	return true;
}

/* Whether a spread gang can be had at all: half of it in any one zone at most. */
static bool spread_fits(const struct scheduling_cycle *cycle, const struct job *job)
{
	uint32_t n = 0;

	for (size_t p = 0; p < cycle->pool_count; p++) {
		const char *zone = cycle->pools[p].zone;
		bool again = false;

		for (size_t q = 0; q < p; q++)
			again |= !strcmp(cycle->pools[q].zone, zone);
		if (!again)
			n += (uint32_t)fmin(zone_slots(cycle, job, zone), job_zone_rest(job, zone));
	}
	return n >= job->spec.task_count;
}

/* Of the zones that can take it, the one where its tasks would begin soonest. */
static const char *best_zone(const struct scheduling_cycle *cycle, const struct job *job)
{
	const char *best = NULL;
	double best_cost = INFINITY;

	for (size_t p = 0; p < cycle->pool_count; p++) {
		const char *zone = cycle->pools[p].zone;
		double cost = 0;
		uint32_t n = 0;

		if (!cycle->pools[p].allowed || zone_slots(cycle, job, zone) < job->spec.task_count)
			continue;
		for (size_t i = 0; i < cycle->candidate_count && n < job->spec.task_count; i++) {
			if (strcmp(cycle->candidates[i].room->machine->zone, zone))
				continue;
			cost = fmax(cost, cycle->candidates[i].cost);
			n += cycle->candidates[i].slots;
		}
		if (cost < best_cost) {
			best_cost = cost;
			best = zone;
		}
	}
	return best;
}

static bool place_gang(struct scheduling_cycle *cycle, struct job *job)
{
	bool together = job->spec.one_zone && job->spec.task_count > 1;
	const char *zone = NULL;

	/* Tasks of an old attempt keep their places and zones until they exit. */
	if (job->bindings || !team_has_room(cycle->core, &job->spec, job->spec.task_count))
		return false;
	if (no_fit_for(cycle, job, job->spec.task_count))
		return false;
	find_candidates(cycle, job);
	if (zone_slots(cycle, job, NULL) >= job->spec.task_count && spread_fits(cycle, job)) {
		cost_candidates(cycle, job);
		if (!together || (zone = best_zone(cycle, job)))
			return bind_gang(cycle, job, zone);
	}
	note_no_fit(cycle, job, job->spec.task_count);
	note_gang_shape(cycle, job);
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
	DL_FOREACH2 (job->bindings, binding, job_next) {
		if (binding->machine == machine)
			cost += REPLICA_MACHINE_S;
		else if (!strcmp(binding->machine->zone, machine->zone))
			cost += REPLICA_ZONE_S;
	}
	cost += REPLICA_CROWD_S * machine->replica_count;
	/* It may be gone without anyone knowing yet. */
	if (core->now - machine->agent.last_message_at >
	    REPLICA_OVERDUE_REPORTS * core->conf->report_s)
		cost += REPLICA_OVERDUE_S;
	return cost + (machine->spot ? REPLICA_SPOT_S : 0) +
	       machine->scheduling.failed_job_count * REPLICA_MACHINE_S;
}

/* `spare`: only room that no waiting gang could use. */
static struct machine *best_machine(struct scheduling_cycle *cycle, struct job *job, bool spare)
{
	const char *held = job_held_zone(job);
	struct machine *best = NULL;
	double best_cost = INFINITY;

	cycle_mark_allowed(cycle, &job->spec);
	cycle->visit_budget -= (double)cycle->open_count;
	for (size_t i = 0; i < cycle->open_count; i++) {
		struct machine_room *room = &cycle->rooms[cycle->open_rooms[i]];
		const struct pool *pool = &cycle->pools[room->pool];
		double cost = pool->pool_cost;

		if (!pool->allowed || cost >= best_cost || !slots_for(room, job) ||
		    (held && strcmp(held, pool->zone)) ||
		    (spare && takes_gang_room(cycle, room, &job->spec)))
			continue;
		cost += placement_cost(room->machine, job) +
			replica_cost(cycle->core, job, room->machine);
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
	uint32_t t = job_first_waiting(job);

	while (t < job->spec.task_count &&
	       (task_bit_test(job->done, t) || task_bit_test(job->bound, t) ||
		task_record_is_full(core, job, t)))
		t = task_record_is_full(core, job, t)
			? (t / job->records.tasks_per_chunk + 1) * job->records.tasks_per_chunk
			: t + 1;
	return t;
}

static bool place_task(struct scheduling_cycle *cycle, struct job *job, bool spare)
{
	struct machine *machine;
	uint32_t task;

	if (!job_waiting_count(job) || !team_has_room(cycle->core, &job->spec, 1) ||
	    no_fit_for(cycle, job, 1))
		return false;
	task = next_task(cycle->core, job);
	if (task >= job->spec.task_count)
		return false;
	/* A turn must not last so long that renewals are late. */
	cycle->budget_exhausted |= cycle->visit_budget <= 0;
	if (cycle->budget_exhausted)
		return false;
	machine = best_machine(cycle, job, spare);
	if (!machine) {
		if (!spare)
			note_no_fit(cycle, job, 1);
		return false;
	}
	place(cycle, job, machine, task, cycle_attempt(cycle));
	return true;
}

/* Replicas are independent, and each that runs serves: they start one by one. */
static bool place_service(struct scheduling_cycle *cycle, struct job *job)
{
	while (place_task(cycle, job, false))
		;
	if (!job_waiting_count(job))
		reservation_release(cycle->core, job);
	return job_waiting_count(job) == 0;
}

/* --- the cycle --- */

/* Seconds within which a job's tasks should start, by the first aim that it can still meet; 0:
 * none. */
double wait_objective_s(const struct core *core, const struct job *job)
{
	double waited = core->wall - job->submitted_at, best = 0;

	for (size_t i = 0; i < core->conf->nobjectives; i++) {
		const struct conf_objective *objective = &core->conf->objectives[i];

		if (objective->kind == OBJECTIVE_WAIT && objective->within_s > waited &&
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
		return job->submitted_at + (job->spec.deadline_s >= 0 ? job->spec.deadline_s : 0);
	if (job->scheduling.reserving || core->wall - job->submitted_at > LATE_FIRST_S)
		return -ORDER_FAR_S;
	aim = wait_objective_s(core, job);
	return aim > 0 ? aim : ORDER_FAR_S;
}

/* What a gang takes, for comparison with others alike; an array is served task by task. */
static double size_of(const struct job *job)
{
	return job->spec.kind == JOB_ARRAY || job->scheduling.order_key < 0
		   ? 0
		   : job->spec.task_count * job->spec.cpus;
}

static int by_order(const void *a, const void *b)
{
	const struct job *x = *(struct job *const *)a, *y = *(struct job *const *)b;

	if (x->spec.priority != y->spec.priority)
		return x->spec.priority < y->spec.priority ? -1 : 1;
	if (x->scheduling.order_key != y->scheduling.order_key)
		return x->scheduling.order_key < y->scheduling.order_key ? -1 : 1;
	if (size_of(x) != size_of(y))
		return size_of(x) < size_of(y) ? -1 : 1;
	if (x->submitted_at != y->submitted_at)
		return x->submitted_at < y->submitted_at ? -1 : 1;
	return strcmp(x->spec.id, y->spec.id);
}

/* The job whose freed slot, kept for it or switched to it, this is; NULL if it can't use it. */
static struct job *turn_of(struct scheduling_cycle *cycle, struct machine *machine)
{
	struct core *core = cycle->core;
	struct job *j = *machine->scheduling.freed_slot_job
			    ? job_find(core, machine->scheduling.freed_slot_job)
			    : NULL;
	struct machine_room *room = &cycle->rooms[machine->scheduling.room_index];
	const char *zone;

	machine->scheduling.freed_slot_job[0] = 0;
	if (!j || core->now > machine->scheduling.freed_slot_until || !job_waiting_count(j) ||
	    core->now < j->scheduling.retry_at || j->spec.kind != JOB_ARRAY ||
	    job_bad_on(j, machine) || !team_has_room(core, &j->spec, 1))
		return NULL;
	cycle_mark_allowed(cycle, &j->spec);
	zone = job_held_zone(j);
	if (!cycle->pools[room->pool].allowed || !slots_for(room, j) ||
	    !job_zone_rest(j, machine->zone) || (zone && strcmp(zone, machine->zone)) ||
	    takes_gang_room(cycle, room, &j->spec))
		return NULL;
	return j;
}

static void serve_turns(struct scheduling_cycle *cycle)
{
	for (size_t i = 0; i < cycle->room_count; i++) {
		struct machine *machine = cycle->rooms[i].machine;
		struct job *job =
		    *machine->scheduling.freed_slot_job ? turn_of(cycle, machine) : NULL;
		uint32_t task = job ? next_task(cycle->core, job) : 0;

		if (job && task < job->spec.task_count)
			place(cycle, job, machine, task, cycle_attempt(cycle));
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
	double left = job->submitted_at + times * job->spec.deadline_s - core->wall - NEED_START_S;
	double run = fmax(job->spec.estimate_s, 1);
	uint32_t rest = job->spec.task_count - job->done_count;

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
		if (objective[i].kind != OBJECTIVE_DEADLINE ||
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

uint32_t array_slots_needed(const struct core *core, struct job *job)
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
static void serve_needs(struct scheduling_cycle *cycle, struct job **jobs, size_t n)
{
	struct need *all = xcalloc(n + 1, sizeof(*all));
	size_t k = 0;

	for (size_t i = 0; i < n; i++) {
		job_need(cycle->core, jobs[i], &all[k]);
		k += all[k].slots > 0;
	}
	qsort(all, k, sizeof(*all), by_need);
	for (size_t i = 0; i < k; i++)
		while (all[i].job->bound_count < all[i].slots &&
		       place_task(cycle, all[i].job, false))
			;
	free(all);
}

/* Arrays that hold nothing: the leader grants one slot to each. */
static void serve_grants(struct scheduling_cycle *cycle, struct job **jobs, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (!jobs[i]->bound_count && !place_task(cycle, jobs[i], false))
			preemption_make_room(cycle, jobs[i]);
}

/* Arrays of one priority: whoever holds least is served first, one task at a time. */
static void serve_arrays(struct scheduling_cycle *cycle, struct job **jobs, size_t n)
{
	uint32_t level = 0;
	size_t open;

	for (bool moved = true; moved; level++) {
		moved = false;
		open = 0;
		for (size_t i = 0; i < n; i++) {
			if (!jobs[i])
				continue;
			if (jobs[i]->bound_count > level) {
				open++;
				continue;
			}
			if (place_task(cycle, jobs[i], true)) {
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
static void move_replica(struct scheduling_cycle *cycle, struct binding *binding)
{
	struct job *job = binding->job;
	struct machine *target;

	if (binding->stopping || !binding->observed || job->spec.kind != JOB_SERVICE ||
	    job->orphan || job->cancelled)
		return;
	target = best_machine(cycle, job, false);
	if (!target || (target->scheduling.reserved_for && target->scheduling.reserved_for != job))
		return;
	target->scheduling.reserved_tasks =
	    target->scheduling.reserved_for == job ? target->scheduling.reserved_tasks + 1 : 1;
	target->scheduling.reserved_for = job;
	job->scheduling.reserved_until = cycle->core->now + PREEMPT_RESERVE_S;
	cycle_take_room(cycle, target, &job->spec);
	log_info("replica_moving", "job=%s task=%u machine=%s to=%s", job->spec.id, binding->task,
		 binding->machine->id, target->id);
	binding_stop(cycle->core, binding, 0);
}

static void move_replicas(struct scheduling_cycle *cycle)
{
	struct machine *machine, *tmp;
	struct binding *binding;

	MACHINES_FOR_EACH (cycle->core, machine, tmp) {
		if (!machine->replica_count || !replica_must_move(cycle->core, machine))
			continue;
		DL_FOREACH2 (machine->bindings, binding, machine_next)
			move_replica(cycle, binding);
	}
}

static size_t waiting_jobs(struct core *core, struct job ***out)
{
	struct job *job, *tmp;
	size_t n = 0;

	*out = xcalloc(job_count(core) + 1, sizeof(**out));
	JOBS_FOR_EACH (core, job, tmp) {
		if (!job_waiting_count(job) || core->now < job->scheduling.retry_at)
			continue;
		job->scheduling.order_key = due(core, job);
		(*out)[n++] = job;
	}
	qsort(*out, n, sizeof(**out), by_order);
	return n;
}

static void serve_priority(struct scheduling_cycle *cycle, struct job **jobs, size_t n)
{
	size_t narrays = 0;
	struct job **arrays = xcalloc(n + 1, sizeof(*arrays));

	for (size_t i = 0; i < n; i++) {
		if (jobs[i]->spec.kind == JOB_ARRAY)
			arrays[narrays++] = jobs[i];
		else if (!(jobs[i]->spec.kind == JOB_GANG ? place_gang : place_service)(cycle,
											jobs[i]))
			preemption_make_room(cycle, jobs[i]);
	}
	serve_grants(cycle, arrays, narrays);
	serve_needs(cycle, arrays, narrays);
	if (narrays)
		serve_turns(cycle);
	serve_arrays(cycle, arrays, narrays);
	free(arrays);
}

static void cycle_run(struct core *core, struct job **jobs, size_t n)
{
	struct scheduling_cycle cycle;
	size_t first = 0;

	cycle_begin(core, &cycle, jobs, replicas_must_move(core) ? 0 : n);
	while (first < n) {
		size_t last = first;

		while (last < n && jobs[last]->spec.priority == jobs[first]->spec.priority)
			last++;
		serve_priority(&cycle, jobs + first, last - first);
		first = last;
	}
	if (replicas_must_move(core))
		move_replicas(&cycle);
	if (cycle.budget_exhausted)
		cycle_request(core);
	cycle_end(&cycle);
}

void cycle_tick(struct core *core)
{
	struct job **jobs;
	size_t n;

	if (core->now >= core->cycles.next_periodic_at)
		cycle_request(core); /* backoffs and freshness pass without an event */
	if (!core->cycles.requested || core->now < core->cycles.next_at)
		return;
	core->cycles.requested = false;
	core->cycles.next_periodic_at = core->now + CYCLE_PERIOD_S;
	if (election_renewal_age(core) > LEADER_TTL_MS / 1000.0 * 2)
		return; /* without the state service nothing can be committed */
	n = waiting_jobs(core, &jobs);
	if (n || replicas_must_move(core))
		cycle_run(core, jobs, n);
	free(jobs);
}
