/* Making room for a job of higher priority by stopping lower work. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"

static bool may_stop(const struct job *j, const struct binding *b)
{
	return b->job->spec.priority > j->spec.priority && b->job->spec.kind == JOB_ARRAY &&
	       !b->job->ghost;
}

/* Work lost or delayed by stopping: what ran longest since placement is nearest its end. */
static double stop_cost(const struct core *c, const struct binding *b)
{
	return b->running_since > 0 ? c->now - b->running_since : 0;
}

struct room {
	double cpus, gpus, mem_gb;
};

static bool enough(const struct room *r, const struct job_spec *s)
{
	return r->cpus + 1e-6 >= s->cpus && r->gpus + 1e-6 >= s->gpus &&
	       r->mem_gb + 1e-6 >= s->mem_gb;
}

static void room_add(struct room *r, const struct binding *b)
{
	r->cpus += b->job->spec.cpus;
	r->gpus += b->job->spec.gpus;
	r->mem_gb += b->job->spec.mem_gb;
}

/* At its limit, a team makes room among its own tasks only. */
static struct binding *cheapest(const struct core *c, const struct machine *m, const struct job *j,
				bool own, const struct binding *const *taken, int n)
{
	struct binding *b, *best = NULL;

	DL_FOREACH2 (m->bindings, b, mnext) {
		bool used = b->stopping || !may_stop(j, b) ||
			    (own && strcmp(b->job->spec.team, j->spec.team));

		for (int i = 0; i < n; i++)
			used |= taken[i] == b;
		if (!used && (!best || stop_cost(c, b) < stop_cost(c, best)))
			best = b;
	}
	return best;
}

#define VICTIMS_MAX 8 /* tasks stopped for one: more than that is no bargain */

/* The cost of room on this machine and the tasks to stop; INFINITY if it can't be had. */
static double plan(const struct core *c, const struct machine *m, const struct job *j, bool own,
		   struct binding **victims, int *n)
{
	struct room r = {m->cpus, m->gpus, m->mem_gb};
	const struct binding *b;
	double cost = 0;

	*n = 0;
	DL_FOREACH2 (m->bindings, b, mnext)
		if (b->stopping)
			room_add(&r, b);
	while (!enough(&r, &j->spec)) {
		struct binding *v =
		    *n < VICTIMS_MAX
			? cheapest(c, m, j, own, (const struct binding *const *)victims, *n)
			: NULL;

		if (!v)
			return INFINITY;
		victims[(*n)++] = v;
		cost += 1 + stop_cost(c, v);
		room_add(&r, v);
	}
	return cost;
}

static double grace_of(const struct binding *b)
{
	/* Saving needs the full time; a margin for the way there. */
	return b->job->spec.checkpoint_s > 0 ? b->job->spec.save_s + 1 : 0;
}

/* Only single-task gangs and arrays: room for more at once is not worth the work it would end. */
bool preempt_for(struct core *c, struct job *j)
{
	struct binding *victims[VICTIMS_MAX], *best[VICTIMS_MAX];
	double best_cost = INFINITY;
	struct machine *m, *tmp;
	int n, nbest = 0;
	bool own;

	if (j->bindings || (j->spec.kind == JOB_GANG && j->spec.ntasks > 1) ||
	    c->now - j->waiting_since < PREEMPT_AFTER_S ||
	    (j->preempted_at > 0 && c->now - j->preempted_at < PREEMPT_AGAIN_S))
		return false;
	own = !team_has_room(c, &j->spec, 1);
	HASH_ITER (hh, c->machines, m, tmp) {
		double cost;

		if (!machine_usable(c, m) || !machine_allowed(m->type, m->zone, m->spot, &j->spec))
			continue;
		cost = plan(c, m, j, own, victims, &n);
		if (cost < best_cost) {
			best_cost = cost;
			nbest = n;
			memcpy(best, victims, sizeof(best));
		}
	}
	if (!isfinite(best_cost) || !nbest)
		return false;
	j->preempted_at = c->now;
	for (int i = 0; i < nbest; i++) {
		log_info("preempt", "job=%s for=%s machine=%s", best[i]->job->spec.id, j->spec.id,
			 best[i]->machine->id);
		binding_stop(c, best[i], grace_of(best[i]));
	}
	return true;
}
