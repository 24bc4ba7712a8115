/* The machines: what the cloud's list, the records and the workers say of them. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/scheduling/cycle.h"
#include "core/state.h"
#include "util/log.h"

struct machine *machine_find(struct core *core, const char *id)
{
	struct machine *machine;

	HASH_FIND_STR(core->fleet.machines, id, machine);
	return machine;
}

struct machine *machine_find_or_add(struct core *core, const char *id)
{
	struct machine *machine = machine_find(core, id);

	if (machine)
		return machine;
	machine = calloc(1, sizeof(*machine));
	if (!machine)
		abort();
	snprintf(machine->id, sizeof(machine->id), "%s", id);
	machine->agent.last_heartbeat_at = machine->agent.last_message_at =
	    machine->agent.last_report_at = machine->agent.notice_s = -1;
	machine->probes.sent_at = core->now - PROBE_INTERVAL_S;
	machine->agent.reachable = true;
	machine->cloud.rented_at = machine->cloud.idle_since = core->now;
	HASH_ADD_STR(core->fleet.machines, id, machine);
	return machine;
}

void machine_free(struct core *core, struct machine *machine)
{
	HASH_DEL(core->fleet.machines, machine);
	replica_supervision_remove(core, machine);
	report_cache_remove(&core->fleet.report_cache, &machine->agent.cached_report);
	free(machine->agent.leftovers);
	free(machine);
}

static const struct machine_type *type_find(const struct core *core, const char *name)
{
	for (size_t i = 0; i < core->catalog.type_count; i++)
		if (!strcmp(core->catalog.types[i].name, name))
			return &core->catalog.types[i];
	return NULL;
}

/* Free room is what the type offers less what is bound; an unknown type offers nothing. */
static void machine_link(struct core *core, struct machine *machine)
{
	const struct binding *binding;

	machine->type = type_find(core, machine->type_name);
	machine->free_cpus = machine->type ? machine->type->cpus : 0;
	machine->free_gpus = machine->type ? machine->type->gpus : 0;
	machine->free_mem_gb = machine->type ? machine->type->mem_gb : 0;
	DL_FOREACH2 (machine->bindings, binding, machine_next) {
		machine->free_cpus -= binding->job->spec.cpus;
		machine->free_gpus -= binding->job->spec.gpus;
		machine->free_mem_gb -= binding->job->spec.mem_gb;
	}
}

void machines_apply_catalog(struct core *core)
{
	struct machine *machine, *tmp;

	HASH_ITER (hh, core->fleet.machines, machine, tmp)
		machine_link(core, machine);
}

void machine_set_identity(struct core *core, struct machine *machine, const char *addr,
			  const char *type, const char *zone, bool spot)
{
	if (*addr && strcmp(machine->addr, addr))
		snprintf(machine->addr, sizeof(machine->addr), "%s", addr);
	if (machine->type && !strcmp(machine->type_name, type))
		return;
	snprintf(machine->type_name, sizeof(machine->type_name), "%s", type);
	snprintf(machine->zone, sizeof(machine->zone), "%s", zone);
	machine->spot = spot;
	machine_link(core, machine);
}

bool machine_is_responsive(const struct core *core, const struct machine *machine)
{
	return machine->agent.last_message_at >= 0 &&
	       core->now - machine->agent.last_message_at <
		   MACHINE_FRESH_REPORTS * core->conf->report_s;
}

/*
 * Only reports keep a worker's lease: one that answers direct commands but reports to nobody, or to
 * a leader of before, will lose what runs on it.
 */
static bool machine_reports(const struct core *core, const struct machine *machine)
{
	return machine->agent.last_report_at >= 0 &&
	       core->now - machine->agent.last_report_at <
		   MACHINE_FRESH_REPORTS * core->conf->report_s;
}

bool machine_is_leaving(const struct machine *machine)
{
	return (machine->agent.notice_s >= 0 || machine->cloud.draining) &&
	       !machine->cloud.deleting;
}

bool machine_is_usable(const struct core *core, const struct machine *machine)
{
	return machine->type && machine->agent.incarnation && machine->agent.reachable &&
	       !machine->cloud.draining && !machine->cloud.deleting && !machine->cloud.failed &&
	       machine->agent.notice_s < 0 && machine_reports(core, machine) &&
	       core->now >= machine->scheduling.backoff_until;
}

bool machine_type_allowed(const struct machine_type *type, const char *zone, bool spot,
			  const struct job_spec *spec)
{
	if (spot && !spec->spot)
		return false;
	if (*spec->zone && strcmp(spec->zone, zone))
		return false;
	return !spec->types.count || name_list_has(&spec->types, type->name);
}

bool machine_has_image(const struct machine *machine, const char *image)
{
	for (int i = 0; i < machine->scheduling.image_count; i++)
		if (!strcmp(machine->scheduling.images[i], image))
			return true;
	return false;
}

/* Most recently used first, as the machines' caches keep them. */
void machine_note_image(struct machine *machine, const char *image)
{
	int at = machine->scheduling.image_count < MACHINE_IMAGES ? machine->scheduling.image_count
								  : MACHINE_IMAGES - 1;

	for (int i = 0; i < machine->scheduling.image_count; i++)
		if (!strcmp(machine->scheduling.images[i], image))
			at = i;
	if (at == machine->scheduling.image_count)
		machine->scheduling.image_count++;
	memmove(machine->scheduling.images[1], machine->scheduling.images[0],
		(size_t)at * NAME_MAX_LEN);
	snprintf(machine->scheduling.images[0], NAME_MAX_LEN, "%s", image);
}

/* The cloud answered 200 to its delete: it and everything on it is gone. */
void machine_note_deleted(struct core *core, struct machine *machine)
{
	log_info("machine_deleted", "machine=%s bound=%d", machine->id, machine->binding_count);
	machine->cloud.deleted = machine->cloud.deleting = true;
	while (machine->bindings)
		binding_end(core, machine->bindings, END_NONE);
}

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
	core->autoscale.next_scan_at = core->now; /* its delete proves the ends of its tasks */
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
	struct contact_ages *words = &core->fleet.contact_ages;
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

	memset(&core->fleet.contact_ages, 0, sizeof(core->fleet.contact_ages));
	HASH_ITER (hh, core->fleet.machines, machine, tmp) {
		if (machine->cloud.deleting)
			continue;
		count_contact(core, machine);
		leave |= machine->replica_count && replica_must_move(core, machine);
		if (machine->agent.last_message_at < 0)
			continue;
		heard++;
		silent += !machine_is_responsive(core, machine);
	}
	core->fleet.replicas_must_move = leave;
	return heard >= PARTITION_MACHINES && silent > PARTITION_SHARE * heard;
}

void machines_tick(struct core *core)
{
	struct machine *machine, *tmp;

	if (core->now < core->fleet.next_scan_at)
		return;
	core->fleet.next_scan_at = core->now + MACHINES_EVERY_S;
	if (is_partitioned(core)) {
		election_resign(core, "partitioned_from_agents");
		return;
	}
	HASH_ITER (hh, core->fleet.machines, machine, tmp) {
		check_machine(core, machine);
		if (machine->cloud.deleted && !machine->bindings) {
			commands_withdraw(core, machine);
			machine_free(core, machine);
		}
	}
}
