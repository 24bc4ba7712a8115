/*
 * What is rented for work that waits.
 * A request's name holds the token under which it was made and a counter, so none ever recurs.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/scheduling/cycle.h"
#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"
#include "util/xalloc.h"

/* The cloud's rate is shared by lists, returns and rentals, whichever comes first in a look. */
bool cloud_request_allowed(struct core *core)
{
	rate_limiter_refill(core, &core->autoscale.request_limiter,
			    core->conf->cloud_rps * CLOUD_SHARE);
	if (core->autoscale.request_limiter.tokens < 1)
		return false;
	core->autoscale.request_limiter.tokens -= 1;
	return true;
}

void cloud_note_answer(struct core *core, const struct call_answer *answer)
{
	if (answer->status != STATUS_OK)
		core->autoscale.retry_at = core->now + CLOUD_BACKOFF_S;
}

/*
 * A guarantee is a standing promise of room, so room is kept standing for it. Without one, or
 * with an aim in money, machines are rented for work and returned after it.
 */
bool autoscale_minimises_cost(const struct core *core)
{
	return !conf_has(core->conf, OBJECTIVE_GUARANTEE) ||
	       conf_has(core->conf, OBJECTIVE_PRICE) || conf_has(core->conf, OBJECTIVE_USEFUL);
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

static struct capacity_refusal *capacity_refusal_find(struct core *core, const char *type,
						      const char *zone, bool spot)
{
	struct refusal_key key = refusal_key(type, zone, spot);
	struct capacity_refusal *refusal;

	HASH_FIND_STR(core->autoscale.refusals, key.text, refusal);
	return refusal;
}

/*
 * What is returned can be rented again at once. When many machines of a kind that was refused are
 * lost together, waiting for the refusal's end would leave their work without room meanwhile.
 */
void capacity_refusal_lift(struct core *core, const struct machine *machine)
{
	struct capacity_refusal *refusal =
	    capacity_refusal_find(core, machine->type_name, machine->zone, machine->spot);

	if (refusal)
		refusal->retry_at = refusal->backoff_s = 0;
}

/* --- what is missing --- */

/* Room that is there or will be: a live machine's rest, one that boots, one to be rented. */
struct vroom {
	const struct machine_type *type;
	const char *zone;
	bool spot;
	bool to_rent; /* to be rented now */
	bool running;
	double cpus, gpus, mem_gb;
};

/* Rooms before `at` are too small for a shape in a zone: while a plan is made they only shrink. */
struct fit_from {
	const struct job_spec *spec;
	const char *zone; /* NULL: anywhere */
	bool running;
	size_t index;
};

struct plan {
	struct vroom *rooms;
	size_t room_count, capacity;
	size_t to_rent_count;
	struct fit_from from[SCALE_OUT_SHAPES_MAX];
	size_t from_count;
};

static struct vroom *plan_add(struct plan *plan, const struct machine_type *type, const char *zone,
			      bool spot)
{
	struct vroom *room;

	if (plan->room_count == plan->capacity) {
		plan->capacity = plan->capacity ? plan->capacity * 2 : 64;
		plan->rooms = xreallocarray(plan->rooms, plan->capacity, sizeof(*plan->rooms));
	}
	room = &plan->rooms[plan->room_count++];
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
	    !machine_type_allowed(room->type, room->zone, room->spot, spec))
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

	for (size_t i = 0; i < plan->from_count; i++) {
		start = &plan->from[i];
		if (start->running == live && !start->zone == !zone &&
		    (!zone || !strcmp(start->zone, zone)) && same_shape(start->spec, spec))
			return start;
	}
	if (plan->from_count == SCALE_OUT_SHAPES_MAX)
		return NULL;
	start = &plan->from[plan->from_count++];
	*start = (struct fit_from){.spec = spec, .zone = zone, .running = live};
	return start;
}

static bool plan_fit(struct plan *plan, const struct job_spec *spec, bool live, const char *zone)
{
	struct fit_from *start = fit_from(plan, spec, live, zone);
	size_t i = start ? start->index : 0;

	for (; i < plan->room_count; i++)
		if ((live || !plan->rooms[i].running) &&
		    (!zone || !strcmp(zone, plan->rooms[i].zone)) &&
		    vroom_take(&plan->rooms[i], spec))
			break;
	if (start)
		start->index = i;
	return i < plan->room_count;
}

