/*
 * Sets and removes reservations on machines, and decides when a gang's growing reservation begins,
 * in which zone, and which free capacity it takes in each cycle.
 */
#include "core/scheduling/reservation.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "core/scheduling/objectives.h"
#include "core/state.h"
#include "util/log.h"

/* --- the reservation on one machine --- */

bool machine_is_reserved_for_other(const struct machine *machine, const struct job *job)
{
	const struct job *owner = machine->scheduling.reserved_for;

	return owner && owner != job;
}

void reservation_set(struct machine *machine, struct job *job, uint32_t tasks)
{
	machine->scheduling.reserved_for = tasks ? job : NULL;
	machine->scheduling.reserved_tasks = tasks;
}

void reservation_add_task(struct machine *machine, struct job *job)
{
	bool present = machine->scheduling.reserved_for == job;

	reservation_set(machine, job, present ? machine->scheduling.reserved_tasks + 1 : 1);
}

void reservation_remove_task(struct machine *machine, const struct job *job)
{
	struct machine_scheduling *scheduling = &machine->scheduling;

	if (scheduling->reserved_for != job)
		return;
	scheduling->reserved_tasks--;
	if (!scheduling->reserved_tasks)
		scheduling->reserved_for = NULL;
}

void reservation_release(struct core *core, struct job *job)
{
	struct machine *machine, *next;

	if (!job->scheduling.reserved_until)
		return;
	job->scheduling.reserved_until = 0;
	job->scheduling.has_growing_reservation = false;
	job->scheduling.reserved_zone[0] = 0;
	MACHINES_FOR_EACH (core, machine, next)
		if (machine->scheduling.reserved_for == job)
			reservation_set(machine, NULL, 0);
}

/* --- deciding when a growing reservation begins --- */

static double total_cpus(const struct job *job)
{
	return job->spec.task_count * job->spec.cpus;
}

static double usable_cpus(struct core *core)
{
	struct machine *machine, *next;
	double cpus = 0;

	MACHINES_FOR_EACH (core, machine, next)
		if (machine->type && machine_is_usable(core, machine))
			cpus += machine->type->cpus;
	return cpus;
}

/*
 * Limits growing reservations, since reserved capacity idles. The gang gets one if few other gangs
 * have one, or if the CPUs of the gang and of those others are a small share of the fleet's. The
 * limits are wider for a gang that has waited long.
 */
static bool is_within_limits(struct core *core, const struct job *gang, double waited_s)
{
	bool waited_long = waited_s >= RESERVE_LONG_WAIT_S;
	uint32_t gangs_max = waited_long ? RESERVE_MAX_GANGS_LONG_WAIT : RESERVE_MAX_GANGS;
	double share_max = waited_long ? RESERVE_CPU_SHARE_LONG_WAIT : RESERVE_CPU_SHARE;
	uint32_t gangs = 0;
	double cpus = total_cpus(gang);
	struct job *job, *next;

	JOBS_FOR_EACH (core, job, next) {
		if (!job->scheduling.has_growing_reservation)
			continue;
		gangs++;
		cpus += total_cpus(job);
	}
	return gangs < gangs_max || cpus <= share_max * usable_cpus(core);
}

/*
 * Returns the seconds that a gang has to wait before it may get a growing reservation. Reserved
 * capacity idles, and the capacity of a large gang is enough for several small ones, so a gang
 * whose next wait objective is far away waits longer.
 */
static double reserve_after_s(const struct core *core, const struct job *job)
{
	double lead_begins_s = wait_objective_s(core, job) - RESERVE_LEAD_S;

	return fmin(ORDER_FIRST_AFTER_S, fmax(RESERVE_AFTER_S, lead_begins_s));
}

bool reservation_may_begin(struct core *core, const struct job *job)
{
	double waited_s = core->wall - job->submitted_at;

	return waited_s >= reserve_after_s(core, job) && is_within_limits(core, job, waited_s);
}

/* --- reserving capacity that falls free --- */

/* Whether the job may reserve capacity in the room. An empty `zone` allows rooms of all zones. The
 * pools (struct pool) must be evaluated for the job with cycle_evaluate_pools. */
static bool may_reserve_room(const struct scheduling_cycle *cycle, const struct machine_room *room,
			     const struct job *job, const char *zone)
{
	const struct pool *pool = &cycle->pools[room->pool];

	return pool->allowed && (!*zone || !strcmp(zone, pool->zone)) &&
	       !machine_is_reserved_for_other(room->machine, job);
}

/* Returns the zone's free slots for the job, plus a share of the slots that the zone's machines
 * would have if they were empty: some of the slots in use are expected to fall free soon enough. */
static double expected_slots(const struct scheduling_cycle *cycle, const struct job *job,
			     const char *zone)
{
	double slots = 0;

	for (size_t i = 0; i < cycle->room_count; i++) {
		const struct machine_room *room = &cycle->rooms[i];
		const struct machine_type *type = room->machine->type;

		if (!may_reserve_room(cycle, room, job, zone))
			continue;
		slots += free_room_slots(&room->free, &job->spec) +
			 RESERVE_USED_SHARE *
			     room_slots(type->cpus, type->gpus, type->mem_gb, &job->spec);
	}
	return slots;
}

/* Returns the zone with the most expected slots for the job (see expected_slots): enough slots are
 * probably free there soonest. NULL: no zone has any. */
static const char *zone_with_most_slots(const struct scheduling_cycle *cycle, const struct job *job)
{
	const char *best = NULL;
	double best_slots = 0;

	for (size_t i = 0; i < cycle->pool_count; i++) {
		double slots = expected_slots(cycle, job, cycle->pools[i].zone);

		if (slots > best_slots) {
			best_slots = slots;
			best = cycle->pools[i].zone;
		}
	}
	return best;
}

void reservation_renew(struct scheduling_cycle *cycle, struct job *job)
{
	uint32_t tasks_left = job->spec.task_count;

	cycle_evaluate_pools(cycle, &job->spec);
	for (size_t i = 0; i < cycle->room_count; i++) {
		const struct machine_room *room = &cycle->rooms[i];
		uint32_t tasks;

		if (!may_reserve_room(cycle, room, job, job->scheduling.reserved_zone))
			continue;
		tasks = free_room_slots(&room->free, &job->spec);
		if (tasks > tasks_left)
			tasks = tasks_left;
		reservation_set(room->machine, job, tasks);
		tasks_left -= tasks;
	}
	job->scheduling.reserved_until = cycle->core->now + RESERVE_EXTEND_S;
}

void reservation_begin(struct scheduling_cycle *cycle, struct job *job)
{
	struct job_scheduling *scheduling = &job->scheduling;
	const char *zone;

	cycle_evaluate_pools(cycle, &job->spec);
	zone = zone_with_most_slots(cycle, job);
	if (!zone)
		return;
	if (job->spec.one_zone)
		snprintf(scheduling->reserved_zone, sizeof(scheduling->reserved_zone), "%s", zone);
	scheduling->has_growing_reservation = true;
	reservation_renew(cycle, job);
	log_info("reservation_started", "job=%s tasks=%u zone=%s waited=%.1f", job->spec.id,
		 job->spec.task_count, scheduling->reserved_zone,
		 cycle->core->wall - job->submitted_at);
}
