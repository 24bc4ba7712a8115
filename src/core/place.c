/*
 * Rounds of decisions: gangs first-fit, all or nothing; arrays level by level, so that the one
 * that holds least is served first. A round comes soon after an event, later the more jobs wait.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

static bool room_for(const struct machine *m, const struct job_spec *s)
{
	return m->cpus + 1e-6 >= s->cpus && m->gpus + 1e-6 >= s->gpus &&
	       m->mem_gb + 1e-6 >= s->mem_gb;
}

/* Seconds that placing here costs, as far as can be told: fetching, and room taken from others. */
static double place_cost(const struct machine *m, const struct job *j)
{
	const struct job_spec *s = &j->spec;
	double cost = 0;

	if (!machine_has_image(m, s->image) && m->type->fetch_gb_per_s > 0)
		cost += s->image_gb / m->type->fetch_gb_per_s;
	if (s->gpus <= 0 && m->type->gpus > 0)
		cost += GPU_WASTE_S;
	if (m->type->cpus > 0)
		cost += FIT_WEIGHT_S * (m->cpus - s->cpus) / m->type->cpus;
	if (!m->nbindings)
		cost += FIT_WEIGHT_S;
	if (job_bad_on(j, m))
		cost += ERROR_BACKOFF_MAX_S;
	return cost;
}

static struct machine *best_machine(struct core *c, struct job *j, const char *zone,
				    const char *not_zone)
{
	struct machine *m, *tmp, *best = NULL;
	double best_cost = INFINITY;

	HASH_ITER (hh, c->machines, m, tmp) {
		double cost;

		if (!room_for(m, &j->spec) || !machine_usable(c, m) ||
		    !machine_allowed(m->type, m->zone, m->spot, &j->spec))
			continue;
		if ((zone && strcmp(zone, m->zone)) || (not_zone && !strcmp(not_zone, m->zone)))
			continue;
		cost = place_cost(m, j);
		if (cost < best_cost) {
			best_cost = cost;
			best = m;
		}
	}
	return best;
}

static uint64_t new_attempt(struct core *c)
{
	return (c->el.token << ATTEMPT_SHIFT) + ++c->attempts;
}

static void place(struct core *c, struct job *j, struct machine *m, uint32_t task, uint64_t attempt)
{
	binding_add(c, m, j, task, attempt);
	log_info("place", "job=%s task=%u attempt=%llu machine=%s waited=%.2f", j->spec.id, task,
		 (unsigned long long)attempt, m->id, c->wall - j->submitted);
	commit_machine(c, m);
}

/* Undoes a placement of which nothing has left this process. */
static void unplace(struct core *c, struct job *j, uint64_t attempt)
{
	struct binding *b, *tmp;

	DL_FOREACH_SAFE2 (j->bindings, b, tmp, jnext)
		if (b->attempt == attempt)
			binding_drop(c, b);
}

static uint32_t in_zone(const struct job *j, const char *zone)
{
	const struct binding *b;
	uint32_t n = 0;

	DL_FOREACH2 (j->bindings, b, jnext)
		n += !strcmp(b->machine->zone, zone);
	return n;
}

/* A zone that holds half of a spread job, rounded up, takes no more of it. */
static const char *full_zone(const struct job *j)
{
	const struct binding *b;
	uint32_t most = (j->spec.ntasks + 1) / 2;

	if (!j->spec.spread)
		return NULL;
	DL_FOREACH2 (j->bindings, b, jnext)
		if (in_zone(j, b->machine->zone) >= most)
			return b->machine->zone;
	return NULL;
}

/* The zone that a job of one zone is bound to by tasks it still has anywhere. */
static const char *held_zone(const struct job *j)
{
	return j->spec.one_zone && j->bindings ? j->bindings->machine->zone : NULL;
}

static bool place_gang_in(struct core *c, struct job *j, const char *zone)
{
	uint64_t attempt = new_attempt(c);

	for (uint32_t t = 0; t < j->spec.ntasks; t++) {
		struct machine *m = best_machine(c, j, zone, full_zone(j));

		if (!m) {
			unplace(c, j, attempt);
			return false;
		}
		place(c, j, m, t, attempt);
	}
	j->attempt = attempt;
	return true;
}

static bool place_gang(struct core *c, struct job *j)
{
	/* Tasks of an old attempt keep their places and zones until they exit. */
	if (j->bindings || !team_has_room(c, &j->spec, j->spec.ntasks))
		return false;
	if (!j->spec.one_zone || j->spec.ntasks == 1)
		return place_gang_in(c, j, NULL);
	for (size_t t = 0; t < c->ntypes; t++)
		for (int z = 0; z < c->types[t].nzones; z++)
			if (place_gang_in(c, j, c->types[t].zones[z]))
				return true;
	return false;
}

