/*
 * What is rented for work that waits.
 * A request's name holds the token under which it was made and a counter, so none ever recurs.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/cloud.h"
#include "core/replicas.h"
#include "core/round.h"
#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"

/* The cloud's rate is shared by lists, returns and rentals, whichever comes first in a look. */
bool cloud_take(struct core *c)
{
	allowance_fill(c, &c->cloud, c->conf->cloud_rps * CLOUD_SHARE);
	if (c->cloud.left < 1)
		return false;
	c->cloud.left -= 1;
	return true;
}

void cloud_trouble(struct core *c, int status)
{
	if (status != 200)
		c->cloud_again = c->now + CLOUD_BACKOFF_S;
}

/*
 * A guarantee is a standing promise of room, so room is kept standing for it. Without one, or
 * with an aim in money, machines are rented for work and returned after it.
 */
bool rent_thrifty(const struct core *c)
{
	return !conf_has(c->conf, OBJ_GUARANTEE) || conf_has(c->conf, OBJ_PRICE) ||
	       conf_has(c->conf, OBJ_USEFUL);
}

struct refusal_key {
	char text[3 * NAME_MAX_LEN];
};

static struct refusal_key refusal_key(const char *type, const char *zone, bool spot)
{
	struct refusal_key key;

	snprintf(key.text, sizeof(key.text), "%s %s %d", type, zone, spot);
	return key;
}

static struct refusal *refusal_find(struct core *c, const char *type, const char *zone, bool spot)
{
	struct refusal_key key = refusal_key(type, zone, spot);
	struct refusal *r;

	HASH_FIND_STR(c->refusals, key.text, r);
	return r;
}

/*
 * What is returned can be rented again at once. When many machines of a kind that was refused are
 * lost together, waiting for the refusal's end would leave their work without room meanwhile.
 */
void refusal_lift(struct core *c, const struct machine *m)
{
	struct refusal *r = refusal_find(c, m->type_name, m->zone, m->spot);

	if (r)
		r->until = r->wait = 0;
}

/* --- what is missing --- */

/* Room that is there or will be: a live machine's rest, one that boots, one to be rented. */
struct vroom {
	const struct machine_type *type;
	const char *zone;
	bool spot;
	bool wanted; /* to be rented now */
	bool live;
	double cpus, gpus, mem_gb;
};

/* Rooms before `at` are too small for a shape in a zone: while a plan is made they only shrink. */
struct fit_from {
	const struct job_spec *spec;
	const char *zone; /* NULL: anywhere */
	bool live;
	size_t at;
};

struct plan {
	struct vroom *v;
	size_t n, cap;
	size_t nwanted;
	struct fit_from from[RENT_SHAPES_MAX];
	size_t nfrom;
};

static struct vroom *plan_add(struct plan *p, const struct machine_type *t, const char *zone,
			      bool spot)
{
	struct vroom *v;

	if (p->n == p->cap) {
		p->cap = p->cap ? p->cap * 2 : 64;
		p->v = realloc(p->v, p->cap * sizeof(*p->v));
		if (!p->v)
			abort();
	}
	v = &p->v[p->n++];
	memset(v, 0, sizeof(*v));
	v->type = t;
	v->zone = zone;
	v->spot = spot;
	v->cpus = t->cpus;
	v->gpus = t->gpus;
	v->mem_gb = t->mem_gb;
	return v;
}

static bool vroom_take(struct vroom *v, const struct job_spec *s)
{
	if (v->cpus + 1e-6 < s->cpus || v->gpus + 1e-6 < s->gpus || v->mem_gb + 1e-6 < s->mem_gb ||
	    !machine_allowed(v->type, v->zone, v->spot, s))
		return false;
	v->cpus -= s->cpus;
	v->gpus -= s->gpus;
	v->mem_gb -= s->mem_gb;
	return true;
}

/* Where to begin to look, kept from one look to the next; NULL: none kept. */
static struct fit_from *fit_from(struct plan *p, const struct job_spec *s, bool live,
				 const char *zone)
{
	struct fit_from *f;

	for (size_t i = 0; i < p->nfrom; i++) {
		f = &p->from[i];
		if (f->live == live && !f->zone == !zone && (!zone || !strcmp(f->zone, zone)) &&
		    same_shape(f->spec, s))
			return f;
	}
	if (p->nfrom == RENT_SHAPES_MAX)
		return NULL;
	f = &p->from[p->nfrom++];
	*f = (struct fit_from){.spec = s, .zone = zone, .live = live};
	return f;
}

static bool plan_fit(struct plan *p, const struct job_spec *s, bool live, const char *zone)
{
	struct fit_from *f = fit_from(p, s, live, zone);
	size_t i = f ? f->at : 0;

	for (; i < p->n; i++)
		if ((live || !p->v[i].live) && (!zone || !strcmp(zone, p->v[i].zone)) &&
		    vroom_take(&p->v[i], s))
			break;
	if (f)
		f->at = i;
	return i < p->n;
}

