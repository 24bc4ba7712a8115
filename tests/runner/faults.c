/*
 * The handlers of the lines that cause faults, except those of the network. Some faults last until
 * a line with the option end=1, which is otherwise the same as the line that began them.
 */
#include "faults.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "controllers.h"
#include "message_queue.h"

#define DEFAULT_DOWN_S 3	   /* downtime of a controller that crashes */
#define DEFAULT_DURATION_S 10	   /* duration of a partition, a freeze or an outage */
#define RESTART_COPIES_RANGE_S 0.2 /* in which copies follow the restart of their machine */
#define ADDRESSES_PER_NET 250	   /* new addresses of machines in one network */
#define DEFAULT_NOTICE_S 8	   /* time of a preemption notice, until the machine is reclaimed */

static double down_time(const struct scenario_line *line)
{
	return line_option_number(line, "back", DEFAULT_DOWN_S);
}

double fault_end_time(const struct world *world, const struct scenario_line *line)
{
	return world->now_s + line_option_number(line, "for", DEFAULT_DURATION_S);
}

/* True if the line begins a fault, false if it ends one. */
static bool begins_fault(const struct scenario_line *line)
{
	return line_option_number(line, "end", 0) == 0;
}

void faults_extend_duration(struct world *world, const struct scenario_line *line)
{
	double duration_s = fmax(line_option_number(line, "for", 0), down_time(line));

	duration_s = fmax(duration_s, line_option_number(line, "within", 0));
	world->faults_end_s = fmax(world->faults_end_s, world->now_s + duration_s);
}

/* quiet: the checker treats the faults as ended, even those that still last, so that a scenario can
 * show that its checks fail */
static void treat_faults_as_ended(struct world *world, const struct scenario_line *line)
{
	(void)line;
	world->faults_end_s = world->now_s;
}

/* cancel_at_end N: job N is cancelled when its last task ends. It is no fault, but counts as one
 * that lasts DEFAULT_DOWN_S. */
static void cancel_at_end(struct world *world, const struct scenario_line *line)
{
	world->cancel_at_end = line_integer(line, 1);
}

/* --- faults of controllers --- */

/* crash NODE|leader|follower|all back=S: the controller is restarted after S seconds */
static void crash(struct world *world, const struct scenario_line *line)
{
	const char *name = line_word(line, 1);

	if (strcmp(name, "all")) {
		controller_crash(world, controller_named(world, name), down_time(line));
		return;
	}
	for (int i = 0; i < world->controller_count; i++)
		controller_crash(world, i, down_time(line));
}

static enum crash_step crash_step(struct world *world, const char *word)
{
	if (!strcmp(word, "lease"))
		return CRASH_WITH_LEASE;
	if (!strcmp(word, "recovering"))
		return CRASH_RECOVERING;
	if (!strcmp(word, "leading"))
		return CRASH_LEADING;
	world_fail(world,
		   "unknown step of an election \"%s\", expected lease, recovering or leading",
		   word);
	return CRASH_NEVER;
}

/* crash_at_step lease|recovering|leading times=N back=S: the next N controllers that reach this
 * step of an election crash there */
static void crash_at_step(struct world *world, const struct scenario_line *line)
{
	world->election_crash.step = crash_step(world, line_word(line, 1));
	world->election_crash.times_left = (int)line_option_number(line, "times", 1);
	world->election_crash.down_s = down_time(line);
}

/* freeze NODE for=S: the controller neither reads nor sends for S seconds */
static void freeze(struct world *world, const struct scenario_line *line)
{
	int index = controller_named(world, line_word(line, 1));

	world->controllers[index].frozen_until_s = fault_end_time(world, line);
}

/* --- faults of the state service and the cloud --- */

/* outage state for=S / outage cloud [end=1]: the service answers all requests with 503 */
static void outage(struct world *world, const struct scenario_line *line)
{
	if (strcmp(line_word(line, 1), "state")) {
		world->standin.cloud.down = begins_fault(line);
		return;
	}
	standin_state_set_outage(&world->standin, true);
	world->state_outage_until_s = fault_end_time(world, line);
}

/* refuse NODE [end=1]: the state service answers this controller's requests with 503 */
static void refuse(struct world *world, const struct scenario_line *line)
{
	int index = controller_named(world, line_word(line, 1));

	world->standin.state_service.refuses[index] = begins_fault(line);
}

/* stall NODE [end=1]: the state service does not answer this controller's watches */
static void stall(struct world *world, const struct scenario_line *line)
{
	int index = controller_named(world, line_word(line, 1));

	world->standin.state_service.stalls[index] = begins_fault(line);
}

/* --- faults of machines --- */

typedef void machine_fault(struct world *world, const struct scenario_line *line,
			   struct standin_machine *machine);

