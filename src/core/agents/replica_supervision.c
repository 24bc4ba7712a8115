#include "core/agents/replica_supervision.h"

#include <math.h>

#include "core/agents/probes.h"
#include "core/agents/reachability.h"
#include "core/state.h"

static void supervised_append(struct replica_supervision *supervision, struct machine *machine)
{
	DL_APPEND2(supervision->machines, machine, probes.supervised_prev, probes.supervised_next);
}

static void supervised_remove(struct replica_supervision *supervision, struct machine *machine)
{
	DL_DELETE2(supervision->machines, machine, probes.supervised_prev, probes.supervised_next);
}

void replica_supervision_remove(struct core *core, struct machine *machine)
{
	if (!machine->probes.supervised)
		return;
	machine->probes.supervised = false;
	core->replica_supervision.count--;
	supervised_remove(&core->replica_supervision, machine);
}

static void replica_supervision_add(struct core *core, struct machine *machine)
{
	if (machine->probes.supervised)
		return;
	machine->probes.supervised = true;
	core->replica_supervision.count++;
	supervised_append(&core->replica_supervision, machine);
}

void replica_supervision_update(struct core *core, struct machine *machine)
{
	if (machine->replica_count)
		replica_supervision_add(core, machine);
	else
		replica_supervision_remove(core, machine);
}

/*
 * Returns the allowed rate in probes per second. A probe costs as much as a report, so the rate is
 * a share of the rate of all agents' reports.
 */
static double probe_rate(const struct core *core)
{
	double reports_per_s = machine_count(core) / core->conf->report_s;

	return fmax(REPLICA_PROBES_MIN_PER_S, REPLICA_PROBE_SHARE * reports_per_s);
}

static bool probe_is_due(const struct core *core, const struct machine *machine)
{
	return !machine->cloud.deleting &&
	       core->now - machine->agent.last_message_at >= REPLICA_PROBE_INTERVAL_S &&
	       core->now - machine->probes.sent_at >= REPLICA_PROBE_INTERVAL_S;
}

/*
 * True if most of the other machines with replicas, all of which are probed continually, have sent
 * a message since `since`.
 */
static bool supervised_machines_responsive(const struct core *core, const struct machine *silent,
					   double since)
{
	const struct machine *machine;
	int others = 0, responsive = 0;

	DL_FOREACH2 (core->replica_supervision.machines, machine, probes.supervised_next) {
		if (machine == silent || machine->cloud.deleting)
			continue;
		others++;
		if (machine->agent.last_message_at > since)
			responsive++;
	}
	return others + 1 >= PARTITION_MACHINES_MIN &&
	       responsive >= (1 - EARLY_DELETE_SILENT_SHARE) * others;
}

/* True if most of all machines have sent a message since `since`, as of the last scan. */
static bool fleet_responsive(const struct core *core, double since)
{
	const struct contact_histogram *histogram = &core->agents.contact_histogram;

	return histogram->expected >= PARTITION_MACHINES_MIN &&
	       contact_histogram_count_within(histogram, core->now - since) >=
		   (1 - EARLY_DELETE_SILENT_SHARE) * histogram->expected;
}

/*
 * True if most other machines are responsive, so that this controller is not partitioned from the
 * agents. If many machines with replicas fail together, the reports of the whole fleet show within
 * a report interval that this controller is not partitioned.
 */
static bool other_machines_responsive(const struct core *core, const struct machine *silent,
				      double since)
{
	return supervised_machines_responsive(core, silent, since) || fleet_responsive(core, since);
}

/*
 * True if the machine is to be given up before its agent's lease ends: it does not answer probes,
 * while most other machines send messages.
 */
static bool is_presumed_failed(const struct core *core, const struct machine *machine)
{
	if (machine->cloud.deleting || machine->probes.unanswered < REPLICA_UNANSWERED_PROBES)
		return false;
	/*
	 * The leader's lease may have expired. Then this controller must not give up the machine:
	 * another controller may lead by now and may have started more tasks on the machine.
	 */
	if (election_renewal_age(core) > LEADER_TTL_MS / 1000.0 * (1 - CLOCK_DRIFT))
		return false;
	return other_machines_responsive(core, machine, machine->probes.unanswered_since);
}

bool replica_must_move(const struct core *core, const struct machine *machine)
{
	return machine_is_leaving(machine) || machine_is_partitioned_inbound(core, machine);
}

bool replicas_must_move(const struct core *core)
{
	return core->agents.replicas_must_move;
}

/*
 * Checks the first machine of the list, which has not been checked for the longest time, and moves
 * it to the end: gives it up if it has failed, else probes it if a probe is due.
 */
static void check_next_machine(struct core *core)
{
	struct replica_supervision *supervision = &core->replica_supervision;
	struct machine *machine = supervision->machines;

	supervised_remove(supervision, machine);
	supervised_append(supervision, machine);
	if (is_presumed_failed(core, machine))
		machine_give_up(core, machine);
	else if (probe_is_due(core, machine) && probe_replica_machine(core, machine))
		supervision->probe_limiter.tokens -= 1;
}

void replica_supervision_tick(struct core *core)
{
	struct replica_supervision *supervision = &core->replica_supervision;
	double late_s = core->now - supervision->next_check_at;

	if (late_s < 0)
		return;
	supervision->next_check_at = core->now + TICK_S;
	/* A controller whose event loop falls behind has more urgent work than probes. */
	if (late_s > REPLICA_SUPERVISION_LATE_S)
		return;
	rate_limiter_refill(core, &supervision->probe_limiter, probe_rate(core));
	for (int i = supervision->count; i && supervision->probe_limiter.tokens >= 1; i--)
		check_next_machine(core);
}
