/*
 * The handlers of the lines that cause faults. Some faults last until a line with the option end=1,
 * which is otherwise the same as the line that began them.
 */
#include "faults.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "connections.h"
#include "controllers.h"
#include "message_queue.h"
#include "network.h"
#include "util/xalloc.h"
#include "wire/names.h"

#define DEFAULT_DOWN_S 3      /* downtime of a controller that crashes */
#define DEFAULT_DURATION_S 10 /* duration of a partition, a freeze or an outage */
#define DEFAULT_NOTICE_S 8    /* time of a preemption notice, until the machine is reclaimed */
/* Default of network_faults.duplicate_delay_s. */
#define DEFAULT_DUPLICATE_DELAY_S 30
#define MACHINE_PREFIX "machine:"

static double down_time(const struct scenario_line *line)
{
	return line_option_number(line, "back", DEFAULT_DOWN_S);
}

/* Returns the time at which a fault ends that begins now; the option for= is its duration. */
static double end_time(const struct world *world, const struct scenario_line *line)
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

	world->controllers[index].frozen_until_s = end_time(world, line);
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
	world->state_outage_until_s = end_time(world, line);
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

/* --- faults of the network --- */

/* loss P: this share of messages is lost */
static void set_message_loss(struct world *world, const struct scenario_line *line)
{
	world->network_faults.lost = line_number(line, 1);
}

/* repeat P after=S: this share of requests is carried out twice, the second time up to about S
 * seconds later */
static void set_request_repetition(struct world *world, const struct scenario_line *line)
{
	world->network_faults.repeated = line_number(line, 1);
	world->network_faults.repeat_range_s = line_option_number(line, "after", 0);
}

/* slow_store P: this share of the state service's replies arrives late */
static void set_slow_state_replies(struct world *world, const struct scenario_line *line)
{
	world->network_faults.slow_state_replies = line_number(line, 1);
}

/* late_writes P: this share of transactions gets no reply and is carried out late */
static void set_late_transactions(struct world *world, const struct scenario_line *line)
{
	world->network_faults.late_transactions = line_number(line, 1);
}

/* late_reports P after=S: each controller also gets a copy of this share of reports, up to about S
 * seconds later */
static void set_duplicate_reports(struct world *world, const struct scenario_line *line)
{
	world->network_faults.duplicate_reports = line_number(line, 1);
	world->network_faults.duplicate_delay_s =
	    line_option_number(line, "after", DEFAULT_DUPLICATE_DELAY_S);
}

/* Returns the number of the host that a word of a scenario names. */
static int host_named(struct world *world, const char *word)
{
	if (!strcmp(word, "state"))
		return HOST_STATE;
	if (!strcmp(word, "cloud"))
		return HOST_CLOUD;
	if (!strcmp(word, "users"))
		return HOST_CLIENTS;
	if (!strcmp(word, "all"))
		return HOST_ANY;
	if (!strncmp(word, MACHINE_PREFIX, strlen(MACHINE_PREFIX)))
		return HOST_MACHINES + atoi(word + strlen(MACHINE_PREFIX));
	return controller_named(world, word);
}

static void cut_between(struct world *world, const struct scenario_line *line, int from, int to)
{
	bool hold = !strcmp(line_option(line, "mode", "drop"), "hold");
	struct network_cut *cut = network_cut_add(world, from, to, end_time(world, line));

	cut->mode = hold ? CUT_HOLD : CUT_DROP;
}

static void cut_from_machines(struct world *world, const struct scenario_line *line)
{
	int from = host_named(world, line_word(line, 1));

	for (int i = 0; i < world->standin.machine_count; i++)
		cut_between(world, line, from, HOST_MACHINES + i);
}

static void cut_from_peers(struct world *world, const struct scenario_line *line)
{
	int from = host_named(world, line_word(line, 1));

	for (int i = 0; i < world->controller_count; i++)
		if (i != from)
			cut_between(world, line, from, i);
}

static void cut_machine_range(struct world *world, const struct scenario_line *line)
{
	int last;
	int first = parse_range(line_word(line, 1) + strlen(MACHINE_PREFIX), &last);

	for (int i = first; i <= last; i++) {
		int to = host_named(world, line_word(line, 2));

		cut_between(world, line, HOST_MACHINES + i, to);
	}
}

/* partition A B for=S [mode=hold]: A is a host or machine:K..L, and B is a host, "workers" for all
 * machines or "peers" for all other controllers */
static void partition_hosts(struct world *world, const struct scenario_line *line)
{
	const char *from = line_word(line, 1);
	const char *to = line_word(line, 2);

	if (!strcmp(to, "workers"))
		cut_from_machines(world, line);
	else if (!strcmp(to, "peers"))
		cut_from_peers(world, line);
	else if (!strncmp(from, MACHINE_PREFIX, strlen(MACHINE_PREFIX)))
		cut_machine_range(world, line);
	else
		cut_between(world, line, host_named(world, from), host_named(world, to));
}