/* Applies a fault to machine K, or to machines K..L. */
static void for_machines(struct world *world, const struct scenario_line *line,
			 machine_fault *apply)
{
	int last;
	int first = parse_range(line_word(line, 1), &last);

	for (int i = first; i <= last; i++)
		apply(world, line, &world->standin.machines[i]);
}

static void kill_one(struct world *world, const struct scenario_line *line,
		     struct standin_machine *machine)
{
	(void)line;
	standin_machine_power_off(&world->standin, machine, false);
}

/* kill K: the machine fails without notice */
static void kill_machines(struct world *world, const struct scenario_line *line)
{
	for_machines(world, line, kill_one);
}

static void reclaim_one(struct world *world, const struct scenario_line *line,
			struct standin_machine *machine)
{
	(void)line;
	standin_machine_power_off(&world->standin, machine, true);
}

/* reclaim K: the cloud reclaims the machine without notice */
static void reclaim_machines(struct world *world, const struct scenario_line *line)
{
	for_machines(world, line, reclaim_one);
}

void fault_restart_machine(struct world *world, struct standin_machine *machine)
{
	int host = HOST_MACHINES + (int)(machine - world->standin.machines);

	standin_machine_restart(&world->standin, machine);
	message_queue_restarted(world, host, RESTART_COPIES_RANGE_S);
}

/* Gives the machine the next address that no machine has had. */
static void change_address(struct world *world, struct standin_machine *machine)
{
	int number = world->new_addresses++;

	snprintf(machine->addr, sizeof(machine->addr), "10.3.%d.%d:9000",
		 number / ADDRESSES_PER_NET, number % ADDRESSES_PER_NET + 1);
}

static void restart_one(struct world *world, const struct scenario_line *line,
			struct standin_machine *machine)
{
	const char *address = line_option(line, "address", NULL);

	if (address && strcmp(address, "new"))
		world_fail(world, "unknown address \"%s\", expected new", address);
	else if (address)
		change_address(world, machine);
	fault_restart_machine(world, machine);
}

/* random_restarts N within=S: N times in the next S seconds, a machine drawn at random restarts */
static void restart_at_random(struct world *world, const struct scenario_line *line)
{
	double range_s = line_option_number(line, "within", DEFAULT_DURATION_S);

	for (int i = 0; i < line_integer(line, 1); i++) {
		int machine = (int)(world_random(world) * world->standin.machine_count);

		message_new(world, MESSAGE_RESTART, HOST_ANY, HOST_MACHINES + machine,
			    world->now_s + range_s * world_random(world));
	}
}

/* restart K address=new: the machine restarts at once; its tasks and its agent's state are lost */
static void restart_machines(struct world *world, const struct scenario_line *line)
{
	for_machines(world, line, restart_one);
}

static void notify_one(struct world *world, const struct scenario_line *line,
		       struct standin_machine *machine)
{
	machine->notice_until = world->now_s + line_option_number(line, "for", DEFAULT_NOTICE_S);
	machine->changed_since_report = true;
}

/* preemption_notice K for=S: the machine gets the notice that it is reclaimed after S seconds */
static void notify_machines(struct world *world, const struct scenario_line *line)
{
	for_machines(world, line, notify_one);
}

static void hang_one(struct world *world, const struct scenario_line *line,
		     struct standin_machine *machine)
{
	(void)world;
	machine->hanging = begins_fault(line);
}

/* hang K [end=1]: the machine neither answers nor runs its tasks */
static void hang_machines(struct world *world, const struct scenario_line *line)
{
	for_machines(world, line, hang_one);
}

static void set_faulty(struct world *world, const struct scenario_line *line,
		       struct standin_machine *machine)
{
	(void)world;
	machine->faulty = begins_fault(line);
}

/* faulty K [end=1]: each task that the machine starts exits with an error */
static void set_faulty_machines(struct world *world, const struct scenario_line *line)
{
	for_machines(world, line, set_faulty);
}

const struct scenario_keyword fault_keywords[] = {
    {"quiet", 0, treat_faults_as_ended},
    {"cancel_at_end", 1, cancel_at_end},
    {"crash", 1, crash},
    {"crash_at_step", 1, crash_at_step},
    {"freeze", 1, freeze},
    {"outage", 1, outage},
    {"refuse", 1, refuse},
    {"stall", 1, stall},
    {"kill", 1, kill_machines},
    {"reclaim", 1, reclaim_machines},
    {"restart", 1, restart_machines},
    {"random_restarts", 1, restart_at_random},
    {"preemption_notice", 1, notify_machines},
    {"hang", 1, hang_machines},
    {"faulty", 1, set_faulty_machines},
    {NULL, 0, NULL},
};