static bool refused(struct core *core, const char *type, const char *zone, bool spot)
{
	struct capacity_refusal *refusal = capacity_refusal_find(core, type, zone, spot);

	return refusal && core->now < refusal->retry_at;
}

static void note_refusal(struct core *core, const struct rental_request *rental, bool no)
{
	struct capacity_refusal *refusal =
	    capacity_refusal_find(core, rental->type, rental->zone, rental->spot);

	if (!refusal) {
		refusal = xcalloc(1, sizeof(*refusal));
		memcpy(refusal->key, refusal_key(rental->type, rental->zone, rental->spot).text,
		       sizeof(refusal->key));
		HASH_ADD_STR(core->autoscale.refusals, key, refusal);
	}
	if (!no) {
		refusal->backoff_s = 0;
		refusal->retry_at = 0;
		return;
	}
	refusal->backoff_s = refusal->backoff_s ? refusal->backoff_s * 2 : SCALE_OUT_REFUSED_S;
	if (refusal->backoff_s > SCALE_OUT_REFUSED_MAX_S)
		refusal->backoff_s = SCALE_OUT_REFUSED_MAX_S;
	refusal->retry_at = core->now + refusal->backoff_s;
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
	if (autoscale_minimises_cost(core))
		return (spot ? type->spot_price : type->price) / (tasks < fit ? tasks : fit);
	return type->boot_s + (spot ? SCALE_OUT_SPOT_S : 0) +
	       (spec->gpus <= 0 && type->gpus > 0 ? SCALE_OUT_GPU_WASTE_S : 0);
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

	if (plan->to_rent_count >= SCALE_OUT_BATCH_MAX * core->conf->cloud_rps)
		return false;
	for (size_t i = 0; i < catalog_type_count(core); i++) {
		const struct machine_type *type = catalog_type(core, i);

		for (int z = 0; z < type->zones.count; z++)
			for (int k = 0; k < 2; k++) {
				double cost;

				if ((only_spot && !k) ||
				    (only && strcmp(only, type->zones.names[z])) ||
				    !machine_type_allowed(type, type->zones.names[z], k, spec) ||
				    refused(core, type->name, type->zones.names[z], k))
					continue;
				cost = rent_cost(core, type, k, spec, tasks) *
				       (1 + SCALE_OUT_JITTER * core_random(core));
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
	plan_add(plan, best, zone, spot)->to_rent = true;
	plan->to_rent_count++;
	return plan_fit(plan, spec, false, only);
}

static void plan_known(struct core *core, struct plan *plan)
{
	struct machine *machine, *tmp;
	struct rental_request *rental;

	MACHINES_FOR_EACH (core, machine, tmp) {
		struct vroom *room;

		if (!machine->type || machine->cloud.deleting || machine->cloud.draining ||
		    machine->cloud.failed || machine->agent.notice_s >= 0)
			continue;
		/* Neither one known only from a late copy nor one that does not hear us is room. */
		if (machine->agent.last_message_at < 0 ? !machine->cloud.expected
						       : !machine->agent.reachable)
			continue;
		room = plan_add(plan, machine->type, machine->zone, machine->spot);
		if (machine->agent.last_message_at < 0)
			continue;
		room->running = true;
		room->cpus = machine->free_cpus;
		room->gpus = machine->free_gpus;
		room->mem_gb = machine->free_mem_gb;
	}
	DL_FOREACH (core->autoscale.rental_requests, rental) {
		for (size_t i = 0; i < catalog_type_count(core); i++)
			for (int k = 0; k < rental->count &&
					!strcmp(catalog_type(core, i)->name, rental->type);
			     k++)
				plan_add(plan, catalog_type(core, i), rental->zone, rental->spot);
	}
}

/*
 * Where money counts, a job that can still meet its deadline waits for room that falls free, or for
 * a cheap machine, before an ordinary one is rented for it.
 */
static bool can_wait(const struct core *core, const struct job *job)
{
	double left = job->submitted_at + job->spec.deadline_s - core->wall;

	return autoscale_minimises_cost(core) && job->spec.spot && job->spec.deadline_s >= 0 &&
	       left > SCALE_OUT_ESTIMATE_FACTOR * job->spec.estimate_s + SCALE_OUT_LEAD_S;
}

/* Tasks of the job that the rooms of the zone that are to come would take, up to `most`. */
static uint32_t zone_coming(struct plan *plan, const struct job_spec *spec, const char *zone,
			    uint32_t most)
{
	const struct fit_from *start = fit_from(plan, spec, false, zone);
	uint32_t n = 0;

	for (size_t i = start ? start->index : 0; i < plan->room_count && n < most; i++) {
		const struct vroom *room = &plan->rooms[i];

		if (!room->running && !strcmp(room->zone, zone) &&
		    machine_type_allowed(room->type, room->zone, room->spot, spec))
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

	if (!spec->one_zone || spec->task_count == 1 || spec->kind == JOB_ARRAY)
		return NULL;
	for (size_t i = 0; i < catalog_type_count(core); i++) {
		const struct machine_type *type = catalog_type(core, i);

		for (int z = 0; z < type->zones.count; z++) {
			if (best && !strcmp(best, type->zones.names[z]))
				continue;
			n = zone_coming(plan, spec, type->zones.names[z], spec->task_count);
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
	uint32_t n = job_waiting_count(job);

	for (uint32_t k = 0; k < n && team_has_room(core, spec, k + 1); k++) {
		if (plan_fit(plan, spec, false, zone))
			continue;
		if (!plan_rent(core, plan, spec, n - k, can_wait(core, job), zone) &&
		    !(zone && plan_rent(core, plan, spec, n - k, can_wait(core, job), NULL)))
			break;
		if (!zone && spec->one_zone && spec->kind != JOB_ARRAY)
			zone = plan->rooms[plan->room_count - 1].zone;
	}
}

/* Waiting tasks that their team may run now; they fit on no live machine, or they would run. */
static void plan_waiting(struct core *core, struct plan *plan)
{
	struct job *job, *tmp;

	JOBS_FOR_EACH (core, job, tmp) {
		if (!job_waiting_count(job) || core->now < job->scheduling.retry_at ||
		    (job->bindings && job->spec.kind == JOB_GANG) ||
		    core->wall - job->submitted_at < SCALE_OUT_AFTER_S)
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
	classes->items =
	    xreallocarray(classes->items, (classes->count + 1), sizeof(*classes->items));
	classes->items[classes->count] = (struct class_use){spec, 0};
	return &classes->items[classes->count++];
}

static void classes_in_use(struct core *core, struct class_list *classes)
{
	struct job *job, *tmp;

	JOBS_FOR_EACH (core, job, tmp)
		if (!job->orphan)
			class_get(classes, &job->spec)->tasks += job->bound_count;
}

/* Where money is no aim, room is kept for what comes next. */
static void plan_headroom(struct core *core, struct plan *plan)
{
	double share = core->conf->headroom >= 0 ? core->conf->headroom : HEADROOM_GUARANTEE;
	struct class_list classes = {NULL, 0};

	if (autoscale_minimises_cost(core) && core->conf->headroom < 0)
		return;
	classes_in_use(core, &classes);
	for (size_t i = 0; i < classes.count; i++) {
		const struct class_use *use = &classes.items[i];
		uint32_t want = (uint32_t)(share * use->tasks) + HEADROOM_GUARANTEE_MIN;

		for (uint32_t k = 0; k < want; k++)
			if (!plan_fit(plan, use->spec, true, NULL) &&
			    !plan_rent(core, plan, use->spec, want - k, false, NULL))
				break;
	}
	free(classes.items);
}

/* --- renting --- */

static void on_rent(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct rental_request *rental;
	char **ids;
	size_t n;

	if (election_call_is_stale(core, call))
		return;
	DL_FOREACH (core->autoscale.rental_requests, rental)
		if (!strcmp(rental->name, call->key))
			break;
	if (!rental)
		return;
	rental->in_flight = false;
	if (answer->status == STATUS_OK && !wire_rented(answer->body, answer->len, &ids, &n)) {
		log_info("scale_out", "request=%s type=%s zone=%s spot=%d asked=%d got=%zu",
			 rental->name, rental->type, rental->zone, rental->spot, rental->count, n);
		for (size_t i = 0; i < n; i++) {
			if (!machine_has_tombstone(core, ids[i])) {
				struct machine *machine = machine_find_or_add(core, ids[i]);

				machine_set_identity(core, machine, "", rental->type, rental->zone,
						     rental->spot);
				machine->cloud.expected = true;
			}
			free(ids[i]);
		}
		free(ids);
		note_refusal(core, rental, (int)n < rental->count);
	} else if (answer->status == STATUS_UNAVAILABLE && answer->body &&
		   strstr(answer->body, "capacity")) {
		log_info("scale_out_refused", "type=%s zone=%s spot=%d", rental->type, rental->zone,
			 rental->spot);
		note_refusal(core, rental, true);
	} else {
		cloud_note_answer(core, answer);
		if (answer->status != STATUS_BAD_REQUEST &&
		    core->now - rental->requested_at < SCALE_OUT_GIVE_UP_S) {
			rental->retry_at =
			    core->now + CLOUD_BACKOFF_S; /* the same name: it rents once */
			return;
		}
	}
	DL_DELETE(core->autoscale.rental_requests, rental);
	free(rental);
}

static void rent_send(struct core *core, struct rental_request *rental)
{
	struct call *call;

	rental->in_flight = true;
	call = core_call(
	    core, core->conf->cloud, "POST", format_path(W_PATH_MACHINES),
	    wire_rental(rental->name, rental->type, rental->zone, rental->spot, rental->count),
	    CALL_CLOUD_S, on_rent, NULL);
	snprintf(call->key, sizeof(call->key), "%s", rental->name);
}

/* One request for wanted machines of the first wanted type, zone and kind, as many as it takes. */
static void rent_first(struct core *core, struct plan *plan)
{
	struct vroom *first = NULL;
	struct rental_request *rental = xcalloc(1, sizeof(*rental));

	for (size_t i = 0; i < plan->room_count && rental->count < SCALE_OUT_BATCH_MAX; i++) {
		struct vroom *room = &plan->rooms[i];

		if (!room->to_rent)
			continue;
		if (!first)
			first = room;
		if (room->type != first->type || strcmp(room->zone, first->zone) ||
		    room->spot != first->spot)
			continue;
		room->to_rent = false;
		plan->to_rent_count--;
		rental->count++;
	}
	snprintf(rental->name, sizeof(rental->name), "r-%llu-%u",
		 (unsigned long long)election_token(core), ++core->autoscale.request_counter);
	snprintf(rental->type, sizeof(rental->type), "%s", first->type->name);
	snprintf(rental->zone, sizeof(rental->zone), "%s", first->zone);
	rental->spot = first->spot;
	rental->requested_at = core->now;
	DL_APPEND(core->autoscale.rental_requests, rental);
	rent_send(core, rental);
}

static void rent_look(struct core *core)
{
	struct plan plan = {0};

	plan_known(core, &plan);
	plan_waiting(core, &plan);
	plan_headroom(core, &plan);
	while (plan.to_rent_count && cloud_request_allowed(core))
		rent_first(core, &plan);
	free(plan.rooms);
}

static void rent_again(struct core *core)
{
	struct rental_request *rental;

	DL_FOREACH (core->autoscale.rental_requests, rental)
		if (!rental->in_flight && core->now >= rental->retry_at &&
		    cloud_request_allowed(core))
			rent_send(core, rental);
}

void autoscale_request_scan(struct core *core)
{
	core->autoscale.next_scan_at = core->now;
}

void autoscale_tick(struct core *core)
{
	if (core->now < core->autoscale.next_scan_at)
		return;
	core->autoscale.next_scan_at = core->now + AUTOSCALE_EVERY_S;
	scale_in_scan(core);
	if (core->now < core->autoscale.retry_at || !catalog_is_known(core))
		return;
	inventory_tick(core);
	scale_in_send_deletes(core);
	rent_again(core);
	if (core->now - core->leading_since > AUTOSCALE_SETTLE_S)
		rent_look(core);
}

void autoscale_clear(struct core *core)
{
	struct rental_request *rental, *tmp;
	struct capacity_refusal *refusal, *rtmp;

	DL_FOREACH_SAFE (core->autoscale.rental_requests, rental, tmp) {
		DL_DELETE(core->autoscale.rental_requests, rental);
		free(rental);
	}
	HASH_ITER (hh, core->autoscale.refusals, refusal, rtmp) {
		HASH_DEL(core->autoscale.refusals, refusal);
		free(refusal);
	}
	core->autoscale.inventory_in_flight = false;
	core->autoscale.inventory_cursor[0] = 0;
	core->autoscale.next_inventory_at = core->autoscale.next_scan_at =
	    core->autoscale.retry_at = 0;
	core->autoscale.request_limiter = (struct rate_limiter){.refilled_at = core->now};
}