static bool refused(struct core *c, const char *type, const char *zone, bool spot)
{
	struct refusal *r = refusal_find(c, type, zone, spot);

	return r && c->now < r->until;
}

static void note_refusal(struct core *c, const struct rent_req *q, bool no)
{
	struct refusal *r = refusal_find(c, q->type, q->zone, q->spot);

	if (!r) {
		r = calloc(1, sizeof(*r));
		if (!r)
			abort();
		memcpy(r->key, refusal_key(q->type, q->zone, q->spot).text, sizeof(r->key));
		HASH_ADD_STR(c->refusals, key, r);
	}
	if (!no) {
		r->wait = 0;
		r->until = 0;
		return;
	}
	r->wait = r->wait ? r->wait * 2 : RENT_REFUSED_S;
	if (r->wait > RENT_REFUSED_MAX_S)
		r->wait = RENT_REFUSED_MAX_S;
	r->until = c->now + r->wait;
}

static uint32_t per_machine(const struct machine_type *t, const struct job_spec *s)
{
	double n = 1e9;

	if (s->cpus > 0)
		n = fmin(n, t->cpus / s->cpus);
	if (s->gpus > 0)
		n = fmin(n, t->gpus / s->gpus);
	if (s->mem_gb > 0)
		n = fmin(n, t->mem_gb / s->mem_gb);
	return (uint32_t)floor(n + 1e-9);
}

/* Lower is better: money per task where it counts, else time. */
static double rent_cost(const struct core *c, const struct machine_type *t, bool spot,
			const struct job_spec *s, uint32_t tasks)
{
	uint32_t fit = per_machine(t, s);

	if (!fit)
		return INFINITY;
	if (rent_thrifty(c))
		return (spot ? t->spot_price : t->price) / (tasks < fit ? tasks : fit);
	return t->boot_s + (spot ? RENT_SPOT_S : 0) +
	       (s->gpus <= 0 && t->gpus > 0 ? RENT_GPU_WASTE_S : 0);
}

/*
 * In the zone `only`, or anywhere. More than can be asked for in a second need not be planned: a
 * job may have a hundred thousand tasks.
 */
static bool plan_rent(struct core *c, struct plan *p, const struct job_spec *s, uint32_t tasks,
		      bool only_spot, const char *only)
{
	const struct machine_type *best = NULL;
	double best_cost = INFINITY;
	const char *zone = NULL;
	bool spot = false;

	if (p->nwanted >= RENT_BATCH_MAX * c->conf->cloud_rps)
		return false;
	for (size_t i = 0; i < c->ntypes; i++) {
		const struct machine_type *t = &c->types[i];

		for (int z = 0; z < t->nzones; z++)
			for (int k = 0; k < 2; k++) {
				double cost;

				if ((only_spot && !k) || (only && strcmp(only, t->zones[z])) ||
				    !machine_allowed(t, t->zones[z], k, s) ||
				    refused(c, t->name, t->zones[z], k))
					continue;
				cost = rent_cost(c, t, k, s, tasks) *
				       (1 + RENT_JITTER * core_random(c));
				if (cost < best_cost) {
					best_cost = cost;
					best = t;
					zone = t->zones[z];
					spot = k;
				}
			}
	}
	if (!best)
		return false;
	plan_add(p, best, zone, spot)->wanted = true;
	p->nwanted++;
	return plan_fit(p, s, false, only);
}

static void plan_known(struct core *c, struct plan *p)
{
	struct machine *m, *tmp;
	struct rent_req *q;

	HASH_ITER (hh, c->machines, m, tmp) {
		struct vroom *v;

		if (!m->type || m->deleting || m->draining || m->failed || m->notice_s >= 0)
			continue;
		/* Neither one known only from a late copy nor one that does not hear us is room. */
		if (m->last_word < 0 ? !m->expected : !m->hears)
			continue;
		v = plan_add(p, m->type, m->zone, m->spot);
		if (m->last_word < 0)
			continue;
		v->live = true;
		v->cpus = m->cpus;
		v->gpus = m->gpus;
		v->mem_gb = m->mem_gb;
	}
	DL_FOREACH (c->rents, q) {
		for (size_t i = 0; i < c->ntypes; i++)
			for (int k = 0; k < q->count && !strcmp(c->types[i].name, q->type); k++)
				plan_add(p, &c->types[i], q->zone, q->spot);
	}
}

/*
 * Where money counts, a job that can still meet its deadline waits for room that falls free, or for
 * a cheap machine, before an ordinary one is rented for it.
 */
