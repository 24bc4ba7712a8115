/*
 * The rule idle_room: once all faults are over, no job waits for long though its team's quota and
 * the free capacity of the machines allow it to start.
 *
 * Free capacity counts only on machines that are up, neither hang nor are faulty, are not about to
 * be reclaimed, and on which no task has started recently: capacity that the next start takes is
 * in use, not idle.
 */
#include <string.h>

#include "standins/job_fit.h"
#include "standins/rules.h"
#include "standins/standin.h"

#define CHECK_INTERVAL_S 4.0 /* seconds between checks */
/* Time that a job may wait though it could start, once all faults are over. */
#define WAIT_MAX_S 90.0
/* Time after the last start on a machine before its free capacity counts as idle: capacity that is
 * freed and soon taken by the next start is in use. */
#define IDLE_AFTER_S 10.0

/* --- use and free capacity --- */

/* Counts each job's attempts on machines. Exited ones count until their agent is told to forget
 * them. */
static void count_tasks_on_machines(struct standin *standin)
{
	struct standin_job *job;

	for (job = standin->jobs; job; job = job->hh.next)
		job->tasks_on_machines = 0;
	for (int i = 0; i < standin->machine_count; i++) {
		const struct standin_task *task = standin->machines[i].tasks;

		for (; task; task = task->next)
			task->job->tasks_on_machines++;
	}
}

static void count_free_capacity(struct standin_machine *machine)
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

/* The use of all attempts of the team on machines, also of exited ones until they are forgotten. */
static struct team_use count_team_use(const struct standin *standin, const struct conf_team *team)
{
	struct team_use use = {0};
	const struct standin_job *job;

	for (job = standin->jobs; job; job = job->hh.next) {
		if (!job->tasks_on_machines || strcmp(job->spec.team, team->name))
			continue;
		use.cpus += job->tasks_on_machines * job->spec.cpus;
		use.gpus += job->tasks_on_machines * job->spec.gpus;
	}
	return use;
}

/* --- free capacity for a job --- */

/* True if the machine is up, works, is not about to be reclaimed, and may run tasks of the job. */
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

/* True if this number of tasks of the job fits into the machine's free capacity. */
static bool has_capacity_for(const struct standin_machine *machine, const struct standin_job *job,
			     uint32_t tasks)
{
	return machine->free_cpus + AMOUNT_TOLERANCE >= tasks * job->spec.cpus &&
	       machine->free_gpus + AMOUNT_TOLERANCE >= tasks * job->spec.gpus &&
	       machine->free_mem_gb + AMOUNT_TOLERANCE >= tasks * job->spec.mem_gb;
}

/* The number of the job's tasks that fit on the machine now. */
static uint32_t count_slots(const struct standin_machine *machine, const struct standin_job *job)
{
	uint32_t slots = 0;

	if (!has_capacity_for(machine, job, 1) || !is_usable(machine, job))
		return 0;
	while (slots < job->spec.task_count && has_capacity_for(machine, job, slots + 1))
		slots++;
	return slots;
}

/*
 * True if no task has started on the machine recently. On other machines capacity is freed and
 * taken all the time.
 */
static bool had_no_recent_start(const struct standin *standin,
				const struct standin_machine *machine)
{
	return standin->now - machine->last_start_at > IDLE_AFTER_S;
}

/* The number of the job's tasks that fit on machines without a recent start: of the zone, or of all
 * if NULL. */
static uint32_t count_idle_slots(const struct standin *standin, const struct standin_job *job,
				 const char *zone)
{
	uint32_t slots = 0;

	for (int i = 0; i < standin->machine_count; i++) {
		const struct standin_machine *machine = &standin->machines[i];

		if (had_no_recent_start(standin, machine) &&
		    (!zone || !strcmp(zone, machine->zone)))
			slots += count_slots(machine, job);
	}
	return slots;
}

/* True if the idle capacity allows the job to start. For a job that wants one zone, the idle
 * capacity of one zone must suffice. */
static bool has_idle_capacity(const struct standin *standin, const struct standin_job *job)
{
	uint32_t needed = job_tasks_started_together(job);

	if (!job->spec.one_zone || needed == 1)
		return count_idle_slots(standin, job, NULL) >= needed;
	for (int i = 0; i < standin->machine_count; i++)
		if (count_idle_slots(standin, job, standin->machines[i].zone) >= needed)
			return true;
	return false;
}

/* --- the rule --- */

/*
 * True if the job should start: it is accepted and not complete, and has no attempt on a machine.
 * A job whose tasks always fail may wait, since it is in backoff, and so may one whose cancellation
 * was requested.
 */
static bool is_waiting(const struct standin_job *job)
{
	return job->accepted && !job->cancel_requested && !job->always_fails &&
	       !job->tasks_on_machines && job->done_count < job->spec.task_count;
}

/* True if the job waits though its team's quota and idle capacity allow it to start. */
static bool waits_despite_capacity(const struct standin *standin, const struct standin_job *job)
{
	const struct conf_team *team = job_team(standin, job);
	struct team_use use;

	if (!team || !is_waiting(job))
		return false;
	use = count_team_use(standin, team);
	return team_allows_start(team, job, &use) && has_idle_capacity(standin, job);
}

/*
 * Checks the rule for one job. Its time of waiting counts only while each check finds that the job
 * could start.
 */
static void check_job(struct standin *standin, struct standin_job *job)
{
	double waited_s;

	if (!waits_despite_capacity(standin, job)) {
		job->idle_room_since = -1;
		return;
	}
	if (job->idle_room_since < 0)
		job->idle_room_since = standin->now;
	waited_s = standin->now - job->idle_room_since;
	if (waited_s > WAIT_MAX_S)
		standin_record_broken_rule(
		    standin, RULE_IDLE_ROOM,
		    "job %s (tasks: %u, team: %s) has waited for %.0f s though it could "
		    "start, expected at most %.0f s",
		    job->spec.id, job->spec.task_count, job->spec.team, waited_s, WAIT_MAX_S);
}

void standin_check_idle_room(struct standin *standin, double faults_end_at)
{
	struct standin_job *job;

	if (standin->now < faults_end_at || standin->now < standin->next_idle_room_check_at)
		return;
	standin->next_idle_room_check_at = standin->now + CHECK_INTERVAL_S;
	count_tasks_on_machines(standin);
	for (int i = 0; i < standin->machine_count; i++)
		count_free_capacity(&standin->machines[i]);
	for (job = standin->jobs; job; job = job->hh.next)
		check_job(standin, job);
}
