/* The machines: what the cloud's list, the records and the workers say of them. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/round.h"
#include "core/state.h"
#include "util/log.h"

struct machine *machine_find(struct core *core, const char *id)
{
	struct machine *machine;

	HASH_FIND_STR(core->fleet.machines, id, machine);
	return machine;
}

struct machine *machine_get(struct core *core, const char *id)
{
	struct machine *machine = machine_find(core, id);

	if (machine)
		return machine;
	machine = calloc(1, sizeof(*machine));
	if (!machine)
		abort();
	snprintf(machine->id, sizeof(machine->id), "%s", id);
	machine->last_beat = machine->last_word = machine->reported = machine->notice_s = -1;
	machine->asked_at = core->now - MACHINE_ASK_S;
	machine->hears = true;
	machine->rented_at = machine->idle_since = core->now;
	HASH_ADD_STR(core->fleet.machines, id, machine);
	return machine;
}

void machine_free(struct core *core, struct machine *machine)
{
	HASH_DEL(core->fleet.machines, machine);
	replica_watch_remove(core, machine);
	report_cache_remove(&core->fleet.reports, &machine->last_report);
	free(machine->left);
	free(machine);
}

static const struct machine_type *type_find(const struct core *core, const char *name)
{
	for (size_t i = 0; i < core->catalog.ntypes; i++)
		if (!strcmp(core->catalog.types[i].name, name))
			return &core->catalog.types[i];
	return NULL;
}

/* Free room is what the type offers less what is bound; an unknown type offers nothing. */
static void machine_link(struct core *core, struct machine *machine)
{
	const struct binding *binding;

	machine->type = type_find(core, machine->type_name);
	machine->cpus = machine->type ? machine->type->cpus : 0;
	machine->gpus = machine->type ? machine->type->gpus : 0;
	machine->mem_gb = machine->type ? machine->type->mem_gb : 0;
	DL_FOREACH2 (machine->bindings, binding, mnext) {
		machine->cpus -= binding->job->spec.cpus;
		machine->gpus -= binding->job->spec.gpus;
		machine->mem_gb -= binding->job->spec.mem_gb;
	}
}

void machines_relink(struct core *core)
{
	struct machine *machine, *tmp;

	HASH_ITER (hh, core->fleet.machines, machine, tmp)
		machine_link(core, machine);
}

