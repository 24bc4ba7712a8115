/* Runs scheduling cycles when they are due. A cycle places the waiting jobs, one priority after
 * another, and then moves replicas off machines that they have to leave. */
#include "core/scheduling/cycle_trigger.h"

#include <stdlib.h>

#include "core/scheduling/array_placement.h"
#include "core/scheduling/cycle.h"
#include "core/scheduling/gang_placement.h"
#include "core/scheduling/job_order.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/service_placement.h"
#include "core/state.h"
#include "util/xalloc.h"

void cycle_request(struct core *core)
{
	if (core->cycles.requested)
		return;
	core->cycles.requested = true;
	core->cycles.next_at =
	    core->now + CYCLE_MIN_INTERVAL_S + CYCLE_INTERVAL_PER_JOB_S * job_count(core);
}

static bool place_gang_or_service(struct scheduling_cycle *cycle, struct job *job)
{
	return job->spec.kind == JOB_GANG ? place_gang(cycle, job) : place_service(cycle, job);
}

/* Places the jobs of one priority: gangs and services in the order of the list, each with
 * preemption if it does not fit, then all arrays together. */
static void place_jobs(struct scheduling_cycle *cycle, const struct job_list *jobs)
{
	struct job_list arrays = {.jobs = xcalloc(jobs->count, sizeof(*arrays.jobs))};

	for (size_t i = 0; i < jobs->count; i++) {
		struct job *job = jobs->jobs[i];

		if (job->spec.kind == JOB_ARRAY)
			arrays.jobs[arrays.count++] = job;
		else if (!place_gang_or_service(cycle, job))
			preemption_make_room(cycle, job);
	}
	place_arrays(cycle, &arrays);
	free(arrays.jobs);
}

/* Returns the jobs from index `first` on that have the priority of the job at `first`. The result
 * shares the array of `jobs`. */
static struct job_list jobs_of_priority(const struct job_list *jobs, size_t first)
{
	struct job_list same = {.jobs = jobs->jobs + first};

	while (first + same.count < jobs->count &&
	       same.jobs[same.count]->spec.priority == same.jobs[0]->spec.priority)
		same.count++;
	return same;
}

/* Records the demands of the tasks that wait for capacity after the cycle. Jobs of teams at their
 * quota wait for something else. */
static void record_waiting_demands(struct core *core, const struct job_list *jobs)
{
	waiting_demands_clear(core);
	for (size_t i = 0; i < jobs->count; i++) {
		const struct job *job = jobs->jobs[i];

		if (job_waiting_count(job) && team_quota_allows(core, &job->spec, 1))
			waiting_demand_add(core, &job->spec);
	}
}

static void run_cycle(struct core *core, const struct job_list *jobs)
{
	const struct job_list no_jobs = {0};
	bool must_move = replicas_must_move(core);
	struct scheduling_cycle cycle;
	struct job_list group;

	/* For the given jobs, cycle_begin omits machines with too little free capacity for any
	 * waiting task. A replica to be moved is not a waiting task and may still fit on such a
	 * machine, so no jobs are given then, and no machine is omitted. */
	cycle_begin(core, &cycle, must_move ? &no_jobs : jobs);
	for (size_t first = 0; first < jobs->count; first += group.count) {
		group = jobs_of_priority(jobs, first);
		place_jobs(&cycle, &group);
	}
	if (must_move)
		move_replicas(&cycle);
	if (cycle.budget_exhausted)
		cycle_request(core);
	cycle_end(&cycle);
}

void cycle_tick(struct core *core)
{
	struct job_list jobs;

	/* The end of a backoff, or a heartbeat that has become too old, raises no event. */
	if (core->now >= core->cycles.next_periodic_at)
		cycle_request(core);
	if (!core->cycles.requested || core->now < core->cycles.next_at)
		return;
	/* Cleared before the cycle runs, since the cycle may request the next one. */
	core->cycles.requested = false;
	core->cycles.next_periodic_at = core->now + CYCLE_PERIOD_S;
	if (election_renewal_age(core) > LEADER_TTL_MS / 1000.0 * 2)
		return; /* the state service does not answer, so no binding could be committed */
	jobs = waiting_jobs(core);
	if (jobs.count || replicas_must_move(core))
		run_cycle(core, &jobs);
	record_waiting_demands(core, &jobs);
	free(jobs.jobs);
}
