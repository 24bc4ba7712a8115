/* Evaluates the objectives of the settings for jobs, with the deadlines that the jobs specify. */
#include "core/scheduling/objectives.h"

#include <math.h>
#include <string.h>

#include "core/state.h"

/* Returns the tightest wait objective of the job's class that is longer than `wait_s`; 0: there
 * is none. */
static double wait_objective_longer_than(const struct core *core, const struct job *job,
					 double wait_s)
{
	double tightest = 0;

	for (size_t i = 0; i < core->conf->objective_count; i++) {
		const struct conf_objective *objective = &core->conf->objectives[i];

		if (objective->kind != OBJECTIVE_WAIT || objective->within_s <= wait_s ||
		    strcmp(objective->class_name, job->spec.class_name))
			continue;
		if (tightest <= 0 || objective->within_s < tightest)
			tightest = objective->within_s;
	}
	return tightest;
}

double wait_objective_s(const struct core *core, const struct job *job)
{
	return wait_objective_longer_than(core, job, core->wall - job->submitted_at);
}

double tightest_wait_objective_s(const struct core *core, const struct job *job)
{
	return wait_objective_longer_than(core, job, -INFINITY);
}

/*
 * Returns the slots that the array needs at the same time to be done by `factor` times its
 * deadline, by the job's estimate of a task's run time; 0: no task can start now and end by then.
 */
static uint32_t slots_needed(const struct core *core, const struct job *job, double factor)
{
	double deadline = job->submitted_at + factor * job->spec.deadline_s;
	double left_s = deadline - core->wall - ARRAY_START_OVERHEAD_S;
	double task_s = fmax(job->spec.estimate_s, 1);
	uint32_t tasks_left = job->spec.task_count - job->done_count;

	return left_s < task_s ? 0 : (uint32_t)ceil(tasks_left / floor(left_s / task_s));
}

/* Whether the objective is for the job's class and names a multiple of the deadline that is later
 * than the deadline itself. */
static bool is_later_deadline(const struct conf_objective *objective, const struct job *job)
{
	return objective->kind == OBJECTIVE_DEADLINE && objective->times > 1 &&
	       !strcmp(objective->class_name, job->spec.class_name);
}

struct deadline_demand deadline_demand(const struct core *core, struct job *job)
{
	struct deadline_demand demand = {.job = job, .deadline_factor = 1};

	if (job->spec.deadline_s < 0)
		return demand;
	demand.slots = slots_needed(core, job, 1);
	for (size_t i = 0; i < core->conf->objective_count; i++) {
		const struct conf_objective *objective = &core->conf->objectives[i];
		uint32_t slots;

		if (!is_later_deadline(objective, job) ||
		    (demand.slots && objective->times >= demand.deadline_factor))
			continue;
		slots = slots_needed(core, job, objective->times);
		if (!slots)
			continue;
		demand.slots = slots;
		demand.deadline_factor = objective->times;
	}
	return demand;
}
