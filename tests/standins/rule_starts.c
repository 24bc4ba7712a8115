/* Rules about what runs where: checked at each start, and for cancelled jobs at each tick. */
#include <string.h>

#include <utlist.h>

#include "standins/job_fit.h"
#include "standins/rules.h"
#include "standins/standin.h"

/* --- at each start --- */

static void check_ran_twice(struct standin *standin, const struct standin_task *task)
{
	const struct standin_task *other;

	DL_FOREACH2 (task->job->tasks, other, job_next)
		if (other != task && other->index == task->index && task_holds_room(other))
			standin_rule_broken(standin, RULE_RAN_TWICE, "%s/%u on %s and %s",
					    task->job_id, task->index, other->machine->id,
					    task->machine->id);
}

static void check_started_cancelled(struct standin *standin, const struct standin_task *task)
{
	if (job_cancel_overdue(standin, task->job))
		standin_rule_broken(standin, RULE_RAN_CANCELLED, "%s started", task->job_id);
}

static void check_machine_allowed(struct standin *standin, const struct standin_task *task)
{
	const struct job_spec *spec = &task->job->spec;
	const struct standin_machine *machine = task->machine;
	bool zone_allowed = !*spec->zone || !strcmp(spec->zone, machine->zone);
	bool kind_allowed = spec->spot || !machine->spot;

	if (!job_allows_type(task->job, machine->type) || !zone_allowed || !kind_allowed)
		standin_rule_broken(standin, RULE_WRONG_PLACE, "job %s on %s", spec->id,
				    machine->id);
}

static void check_one_zone(struct standin *standin, const struct standin_task *task)
{
	const struct job_spec *spec = &task->job->spec;
	const struct standin_task *other;

	if (!spec->one_zone)
		return;
	DL_FOREACH2 (task->job->tasks, other, job_next)
		if (task_holds_room(other) && strcmp(other->machine->zone, task->machine->zone))
			standin_rule_broken(standin, RULE_WRONG_PLACE, "job %s in two zones",
					    spec->id);
}

static void check_spread(struct standin *standin, const struct standin_task *task)
{
	const struct job_spec *spec = &task->job->spec;
	uint32_t most = (spec->task_count + 1) / 2;
	uint32_t in_zone = 0;
	const struct standin_task *other;

	if (!spec->spread)
		return;
	DL_FOREACH2 (task->job->tasks, other, job_next)
		in_zone +=
		    task_holds_room(other) && !strcmp(other->machine->zone, task->machine->zone);
	if (in_zone > most)
		standin_rule_broken(standin, RULE_WRONG_PLACE, "job %s not spread", spec->id);
}

/* What a team's tasks use on machines. */
static struct team_use team_use_on_machines(const struct standin *standin, const char *team)
{
	struct team_use use = {0};
	const struct standin_job *job;
	const struct standin_task *task;

	for (job = standin->jobs; job; job = job->hh.next) {
		if (strcmp(job->spec.team, team))
			continue;
		DL_FOREACH2 (job->tasks, task, job_next) {
			if (!task_holds_room(task))
				continue;
			use.cpus += job->spec.cpus;
			use.gpus += job->spec.gpus;
		}
	}
	return use;
}

static void check_quota(struct standin *standin, const struct standin_task *task)
{
	const struct conf_team *team = job_team(standin, task->job);
	struct team_use use;

	if (!team || (team->cpus_max <= 0 && team->gpus_max <= 0))
		return;
	use = team_use_on_machines(standin, team->name);
	if (!team_allows(team, &use))
		standin_rule_broken(standin, RULE_QUOTA, "team %s uses %.1f cpus %.1f gpus",
				    team->name, use.cpus, use.gpus);
}

typedef void start_check(struct standin *standin, const struct standin_task *task);

static start_check *const start_checks[] = {
    check_ran_twice, check_started_cancelled, check_machine_allowed, check_one_zone, check_spread,
    check_quota,
};

/* A gang begins with the start of its last task, another job with its first. */
static void note_begin(const struct standin *standin, struct standin_job *job)
{
	uint32_t least = job->spec.kind == JOB_GANG ? job->spec.task_count : 1;

	if (job->began_at >= 0)
		return;
	job->starts_seen++;
	if (job->starts_seen >= least)
		job->began_at = standin->now;
}

static void count_start(struct standin *standin, const struct standin_task *task)
{
	struct standin_job *job = task->job;

	standin->starts_after_cancellation += job->known_cancelled;
	standin->starts_total++;
	note_begin(standin, job);
	job->starts++;
	task->machine->last_start_at = standin->now;
}

void check_start(struct standin *standin, const struct standin_task *task)
{
	count_start(standin, task);
	for (size_t i = 0; i < sizeof(start_checks) / sizeof(*start_checks); i++)
		start_checks[i](standin, task);
}

/* --- at each tick --- */

static void check_ran_on(struct standin *standin, const struct standin_task *task)
{
	if (task_holds_room(task) && job_cancel_overdue(standin, task->job))
		standin_rule_broken(standin, RULE_RAN_CANCELLED, "%s/%u on %s", task->job_id,
				    task->index, task->machine->id);
}

void check_cancelled_tasks(struct standin *standin)
{
	for (int i = 0; i < standin->machine_count; i++) {
		const struct standin_task *task = standin->machines[i].tasks;

		for (; task; task = task->next)
			check_ran_on(standin, task);
	}
}
