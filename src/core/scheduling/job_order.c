/* Sorts waiting jobs by priority, and within a priority by wait objectives, deadlines and size. */
#include "core/scheduling/job_order.h"

#include <stdlib.h>
#include <string.h>

#include "core/scheduling/compare.h"
#include "core/scheduling/objectives.h"
#include "core/state.h"
#include "util/xalloc.h"

/*
 * Returns the job's key for the order within a priority: lower keys come first.
 *
 * Gangs and services that can still meet a wait objective come before those that can't, the
 * tightest objective first. If jobs were placed in order of submission while capacity is short,
 * all of them would miss their objectives. Among equal keys the smaller gang comes first, since the
 * capacity of one large gang is enough for several small ones.
 *
 * Gangs and services that have waited longer than ORDER_FIRST_AFTER_S come before all other jobs of
 * the priority. So do gangs with a growing reservation (see reservation.h): otherwise other jobs
 * would use the capacity that falls free before it is reserved.
 *
 * Arrays are ordered by their deadlines, or by submission if they have none.
 */
static double order_key(const struct core *core, const struct job *job)
{
	double objective;

	if (job->spec.kind == JOB_ARRAY)
		return job->submitted_at + (job->spec.deadline_s >= 0 ? job->spec.deadline_s : 0);
	if (job->scheduling.has_growing_reservation ||
	    core->wall - job->submitted_at > ORDER_FIRST_AFTER_S)
		return -ORDER_KEY_EXTREME_S;
	objective = wait_objective_s(core, job);
	return objective > 0 ? objective : ORDER_KEY_EXTREME_S;
}

/* Returns the CPUs that all tasks of the job demand together: they decide between jobs with equal
 * keys. 0 for arrays, whose tasks are placed one by one, and for jobs that come before all others.
 */
static double gang_size(const struct job *job)
{
	if (job->spec.kind == JOB_ARRAY || job->scheduling.order_key < 0)
		return 0;
	return job->spec.task_count * job->spec.cpus;
}

static int compare_jobs(const void *a, const void *b)
{
	const struct job *left = *(struct job *const *)a;
	const struct job *right = *(struct job *const *)b;
	int order = compare_numbers(left->spec.priority, right->spec.priority);

	if (!order)
		order = compare_numbers(left->scheduling.order_key, right->scheduling.order_key);
	if (!order)
		order = compare_numbers(gang_size(left), gang_size(right));
	if (!order)
		order = compare_numbers(left->submitted_at, right->submitted_at);
	return order ? order : strcmp(left->spec.id, right->spec.id);
}

struct job_list waiting_jobs(struct core *core)
{
	struct job_list list = {.jobs = xcalloc(job_count(core), sizeof(*list.jobs))};
	struct job *job, *next;

	JOBS_FOR_EACH (core, job, next) {
		if (!job_waiting_count(job) || core->now < job->scheduling.retry_at)
			continue;
		job->scheduling.order_key = order_key(core, job);
		list.jobs[list.count++] = job;
	}
	qsort(list.jobs, list.count, sizeof(*list.jobs), compare_jobs);
	return list;
}
