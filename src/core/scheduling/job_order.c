/* The order of waiting jobs: by priority, and within it by objectives, deadlines and size. */
#include "core/scheduling/job_order.h"

#include <stdlib.h>
#include <string.h>

#include "core/scheduling/compare.h"
#include "core/scheduling/objectives.h"
#include "core/state.h"
#include "util/xalloc.h"

/*
 * The order within a priority: lower keys first. When not all can be served in time, first come
 * would make all of them late: gangs that can still meet a wait objective go before those that have
 * missed it, the tightest objective first. Among those, small before large: one large gang's room
 * serves several. Who has waited long goes before all; so does who has a reservation that grows,
 * else others take what falls free before it is reserved. Arrays go by their deadlines.
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

/* CPUs of a gang, for comparison with others alike; an array is served task by task. */
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
