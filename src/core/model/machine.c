#include "core/model/machine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"

unsigned machine_count(const struct core *core)
{
	return HASH_COUNT(core->machines);
}

struct machine *machine_find(const struct core *core, const char *id)
{
	struct machine *machine;

	HASH_FIND_STR(core->machines, id, machine);
	return machine;
}

struct machine *machine_find_or_add(struct core *core, const char *id)
{
	struct machine *machine = machine_find(core, id);

	if (machine)
		return machine;
	machine = xcalloc(1, sizeof(*machine));
	snprintf(machine->id, sizeof(machine->id), "%s", id);
	machine->agent.last_heartbeat_at = machine->agent.last_message_at =
	    machine->agent.last_report_at = machine->agent.notice_s =
		machine->agent.token_shown_at = -1;
	machine->probes.sent_at = core->now - PROBE_INTERVAL_S;
	machine->agent.reachable = true;
	machine->cloud.rented_at = machine->cloud.idle_since = core->now;
	HASH_ADD_STR(core->machines, id, machine);
	return machine;
}

void machine_free(struct core *core, struct machine *machine)
{
	HASH_DEL(core->machines, machine);
	core->events->machine_removed(core, machine);
	free(machine->agent.unbound_tasks);
	free(machine);
}

/* Subtracts the resources of one task of the job from the machine's free capacity. */
static void allocate_resources(struct machine *machine, const struct job_spec *spec)
{
	machine->free_cpus -= spec->cpus;
	machine->free_gpus -= spec->gpus;
	machine->free_mem_gb -= spec->mem_gb;
}

/* Adds the resources of one task of the job to the machine's free capacity. */
static void release_resources(struct machine *machine, const struct job_spec *spec)
{
	machine->free_cpus += spec->cpus;
	machine->free_gpus += spec->gpus;
	machine->free_mem_gb += spec->mem_gb;
}

void machine_add_binding(struct core *core, struct binding *binding)
{
	struct machine *machine = binding->machine;
	const struct job_spec *spec = &binding->job->spec;

	DL_APPEND2(machine->bindings, binding, machine_prev, machine_next);
	machine->binding_count++;
	machine->replica_count += spec->kind == JOB_SERVICE;
	core->events->replicas_changed(core, machine);
	allocate_resources(machine, spec);
}

void machine_remove_binding(struct core *core, struct binding *binding)
{
	struct machine *machine = binding->machine;
	const struct job_spec *spec = &binding->job->spec;

	DL_DELETE2(machine->bindings, binding, machine_prev, machine_next);
	machine->binding_count--;
	machine->replica_count -= spec->kind == JOB_SERVICE;
	core->events->replicas_changed(core, machine);
	release_resources(machine, spec);
	if (!machine->binding_count)
		machine->cloud.idle_since = core->now;
}

/*
 * Looks up the machine's type in the catalog. The free capacity is what the type has less what the
 * bindings use; an unknown type counts as one without any capacity.
 */
static void machine_apply_type(const struct core *core, struct machine *machine)
{
	const struct binding *binding;

	machine->type = catalog_find(core, machine->type_name);
	machine->free_cpus = machine->type ? machine->type->cpus : 0;
	machine->free_gpus = machine->type ? machine->type->gpus : 0;
	machine->free_mem_gb = machine->type ? machine->type->mem_gb : 0;
	DL_FOREACH2 (machine->bindings, binding, machine_next)
		allocate_resources(machine, &binding->job->spec);
}

void machines_apply_catalog(const struct core *core)
{
	struct machine *machine, *next;

	MACHINES_FOR_EACH (core, machine, next)
		machine_apply_type(core, machine);
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
	machine_apply_type(core, machine);
}

/*
 * True if the message that was received at `received_at` (steady seconds) is recent: less than
 * MACHINE_FRESH_REPORTS report intervals old. A negative time stands for no message.
 */
static bool is_recent(const struct core *core, double received_at)
{
	return received_at >= 0 &&
	       core->now - received_at < MACHINE_FRESH_REPORTS * core->conf->report_s;
}

bool machine_is_responsive(const struct core *core, const struct machine *machine)
{
	return is_recent(core, machine->agent.last_message_at);
}

bool machine_is_leaving(const struct machine *machine)
{
	return (machine->agent.notice_s >= 0 || machine->cloud.draining) &&
	       !machine->cloud.deleting;
}

/*
 * A recent message does not make a machine usable: only answers to heartbeats renew an agent's
 * lease. An agent that answers probes and direct commands, but whose heartbeats don't arrive at
 * this controller, will lose its lease and its tasks with it.
 */
bool machine_is_usable(const struct core *core, const struct machine *machine)
{
	return machine->type && machine->agent.incarnation && machine->agent.reachable &&
	       !machine->cloud.draining && !machine->cloud.deleting && !machine->cloud.failed &&
	       machine->agent.notice_s < 0 && is_recent(core, machine->agent.last_report_at) &&
	       core->now >= machine->scheduling.backoff_until;
}

/*
 * Starts are sent in answers to heartbeats only. An agent sends one heartbeat at a time and drops
 * the answers to earlier ones. The first heartbeat that is applied in a term, or after a known
 * restart of the agent, shows a token that makes the agent reject all messages of earlier leaders,
 * the direct ones with starts of versions before 0.6.4 included.
 */
bool machine_start_is_void(const struct machine *machine, uint64_t start_sequence)
{
	return machine->agent.heartbeat_sequence > start_sequence;
}

/* True if the machine's agent lists MACHINE_UNBOUND_TASKS_MANY tasks or more that are not bound. */
static bool has_many_unbound_tasks(const struct machine *machine)
{
	return machine->agent.unbound_task_count >= MACHINE_UNBOUND_TASKS_MANY;
}

uint32_t machine_listable_tasks(const struct machine *machine)
{
	size_t listed = machine->agent.unbound_task_count + (size_t)machine->binding_count;

	if (!has_many_unbound_tasks(machine))
		return JOB_TASKS_MAX;
	return listed < MACHINE_LISTED_TASKS_MAX ? (uint32_t)(MACHINE_LISTED_TASKS_MAX - listed)
						 : 0;
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

/* The images are kept in the order of their last use, as in the machine's own cache. */
void machine_mark_image_used(struct machine *machine, const char *image)
{
	struct machine_scheduling *scheduling = &machine->scheduling;
	int place = scheduling->image_count < MACHINE_IMAGES_MAX ? scheduling->image_count
								 : MACHINE_IMAGES_MAX - 1;

	for (int i = 0; i < scheduling->image_count; i++)
		if (!strcmp(scheduling->images[i], image))
			place = i;
	if (place == scheduling->image_count)
		scheduling->image_count++;
	memmove(scheduling->images[1], scheduling->images[0], (size_t)place * NAME_MAX_LEN);
	snprintf(scheduling->images[0], NAME_MAX_LEN, "%s", image);
}

void machine_handle_deleted(struct core *core, struct machine *machine)
{
	log_info("machine_deleted", "machine=%s bound=%d", machine->id, machine->binding_count);
	machine->cloud.deleted = machine->cloud.deleting = true;
	while (machine->bindings)
		binding_end(core, machine->bindings, END_NONE);
}
