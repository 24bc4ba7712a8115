#include "core/autoscale/planned_rooms.h"

#include <stdlib.h>
#include <string.h>

#include "core/scheduling/cycle.h"
#include "core/state.h"
#include "util/xalloc.h"

/* Elements that are allocated for a plan when its first machine is added. */
#define PLAN_INITIAL_ALLOCATION 64

/* Adds the capacity of an empty machine. The pointer is valid until the next machine is added. */
static struct planned_machine *add_empty_machine(struct capacity_plan *plan,
						 const struct machine_type *type, const char *zone,
						 enum purchase_kind kind)
{
	struct planned_machine *planned;

	if (plan->count == plan->allocated) {
		plan->allocated = plan->allocated ? plan->allocated * 2 : PLAN_INITIAL_ALLOCATION;
		plan->machines =
		    xreallocarray(plan->machines, plan->allocated, sizeof(*plan->machines));
	}
	planned = &plan->machines[plan->count++];
	*planned = (struct planned_machine){
	    .type = type,
	    .zone = zone,
	    .kind = kind,
	    .cpus = type->cpus,
	    .gpus = type->gpus,
	    .mem_gb = type->mem_gb,
	};
	return planned;
}

/* Whether tasks can be placed on the machine, now or once it has booted. */
static bool counts_as_capacity(const struct machine *machine)
{
	if (!machine->type || machine->cloud.deleting || machine->cloud.draining ||
	    machine->cloud.failed || machine->agent.notice_s >= 0)
		return false;
	/* Without a message of its agent in this term, a machine counts only if the cloud has
	 * granted or listed it: one that only a record or a late copy of a report names may no
	 * longer exist. A machine that our messages do not reach does not count either. */
	if (machine->agent.last_message_at < 0)
		return machine->cloud.expected;
	return machine->agent.reachable;
}

/* Adds a known machine. One whose agent has sent no message in this term counts as an empty,
 * pending machine. */
static void add_known_machine(struct capacity_plan *plan, const struct machine *machine)
{
	struct planned_machine *planned =
	    add_empty_machine(plan, machine->type, machine->zone, purchase_kind_of(machine));

	if (machine->agent.last_message_at < 0)
		return;
	planned->running = true;
	planned->cpus = machine->free_cpus;
	planned->gpus = machine->free_gpus;
	planned->mem_gb = machine->free_mem_gb;
}

/* Adds the machines of a rental request. */
static void add_requested_machines(const struct core *core, struct capacity_plan *plan,
				   const struct rental_request *request)
{
	for (size_t i = 0; i < catalog_type_count(core); i++) {
		const struct machine_type *type = catalog_type(core, i);

		if (strcmp(type->name, request->type))
			continue;
		for (int machine = 0; machine < request->count; machine++)
			add_empty_machine(plan, type, request->zone, request->kind);
	}
}

void capacity_plan_init(const struct core *core, struct capacity_plan *plan)
{
	const struct rental_request *request;
	struct machine *machine, *next;

	memset(plan, 0, sizeof(*plan));
	MACHINES_FOR_EACH (core, machine, next)
		if (counts_as_capacity(machine))
			add_known_machine(plan, machine);
	DL_FOREACH (core->autoscale.rental_requests, request)
		add_requested_machines(core, plan, request);
}

void capacity_plan_clear(struct capacity_plan *plan)
{
	free(plan->machines);
	memset(plan, 0, sizeof(*plan));
}

void capacity_plan_add_machine(struct capacity_plan *plan, const struct machine_offer *offer)
{
	add_empty_machine(plan, offer->type, offer->zone, offer->kind)->to_request = true;
	plan->to_request_count++;
}

static bool is_type_allowed(const struct planned_machine *planned, const struct job_spec *spec)
{
	return machine_type_allowed(planned->type, planned->zone, planned->kind == SPOT, spec);
}

/* Allocates capacity for one task on the machine; false if the task does not fit there. */
static bool allocate_task(struct planned_machine *planned, const struct job_spec *spec)
{
	if (planned->cpus + ROOM_SLACK < spec->cpus || planned->gpus + ROOM_SLACK < spec->gpus ||
	    planned->mem_gb + ROOM_SLACK < spec->mem_gb || !is_type_allowed(planned, spec))
		return false;
	planned->cpus -= spec->cpus;
	planned->gpus -= spec->gpus;
	planned->mem_gb -= spec->mem_gb;
	return true;
}

static bool is_in_scope(const struct planned_machine *planned, enum plan_scope scope,
			const char *zone)
{
	if (scope == PLAN_PENDING_MACHINES && planned->running)
		return false;
	return !zone || !strcmp(zone, planned->zone);
}

/* Whether two searches are limited to the same zone; NULL stands for all zones. */
static bool is_same_zone(const char *a, const char *b)
{
	if (!a || !b)
		return a == b;
	return !strcmp(a, b);
}

/* Returns the search for jobs of this shape, and begins one if there is none. NULL: there are
 * already SCALE_OUT_SEARCHES_MAX others, so the progress of this one can't be kept. */
static struct plan_search *find_search(struct capacity_plan *plan, const struct job_spec *spec,
				       enum plan_scope scope, const char *zone)
{
	struct plan_search *search;

	for (size_t i = 0; i < plan->search_count; i++) {
		search = &plan->searches[i];
		if (search->scope == scope && is_same_zone(search->zone, zone) &&
		    same_shape(search->spec, spec))
			return search;
	}
	if (plan->search_count == SCALE_OUT_SEARCHES_MAX)
		return NULL;
	search = &plan->searches[plan->search_count++];
	*search = (struct plan_search){.spec = spec, .zone = zone, .scope = scope};
	return search;
}

bool capacity_plan_allocate_task(struct capacity_plan *plan, const struct job_spec *spec,
				 enum plan_scope scope, const char *zone)
{
	struct plan_search *search = find_search(plan, spec, scope, zone);
	size_t index = search ? search->index : 0;

	while (index < plan->count && !(is_in_scope(&plan->machines[index], scope, zone) &&
					allocate_task(&plan->machines[index], spec)))
		index++;
	if (search)
		search->index = index;
	return index < plan->count;
}

uint32_t capacity_plan_count_pending_slots(struct capacity_plan *plan, const struct job_spec *spec,
					   const char *zone, uint32_t max_slots)
{
	const struct plan_search *search = find_search(plan, spec, PLAN_PENDING_MACHINES, zone);
	uint32_t slots = 0;

	for (size_t i = search ? search->index : 0; i < plan->count && slots < max_slots; i++) {
		const struct planned_machine *planned = &plan->machines[i];

		if (is_in_scope(planned, PLAN_PENDING_MACHINES, zone) &&
		    is_type_allowed(planned, spec))
			slots += room_slots(planned->cpus, planned->gpus, planned->mem_gb, spec);
	}
	return slots < max_slots ? slots : max_slots;
}