static bool place_task(struct core *c, struct job *j);

/* A service starts as a whole; what it loses later is replaced task by task. */
static bool place_service(struct core *c, struct job *j)
{
	if (!j->bindings && !team_has_room(c, &j->spec, j->spec.ntasks))
		return false;
	if (!j->bindings)
		return place_gang(c, j);
	while (place_task(c, j))
		;
	return job_waiting(j) == 0;
}

static bool place_task(struct core *c, struct job *j)
{
	struct machine *m;
	uint32_t task;

	if (!job_waiting(j) || !team_has_room(c, &j->spec, 1))
		return false;
	task = job_next_waiting(j);
	if (task >= j->spec.ntasks)
		return false;
	m = best_machine(c, j, held_zone(j), full_zone(j));
	if (!m)
		return false;
	place(c, j, m, task, new_attempt(c));
	return true;
}

/* --- the round --- */

static double due(const struct job *j)
{
	return j->submitted + (j->spec.deadline_s >= 0 ? j->spec.deadline_s : 0);
}

static int by_order(const void *a, const void *b)
{
	const struct job *x = *(struct job *const *)a, *y = *(struct job *const *)b;

	if (x->spec.priority != y->spec.priority)
		return x->spec.priority < y->spec.priority ? -1 : 1;
	if (due(x) != due(y))
		return due(x) < due(y) ? -1 : 1;
	return strcmp(x->spec.id, y->spec.id);
}

/* One task on each machine whose freed slot is kept for, or was switched to, an array. */
static void serve_turns(struct core *c)
{
	struct machine *m, *tmp;

	HASH_ITER (hh, c->machines, m, tmp) {
		struct job *j = *m->turn ? job_find(c, m->turn) : NULL;
		const char *zone, *full;

		m->turn[0] = 0;
		if (!j || c->now > m->turn_until || !job_waiting(j) || c->now < j->not_before ||
		    !room_for(m, &j->spec) || !machine_usable(c, m) || job_bad_on(j, m) ||
		    !machine_allowed(m->type, m->zone, m->spot, &j->spec) ||
		    !team_has_room(c, &j->spec, 1))
			continue;
		zone = held_zone(j);
		full = full_zone(j);
		if ((zone && strcmp(zone, m->zone)) || (full && !strcmp(full, m->zone)))
			continue;
		place(c, j, m, job_next_waiting(j), new_attempt(c));
	}
}

/* Arrays that hold nothing: the leader grants one slot to each. */
static void serve_grants(struct core *c, struct job **jobs, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (!jobs[i]->nbound)
			place_task(c, jobs[i]);
}

/* Arrays of one priority: whoever holds least is served first, one task at a time. */
static void serve_arrays(struct core *c, struct job **jobs, size_t n)
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
			if (place_task(c, jobs[i])) {
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

static size_t waiting_jobs(struct core *c, struct job ***out)
{
	struct job *j, *tmp;
	size_t n = 0;

	*out = calloc(HASH_COUNT(c->jobs) + 1, sizeof(**out));
	if (!*out)
		abort();
	HASH_ITER (hh, c->jobs, j, tmp)
		if (job_waiting(j) && c->now >= j->not_before)
			(*out)[n++] = j;
	qsort(*out, n, sizeof(**out), by_order);
	return n;
}

static void serve_priority(struct core *c, struct job **jobs, size_t n)
{
	size_t narrays = 0;
	struct job **arrays = calloc(n + 1, sizeof(*arrays));

	if (!arrays)
		abort();
	for (size_t i = 0; i < n; i++) {
		if (jobs[i]->spec.kind == JOB_ARRAY)
			arrays[narrays++] = jobs[i];
		else if (!(jobs[i]->spec.kind == JOB_GANG ? place_gang : place_service)(c, jobs[i]))
			preempt_for(c, jobs[i]);
	}
	serve_grants(c, arrays, narrays);
	if (narrays)
		serve_turns(c);
	serve_arrays(c, arrays, narrays);
	free(arrays);
}

void round_tick(struct core *c)
{
	struct job **jobs;
	size_t n, first = 0;

	if (c->now >= c->round_again)
		round_wanted(c); /* backoffs and freshness pass without an event */
	if (!c->round_due || c->now < c->next_round)
		return;
	c->round_due = false;
	c->round_again = c->now + ROUND_AGAIN_S;
	if (c->now - c->el.renewed > LEADER_TTL_MS / 1000.0 * 2)
		return; /* without the state service nothing can be committed */
	n = waiting_jobs(c, &jobs);
	while (first < n) {
		size_t last = first;

		while (last < n && jobs[last]->spec.priority == jobs[first]->spec.priority)
			last++;
		serve_priority(c, jobs + first, last - first);
		first = last;
	}
	free(jobs);
}
