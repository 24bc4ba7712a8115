/* The rule that no job waits beside room for it. */
#include <string.h>

#include "standins/job_fit.h"
#include "standins/rules.h"
#include "standins/standin.h"

#define CHECK_INTERVAL_S 4.0 /* seconds between checks */
#define WAIT_MAX_S 90.0	     /* seconds a job may wait beside room once faults are over */
/* seconds without a start on a machine: room that the next start takes is in use */
#define ROOM_STEADY_S 10.0

/* --- what is in use --- */

static void count_bound_tasks(struct standin *standin)
{
	struct standin_job *job;

	for (job = standin->jobs; job; job = job->hh.next)
		job->bound_tasks = 0;
	for (int i = 0; i < standin->machine_count; i++) {
		const struct standin_task *task = standin->machines[i].tasks;

		for (; task; task = task->next)
			task->job->bound_tasks++;
	}
}

static void count_free(struct standin_machine *machine)
{
	machine->free_cpus = machine->type->cpus;
	machine->free_gpus = machine->type->gpus;
	machine->free_mem_gb = machine->type->mem_gb;
	for (const struct standin_task *task = machine->tasks; task; task = task->next) {
		if (task->state == TASK_EXITED)
			continue;
		machine->free_cpus -= task->job->spec.cpus;
		machine->free_gpus -= task->job->spec.gpus;
		machine->free_mem_gb -= task->job->spec.mem_gb;
	}
}

static struct team_use count_team_use(const struct standin *standin, const struct conf_team *team)
{
	struct team_use use = {0};
	const struct standin_job *job;

	for (job = standin->jobs; job; job = job->hh.next) {
		if (!job->bound_tasks || strcmp(job->spec.team, team->name))
			continue;
		use.cpus += job->bound_tasks * job->spec.cpus;
		use.gpus += job->bound_tasks * job->spec.gpus;
	}
	return use;
}

/* --- room --- */

/* Whether the machine is there, answers, and may run tasks of the job. */
static bool is_usable(const struct standin_machine *machine, const struct standin_job *job)
{
	if (machine->power != POWER_UP || machine->hanging || machine->faulty ||
	    machine->notice_until >= 0)
		return false;
	if (machine->spot && !job->spec.spot)
		return false;
	if (*job->spec.zone && strcmp(job->spec.zone, machine->zone))
		return false;
	return job_fits_type(job, machine->type);
}

/* Whether so many tasks of the job fit beside what is there. */
static bool has_room_for(const struct standin_machine *machine, const struct standin_job *job,
			 uint32_t tasks)
{
	return machine->free_cpus + AMOUNT_TOLERANCE >= tasks * job->spec.cpus &&
	       machine->free_gpus + AMOUNT_TOLERANCE >= tasks * job->spec.gpus &&
	       machine->free_mem_gb + AMOUNT_TOLERANCE >= tasks * job->spec.mem_gb;
}

/* Tasks of the job that fit on the machine now. */
static uint32_t count_slots(const struct standin_machine *machine, const struct standin_job *job)
{
	uint32_t slots = 0;

	if (!has_room_for(machine, job, 1) || !is_usable(machine, job))
		return 0;
	while (slots < job->spec.task_count && has_room_for(machine, job, slots + 1))
		slots++;
	return slots;
}

/* Whether nothing was started of late: elsewhere room comes and goes. */
static bool is_steady(const struct standin *standin, const struct standin_machine *machine)
{
	return standin->now - machine->last_start_at > ROOM_STEADY_S;
}

/* Tasks of the job that fit on steady machines of the zone, or of all if it is NULL. */
static uint32_t count_room(const struct standin *standin, const struct standin_job *job,
			   const char *zone)
{
	uint32_t slots = 0;

	for (int i = 0; i < standin->machine_count; i++) {
		const struct standin_machine *machine = &standin->machines[i];

		if (is_steady(standin, machine) && (!zone || !strcmp(zone, machine->zone)))
			slots += count_slots(machine, job);
	}
	return slots;
}

static bool has_room(const struct standin *standin, const struct standin_job *job)
{
	uint32_t needed = job_unit_tasks(job);

	if (!job->spec.one_zone || needed == 1)
		return count_room(standin, job, NULL) >= needed;
	for (int i = 0; i < standin->machine_count; i++)
		if (count_room(standin, job, standin->machines[i].zone) >= needed)
			return true;
	return false;
}

/* --- the rule --- */

static bool is_waiting(const struct standin_job *job)
{
	return job->accepted && !job->cancel_requested && !job->bad && !job->bound_tasks &&
	       job->done_count < job->spec.task_count;
}

/* Whether the job waits though its team's limit and the machines allow it to start. */
static bool waits_beside_room(const struct standin *standin, const struct standin_job *job)
{
	const struct conf_team *team = job_team(standin, job);
	struct team_use use;

	if (!team || !is_waiting(job))
		return false;
	use = count_team_use(standin, team);
	return team_allows_start(team, job, &use) && has_room(standin, job);
}

static void check_job(struct standin *standin, struct standin_job *job)
{
	double waited_s;

	if (!waits_beside_room(standin, job)) {
		job->room_since = -1;
		return;
	}
	if (job->room_since < 0)
		job->room_since = standin->now;
	waited_s = standin->now - job->room_since;
	if (waited_s > WAIT_MAX_S)
		standin_rule_broken(standin, RULE_IDLE_ROOM, "%s waits beside room for %.0f s",
				    job->spec.id, waited_s);
}

void standin_check_room(struct standin *standin, double quiet_since)
{
	struct standin_job *job;

	if (standin->now < quiet_since || standin->now < standin->next_room_check_at)
		return;
	standin->next_room_check_at = standin->now + CHECK_INTERVAL_S;
	count_bound_tasks(standin);
	for (int i = 0; i < standin->machine_count; i++)
		count_free(&standin->machines[i]);
	for (job = standin->jobs; job; job = job->hh.next)
		check_job(standin, job);
}