static bool can_wait(const struct core *c, const struct job *j)
{
	double left = j->submitted + j->spec.deadline_s - c->wall;

	return rent_thrifty(c) && j->spec.spot && j->spec.deadline_s >= 0 &&
	       left > RENT_ESTIMATE_FACTOR * j->spec.estimate_s + RENT_LEAD_S;
}

/* Tasks of the job that the rooms of the zone that are to come would take, up to `most`. */
static uint32_t zone_coming(struct plan *p, const struct job_spec *s, const char *zone,
			    uint32_t most)
{
	const struct fit_from *f = fit_from(p, s, false, zone);
	uint32_t n = 0;

	for (size_t i = f ? f->at : 0; i < p->n && n < most; i++) {
		const struct vroom *v = &p->v[i];

		if (!v->live && !strcmp(v->zone, zone) &&
		    machine_allowed(v->type, v->zone, v->spot, s))
			n += room_slots(v->cpus, v->gpus, v->mem_gb, s);
	}
	return n < most ? n : most;
}

/*
 * A gang of one zone gains nothing from room spread over several: it is planned where most of it is
 * on its way already, else where it is cheapest.
 */
static const char *plan_zone(struct core *c, struct plan *p, const struct job_spec *s)
{
	const char *best = NULL;
	uint32_t most = 0, n;

	if (!s->one_zone || s->ntasks == 1 || s->kind == JOB_ARRAY)
		return NULL;
	for (size_t i = 0; i < c->ntypes; i++) {
		const struct machine_type *t = &c->types[i];

		for (int z = 0; z < t->nzones; z++) {
			if (best && !strcmp(best, t->zones[z]))
				continue;
			n = zone_coming(p, s, t->zones[z], s->ntasks);
			if (n > most) {
				most = n;
				best = t->zones[z];
			}
		}
	}
	return best;
}

static void plan_job(struct core *c, struct plan *p, const struct job *j)
{
	const struct job_spec *s = &j->spec;
	const char *zone = plan_zone(c, p, s);
	uint32_t n = job_waiting(j);

	for (uint32_t k = 0; k < n && team_has_room(c, s, k + 1); k++) {
		if (plan_fit(p, s, false, zone))
			continue;
		if (!plan_rent(c, p, s, n - k, can_wait(c, j), zone) &&
		    !(zone && plan_rent(c, p, s, n - k, can_wait(c, j), NULL)))
			break;
		if (!zone && s->one_zone && s->kind != JOB_ARRAY)
			zone = p->v[p->n - 1].zone;
	}
}

/* Waiting tasks that their team may run now; they fit on no live machine, or they would run. */
static void plan_waiting(struct core *c, struct plan *p)
{
	struct job *j, *tmp;

	HASH_ITER (hh, c->jobs, j, tmp) {
		if (!job_waiting(j) || c->now < j->not_before ||
		    (j->bindings && j->spec.kind == JOB_GANG) ||
		    c->wall - j->submitted < RENT_AFTER_S)
			continue;
		plan_job(c, p, j);
	}
}

struct class_use {
	const struct job_spec *spec;
	uint32_t tasks;
};

#define CLASSES_MAX 16

static size_t classes_in_use(struct core *c, struct class_use *use)
{
	struct job *j, *tmp;
	size_t n = 0;

	HASH_ITER (hh, c->jobs, j, tmp) {
		size_t i = 0;

		if (j->orphan)
			continue;
		while (i < n && strcmp(use[i].spec->class_name, j->spec.class_name))
			i++;
		if (i == CLASSES_MAX)
			continue;
		if (i == n) {
			use[n].spec = &j->spec;
			use[n++].tasks = 0;
		}
		use[i].tasks += j->nbound;
	}
	return n;
}

/* A replica that is lost finds room at once: a boot costs its users more than the room. */
static void plan_replicas(struct core *c, struct plan *p)
{
	struct replica_classes classes;

	replica_classes_find(c, &classes);
	for (size_t i = 0; i < classes.count; i++) {
		const struct job_spec *spec = classes.list[i].spec;

		for (uint32_t k = 0; k < REPLICA_SPARE; k++)
			if (!plan_fit(p, spec, true, NULL) &&
			    !plan_rent(c, p, spec, REPLICA_SPARE - k, false, NULL))
				break;
	}
}

/* Where money is no aim, room is kept for what comes next. */
static void plan_headroom(struct core *c, struct plan *p)
{
	double share = c->conf->headroom >= 0 ? c->conf->headroom : HEADROOM_LAVISH;
	struct class_use use[CLASSES_MAX];
	size_t n;

	if (rent_thrifty(c) && c->conf->headroom < 0)
		return;
	n = classes_in_use(c, use);
	for (size_t i = 0; i < n; i++) {
		uint32_t want = (uint32_t)(share * use[i].tasks) + HEADROOM_LAVISH_MIN;

		for (uint32_t k = 0; k < want; k++)
			if (!plan_fit(p, use[i].spec, true, NULL) &&
			    !plan_rent(c, p, use[i].spec, want - k, false, NULL))
				break;
	}
}

