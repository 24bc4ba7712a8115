#include "core/round.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static size_t pool_of(struct round *r, const struct machine *m)
{
	struct pool *p;

	for (size_t i = 0; i < r->npools; i++) {
		p = &r->pools[i];
		if (p->type == m->type && p->spot == m->spot && !strcmp(p->zone, m->zone))
			return i;
	}
	p = &r->pools[r->npools];
	memset(p, 0, sizeof(*p));
	p->type = m->type;
	p->zone = m->zone;
	p->spot = m->spot;
	return r->npools++;
}

static void room_add(struct round *r, struct machine *m)
{
	size_t pool = pool_of(r, m);
	struct spot_room *x;

	m->round_at = (uint32_t)r->nrooms;
	x = &r->rooms[r->nrooms++];
	x->m = m;
	x->pool = (uint16_t)pool;
	x->cpus = m->cpus;
	x->gpus = m->gpus;
	x->mem_gb = m->mem_gb;
}

void round_begin(struct core *c, struct round *r)
{
	size_t n = HASH_COUNT(c->machines) + 1;
	struct machine *m, *tmp;
	struct job *j, *jtmp;

	memset(r, 0, sizeof(*r));
	r->c = c;
	r->rooms = malloc(n * sizeof(*r->rooms));
	r->cands = malloc(n * sizeof(*r->cands));
	r->pools = malloc(n * sizeof(*r->pools));
	if (!r->rooms || !r->cands || !r->pools)
		abort();
	HASH_ITER (hh, c->machines, m, tmp)
		if (machine_usable(c, m))
			room_add(r, m);
	HASH_ITER (hh, c->jobs, j, jtmp)
		r->ordinary_wanted |= !j->orphan && !j->spec.spot;
}

void round_end(struct round *r)
{
	free(r->rooms);
	free(r->cands);
	free(r->pools);
}

void round_take(struct round *r, const struct machine *m, const struct job_spec *s)
{
	struct spot_room *x = &r->rooms[m->round_at];

	x->cpus -= s->cpus;
	x->gpus -= s->gpus;
	x->mem_gb -= s->mem_gb;
}

void round_allow(struct round *r, const struct job_spec *s)
{
	for (size_t i = 0; i < r->npools; i++) {
		struct pool *p = &r->pools[i];
		const struct machine_type *t = p->type;

		p->allowed = machine_allowed(t, p->zone, p->spot, s) && t->cpus >= s->cpus &&
			     t->gpus >= s->gpus && t->mem_gb >= s->mem_gb;
		p->pool_cost = s->gpus <= 0 && t->gpus > 0 ? GPU_WASTE_S : 0;
		/* What must be ordinary needs these machines more. */
		if (r->ordinary_wanted && s->spot && !p->spot)
			p->pool_cost += ORDINARY_S;
	}
}

uint32_t room_slots(double cpus, double gpus, double mem_gb, const struct job_spec *s)
{
	double n = JOB_TASKS_MAX;

	if (s->cpus > 0)
		n = fmin(n, (cpus + ROOM_SLACK) / s->cpus);
	if (s->gpus > 0)
		n = fmin(n, (gpus + ROOM_SLACK) / s->gpus);
	if (s->mem_gb > 0)
		n = fmin(n, (mem_gb + ROOM_SLACK) / s->mem_gb);
	return n > 0 ? (uint32_t)n : 0;
}

bool same_shape(const struct job_spec *a, const struct job_spec *b)
{
	if (a->cpus != b->cpus || a->gpus != b->gpus || a->mem_gb != b->mem_gb ||
	    a->spot != b->spot || a->one_zone != b->one_zone || a->spread != b->spread ||
	    a->ntypes != b->ntypes || strcmp(a->zone, b->zone))
		return false;
	for (int i = 0; i < a->ntypes; i++)
		if (strcmp(a->types[i], b->types[i]))
			return false;
	return true;
}
