#include "core/agents/machine_health.h"

#include <math.h>
#include <string.h>

#include "core/agents/long_poll.h"
#include "core/agents/probes.h"
#include "core/state.h"
#include "util/log.h"

/* True if the agent has sent a message in this term. */
static bool has_sent_message(const struct machine *machine)
{
	return machine->agent.last_message_at >= 0;
}

/* True if more time has passed since the machine was rented than a boot can take. */
static bool boot_is_overdue(const struct core *core, const struct machine *machine)
{
	double boot_s = machine->type ? machine->type->boot_s : 0;
	double limit_s = MACHINE_BOOT_FACTOR * boot_s + MACHINE_BOOT_EXTRA_S;

	return core->now - machine->cloud.rented_at > limit_s;
}

/*
 * True if no heartbeat has come for longer than the agent's lease, so that its tasks have ended by
 * now. A machine without bindings whose agent has sent no message in this term may still be
 * booting, and is given the time of a boot instead.
 */
static bool lease_has_expired(const struct core *core, const struct machine *machine)
{
	double since = machine->agent.last_heartbeat_at;
	double limit_s = core->conf->lease_s * (1 + CLOCK_DRIFT) + MACHINE_LEASE_MARGIN_S;

	if (!has_sent_message(machine) && !machine->bindings)
		return boot_is_overdue(core, machine);
	if (since < 0)
		since = fmax(machine->agent.up_at, core->leading_since);
	return core->now - since > limit_s;
}

/* True if the cloud's inventories do not list the machine any more, and its agent is silent. */
static bool is_absent_from_cloud(const struct core *core, const struct machine *machine)
{
	return machine->cloud.missed_inventories >= MACHINE_MISSED_INVENTORIES &&
	       !machine_is_responsive(core, machine);
}

/*
 * True if our messages have not reached the agent for MACHINE_UNREACHABLE_MAX_S and no task is
 * bound to the machine: no answer has renewed the agent's lease, so its tasks must have ended.
 */
static bool is_unreachable_too_long(const struct core *core, const struct machine *machine)
{
	return !machine->agent.reachable && !machine->binding_count &&
	       core->now - machine->agent.unreachable_since > MACHINE_UNREACHABLE_MAX_S;
}

/*
 * All agents report to a new leader by themselves within LEADER_DISCOVERY_REPORTS report intervals.
 * Probes of all agents before then would double the work, since a probe costs as much as a report.
 */
void probe_unseen_machine(struct core *core, struct machine *machine)
{
	if (!has_sent_message(machine) &&
	    core->now - machine->probes.sent_at > PROBE_UNSEEN_INTERVAL_S &&
	    core->now - core->leading_since > LEADER_DISCOVERY_REPORTS * core->conf->report_s)
		probe_machine(core, machine);
}

/* The agent gets no start any more, so the answer to its heartbeat need not wait for one. The
 * answer renews the lease of the machine's tasks, so it has the stops that are due. */
void machine_begin_deletion(struct core *core, struct machine *machine)
{
	machine->cloud.deleting = true;
	long_poll_answer(core, machine);
}

void machine_give_up(struct core *core, struct machine *machine)
{
	double age_s =
	    has_sent_message(machine) ? core->now - machine->agent.last_message_at : -1.0;

	log_info("machine_lost",
		 "machine=%s failed=%d missed_inventories=%d last_message_age=%.1f bound=%d",
		 machine->id, machine->cloud.failed, machine->cloud.missed_inventories, age_s,
		 machine->binding_count);
	machine_begin_deletion(core, machine);
	machine->cloud.given_up_at = core->now;
	/* The cloud's answer to the delete proves that the machine's tasks have ended. Bindings
	 * whose start was not sent yet end without it. */
	commands_request(core, machine);
	core->events->machine_given_up(core);
}

/*
 * True if a machine that was given up is back, and no request to delete it can still be carried
 * out: none was sent, or the cloud has refused them all.
 */
static bool is_back_in_time(const struct machine *machine)
{
	const struct machine_cloud *cloud = &machine->cloud;

	if (!cloud->given_up_at || cloud->failed || cloud->deleted || cloud->delete_in_flight ||
	    cloud->delete_may_be_late)
		return false;
	return machine->agent.reachable && machine->agent.last_heartbeat_at > cloud->given_up_at;
}