/* outbound_partition K for=S: reports from machine K arrive, but no message reaches the machine */
static void partition_outbound(struct world *world, const struct scenario_line *line)
{
	int machine = HOST_MACHINES + line_integer(line, 1);
	struct network_cut *added =
	    network_cut_add(world, HOST_ANY, machine, end_time(world, line));

	added->scope = CUT_ONE_WAY;
}

/* inbound_partition K for=S: reports from machine K, or from machines K..L, reach no controller,
 * but direct commands and probes reach the machine and are answered */
static void partition_inbound(struct world *world, const struct scenario_line *line)
{
	int last;
	int first = parse_range(line_word(line, 1), &last);

	for (int i = first; i <= last; i++) {
		struct network_cut *added =
		    network_cut_add(world, HOST_ANY, HOST_MACHINES + i, end_time(world, line));

		added->scope = CUT_REPORTS;
	}
}

/* Holds up messages of one kind that are for a machine. */
static void hold_messages(struct world *world, const struct scenario_line *line,
			  enum cut_scope scope)
{
	int machine = HOST_MACHINES + line_integer(line, 1);
	struct network_cut *added =
	    network_cut_add(world, HOST_ANY, machine, end_time(world, line));

	added->scope = scope;
	added->mode = CUT_HOLD;
}

/* hold_answers K for=S: answers to reports of machine K arrive after S seconds */
static void hold_answers(struct world *world, const struct scenario_line *line)
{
	hold_messages(world, line, CUT_ANSWERS);
}

/* hold_commands K for=S: direct commands and probes reach machine K after S seconds */
static void hold_commands(struct world *world, const struct scenario_line *line)
{
	hold_messages(world, line, CUT_COMMANDS);
}

/* capture K: saves a copy of the newest report of machine K */
static void capture_report(struct world *world, const struct scenario_line *line)
{
	int machine = line_integer(line, 1) % CAPTURED_MACHINES;

	free(world->captured_reports[machine]);
	world->captured_reports[machine] = xstrdup(world->standin.machines[machine].report_text);
}

/* replay K: sends the captured report of machine K to the leader once more */
static void replay_report(struct world *world, const struct scenario_line *line)
{
	int machine = line_integer(line, 1) % CAPTURED_MACHINES;
	int leader = controller_leader(world);
	struct message *report;

	if (leader < 0 || !world->captured_reports[machine]) {
		world_fail(world, "report of machine %s cannot be replayed: %s", line_word(line, 1),
			   leader < 0 ? "no controller leads" : "none was captured");
		return;
	}
	report = message_new(world, MESSAGE_REPORT, HOST_MACHINES + machine, leader, world->now_s);
	report->report_number = DUPLICATE_REPORT_NUMBER;
	report->body = xstrdup(world->captured_reports[machine]);
}

/* capture_commands K: saves a copy of the newest direct message that reached machine K */
static void capture_commands(struct world *world, const struct scenario_line *line)
{
	int machine = line_integer(line, 1) % CAPTURED_MACHINES;
	const char *newest = world->newest_commands[machine];

	free(world->captured_commands[machine]);
	world->captured_commands[machine] = newest ? xstrdup(newest) : NULL;
}

/* replay_commands K: the captured direct message reaches machine K once more */
static void replay_commands(struct world *world, const struct scenario_line *line)
{
	int machine = line_integer(line, 1) % CAPTURED_MACHINES;
	const char *captured = world->captured_commands[machine];
	struct message *request;

	if (!captured) {
		world_fail(world, "no direct message to machine %s was captured",
			   line_word(line, 1));
		return;
	}
	request = message_new(world, MESSAGE_REQUEST, 0, HOST_MACHINES + machine, world->now_s);
	request->method = xstrdup("POST");
	request->path = xstrdup(W_PATH_COMMANDS);
	message_set_body(request, captured, strlen(captured));
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

static void restart_one(struct world *world, const struct scenario_line *line,
			struct standin_machine *machine)
{
	(void)line;
	standin_machine_restart(&world->standin, machine);
}

/* restart K: the machine restarts at once; its tasks and its agent's state are lost */
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
    {"loss", 1, set_message_loss},
    {"repeat", 1, set_request_repetition},
    {"slow_store", 1, set_slow_state_replies},
    {"late_writes", 1, set_late_transactions},
    {"late_reports", 1, set_duplicate_reports},
    {"partition", 2, partition_hosts},
    {"outbound_partition", 1, partition_outbound},
    {"inbound_partition", 1, partition_inbound},
    {"capture", 1, capture_report},
    {"replay", 1, replay_report},
    {"hold_answers", 1, hold_answers},
    {"hold_commands", 1, hold_commands},
    {"capture_commands", 1, capture_commands},
    {"replay_commands", 1, replay_commands},
    {"kill", 1, kill_machines},
    {"reclaim", 1, reclaim_machines},
    {"restart", 1, restart_machines},
    {"preemption_notice", 1, notify_machines},
    {"hang", 1, hang_machines},
    {"faulty", 1, set_faulty_machines},
    {NULL, 0, NULL},
};