/* --- renting --- */

static void on_rent(struct core *c, struct call *call, int status, const char *body, size_t len)
{
	struct rent_req *q;
	char **ids;
	size_t n;

	if (election_stale(c, call))
		return;
	DL_FOREACH (c->rents, q)
		if (!strcmp(q->name, call->key))
			break;
	if (!q)
		return;
	q->out = false;
	if (status == 200 && !wire_rented(body, len, &ids, &n)) {
		log_info("rented", "request=%s type=%s zone=%s spot=%d asked=%d got=%zu", q->name,
			 q->type, q->zone, q->spot, q->count, n);
		for (size_t i = 0; i < n; i++) {
			if (!machine_has_tombstone(c, ids[i])) {
				struct machine *m = machine_get(c, ids[i]);

				machine_describe(c, m, "", q->type, q->zone, q->spot);
				m->expected = true;
			}
			free(ids[i]);
		}
		free(ids);
		note_refusal(c, q, (int)n < q->count);
	} else if (status == 503 && body && strstr(body, "capacity")) {
		log_info("rent_refused", "type=%s zone=%s spot=%d", q->type, q->zone, q->spot);
		note_refusal(c, q, true);
	} else {
		cloud_trouble(c, status);
		if (status != 400 && c->now - q->since < RENT_GIVE_UP_S) {
			q->again = c->now + CLOUD_BACKOFF_S; /* the same name: it rents once */
			return;
		}
	}
	DL_DELETE(c->rents, q);
	free(q);
}

static void rent_send(struct core *c, struct rent_req *q)
{
	struct call *call;

	q->out = true;
	call = core_call(c, c->conf->cloud, "POST", fmt_path(W_PATH_MACHINES),
			 wire_rental(q->name, q->type, q->zone, q->spot, q->count), CALL_CLOUD_S,
			 on_rent, NULL);
	snprintf(call->key, sizeof(call->key), "%s", q->name);
}

/* One request for wanted machines of the first wanted type, zone and kind, as many as it takes. */
static void rent_first(struct core *c, struct plan *p)
{
	struct vroom *first = NULL;
	struct rent_req *q = calloc(1, sizeof(*q));

	if (!q)
		abort();
	for (size_t i = 0; i < p->n && q->count < RENT_BATCH_MAX; i++) {
		struct vroom *v = &p->v[i];

		if (!v->wanted)
			continue;
		if (!first)
			first = v;
		if (v->type != first->type || strcmp(v->zone, first->zone) ||
		    v->spot != first->spot)
			continue;
		v->wanted = false;
		p->nwanted--;
		q->count++;
	}
	snprintf(q->name, sizeof(q->name), "r-%llu-%u", (unsigned long long)c->el.token,
		 ++c->rent_counter);
	snprintf(q->type, sizeof(q->type), "%s", first->type->name);
	snprintf(q->zone, sizeof(q->zone), "%s", first->zone);
	q->spot = first->spot;
	q->since = c->now;
	DL_APPEND(c->rents, q);
	rent_send(c, q);
}

static void rent_look(struct core *c)
{
	struct plan p = {0};

	plan_known(c, &p);
	plan_waiting(c, &p);
	plan_replicas(c, &p);
	plan_headroom(c, &p);
	while (p.nwanted && cloud_take(c))
		rent_first(c, &p);
	free(p.v);
}

static void rent_again(struct core *c)
{
	struct rent_req *q;

	DL_FOREACH (c->rents, q)
		if (!q->out && c->now >= q->again && cloud_take(c))
			rent_send(c, q);
}

void rent_tick(struct core *c)
{
	if (c->now < c->next_rent)
		return;
	c->next_rent = c->now + RENT_EVERY_S;
	returns_look(c);
	if (c->now < c->cloud_again || !c->types)
		return;
	list_tick(c);
	returns_send(c);
	rent_again(c);
	if (c->now - c->lead_since > RENT_SETTLE_S)
		rent_look(c);
}

void rent_clear(struct core *c)
{
	struct rent_req *q, *tmp;
	struct refusal *r, *rtmp;
	struct tombstone *t, *ttmp;

	DL_FOREACH_SAFE (c->rents, q, tmp) {
		DL_DELETE(c->rents, q);
		free(q);
	}
	HASH_ITER (hh, c->refusals, r, rtmp) {
		HASH_DEL(c->refusals, r);
		free(r);
	}
	HASH_ITER (hh, c->tombstones, t, ttmp) {
		HASH_DEL(c->tombstones, t);
		free(t);
	}
	c->list_out = false;
	c->list_after[0] = 0;
	c->next_list = c->next_rent = c->cloud_again = 0;
	c->cloud = (struct allowance){.filled = c->now};
}