static void keep_machine(struct core *core, struct machine *machine)
{
	log_info("machine_kept", "machine=%s after=%.1f", machine->id,
		 core->now - machine->cloud.given_up_at);
	machine->cloud.deleting = false;
	machine->cloud.given_up_at = 0;
	core->events->placement_needed(core);
}

static void check_machine(struct core *core, struct machine *machine)
{
	/*
	 * No task can be placed on an unusable machine, so capacity of the machine that is reserved
	 * for a job is released.
	 */
	if (machine->scheduling.reserved_for && !machine_is_usable(core, machine))
		machine->scheduling.reserved_for = NULL;
	if (machine->cloud.deleting) {
		if (is_back_in_time(machine))
			keep_machine(core, machine);
		return;
	}
	if (machine->cloud.failed || is_absent_from_cloud(core, machine) ||
	    lease_has_expired(core, machine)) {
		machine_give_up(core, machine);
		return;
	}
	if (machine->binding_count)
		probe_unseen_machine(core, machine);
	if (is_unreachable_too_long(core, machine)) {
		log_info("machine_unreachable_deleted", "machine=%s", machine->id);
		machine_begin_deletion(core, machine);
	}
}

int contact_histogram_count_within(const struct contact_histogram *histogram, double age_s)
{
	int count = 0;

	for (int age = 0; age < CONTACT_BUCKETS && (age + 1) * CONTACT_BUCKET_S <= age_s; age++)
		count += histogram->buckets[age];
	return count;
}

static void add_to_histogram(struct core *core, const struct machine *machine)
{
	struct contact_histogram *histogram = &core->agents.contact_histogram;
	double age = (core->now - machine->agent.last_message_at) / CONTACT_BUCKET_S;

	if (!has_sent_message(machine) && !machine->binding_count)
		return;
	histogram->expected++;
	if (has_sent_message(machine) && age < CONTACT_BUCKETS)
		histogram->buckets[(int)age]++;
}

/* Number of machines that have sent a message in this term, and how many of these are silent
 * now. */
struct contact_summary {
	int seen, silent;
};

static void add_to_summary(const struct core *core, const struct machine *machine,
			   struct contact_summary *summary)
{
	if (!has_sent_message(machine))
		return;
	summary->seen++;
	if (!machine_is_responsive(core, machine))
		summary->silent++;
}

/*
 * Recomputes the state about all machines together: the histogram of the times since the last
 * messages, and whether replicas have to move. Machines that are being deleted are left out.
 */
static struct contact_summary scan_machines(struct core *core)
{
	struct contact_summary summary = {0, 0};
	struct machine *machine, *next;

	memset(&core->agents.contact_histogram, 0, sizeof(core->agents.contact_histogram));
	core->agents.replicas_must_move = false;
	MACHINES_FOR_EACH (core, machine, next) {
		if (machine->cloud.deleting)
			continue;
		add_to_histogram(core, machine);
		add_to_summary(core, machine, &summary);
		if (machine->replica_count && replica_must_move(core, machine))
			core->agents.replicas_must_move = true;
	}
	return summary;
}

/*
 * If nearly all agents fall silent at once, the agents have not failed: this controller is
 * partitioned from them.
 */
static bool is_partitioned(const struct contact_summary *summary)
{
	return summary->seen >= PARTITION_MACHINES_MIN &&
	       summary->silent > PARTITION_SILENT_SHARE * summary->seen;
}

void machines_tick(struct core *core)
{
	struct contact_summary summary;
	struct machine *machine, *next;

	if (core->now < core->agents.next_scan_at)
		return;
	core->agents.next_scan_at = core->now + MACHINE_SCAN_INTERVAL_S;
	summary = scan_machines(core);
	if (is_partitioned(&summary)) {
		election_resign(core, STEP_DOWN_PARTITIONED);
		return;
	}
	MACHINES_FOR_EACH (core, machine, next) {
		check_machine(core, machine);
		if (machine->cloud.deleted && !machine->bindings) {
			commands_cancel_request(core, machine);
			machine_free(core, machine);
		}
	}
}
