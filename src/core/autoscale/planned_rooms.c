#include "core/autoscale/planned_rooms.h"

#include <stdlib.h>
#include <string.h>

#include "core/scheduling/cycle.h"
#include "core/state.h"
#include "util/xalloc.h"

/* Elements that the list has when it is first allocated. */
#define ROOMS_FIRST_CAPACITY 64

/* Adds the capacity of an empty machine. The pointer is valid until the next machine is added. */
static struct planned_room *add_room(struct planned_rooms *rooms, const struct machine_type *type,
				     const char *zone, enum purchase_kind kind)
{
	struct planned_room *room;

	if (rooms->count == rooms->capacity) {
		rooms->capacity = rooms->capacity ? rooms->capacity * 2 : ROOMS_FIRST_CAPACITY;
		rooms->list = xreallocarray(rooms->list, rooms->capacity, sizeof(*rooms->list));
	}
	room = &rooms->list[rooms->count++];
	*room = (struct planned_room){
	    .type = type,
	    .zone = zone,
	    .kind = kind,
	    .cpus = type->cpus,
	    .gpus = type->gpus,
	    .mem_gb = type->mem_gb,
	};
	return room;
}

/* Whether tasks can be placed on the machine, now or once it has booted. */
static bool is_room(const struct machine *machine)
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
static void add_machine(struct planned_rooms *rooms, const struct machine *machine)
{
	struct planned_room *room =
	    add_room(rooms, machine->type, machine->zone, purchase_kind_of(machine));

	if (machine->agent.last_message_at < 0)
		return;
	room->running = true;
	room->cpus = machine->free_cpus;
	room->gpus = machine->free_gpus;
	room->mem_gb = machine->free_mem_gb;
}

/* Adds the machines of a rental request. */
static void add_requested(const struct core *core, struct planned_rooms *rooms,
			  const struct rental_request *request)
{
	for (size_t i = 0; i < catalog_type_count(core); i++) {
		const struct machine_type *type = catalog_type(core, i);

		if (strcmp(type->name, request->type))
			continue;
		for (int machine = 0; machine < request->count; machine++)
			add_room(rooms, type, request->zone, request->kind);
	}
}

void planned_rooms_init(const struct core *core, struct planned_rooms *rooms)
{
	const struct rental_request *request;
	struct machine *machine, *next;

	memset(rooms, 0, sizeof(*rooms));
	MACHINES_FOR_EACH (core, machine, next)
		if (is_room(machine))
			add_machine(rooms, machine);
	DL_FOREACH (core->autoscale.rental_requests, request)
		add_requested(core, rooms, request);
}

void planned_rooms_clear(struct planned_rooms *rooms)
{
	free(rooms->list);
	memset(rooms, 0, sizeof(*rooms));
}

void planned_rooms_request(struct planned_rooms *rooms, const struct machine_offer *offer)
{
	add_room(rooms, offer->type, offer->zone, offer->kind)->to_request = true;
	rooms->to_request_count++;
}

static bool is_type_allowed(const struct planned_room *room, const struct job_spec *spec)
{
	return machine_type_allowed(room->type, room->zone, room->kind == SPOT, spec);
}

/* Allocates capacity for one task on the machine; false if the task does not fit there. */
static bool room_take(struct planned_room *room, const struct job_spec *spec)
{
	if (room->cpus + ROOM_SLACK < spec->cpus || room->gpus + ROOM_SLACK < spec->gpus ||
	    room->mem_gb + ROOM_SLACK < spec->mem_gb || !is_type_allowed(room, spec))
		return false;
	room->cpus -= spec->cpus;
	room->gpus -= spec->gpus;
	room->mem_gb -= spec->mem_gb;
	return true;
}

static bool is_in_scope(const struct planned_room *room, enum room_scope scope, const char *zone)
{
	if (scope == ROOMS_TO_COME && room->running)
		return false;
	return !zone || !strcmp(zone, room->zone);
}

/* Whether two searches are limited to the same zone; NULL stands for all zones. */
static bool is_same_zone(const char *a, const char *b)
{
	if (!a || !b)
		return a == b;
	return !strcmp(a, b);
}

/* Returns the search for jobs of this shape, and begins one if there is none. NULL: there are
 * already SCALE_OUT_SEARCHES_MAX others, so its progress can't be kept. */
static struct room_search *find_search(struct planned_rooms *rooms, const struct job_spec *spec,
				       enum room_scope scope, const char *zone)
{
	struct room_search *search;

	for (size_t i = 0; i < rooms->search_count; i++) {
		search = &rooms->searches[i];
		if (search->scope == scope && is_same_zone(search->zone, zone) &&
		    same_shape(search->spec, spec))
			return search;
	}
	if (rooms->search_count == SCALE_OUT_SEARCHES_MAX)
		return NULL;
	search = &rooms->searches[rooms->search_count++];
	*search = (struct room_search){.spec = spec, .zone = zone, .scope = scope};
	return search;
}

bool planned_rooms_take(struct planned_rooms *rooms, const struct job_spec *spec,
			enum room_scope scope, const char *zone)
{
	struct room_search *search = find_search(rooms, spec, scope, zone);
	size_t index = search ? search->index : 0;

	while (index < rooms->count && !(is_in_scope(&rooms->list[index], scope, zone) &&
					 room_take(&rooms->list[index], spec)))
		index++;
	if (search)
		search->index = index;
	return index < rooms->count;
}

uint32_t planned_rooms_slots_to_come(struct planned_rooms *rooms, const struct job_spec *spec,
				     const char *zone, uint32_t most)
{
	const struct room_search *search = find_search(rooms, spec, ROOMS_TO_COME, zone);
	uint32_t slots = 0;

	for (size_t i = search ? search->index : 0; i < rooms->count && slots < most; i++) {
		const struct planned_room *room = &rooms->list[i];

		if (is_in_scope(room, ROOMS_TO_COME, zone) && is_type_allowed(room, spec))
			slots += room_slots(room->cpus, room->gpus, room->mem_gb, spec);
	}
	return slots < most ? slots : most;
}
