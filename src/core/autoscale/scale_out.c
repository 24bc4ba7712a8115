/* The scan that plans the missing machines, and the rental requests for them. */
#include "core/autoscale/scale_out.h"

#include <string.h>

#include "core/state.h"

static bool is_same_pool(const struct planned_room *a, const struct planned_room *b)
{
	return a->type == b->type && a->kind == b->kind && !strcmp(a->zone, b->zone);
}

/* Sends one request for planned machines of the same pool as the first of them: for as many as one
 * request may name. */
static void request_first_pool(struct core *core, struct planned_rooms *rooms)
{
	const struct planned_room *first = NULL;
	struct capacity_pool pool;
	int count = 0;

	for (size_t i = 0; i < rooms->count && count < SCALE_OUT_BATCH_MAX; i++) {
		struct planned_room *room = &rooms->list[i];

		if (!room->to_request)
			continue;
		if (!first)
			first = room;
		if (!is_same_pool(room, first))
			continue;
		room->to_request = false;
		rooms->to_request_count--;
		count++;
	}
	if (!first)
		return;
	pool = (struct capacity_pool){first->type->name, first->zone, first->kind};
	rental_request_send(core, pool, count);
}

void scale_out_scan(struct core *core)
{
	struct planned_rooms rooms;

	planned_rooms_init(core, &rooms);
	scale_out_plan_jobs(core, &rooms);
	scale_out_plan_headroom(core, &rooms);
	while (rooms.to_request_count && cloud_request_allowed(core))
		request_first_pool(core, &rooms);
	planned_rooms_clear(&rooms);
}
