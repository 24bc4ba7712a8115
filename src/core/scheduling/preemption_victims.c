/*
 * Decides which tasks preemption may stop: tasks of arrays that have a lower priority, or whose
 * team uses more than its guarantee. Tasks that would miss a deadline just because of the restart
 * are not stopped.
 */
#include "core/scheduling/preemption_victims.h"

#include <string.h>

#include "core/scheduling/objectives.h"
#include "core/state.h"

uint32_t preemption_task_count(const struct job *job)
{
	if (job->spec.kind == JOB_SERVICE)
		return job_waiting_count(job);
	return job->spec.kind == JOB_ARRAY ? 1 : job->spec.task_count;
}

/* --- guarantees of teams --- */

/* Whether the team would use all its guaranteed CPUs, or all its guaranteed GPUs, even without one
 * task of the job. */
static bool keeps_guarantee_without_task(const struct team *team, const struct job_spec *spec)
{
	if (team->cpus - spec->cpus >= team->conf->cpus)
		return true;
	return spec->gpus > 0 && team->conf->gpus > 0 &&
	       team->gpus - spec->gpus >= team->conf->gpus;
}

/* Whether the team would stay within its guarantee with so many more tasks of the job. */
static bool stays_within_guarantee(const struct team *team, const struct job_spec *spec,
				   double tasks)
{
	return team->cpus + tasks * spec->cpus <= team->conf->cpus &&
	       (spec->gpus <= 0 || team->gpus + tasks * spec->gpus <= team->conf->gpus);
}

/*
 * Whether the binding uses borrowed capacity that has to be returned to the job's team. What a team
 * uses beyond its guarantee is borrowed. It is returned to a team that stays within its own
 * guarantee with all tasks of the job for which capacity is to be freed. A team without guaranteed
 * CPUs neither borrows nor lends.
 */
static bool is_borrowed_capacity(struct core *core, const struct binding *binding,
				 const struct job *job)
{
	const struct team *borrower = team_find(core, binding->job->spec.team);
	const struct team *lender = team_find(core, job->spec.team);

	if (!borrower || !lender || borrower == lender)
		return false;
	if (lender->conf->cpus <= 0 || borrower->conf->cpus <= 0)
		return false;
	return stays_within_guarantee(lender, &job->spec, preemption_task_count(job)) &&
	       keeps_guarantee_without_task(borrower, &binding->job->spec);
}

/* --- deadlines and wait objectives --- */

/*
 * Whether the deadline of the task's job is still ahead, but too near for the task to meet if it
 * started again. Stopping it would just replace one missed objective by another. After the deadline
 * the objective is missed anyway, so the task may be stopped.
 */
static bool restart_would_miss_deadline(const struct core *core, const struct binding *binding)
{
	const struct job_spec *spec = &binding->job->spec;
	double left_s = binding->job->submitted_at + spec->deadline_s - core->wall;
	double restart_s = spec->estimate_s * RESTART_ESTIMATE_FACTOR + RESTART_OVERHEAD_S;

	return spec->deadline_s >= 0 && left_s > 0 && left_s < restart_s;
}

/* Whether the array needs all slots that it has now to be done by its deadline. */
static bool needs_all_slots(const struct core *core, struct job *array)
{
	return array->bound_count <= deadline_demand(core, array).slots;
}

/* Whether tasks of the victim may be stopped because it has a lower priority than the job. */
static bool may_stop_lower_priority(const struct core *core, const struct job *job,
				    struct job *victim)
{
	if (victim->spec.priority <= job->spec.priority)
		return false;
	/* A gang or array that can't meet a wait objective, or has none, must not make another
	 * array miss its deadline. A gang may get a growing reservation instead. */
	return job->spec.kind == JOB_SERVICE || wait_objective_s(core, job) > 0 ||
	       !needs_all_slots(core, victim);
}

static bool may_stop(struct core *core, const struct job *job, const struct binding *binding)
{
	struct job *victim = binding->job;

	if (victim->spec.kind != JOB_ARRAY || victim->orphan ||
	    restart_would_miss_deadline(core, binding))
		return false;
	return may_stop_lower_priority(core, job, victim) ||
	       is_borrowed_capacity(core, binding, job);
}

bool preemption_may_reclaim(const struct preemption_demand *demand, const struct binding *binding)
{
	if (binding->stopping)
		return true;
	if (demand->scope == VICTIMS_OF_OWN_TEAM &&
	    strcmp(binding->job->spec.team, demand->job->spec.team))
		return false;
	return may_stop(demand->core, demand->job, binding);
}

/* --- costs of stopping a task --- */

double stop_cost_s(const struct core *core, const struct binding *binding)
{
	/* A task that has run longer is nearer to its end, so it costs more to stop. */
	return 1 + (binding->running_since > 0 ? core->now - binding->running_since : 0);
}

double stop_grace_s(const struct binding *binding)
{
	/* Saving needs the full time; 1 s more is for the stop to reach the agent. */
	return binding->job->spec.checkpoint_s > 0 ? binding->job->spec.save_s + 1 : 0;
}
