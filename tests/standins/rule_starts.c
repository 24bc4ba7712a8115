/*
 * Rules on which tasks may run, and where. They are checked when a task starts, which is when its
 * image has been fetched; for cancelled jobs also at each tick.
 */
#include <string.h>

#include <utlist.h>

#include "standins/job_fit.h"
#include "standins/rules.h"
#include "standins/standin.h"

/* --- checks at each start --- */

/* Rule ran_twice: no task starts while another attempt of it has started and not exited. */
static void check_ran_twice(struct standin *standin, const struct standin_task *task)
{
	const struct standin_task *other;

	DL_FOREACH2 (task->job->tasks, other, job_next)
		if (other != task && other->index == task->index && task_counts_as_running(other))
			standin_record_broken_rule(
			    standin, RULE_RAN_TWICE,
			    "task %s/%u started on machine %s (attempt %llu) while it "
			    "runs on machine %s (attempt %llu)",
			    task->job_id, task->index, task->machine->id,
			    (unsigned long long)task->attempt, other->machine->id,
			    (unsigned long long)other->attempt);
}

/*
 * Rule ran_cancelled: no task starts when conf->cancel_s have passed since a user learned of its
 * job's cancellation. Before that its tasks may still run, and start.
 */
static void check_started_cancelled(struct standin *standin, const struct standin_task *task)
{
	if (job_cancel_overdue(standin, task->job))
		standin_record_broken_rule(
		    standin, RULE_RAN_CANCELLED,
		    "task %s/%u started on machine %s %.1f s after its job was shown as "
		    "cancelled, expected at most %.1f s",
		    task->job_id, task->index, task->machine->id,
		    standin->now - task->job->known_cancelled_at, standin->conf->cancel_s);
}

/* Rule wrong_place: a task starts only on a machine type, in a zone and on a spot machine if its
 * job allows that. */
static void check_machine_allowed(struct standin *standin, const struct standin_task *task)
{
	const struct job_spec *spec = &task->job->spec;
	const struct standin_machine *machine = task->machine;
	bool type_allowed = job_allows_type(task->job, machine->type);
	bool zone_allowed = !*spec->zone || !strcmp(spec->zone, machine->zone);
	bool spot_allowed = spec->spot || !machine->spot;

	if (!type_allowed || !zone_allowed || !spot_allowed)
		standin_record_broken_rule(
		    standin, RULE_WRONG_PLACE,
		    "task %s/%u started on machine %s, which its job does not allow: "
		    "type %s (allowed: %s), zone %s (expected: %s), %s (allowed: %s)",
		    spec->id, task->index, machine->id, machine->type->name,
		    type_allowed ? "yes" : "no", machine->zone, *spec->zone ? spec->zone : "any",
		    machine->spot ? "spot" : "on demand", spot_allowed ? "yes" : "no");
}

/* Rule wrong_place: the tasks of a job that wants one zone run in the same zone. */
static void check_one_zone(struct standin *standin, const struct standin_task *task)
{
	const struct job_spec *spec = &task->job->spec;
	const struct standin_task *other;

	if (!spec->one_zone)
		return;
	DL_FOREACH2 (task->job->tasks, other, job_next)
		if (task_counts_as_running(other) &&
		    strcmp(other->machine->zone, task->machine->zone))
			standin_record_broken_rule(
			    standin, RULE_WRONG_PLACE,
			    "task %s/%u started in zone %s while task %u runs in zone "
			    "%s, expected one zone",
			    spec->id, task->index, task->machine->zone, other->index,
			    other->machine->zone);
}

