/*
 * What the leader does in share switching: each quantum it sends every controller a part with the
 * slots of the machines that hash to that controller, and it applies the switches in the answers.
 * If a controller did not answer the last part that the leader sent it, or answered with an error,
 * its next part has no slots: an answer with success shows that the controller is live again.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "core/scheduling/share_switching.h"
#include "core/state.h"
#include "peer.pb-c.h"
#include "util/log.h"
#include "util/xalloc.h"

/* --- applying switches --- */

static bool binding_matches_slot(const struct binding *binding, const Peer__Slot *slot)
{
	return binding->task == slot->task && !strcmp(binding->job->spec.id, slot->job);
}

static void switch_binding(struct core *core, struct binding *binding, const struct job *target)
{
	core->share_switching.switches++;
	snprintf(binding->switched_to, sizeof(binding->switched_to), "%s", target->spec.id);
	log_info("share_switched", "job=%s machine=%s task=%u to=%s", binding->job->spec.id,
		 binding->machine->id, binding->task, target->spec.id);
}

static void apply_switch(struct core *core, const Peer__Switch *change)
{
	const Peer__Slot *slot = change->slot;
	struct machine *machine = slot ? machine_find(core, slot->machine) : NULL;
	const struct job *target = job_find(core, change->to);
	struct binding *binding;

	if (!machine || !target || !job_waiting_count(target))
		return;
	DL_FOREACH2 (machine->bindings, binding, machine_next) {
		if (binding_matches_slot(binding, slot) && !*binding->switched_to)
			switch_binding(core, binding, target);
	}
}

void share_switching_apply(struct core *core, size_t peer, const uint8_t *message, size_t len)
{
	Peer__Switches *switches = peer__switches__unpack(NULL, len, message);

	if (!switches)
		return;
	if (peer < core->conf->peer_count)
		peer_record_incarnation(core, peer, switches->incarnation);
	if (switches->token == election_token(core))
		for (size_t i = 0; i < switches->n_switches; i++)
			apply_switch(core, switches->switches[i]);
	peer__switches__free_unpacked(switches, NULL);
}

/* --- sending parts --- */

static XXH64_hash_t rendezvous_weight(const char *machine, const char *controller)
{
	XXH64_hash_t seed = XXH3_64bits(controller, strlen(controller));

	return XXH3_64bits_withSeed(machine, strlen(machine), seed);
}

/*
 * Chooses the controller for a machine by rendezvous hashing: the live controller whose hash with
 * the machine is highest. Returns its index; the number of peers stands for this controller.
 */
static size_t controller_of_machine(const struct core *core, const char *machine)
{
	size_t best = core->conf->peer_count;
	XXH64_hash_t best_weight = rendezvous_weight(machine, core->conf->name);

	for (size_t i = 0; i < core->conf->peer_count; i++) {
		XXH64_hash_t weight = rendezvous_weight(machine, core->conf->peers[i].name);

		if (core->share_switching.peer_live[i] && weight > best_weight) {
			best_weight = weight;
			best = i;
		}
	}
	return best;
}

/* The entries of a Part message. `slot_list` and `open_list` point to the items of `slots` and
 * `open_jobs`. The strings of these items belong to jobs and machines. */
struct part_entries {
	Peer__Slot *slots, **slot_list;
	Peer__OpenJob *open_jobs, **open_list;
	size_t slot_count, open_count;
};

static void part_entries_free(struct part_entries *entries)
{
	free(entries->slots);
	free(entries->slot_list);
	free(entries->open_jobs);
	free(entries->open_list);
}

static void add_slot(struct part_entries *entries, const struct binding *binding)
{
	Peer__Slot *slot = &entries->slots[entries->slot_count];

	if (binding->job->spec.kind != JOB_ARRAY || binding->job->orphan || *binding->switched_to)
		return;
	peer__slot__init(slot);
	slot->machine = binding->machine->id;
	slot->job = binding->job->spec.id;
	slot->task = binding->task;
	entries->slot_list[entries->slot_count++] = slot;
}

static void add_slots(struct core *core, size_t controller, struct part_entries *entries)
{
	struct machine *machine, *next;
	const struct binding *binding;
	size_t slot_max = 0;

	MACHINES_FOR_EACH (core, machine, next)
		slot_max += (size_t)machine->binding_count;
	entries->slots = xcalloc(slot_max, sizeof(*entries->slots));
	entries->slot_list = xcalloc(slot_max, sizeof(*entries->slot_list));
	MACHINES_FOR_EACH (core, machine, next) {
		if (controller_of_machine(core, machine->id) != controller)
			continue;
		DL_FOREACH2 (machine->bindings, binding, machine_next)
			add_slot(entries, binding);
	}
}

/* Adds an entry to the Part message's list of open jobs for each array to which slots may be
 * switched (see share_switching.h). */
static void add_open_jobs(struct core *core, struct part_entries *entries)
{
	struct job *job, *next;

	entries->open_jobs = xcalloc(job_count(core), sizeof(*entries->open_jobs));
	entries->open_list = xcalloc(job_count(core), sizeof(*entries->open_list));
	JOBS_FOR_EACH (core, job, next) {
		Peer__OpenJob *open = &entries->open_jobs[entries->open_count];

		/* A job without waiting tasks, or at its team's quota, can't use another slot. */
		if (job->spec.kind != JOB_ARRAY || !job_waiting_count(job) ||
		    !team_quota_allows(core, &job->spec, 1))
			continue;
		peer__open_job__init(open);
		open->job = job->spec.id;
		entries->open_list[entries->open_count++] = open;
	}
}

/* Returns the packed Part message for the controller, which the caller frees. */
static uint8_t *pack_part(struct core *core, size_t controller, size_t *len)
{
	struct part_entries entries = {0};
	Peer__Part part = PEER__PART__INIT;
	uint8_t *message;

	add_slots(core, controller, &entries);
	add_open_jobs(core, &entries);
	part.token = election_token(core);
	part.slots = entries.slot_list;
	part.n_slots = entries.slot_count;
	part.open = entries.open_list;
	part.n_open = entries.open_count;
	message = peers_pack(&part.base, len);
	part_entries_free(&entries);
	return message;
}

static void on_part_answer(struct core *core, struct call *call, const struct call_answer *answer)
{
	size_t peer = peer_of_call(call);

	if (election_call_is_stale(core, call))
		return;
	core->share_switching.peer_live[peer] = answer->status == STATUS_OK;
	if (answer->status == STATUS_OK)
		share_switching_apply(core, peer, (const uint8_t *)answer->body, answer->len);
}

static void send_part(struct core *core, size_t controller)
{
	size_t len;
	uint8_t *message = pack_part(core, controller, &len);

	if (controller < core->conf->peer_count) {
		peer_send(core, controller, SHARE_SWITCHING_PATH, message, len, on_part_answer);
		return;
	}
	share_switching_decide(core, 0, message, len);
	free(message);
}

/* After a failover no slots are switched until the agents have had time to report their tasks. */
void share_switching_tick(struct core *core)
{
	if (core->now < core->share_switching.next_at ||
	    core->now - core->leading_since < AUTOSCALE_SETTLE_S || store_is_unavailable(core))
		return;
	core->share_switching.next_at =
	    core->now + SWITCH_QUANTUM_S * (1 + SWITCH_JITTER * (core_random(core) - 0.5));
	for (size_t i = 0; i <= core->conf->peer_count; i++)
		send_part(core, i);
}
