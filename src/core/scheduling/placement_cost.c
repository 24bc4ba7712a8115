/* Computes placement costs, in seconds of waiting. */
#include "core/scheduling/placement_cost.h"

#include <string.h>

#include "core/state.h"

bool job_failed_on(const struct job *job, const struct machine *machine)
{
	const struct job_scheduling *scheduling = &job->scheduling;

	for (int i = 0; i < scheduling->failed_machine_count && i < JOB_FAILED_MACHINES_MAX; i++)
		if (!strcmp(scheduling->failed_machines[i], machine->id))
			return true;
	return false;
}

double placement_cost(const struct core *core, const struct machine *machine, const struct job *job)
{
	const struct job_spec *spec = &job->spec;
	const struct machine_type *type = machine->type;
	double cost = long_poll_start_delay_s(core, machine);

	if (!machine_has_image(machine, spec->image) && type->fetch_gb_per_s > 0)
		cost += spec->image_gb / type->fetch_gb_per_s;
	if (type->cpus > 0)
		cost += WORST_FIT_COST_S * (machine->free_cpus - spec->cpus) / type->cpus;
	if (!machine->binding_count)
		cost += WORST_FIT_COST_S;
	if (job_failed_on(job, machine))
		cost += ERROR_BACKOFF_MAX_S;
	return cost;
}

/* The cost of other replicas of the service on the machine or in its zone: they would be lost
 * together with a replica placed on the machine. */
static double colocation_cost(const struct job *job, const struct machine *machine)
{
	const struct binding *binding;
	double cost = 0;

	DL_FOREACH2 (job->bindings, binding, job_next) {
		if (binding->machine == machine)
			cost += REPLICA_SAME_MACHINE_COST_S;
		else if (!strcmp(binding->machine->zone, machine->zone))
			cost += REPLICA_SAME_ZONE_COST_S;
	}
	return cost;
}

/*
 * Spreads the replicas of a service over machines and zones, so that the loss of one does not stop
 * several of them. Also avoids spot machines, which may be taken back, machines on which jobs
 * failed, and machines whose agent is late with its messages. Each cost is in seconds: another
 * machine is preferred if it fetches the image in less time.
 */
double replica_cost(const struct core *core, const struct job *job, const struct machine *machine)
{
	double silence_s = core->now - machine->agent.last_message_at;
	double cost;

	if (job->spec.kind != JOB_SERVICE)
		return 0;
	cost = colocation_cost(job, machine);
	cost += REPLICA_COLOCATED_COST_S * machine->replica_count;
	/* The machine may have failed without being detected as failed yet. */
	if (silence_s > REPLICA_OVERDUE_REPORTS * core->conf->report_s)
		cost += REPLICA_OVERDUE_COST_S;
	return cost + (machine->spot ? REPLICA_SPOT_COST_S : 0) +
	       machine->scheduling.failed_job_count * REPLICA_SAME_MACHINE_COST_S;
}
