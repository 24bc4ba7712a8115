/* Places replicas, and moves them off machines that they have to leave. */
#include "core/scheduling/service_placement.h"

#include "core/scheduling/placement.h"
#include "core/scheduling/reservation.h"
#include "core/state.h"
#include "util/log.h"

bool place_service(struct scheduling_cycle *cycle, struct job *job)
{
	while (place_next_task(cycle, job, ROOM_ANY))
		;
	if (job_waiting_count(job))
		return false;
	reservation_release(cycle->core, job);
	return true;
}

static bool may_be_moved(const struct binding *binding)
{
	const struct job *job = binding->job;

	return !binding->stopping && binding->observed && job->spec.kind == JOB_SERVICE &&
	       !job->orphan && !job->cancelled;
}

/*
 * Stops a replica so that it can start on another machine, and reserves capacity on the other
 * machine: the replica can't run on both machines at the same time. If the replica fits on no other
 * machine, it goes on running.
 */
static void move_replica(struct scheduling_cycle *cycle, struct binding *binding)
{
	struct job *job = binding->job;
	struct machine *target;

	if (!may_be_moved(binding))
		return;
	target = find_machine(cycle, job, ROOM_ANY);
	if (!target || machine_is_reserved_for_other(target, job))
		return;
	reservation_add_task(target, job);
	job->scheduling.reserved_until = cycle->core->now + PREEMPT_RESERVE_S;
	cycle_subtract_demand(cycle, target, &job->spec);
	log_info("replica_moving", "job=%s task=%u machine=%s to=%s", job->spec.id, binding->task,
		 binding->machine->id, target->id);
	binding_stop(cycle->core, binding, 0);
}

void move_replicas(struct scheduling_cycle *cycle)
{
	struct machine *machine, *next;
	struct binding *binding;

	MACHINES_FOR_EACH (cycle->core, machine, next) {
		if (!machine->replica_count || !replica_must_move(cycle->core, machine))
			continue;
		DL_FOREACH2 (machine->bindings, binding, machine_next)
			move_replica(cycle, binding);
	}
}
