/* The handlers of the lines that cause faults of the network: messages that are lost, cut off,
 * held, late or repeated. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "connections.h"
#include "controllers.h"
#include "core/runtime/http_status.h"
#include "faults.h"
#include "message_queue.h"
#include "network.h"
#include "util/xalloc.h"
#include "wire/names.h"

/* Default of network_faults.duplicate_delay_s. */
#define DEFAULT_DUPLICATE_DELAY_S 30
#define CLOSED_REPORT_S 1.0 /* seconds until a machine reports again on a new connection */
#define MACHINE_PREFIX "machine:"
/* The beginning of a direct message, up to the fields that an answer has too. */
#define DIRECT_MESSAGE_HEAD "{\"" W_INCARNATION "\":1,"

/* --- random faults --- */

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

/* repeat_at_restart P: this share of messages with commands to machines also arrives again when the
 * machine has restarted */
static void set_copies_for_restarts(struct world *world, const struct scenario_line *line)
{
	world->network_faults.copied_for_restart = line_number(line, 1);
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

/* --- cuts --- */

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
	struct network_cut *cut = network_cut_add(world, from, to, fault_end_time(world, line));

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
	    network_cut_add(world, HOST_ANY, machine, fault_end_time(world, line));

	added->scope = CUT_ONE_WAY;
}

/* inbound_partition K for=S: reports from machine K, or from machines K..L, reach no controller,
 * but direct commands and probes reach the machine and are answered */
static void partition_inbound(struct world *world, const struct scenario_line *line)
{
	int last;
	int first = parse_range(line_word(line, 1), &last);

	for (int i = first; i <= last; i++) {
		struct network_cut *added = network_cut_add(world, HOST_ANY, HOST_MACHINES + i,
							    fault_end_time(world, line));

		added->scope = CUT_REPORTS;
	}
}

/* Holds up messages of one kind that are for a machine. */
static void hold_messages(struct world *world, const struct scenario_line *line,
			  enum cut_scope scope)
{
	int machine = HOST_MACHINES + line_integer(line, 1);
	struct network_cut *added =
	    network_cut_add(world, HOST_ANY, machine, fault_end_time(world, line));

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

/* close_connection K: machine K closes its connection and forgets the report that it has sent; it
 * reports again after a second */
static void close_connection(struct world *world, const struct scenario_line *line)
{
	int index = line_integer(line, 1);
	struct standin_machine *machine = &world->standin.machines[index];

	machine->report_unanswered = false;
	machine->next_report_at = world->now_s + CLOSED_REPORT_S;
	controller_connection_closed(world, machine->controller,
				     report_connection(index, machine->report_sequence));
}

/* --- copies --- */

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

/* A copy of a direct message reaches the machine; no controller gets the answer. */
static void deliver_commands_copy(struct world *world, int machine, const char *body)
{
	struct message *request =
	    message_new(world, MESSAGE_REQUEST, 0, HOST_MACHINES + machine, world->now_s);

	request->method = xstrdup("POST");
	request->path = xstrdup(W_PATH_COMMANDS);
	message_set_body(request, body, strlen(body));
}

/* A copy of the answer to a report reaches the machine. */
static void deliver_answer_copy(struct world *world, int machine,
				const struct start_message *captured)
{
	struct message *answer =
	    message_new(world, MESSAGE_REPORT_REPLY, 0, HOST_MACHINES + machine, world->now_s);

	answer->id = captured->id;
	answer->status = STATUS_OK;
	answer->body = xstrdup(captured->body);
}

/* replay_commands K: the captured direct message reaches machine K once more */
static void replay_commands(struct world *world, const struct scenario_line *line)
{
	int machine = line_integer(line, 1) % CAPTURED_MACHINES;
	const char *captured = world->captured_commands[machine];

	if (captured)
		deliver_commands_copy(world, machine, captured);
	else
		world_fail(world, "no direct message to machine %s was captured",
			   line_word(line, 1));
}

/* capture_start K: saves a copy of the newest message with a start that reached machine K, which is
 * a direct message or the answer to a report */
static void capture_start(struct world *world, const struct scenario_line *line)
{
	int machine = line_integer(line, 1) % CAPTURED_MACHINES;
	const struct start_message *newest = &world->newest_starts[machine];
	struct start_message *captured = &world->captured_starts[machine];

	free(captured->body);
	*captured = *newest;
	captured->body = newest->body ? xstrdup(newest->body) : NULL;
}

/* The commands of an answer reach the machine in a direct message to its first incarnation. */
static void deliver_answer_directly(struct world *world, int machine, const char *answer)
{
	char *body = xmalloc(strlen(DIRECT_MESSAGE_HEAD) + strlen(answer) + 1);

	/* The answer's text without its opening brace follows the head. */
	sprintf(body, "%s%s", DIRECT_MESSAGE_HEAD, answer + 1);
	deliver_commands_copy(world, machine, body);
	free(body);
}

/* replay_start K [as=direct]: the captured message with a start reaches machine K once more; with
 * as=direct as a direct message, as versions before 0.6.4 sent starts */
static void replay_start(struct world *world, const struct scenario_line *line)
{
	int machine = line_integer(line, 1) % CAPTURED_MACHINES;
	const struct start_message *captured = &world->captured_starts[machine];

	if (!captured->body)
		world_fail(world, "no start of machine %s was captured", line_word(line, 1));
	else if (captured->kind == MESSAGE_REQUEST)
		deliver_commands_copy(world, machine, captured->body);
	else if (!strcmp(line_option(line, "as", ""), "direct"))
		deliver_answer_directly(world, machine, captured->body);
	else
		deliver_answer_copy(world, machine, captured);
}

const struct scenario_keyword network_fault_keywords[] = {
    {"loss", 1, set_message_loss},
    {"repeat", 1, set_request_repetition},
    {"repeat_at_restart", 1, set_copies_for_restarts},
    {"slow_store", 1, set_slow_state_replies},
    {"late_writes", 1, set_late_transactions},
    {"late_reports", 1, set_duplicate_reports},
    {"partition", 2, partition_hosts},
    {"outbound_partition", 1, partition_outbound},
    {"inbound_partition", 1, partition_inbound},
    {"capture", 1, capture_report},
    {"replay", 1, replay_report},
    {"close_connection", 1, close_connection},
    {"hold_answers", 1, hold_answers},
    {"hold_commands", 1, hold_commands},
    {"capture_commands", 1, capture_commands},
    {"replay_commands", 1, replay_commands},
    {"capture_start", 1, capture_start},
    {"replay_start", 1, replay_start},
    {NULL, 0, NULL},
};
