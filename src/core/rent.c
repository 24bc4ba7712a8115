/*
 * What is rented for work that waits.
 * A request's name holds the token under which it was made and a counter, so none ever recurs.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/round.h"
#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"

/* The cloud's rate is shared by lists, returns and rentals, whichever comes first in a look. */
bool cloud_take(struct core *core)
{
	allowance_fill(core, &core->rentals.requests, core->conf->cloud_rps * CLOUD_SHARE);
	if (core->rentals.requests.left < 1)
		return false;
	core->rentals.requests.left -= 1;
	return true;
}

void cloud_trouble(struct core *core, int status)
{
	if (status != 200)
		core->rentals.again = core->now + CLOUD_BACKOFF_S;
}

/*
 * A guarantee is a standing promise of room, so room is kept standing for it. Without one, or
 * with an aim in money, machines are rented for work and returned after it.
 */
bool rent_thrifty(const struct core *core)
{
	return !conf_has(core->conf, OBJ_GUARANTEE) || conf_has(core->conf, OBJ_PRICE) ||
	       conf_has(core->conf, OBJ_USEFUL);
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

static struct refusal *refusal_find(struct core *core, const char *type, const char *zone,
				    bool spot)
{
	struct refusal_key key = refusal_key(type, zone, spot);
	struct refusal *refusal;

	HASH_FIND_STR(core->rentals.refusals, key.text, refusal);
	return refusal;
}

/*
 * What is returned can be rented again at once. When many machines of a kind that was refused are
 * lost together, waiting for the refusal's end would leave their work without room meanwhile.
 */
void refusal_lift(struct core *core, const struct machine *machine)
{
	struct refusal *refusal =
	    refusal_find(core, machine->type_name, machine->zone, machine->spot);

	if (refusal)
		refusal->until = refusal->wait = 0;
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

static struct vroom *plan_add(struct plan *plan, const struct machine_type *type, const char *zone,
			      bool spot)
{
	struct vroom *room;

	if (plan->n == plan->cap) {
		plan->cap = plan->cap ? plan->cap * 2 : 64;
		plan->v = realloc(plan->v, plan->cap * sizeof(*plan->v));
		if (!plan->v)
			abort();
	}
	room = &plan->v[plan->n++];
	memset(room, 0, sizeof(*room));
	room->type = type;
	room->zone = zone;
	room->spot = spot;
	room->cpus = type->cpus;
	room->gpus = type->gpus;
	room->mem_gb = type->mem_gb;
	return room;
}

static bool vroom_take(struct vroom *room, const struct job_spec *spec)
{
	if (room->cpus + 1e-6 < spec->cpus || room->gpus + 1e-6 < spec->gpus ||
	    room->mem_gb + 1e-6 < spec->mem_gb ||
	    !machine_allowed(room->type, room->zone, room->spot, spec))
		return false;
	room->cpus -= spec->cpus;
	room->gpus -= spec->gpus;
	room->mem_gb -= spec->mem_gb;
	return true;
}

/* Where to begin to look, kept from one look to the next; NULL: none kept. */
static struct fit_from *fit_from(struct plan *plan, const struct job_spec *spec, bool live,
				 const char *zone)
{
	struct fit_from *start;

	for (size_t i = 0; i < plan->nfrom; i++) {
		start = &plan->from[i];
		if (start->live == live && !start->zone == !zone &&
		    (!zone || !strcmp(start->zone, zone)) && same_shape(start->spec, spec))
			return start;
	}
	if (plan->nfrom == RENT_SHAPES_MAX)
		return NULL;
	start = &plan->from[plan->nfrom++];
	*start = (struct fit_from){.spec = spec, .zone = zone, .live = live};
	return start;
}

static bool plan_fit(struct plan *plan, const struct job_spec *spec, bool live, const char *zone)
{
	struct fit_from *start = fit_from(plan, spec, live, zone);
	size_t i = start ? start->at : 0;

	for (; i < plan->n; i++)
		if ((live || !plan->v[i].live) && (!zone || !strcmp(zone, plan->v[i].zone)) &&
		    vroom_take(&plan->v[i], spec))
			break;
	if (start)
		start->at = i;
	return i < plan->n;
}

static bool refused(struct core *core, const char *type, const char *zone, bool spot)
{
	struct refusal *refusal = refusal_find(core, type, zone, spot);

	return refusal && core->now < refusal->until;
}

static void note_refusal(struct core *core, const struct rent_req *rental, bool no)
{
	struct refusal *refusal = refusal_find(core, rental->type, rental->zone, rental->spot);

	if (!refusal) {
		refusal = calloc(1, sizeof(*refusal));
		if (!refusal)
			abort();
		memcpy(refusal->key, refusal_key(rental->type, rental->zone, rental->spot).text,
		       sizeof(refusal->key));
		HASH_ADD_STR(core->rentals.refusals, key, refusal);
	}
	if (!no) {
		refusal->wait = 0;
		refusal->until = 0;
		return;
	}
	refusal->wait = refusal->wait ? refusal->wait * 2 : RENT_REFUSED_S;
	if (refusal->wait > RENT_REFUSED_MAX_S)
		refusal->wait = RENT_REFUSED_MAX_S;
	refusal->until = core->now + refusal->wait;
}

static uint32_t per_machine(const struct machine_type *type, const struct job_spec *spec)
{
	double n = 1e9;

	if (spec->cpus > 0)
		n = fmin(n, type->cpus / spec->cpus);
	if (spec->gpus > 0)
		n = fmin(n, type->gpus / spec->gpus);
	if (spec->mem_gb > 0)
		n = fmin(n, type->mem_gb / spec->mem_gb);
	return (uint32_t)floor(n + 1e-9);
}

/* Lower is better: money per task where it counts, else time. */
static double rent_cost(const struct core *core, const struct machine_type *type, bool spot,
			const struct job_spec *spec, uint32_t tasks)
{
	uint32_t fit = per_machine(type, spec);

	if (!fit)
		return INFINITY;
	if (rent_thrifty(core))
		return (spot ? type->spot_price : type->price) / (tasks < fit ? tasks : fit);
	return type->boot_s + (spot ? RENT_SPOT_S : 0) +
	       (spec->gpus <= 0 && type->gpus > 0 ? RENT_GPU_WASTE_S : 0);
}

/*
 * In the zone `only`, or anywhere. More than can be asked for in a second need not be planned: a
 * job may have a hundred thousand tasks.
 */
static bool plan_rent(struct core *core, struct plan *plan, const struct job_spec *spec,
		      uint32_t tasks, bool only_spot, const char *only)
{
	const struct machine_type *best = NULL;
	double best_cost = INFINITY;
	const char *zone = NULL;
	bool spot = false;

	if (plan->nwanted >= RENT_BATCH_MAX * core->conf->cloud_rps)
		return false;
	for (size_t i = 0; i < core->catalog.ntypes; i++) {
		const struct machine_type *type = &core->catalog.types[i];

		for (int z = 0; z < type->zones.count; z++)
			for (int k = 0; k < 2; k++) {
				double cost;

				if ((only_spot && !k) ||
				    (only && strcmp(only, type->zones.names[z])) ||
				    !machine_allowed(type, type->zones.names[z], k, spec) ||
				    refused(core, type->name, type->zones.names[z], k))
					continue;
				cost = rent_cost(core, type, k, spec, tasks) *
				       (1 + RENT_JITTER * core_random(core));
				if (cost < best_cost) {
					best_cost = cost;
					best = type;
					zone = type->zones.names[z];
					spot = k;
				}
			}
	}
	if (!best)
		return false;
	plan_add(plan, best, zone, spot)->wanted = true;
	plan->nwanted++;
	return plan_fit(plan, spec, false, only);
}

static void plan_known(struct core *core, struct plan *plan)
{
	struct machine *machine, *tmp;
	struct rent_req *rental;

	HASH_ITER (hh, core->fleet.machines, machine, tmp) {
		struct vroom *room;

		if (!machine->type || machine->deleting || machine->draining || machine->failed ||
		    machine->notice_s >= 0)
			continue;
		/* Neither one known only from a late copy nor one that does not hear us is room. */
		if (machine->last_word < 0 ? !machine->expected : !machine->hears)
			continue;
		room = plan_add(plan, machine->type, machine->zone, machine->spot);
		if (machine->last_word < 0)
			continue;
		room->live = true;
		room->cpus = machine->cpus;
		room->gpus = machine->gpus;
		room->mem_gb = machine->mem_gb;
	}
	DL_FOREACH (core->rentals.requested, rental) {
		for (size_t i = 0; i < core->catalog.ntypes; i++)
			for (int k = 0; k < rental->count &&
					!strcmp(core->catalog.types[i].name, rental->type);
			     k++)
				plan_add(plan, &core->catalog.types[i], rental->zone, rental->spot);
	}
}

/*
 * Where money counts, a job that can still meet its deadline waits for room that falls free, or for
 * a cheap machine, before an ordinary one is rented for it.
 */
static bool can_wait(const struct core *core, const struct job *job)
{
	double left = job->submitted + job->spec.deadline_s - core->wall;

	return rent_thrifty(core) && job->spec.spot && job->spec.deadline_s >= 0 &&
	       left > RENT_ESTIMATE_FACTOR * job->spec.estimate_s + RENT_LEAD_S;
}

/* Tasks of the job that the rooms of the zone that are to come would take, up to `most`. */
static uint32_t zone_coming(struct plan *plan, const struct job_spec *spec, const char *zone,
			    uint32_t most)
{
	const struct fit_from *start = fit_from(plan, spec, false, zone);
	uint32_t n = 0;

	for (size_t i = start ? start->at : 0; i < plan->n && n < most; i++) {
		const struct vroom *room = &plan->v[i];

		if (!room->live && !strcmp(room->zone, zone) &&
		    machine_allowed(room->type, room->zone, room->spot, spec))
			n += room_slots(room->cpus, room->gpus, room->mem_gb, spec);
	}
	return n < most ? n : most;
}

/*
 * A gang of one zone gains nothing from room spread over several: it is planned where most of it is
 * on its way already, else where it is cheapest.
 */
static const char *plan_zone(struct core *core, struct plan *plan, const struct job_spec *spec)
{
	const char *best = NULL;
	uint32_t most = 0, n;

	if (!spec->one_zone || spec->ntasks == 1 || spec->kind == JOB_ARRAY)
		return NULL;
	for (size_t i = 0; i < core->catalog.ntypes; i++) {
		const struct machine_type *type = &core->catalog.types[i];

		for (int z = 0; z < type->zones.count; z++) {
			if (best && !strcmp(best, type->zones.names[z]))
				continue;
			n = zone_coming(plan, spec, type->zones.names[z], spec->ntasks);
			if (n > most) {
				most = n;
				best = type->zones.names[z];
			}
		}
	}
	return best;
}

static void plan_job(struct core *core, struct plan *plan, const struct job *job)
{
	const struct job_spec *spec = &job->spec;
	const char *zone = plan_zone(core, plan, spec);
	uint32_t n = job_waiting(job);

	for (uint32_t k = 0; k < n && team_has_room(core, spec, k + 1); k++) {
		if (plan_fit(plan, spec, false, zone))
			continue;
		if (!plan_rent(core, plan, spec, n - k, can_wait(core, job), zone) &&
		    !(zone && plan_rent(core, plan, spec, n - k, can_wait(core, job), NULL)))
			break;
		if (!zone && spec->one_zone && spec->kind != JOB_ARRAY)
			zone = plan->v[plan->n - 1].zone;
	}
}

/* Waiting tasks that their team may run now; they fit on no live machine, or they would run. */
static void plan_waiting(struct core *core, struct plan *plan)
{
	struct job *job, *tmp;

	HASH_ITER (hh, core->jobs, job, tmp) {
		if (!job_waiting(job) || core->now < job->not_before ||
		    (job->bindings && job->spec.kind == JOB_GANG) ||
		    core->wall - job->submitted < RENT_AFTER_S)
			continue;
		plan_job(core, plan, job);
	}
}

/* A class of jobs, by one of them, and the tasks that its jobs run. */
struct class_use {
	const struct job_spec *spec;
	uint32_t tasks;
};

struct class_list {
	struct class_use *items;
	size_t count;
};

static struct class_use *class_get(struct class_list *classes, const struct job_spec *spec)
{
	for (size_t i = 0; i < classes->count; i++)
		if (!strcmp(classes->items[i].spec->class_name, spec->class_name))
			return &classes->items[i];
	classes->items = realloc(classes->items, (classes->count + 1) * sizeof(*classes->items));
	if (!classes->items)
		abort();
	classes->items[classes->count] = (struct class_use){spec, 0};
	return &classes->items[classes->count++];
}

static void classes_in_use(struct core *core, struct class_list *classes)
{
	struct job *job, *tmp;

	HASH_ITER (hh, core->jobs, job, tmp)
		if (!job->orphan)
			class_get(classes, &job->spec)->tasks += job->nbound;
}

/* Where money is no aim, room is kept for what comes next. */
static void plan_headroom(struct core *core, struct plan *plan)
{
	double share = core->conf->headroom >= 0 ? core->conf->headroom : HEADROOM_LAVISH;
	struct class_list classes = {NULL, 0};

	if (rent_thrifty(core) && core->conf->headroom < 0)
		return;
	classes_in_use(core, &classes);
	for (size_t i = 0; i < classes.count; i++) {
		const struct class_use *use = &classes.items[i];
		uint32_t want = (uint32_t)(share * use->tasks) + HEADROOM_LAVISH_MIN;

		for (uint32_t k = 0; k < want; k++)
			if (!plan_fit(plan, use->spec, true, NULL) &&
			    !plan_rent(core, plan, use->spec, want - k, false, NULL))
				break;
	}
	free(classes.items);
}

/* --- renting --- */

static void on_rent(struct core *core, struct call *call, int status, const char *body, size_t len)
{
	struct rent_req *rental;
	char **ids;
	size_t n;

	if (election_stale(core, call))
		return;
	DL_FOREACH (core->rentals.requested, rental)
		if (!strcmp(rental->name, call->key))
			break;
	if (!rental)
		return;
	rental->out = false;
	if (status == 200 && !wire_rented(body, len, &ids, &n)) {
		log_info("rented", "request=%s type=%s zone=%s spot=%d asked=%d got=%zu",
			 rental->name, rental->type, rental->zone, rental->spot, rental->count, n);
		for (size_t i = 0; i < n; i++) {
			if (!machine_has_tombstone(core, ids[i])) {
				struct machine *machine = machine_get(core, ids[i]);

				machine_describe(core, machine, "", rental->type, rental->zone,
						 rental->spot);
				machine->expected = true;
			}
			free(ids[i]);
		}
		free(ids);
		note_refusal(core, rental, (int)n < rental->count);
	} else if (status == 503 && body && strstr(body, "capacity")) {
		log_info("rent_refused", "type=%s zone=%s spot=%d", rental->type, rental->zone,
			 rental->spot);
		note_refusal(core, rental, true);
	} else {
		cloud_trouble(core, status);
		if (status != 400 && core->now - rental->since < RENT_GIVE_UP_S) {
			rental->again =
			    core->now + CLOUD_BACKOFF_S; /* the same name: it rents once */
			return;
		}
	}
	DL_DELETE(core->rentals.requested, rental);
	free(rental);
}

static void rent_send(struct core *core, struct rent_req *rental)
{
	struct call *call;

	rental->out = true;
	call = core_call(
	    core, core->conf->cloud, "POST", fmt_path(W_PATH_MACHINES),
	    wire_rental(rental->name, rental->type, rental->zone, rental->spot, rental->count),
	    CALL_CLOUD_S, on_rent, NULL);
	snprintf(call->key, sizeof(call->key), "%s", rental->name);
}

/* One request for wanted machines of the first wanted type, zone and kind, as many as it takes. */
static void rent_first(struct core *core, struct plan *plan)
{
	struct vroom *first = NULL;
	struct rent_req *rental = calloc(1, sizeof(*rental));

	if (!rental)
		abort();
	for (size_t i = 0; i < plan->n && rental->count < RENT_BATCH_MAX; i++) {
		struct vroom *room = &plan->v[i];

		if (!room->wanted)
			continue;
		if (!first)
			first = room;
		if (room->type != first->type || strcmp(room->zone, first->zone) ||
		    room->spot != first->spot)
			continue;
		room->wanted = false;
		plan->nwanted--;
		rental->count++;
	}
	snprintf(rental->name, sizeof(rental->name), "r-%llu-%u",
		 (unsigned long long)core->election.token, ++core->rentals.counter);
	snprintf(rental->type, sizeof(rental->type), "%s", first->type->name);
	snprintf(rental->zone, sizeof(rental->zone), "%s", first->zone);
	rental->spot = first->spot;
	rental->since = core->now;
	DL_APPEND(core->rentals.requested, rental);
	rent_send(core, rental);
}

static void rent_look(struct core *core)
{
	struct plan plan = {0};

	plan_known(core, &plan);
	plan_waiting(core, &plan);
	plan_headroom(core, &plan);
	while (plan.nwanted && cloud_take(core))
		rent_first(core, &plan);
	free(plan.v);
}

static void rent_again(struct core *core)
{
	struct rent_req *rental;

	DL_FOREACH (core->rentals.requested, rental)
		if (!rental->out && core->now >= rental->again && cloud_take(core))
			rent_send(core, rental);
}

void rent_tick(struct core *core)
{
	if (core->now < core->rentals.next)
		return;
	core->rentals.next = core->now + RENT_EVERY_S;
	returns_look(core);
	if (core->now < core->rentals.again || !core->catalog.types)
		return;
	list_tick(core);
	returns_send(core);
	rent_again(core);
	if (core->now - core->lead_since > RENT_SETTLE_S)
		rent_look(core);
}

void rent_clear(struct core *core)
{
	struct rent_req *rental, *tmp;
	struct refusal *refusal, *rtmp;
	struct tombstone *tombstone, *ttmp;

	DL_FOREACH_SAFE (core->rentals.requested, rental, tmp) {
		DL_DELETE(core->rentals.requested, rental);
		free(rental);
	}
	HASH_ITER (hh, core->rentals.refusals, refusal, rtmp) {
		HASH_DEL(core->rentals.refusals, refusal);
		free(refusal);
	}
	HASH_ITER (hh, core->rentals.tombstones, tombstone, ttmp) {
		HASH_DEL(core->rentals.tombstones, tombstone);
		free(tombstone);
	}
	core->rentals.list_out = false;
	core->rentals.list_after[0] = 0;
	core->rentals.next_list = core->rentals.next = core->rentals.again = 0;
	core->rentals.requests = (struct allowance){.filled = core->now};
}
