#include "core/agents/replica_supervision.h"

#include <math.h>

#include "core/state.h"

void replica_supervision_remove(struct core *core, struct machine *machine)
{
	if (!machine->probes.supervised)
		return;
	machine->probes.supervised = false;
	core->replica_supervision.count--;
	DL_DELETE2(core->replica_supervision.machines, machine, probes.supervised_prev,
		   probes.supervised_next);
}

void replica_supervision_update(struct core *core, struct machine *machine)
{
	if (!machine->replica_count) {
		replica_supervision_remove(core, machine);
	} else if (!machine->probes.supervised) {
		machine->probes.supervised = true;
		core->replica_supervision.count++;
		DL_APPEND2(core->replica_supervision.machines, machine, probes.supervised_prev,
			   probes.supervised_next);
	}
}

/* A question costs as much as a report: all together cost a share of what the reports do. */
static double questions_per_s(const struct core *core)
{
	double reports_per_s = machine_count(core) / core->conf->report_s;

	return fmax(REPLICA_PROBES_PER_S, REPLICA_PROBE_SHARE * reports_per_s);
}

static bool question_due(const struct core *core, const struct machine *machine)
{
	return !machine->cloud.deleting &&
	       core->now - machine->agent.last_message_at >= REPLICA_PROBE_S &&
	       core->now - machine->probes.sent_at >= REPLICA_PROBE_S;
}

/* Most other machines with replicas, which are asked all the time, were heard of since then. */
static bool supervised_responsive(const struct core *core, const struct machine *silent,
				  double since)
{
	const struct machine *machine;
	int known = 0, heard = 0;

	DL_FOREACH2 (core->replica_supervision.machines, machine, probes.supervised_next) {
		if (machine == silent || machine->cloud.deleting)
			continue;
		known++;
		heard += machine->agent.last_message_at > since;
	}
	return known + 1 >= PARTITION_MACHINES && heard >= (1 - SILENT_SHARE) * known;
}

/*
 * Most others were heard of since then, so it is not this controller that is cut off. When many of
 * those with replicas are lost together, the reports of all machines tell it as well, within an
 * interval.
 */
static bool others_responsive(const struct core *core, const struct machine *silent, double since)
{
	const struct contact_ages *words = &core->agents.contact_ages;

	return supervised_responsive(core, silent, since) ||
	       (words->expected >= PARTITION_MACHINES &&
		contact_ages_within(words, core->now - since) >=
		    (1 - SILENT_SHARE) * words->expected);
}

/*
 * Whether the machine is to be deleted before its worker's lease ends: it is silent while most
 * others are heard.
 */
static bool presumed_lost(const struct core *core, const struct machine *machine)
{
	if (machine->cloud.deleting || machine->probes.unanswered < REPLICA_UNANSWERED_PROBES)
		return false;
	/* Another may lead by now, and may have given the machine more work. */
	if (election_renewal_age(core) > LEADER_TTL_MS / 1000.0 * (1 - CLOCK_DRIFT))
		return false;
	return others_responsive(core, machine, machine->probes.unanswered_since);
}

/* It answers questions, but its reports reach nobody. */
static bool reports_lost(const struct core *core, const struct machine *machine)
{
	double since =
	    fmax(machine->agent.last_report_at, fmax(machine->agent.up_at, core->leading_since));

	return machine->agent.incarnation && !machine->cloud.deleting &&
	       machine_is_responsive(core, machine) &&
	       core->now - since > REPLICA_MOVE_LEASES * core->conf->lease_s;
}

bool replica_must_move(const struct core *core, const struct machine *machine)
{
	return machine_is_leaving(machine) || reports_lost(core, machine);
}

bool replicas_must_move(const struct core *core)
{
	return core->agents.replicas_must_move;
}

void replica_supervision_tick(struct core *core)
{
	struct replica_supervision *watch = &core->replica_supervision;
	bool late = core->now - watch->next_at > REPLICA_SUPERVISION_LATE_S;

	if (core->now < watch->next_at)
		return;
	watch->next_at = core->now + TICK_S;
	/* A controller that falls behind has more urgent things to do. */
	if (late)
		return;
	rate_limiter_refill(core, &watch->probe_limiter, questions_per_s(core));
	for (int i = watch->count; i && watch->probe_limiter.tokens >= 1; i--) {
		struct machine *machine = watch->machines;

		DL_DELETE2(watch->machines, machine, probes.supervised_prev,
			   probes.supervised_next);
		DL_APPEND2(watch->machines, machine, probes.supervised_prev,
			   probes.supervised_next);
		if (presumed_lost(core, machine))
			machine_give_up(core, machine);
		else if (question_due(core, machine) && probe_replica_machine(core, machine))
			watch->probe_limiter.tokens -= 1;
	}
}