/* Rule wrong_place: at most half of the tasks of a spread job, rounded up, run in one zone. */
static void check_spread(struct standin *standin, const struct standin_task *task)
{
	const struct job_spec *spec = &task->job->spec;
	uint32_t max_in_zone = (spec->task_count + 1) / 2;
	uint32_t in_zone = 0;
	const struct standin_task *other;

	if (!spec->spread)
		return;
	DL_FOREACH2 (task->job->tasks, other, job_next)
		in_zone += task_counts_as_running(other) &&
			   !strcmp(other->machine->zone, task->machine->zone);
	if (in_zone > max_in_zone)
		standin_record_broken_rule(
		    standin, RULE_WRONG_PLACE,
		    "job %s is not spread: %u of its %u tasks run in zone %s, expected "
		    "at most %u",
		    spec->id, in_zone, spec->task_count, task->machine->zone, max_in_zone);
}

/* The use of a team's tasks that have started and not exited. */
static struct team_use team_use_on_machines(const struct standin *standin, const char *team)
{
	struct team_use use = {0};
	const struct standin_job *job;
	const struct standin_task *task;

	for (job = standin->jobs; job; job = job->hh.next) {
		if (strcmp(job->spec.team, team))
			continue;
		DL_FOREACH2 (job->tasks, task, job_next) {
			if (!task_counts_as_running(task))
				continue;
			use.cpus += job->spec.cpus;
			use.gpus += job->spec.gpus;
		}
	}
	return use;
}

/* Rule quota: with this start, the team's tasks stay within the team's quota. */
static void check_quota(struct standin *standin, const struct standin_task *task)
{
	const struct conf_team *team = job_team(standin, task->job);
	struct team_use use;

	if (!team || (team->cpus_max <= 0 && team->gpus_max <= 0))
		return;
	use = team_use_on_machines(standin, team->name);
	if (!team_allows(team, &use))
		standin_record_broken_rule(
		    standin, RULE_QUOTA,
		    "team %s uses %.1f CPUs and %.1f GPUs after the start of task %s/%u, "
		    "expected at most %.1f CPUs and %.1f GPUs (0: no limit)",
		    team->name, use.cpus, use.gpus, task->job_id, task->index, team->cpus_max,
		    team->gpus_max);
}

typedef void start_check(struct standin *standin, const struct standin_task *task);

static start_check *const start_checks[] = {
    check_ran_twice, check_started_cancelled, check_machine_allowed, check_one_zone, check_spread,
    check_quota,
};

/*
 * Sets when the job began, once it has. A gang begins when as many attempts have started as it has
 * tasks, another job with its first start.
 */
static void update_began_at(const struct standin *standin, struct standin_job *job)
{
	uint32_t needed = job->spec.kind == JOB_GANG ? job->spec.task_count : 1;

	if (job->began_at >= 0)
		return;
	job->starts_until_begin++;
	if (job->starts_until_begin >= needed)
		job->began_at = standin->now;
}

static void count_start(struct standin *standin, const struct standin_task *task)
{
	struct standin_job *job = task->job;

	standin->starts_after_cancellation += job->known_cancelled;
	standin->starts_total++;
	update_began_at(standin, job);
	job->starts++;
	task->machine->last_start_at = standin->now;
}

void check_task_start(struct standin *standin, const struct standin_task *task)
{
	count_start(standin, task);
	for (size_t i = 0; i < sizeof(start_checks) / sizeof(*start_checks); i++)
		start_checks[i](standin, task);
}

/* --- checks at each tick --- */

/*
 * Rule ran_cancelled: no task runs on when conf->cancel_s have passed since a user learned of its
 * job's cancellation.
 */
static void check_running_cancelled(struct standin *standin, const struct standin_task *task)
{
	if (task_counts_as_running(task) && job_cancel_overdue(standin, task->job))
		standin_record_broken_rule(
		    standin, RULE_RAN_CANCELLED,
		    "task %s/%u runs on machine %s %.1f s after its job was shown as "
		    "cancelled, expected at most %.1f s",
		    task->job_id, task->index, task->machine->id,
		    standin->now - task->job->known_cancelled_at, standin->conf->cancel_s);
}

void check_cancelled_tasks(struct standin *standin)
{
	for (int i = 0; i < standin->machine_count; i++) {
		const struct standin_task *task = standin->machines[i].tasks;

		for (; task; task = task->next)
			check_running_cancelled(standin, task);
	}
}
