#include "core/replica_watch.h"

#include <math.h>

#include "core/state.h"

void replica_watch_remove(struct core *core, struct machine *machine)
{
	if (!machine->watched)
		return;
	machine->watched = false;
	core->replica_watch.count--;
	DL_DELETE2(core->replica_watch.machines, machine, watch_prev, watch_next);
}

void replica_watch_update(struct core *core, struct machine *machine)
{
	if (!machine->nreplicas) {
		replica_watch_remove(core, machine);
	} else if (!machine->watched) {
		machine->watched = true;
		core->replica_watch.count++;
		DL_APPEND2(core->replica_watch.machines, machine, watch_prev, watch_next);
	}
}

/* A question costs as much as a report: all together cost a share of what the reports do. */
static double questions_per_s(const struct core *core)
{
	double reports_per_s = HASH_COUNT(core->fleet.machines) / core->conf->report_s;

	return fmax(REPLICA_ASKS_PER_S, REPLICA_ASK_SHARE * reports_per_s);
}

static bool question_due(const struct core *core, const struct machine *machine)
{
	return !machine->deleting && core->now - machine->last_word >= REPLICA_ASK_S &&
	       core->now - machine->asked_at >= REPLICA_ASK_S;
}

/* Most other machines with replicas, which are asked all the time, were heard of since then. */
static bool watched_heard(const struct core *core, const struct machine *silent, double since)
{
	const struct machine *machine;
	int known = 0, heard = 0;

	DL_FOREACH2 (core->replica_watch.machines, machine, watch_next) {
		if (machine == silent || machine->deleting)
			continue;
		known++;
		heard += machine->last_word > since;
	}
	return known + 1 >= CUT_MACHINES && heard >= (1 - SILENT_SHARE) * known;
}

/*
 * Most others were heard of since then, so it is not this controller that is cut off. When many of
 * those with replicas are lost together, the reports of all machines tell it as well, within an
 * interval.
 */
static bool others_heard(const struct core *core, const struct machine *silent, double since)
{
	const struct fleet_words *words = &core->fleet.words;

	return watched_heard(core, silent, since) ||
	       (words->known >= CUT_MACHINES &&
		fleet_words_since(words, core->now - since) >= (1 - SILENT_SHARE) * words->known);
}

/*
 * Whether the machine is to be deleted before its worker's lease ends: it is silent while most
 * others are heard.
 */
static bool unreachable(const struct core *core, const struct machine *machine)
{
	if (machine->deleting || machine->unanswered < REPLICA_UNANSWERED)
		return false;
	/* Another may lead by now, and may have given the machine more work. */
	if (core->now - core->election.renewed > LEADER_TTL_MS / 1000.0 * (1 - CLOCK_DRIFT))
		return false;
	return others_heard(core, machine, machine->unanswered_since);
}

/* It answers questions, but its reports reach nobody. */
static bool reports_lost(const struct core *core, const struct machine *machine)
{
	double since = fmax(machine->reported, fmax(machine->up_at, core->lead_since));

	return machine->session && !machine->deleting && machine_fresh(core, machine) &&
	       core->now - since > REPLICA_MOVE_LEASES * core->conf->lease_s;
}

bool replica_watch_leaves(const struct core *core, const struct machine *machine)
{
	return machine_leaves(machine) || reports_lost(core, machine);
}

void replica_watch_tick(struct core *core)
{
	struct replica_watch *watch = &core->replica_watch;
	bool late = core->now - watch->next > REPLICA_WATCH_LATE_S;

	if (core->now < watch->next)
		return;
	watch->next = core->now + TICK_S;
	/* A controller that falls behind has more urgent things to do. */
	if (late)
		return;
	allowance_fill(core, &watch->questions, questions_per_s(core));
	for (int i = watch->count; i && watch->questions.left >= 1; i--) {
		struct machine *machine = watch->machines;

		DL_DELETE2(watch->machines, machine, watch_prev, watch_next);
		DL_APPEND2(watch->machines, machine, watch_prev, watch_next);
		if (unreachable(core, machine))
			machine_lost(core, machine);
		else if (question_due(core, machine) && workers_probe(core, machine))
			watch->questions.left -= 1;
	}
}
