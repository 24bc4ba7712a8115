/* Plans to scale out for tasks that wait. They fit on no running machine, or they would run. */
#include <string.h>

#include "core/autoscale/scale_out.h"
#include "core/state.h"

/*
 * Where money counts, a job that can still meet its deadline waits for room that falls free, or for
 * a spot machine, before an on-demand one is requested for it.
 */
static bool can_wait(const struct core *core, const struct job *job)
{
	const struct job_spec *spec = &job->spec;
	double remaining_s = job->submitted_at + spec->deadline_s - core->wall;

	return autoscale_minimises_cost(core) && spec->spot && spec->deadline_s >= 0 &&
	       remaining_s > SCALE_OUT_ESTIMATE_FACTOR * spec->estimate_s + SCALE_OUT_LEAD_S;
}

/* Of the catalog's zones, the one with most room to come for the job; NULL: none has any. */
static const char *zone_with_most_to_come(const struct core *core, struct planned_rooms *rooms,
					  const struct job_spec *spec)
{
	const char *zone_with_most = NULL;
	uint32_t most = 0;

	for (size_t i = 0; i < catalog_type_count(core); i++) {
		const struct name_list *zones = &catalog_type(core, i)->zones;

		for (int j = 0; j < zones->count; j++) {
			const char *zone = zones->names[j];
			uint32_t slots;

			if (zone_with_most && !strcmp(zone_with_most, zone))
				continue;
			slots = planned_rooms_slots_to_come(rooms, spec, zone, spec->task_count);
			if (slots > most) {
				most = slots;
				zone_with_most = zone;
			}
		}
	}
	return zone_with_most;
}

static bool needs_one_zone(const struct job_spec *spec)
{
	return spec->one_zone && spec->kind != JOB_ARRAY;
}

/*
 * The zone to plan a job in; NULL: any. A gang of one zone gains nothing from room spread over
 * several: it is planned where most of it is on its way already, else where it is cheapest.
 */
static const char *initial_zone(const struct core *core, struct planned_rooms *rooms,
				const struct job_spec *spec)
{
	if (!needs_one_zone(spec) || spec->task_count == 1)
		return NULL;
	return zone_with_most_to_come(core, rooms, spec);
}

/* Plans a machine in the demand's zone, or elsewhere if that has no offer. */
static bool plan_machine_near(struct core *core, struct planned_rooms *rooms,
			      const struct machine_demand *demand)
{
	struct machine_demand anywhere = *demand;

	if (scale_out_plan_machine(core, rooms, demand))
		return true;
	if (!demand->zone)
		return false;
	anywhere.zone = NULL;
	return scale_out_plan_machine(core, rooms, &anywhere);
}

static void plan_job(struct core *core, struct planned_rooms *rooms, const struct job *job)
{
	const struct job_spec *spec = &job->spec;
	uint32_t waiting = job_waiting_count(job);
	struct machine_demand demand = {
	    .spec = spec,
	    .zone = initial_zone(core, rooms, spec),
	    .choice = can_wait(core, job) ? SPOT_ONLY : ANY_KIND,
	};

	for (uint32_t i = 0; i < waiting && team_quota_allows(core, spec, i + 1); i++) {
		if (planned_rooms_take(rooms, spec, ROOMS_TO_COME, demand.zone))
			continue;
		demand.tasks = waiting - i;
		if (!plan_machine_near(core, rooms, &demand))
			break;
		/* The others of a gang follow its first machine. */
		if (!demand.zone && needs_one_zone(spec))
			demand.zone = rooms->list[rooms->count - 1].zone;
	}
}

/* Whether the job has tasks that could run now if there were room. */
static bool lacks_room(const struct core *core, const struct job *job)
{
	bool gang_is_bound = job->bindings && job->spec.kind == JOB_GANG;

	return job_waiting_count(job) && core->now >= job->scheduling.retry_at && !gang_is_bound &&
	       core->wall - job->submitted_at >= SCALE_OUT_AFTER_S;
}

void scale_out_plan_jobs(struct core *core, struct planned_rooms *rooms)
{
	struct job *job, *next;

	JOBS_FOR_EACH (core, job, next)
		if (lacks_room(core, job))
			plan_job(core, rooms, job);
}