void machine_describe(struct core *core, struct machine *machine, const char *addr,
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

bool machine_fresh(const struct core *core, const struct machine *machine)
{
	return machine->last_word >= 0 &&
	       core->now - machine->last_word < MACHINE_FRESH_REPORTS * core->conf->report_s;
}

/*
 * Only reports keep a worker's lease: one that answers direct commands but reports to nobody, or to
 * a leader of before, will lose what runs on it.
 */
static bool machine_reports(const struct core *core, const struct machine *machine)
{
	return machine->reported >= 0 &&
	       core->now - machine->reported < MACHINE_FRESH_REPORTS * core->conf->report_s;
}

bool machine_leaves(const struct machine *machine)
{
	return (machine->notice_s >= 0 || machine->draining) && !machine->deleting;
}

bool machine_usable(const struct core *core, const struct machine *machine)
{
	return machine->type && machine->session && machine->hears && !machine->draining &&
	       !machine->deleting && !machine->failed && machine->notice_s < 0 &&
	       machine_reports(core, machine) && core->now >= machine->no_place_until;
}

bool machine_allowed(const struct machine_type *type, const char *zone, bool spot,
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
	for (int i = 0; i < machine->nimages; i++)
		if (!strcmp(machine->images[i], image))
			return true;
	return false;
}

/* Most recently used first, as the machines' caches keep them. */
void machine_note_image(struct machine *machine, const char *image)
{
	int at = machine->nimages < MACHINE_IMAGES ? machine->nimages : MACHINE_IMAGES - 1;

	for (int i = 0; i < machine->nimages; i++)
		if (!strcmp(machine->images[i], image))
			at = i;
	if (at == machine->nimages)
		machine->nimages++;
	memmove(machine->images[1], machine->images[0], (size_t)at * NAME_MAX_LEN);
	snprintf(machine->images[0], NAME_MAX_LEN, "%s", image);
}

/* The cloud answered 200 to its delete: it and everything on it is gone. */
void machine_gone(struct core *core, struct machine *machine)
{
	log_info("machine_gone", "machine=%s bound=%d", machine->id, machine->nbindings);
	machine->gone = machine->deleting = true;
	while (machine->bindings)
		binding_end(core, machine->bindings, WHY_NONE);
}

static bool boot_overdue(const struct core *core, const struct machine *machine)
{
	double boot = machine->type ? machine->type->boot_s : 0;

	return machine->last_word < 0 &&
	       core->now - machine->rented_at > MACHINE_BOOT_FACTOR * boot + MACHINE_BOOT_EXTRA_S;
}

static bool silent_too_long(const struct core *core, const struct machine *machine)
{
	double since =
	    machine->last_beat >= 0 ? machine->last_beat : fmax(machine->up_at, core->lead_since);
	double most = core->conf->lease_s * (1 + CLOCK_DRIFT) + MACHINE_DEAD_MARGIN_S;

	if (machine->last_word < 0 && !machine->bindings)
		return boot_overdue(core, machine);
	return core->now - since > most;
}

/*
 * Asks a machine that has not been heard of in this term. All report to a new leader by themselves
 * within two intervals; a question to each before that would cost it as much again.
 */
void machine_show(struct core *core, struct machine *machine)
{
	if (machine->last_word < 0 && core->now - machine->asked_at > MACHINE_SHOW_S &&
	    core->now - core->lead_since > MACHINE_SHOW_REPORTS * core->conf->report_s)
		workers_ask(core, machine);
}

void machine_lost(struct core *core, struct machine *machine)
{
	log_info("machine_lost", "machine=%s failed=%d missing=%d last_word=%.1f bound=%d",
		 machine->id, machine->failed, machine->missing,
		 machine->last_word < 0 ? -1.0 : core->now - machine->last_word,
		 machine->nbindings);
	machine->deleting = true;
	core->rentals.next = core->now; /* its delete proves the ends of its tasks */
}

static void machine_look(struct core *core, struct machine *machine)
{
	bool vanished = machine->missing >= MACHINE_GONE_LISTS && !machine_fresh(core, machine);

	/* Held room that can't be used any more. */
	if (machine->hold_job && !machine_usable(core, machine))
		machine->hold_job = NULL;
	if (machine->deleting)
		return;
	if (machine->failed || vanished || silent_too_long(core, machine)) {
		machine_lost(core, machine);
		return;
	}
	/* Known from a record or the list, but not heard of under this leader. */
	if (machine->nbindings)
		machine_show(core, machine);
	/* Deaf since long, while the lease must have taken its tasks: it is replaced. */
	if (!machine->hears && !machine->nbindings &&
	    core->now - machine->deaf_since > MACHINE_DEAF_S) {
		log_info("machine_deaf_returned", "machine=%s", machine->id);
		machine->deleting = true;
	}
}

int fleet_words_since(const struct fleet_words *words, double age_s)
{
	int heard = 0;

	for (int age = 0; age < FLEET_WORD_AGES && (age + 1) * FLEET_WORD_AGE_S <= age_s; age++)
		heard += words->by_age[age];
	return heard;
}

static void word_count(struct core *core, const struct machine *machine)
{
	struct fleet_words *words = &core->fleet.words;
	double age = (core->now - machine->last_word) / FLEET_WORD_AGE_S;

	if (machine->last_word < 0 && !machine->nbindings)
		return;
	words->known++;
	if (machine->last_word >= 0 && age < FLEET_WORD_AGES)
		words->by_age[(int)age]++;
}

/* If nearly all fall silent at once, it is this controller that is cut off. */
static bool looks_cut(struct core *core)
{
	int heard = 0, silent = 0;
	bool leave = false;
	struct machine *machine, *tmp;

	memset(&core->fleet.words, 0, sizeof(core->fleet.words));
	HASH_ITER (hh, core->fleet.machines, machine, tmp) {
		if (machine->deleting)
			continue;
		word_count(core, machine);
		leave |= machine->nreplicas && replica_watch_leaves(core, machine);
		if (machine->last_word < 0)
			continue;
		heard++;
		silent += !machine_fresh(core, machine);
	}
	core->fleet.replicas_leave = leave;
	return heard >= CUT_MACHINES && silent > CUT_SHARE * heard;
}

void machine_tick(struct core *core)
{
	struct machine *machine, *tmp;

	if (core->now < core->fleet.next_look)
		return;
	core->fleet.next_look = core->now + MACHINES_EVERY_S;
	if (looks_cut(core)) {
		election_yield(core, "no_worker_heard");
		return;
	}
	HASH_ITER (hh, core->fleet.machines, machine, tmp) {
		machine_look(core, machine);
		if (machine->gone && !machine->bindings) {
			commands_unwanted(core, machine);
			machine_free(core, machine);
		}
	}
}
