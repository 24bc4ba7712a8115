/*
 * Which machines are lost, overdue or cut off, judged by their agents' messages and the cloud's
 * inventory.
 */
#include "core/agents/machine_health.h"

#include <math.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"

static bool boot_overdue(const struct core *core, const struct machine *machine)
{
	double boot = machine->type ? machine->type->boot_s : 0;

	return machine->agent.last_message_at < 0 &&
	       core->now - machine->cloud.rented_at >
		   MACHINE_BOOT_FACTOR * boot + MACHINE_BOOT_EXTRA_S;
}

static bool silent_too_long(const struct core *core, const struct machine *machine)
{
	double since = machine->agent.last_heartbeat_at >= 0
			   ? machine->agent.last_heartbeat_at
			   : fmax(machine->agent.up_at, core->leading_since);
	double most = core->conf->lease_s * (1 + CLOCK_DRIFT) + MACHINE_DEAD_MARGIN_S;

	if (machine->agent.last_message_at < 0 && !machine->bindings)
		return boot_overdue(core, machine);
	return core->now - since > most;
}

/*
 * Asks a machine that has not been heard of in this term. All report to a new leader by themselves
 * within two intervals; a question to each before that would cost it as much again.
 */
void probe_unseen_machine(struct core *core, struct machine *machine)
{
	if (machine->agent.last_message_at < 0 &&
	    core->now - machine->probes.sent_at > PROBE_UNSEEN_S &&
	    core->now - core->leading_since > PROBE_UNSEEN_REPORTS * core->conf->report_s)
		probe_machine(core, machine);
}

void machine_give_up(struct core *core, struct machine *machine)
{
	log_info("machine_lost",
		 "machine=%s failed=%d missed_inventories=%d last_message_age=%.1f bound=%d",
		 machine->id, machine->cloud.failed, machine->cloud.missed_inventories,
		 machine->agent.last_message_at < 0 ? -1.0
						    : core->now - machine->agent.last_message_at,
		 machine->binding_count);
	machine->cloud.deleting = true;
	core->events->machine_given_up(core); /* its delete proves the ends of its tasks */
}

static void check_machine(struct core *core, struct machine *machine)
{
	bool vanished = machine->cloud.missed_inventories >= MACHINE_MISSED_INVENTORIES &&
			!machine_is_responsive(core, machine);

	/* Held room that can't be used any more. */
	if (machine->scheduling.reserved_for && !machine_is_usable(core, machine))
		machine->scheduling.reserved_for = NULL;
	if (machine->cloud.deleting)
		return;
	if (machine->cloud.failed || vanished || silent_too_long(core, machine)) {
		machine_give_up(core, machine);
		return;
	}
	/* Known from a record or the list, but not heard of under this leader. */
	if (machine->binding_count)
		probe_unseen_machine(core, machine);
	/* Deaf since long, while the lease must have taken its tasks: it is replaced. */
	if (!machine->agent.reachable && !machine->binding_count &&
	    core->now - machine->agent.unreachable_since > MACHINE_UNREACHABLE_S) {
		log_info("machine_unreachable_deleted", "machine=%s", machine->id);
		machine->cloud.deleting = true;
	}
}

int contact_ages_within(const struct contact_ages *words, double age_s)
{
	int heard = 0;

	for (int age = 0; age < CONTACT_AGES && (age + 1) * CONTACT_AGE_S <= age_s; age++)
		heard += words->by_age[age];
	return heard;
}

static void count_contact(struct core *core, const struct machine *machine)
{
	struct contact_ages *words = &core->agents.contact_ages;
	double age = (core->now - machine->agent.last_message_at) / CONTACT_AGE_S;

	if (machine->agent.last_message_at < 0 && !machine->binding_count)
		return;
	words->expected++;
	if (machine->agent.last_message_at >= 0 && age < CONTACT_AGES)
		words->by_age[(int)age]++;
}

/* If nearly all fall silent at once, it is this controller that is cut off. */
static bool is_partitioned(struct core *core)
{
	int heard = 0, silent = 0;
	bool leave = false;
	struct machine *machine, *tmp;

	memset(&core->agents.contact_ages, 0, sizeof(core->agents.contact_ages));
	MACHINES_FOR_EACH (core, machine, tmp) {
		if (machine->cloud.deleting)
			continue;
		count_contact(core, machine);
		leave |= machine->replica_count && replica_must_move(core, machine);
		if (machine->agent.last_message_at < 0)
			continue;
		heard++;
		silent += !machine_is_responsive(core, machine);
	}
	core->agents.replicas_must_move = leave;
	return heard >= PARTITION_MACHINES && silent > PARTITION_SHARE * heard;
}

void machines_tick(struct core *core)
{
	struct machine *machine, *tmp;

	if (core->now < core->agents.next_scan_at)
		return;
	core->agents.next_scan_at = core->now + MACHINES_EVERY_S;
	if (is_partitioned(core)) {
		election_resign(core, STEP_DOWN_PARTITIONED);
		return;
	}
	MACHINES_FOR_EACH (core, machine, tmp) {
		check_machine(core, machine);
		if (machine->cloud.deleted && !machine->bindings) {
			commands_withdraw(core, machine);
			machine_free(core, machine);
		}
	}
}
