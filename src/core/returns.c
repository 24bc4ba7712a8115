/* Machines that go back: idle, faulty or lost ones, and what is done on a notice. */
#include "core/cloud.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/replicas.h"
#include "core/round.h"
#include "util/log.h"
#include "wire/names.h"

static double patience(const struct core *core, const struct machine *m)
{
	if (core->conf->idle_patience_s >= 0)
		return core->conf->idle_patience_s;
	if (!rent_thrifty(core))
		return IDLE_LAVISH_S;
	return m->type && m->type->gpus > 0 ? IDLE_DEAR_S : IDLE_THRIFTY_S;
}

static void notice_look(struct core *core, struct machine *m)
{
	double left = m->notice_s - (core->now - m->notice_heard);
	struct binding *b;

	DL_FOREACH2 (m->bindings, b, mnext) {
		double save = b->job->spec.save_s;

		if (b->stopping || b->job->spec.checkpoint_s <= 0 || left < save)
			continue;
		if (left < save + NOTICE_MARGIN_S)
			binding_stop(core, b, save + 1);
	}
}

/* Whether any open job could use the machine's type; with none open, any might come. */
static bool type_of_use(const struct core *core, const struct machine *m)
{
	const struct job *j, *tmp;

	if (!m->type || !core->jobs)
		return true;
	HASH_ITER (hh, core->jobs, j, tmp)
		if (!j->orphan && j->spec.cpus <= m->type->cpus && j->spec.gpus <= m->type->gpus &&
		    j->spec.mem_gb <= m->type->mem_gb &&
		    machine_allowed(m->type, m->zone, m->spot, &j->spec))
			return true;
	return false;
}

void returns_look(struct core *core)
{
	struct replica_classes classes;
	struct machine *m, *tmp;
	double idle;

	replica_classes_find(core, &classes);
	replica_classes_count(core, &classes);
	HASH_ITER (hh, core->machines, m, tmp) {
		if (m->deleting)
			continue;
		if (m->notice_s >= 0)
			notice_look(core, m);
		/* Room held for a gang is not idle, and a machine lost to it would undo the hold.
		 */
		if (m->bindings || m->last_word < 0 || m->hold_job)
			continue;
		idle = core->now - m->idle_since;
		/* Its reports cost the leader as much as those of a machine that works. */
		if (m->draining || ((idle > patience(core, m) ||
				     (idle > IDLE_USELESS_S && !type_of_use(core, m))) &&
				    replica_classes_spare(&classes, m))) {
			log_info("machine_return", "machine=%s type=%s idle=%.1f", m->id,
				 m->type_name, core->now - m->idle_since);
			m->deleting = true;
		}
	}
}

struct delete_req {
	char ids[DELETE_BATCH_MAX][ID_MAX];
	size_t n;
};

static void on_delete(struct core *core, struct call *call, int status, const char *body,
		      size_t len)
{
	struct delete_req *d = call->arg;

	(void)body;
	(void)len;
	if (!election_stale(core, call)) {
		cloud_trouble(core, status);
		for (size_t i = 0; i < d->n; i++) {
			struct machine *m = machine_find(core, d->ids[i]);

			if (!m)
				continue;
			m->delete_out = false;
			if (status != 200)
				continue;
			tombstone_add(core, m->id);
			refusal_lift(core, m);
			machine_gone(core, m);
		}
	}
	free(d);
}

static bool delete_due(const struct machine *m)
{
	return m->deleting && !m->delete_out && !m->gone;
}

static bool deletes_due(const struct core *core)
{
	const struct machine *m, *tmp;

	HASH_ITER (hh, core->machines, m, tmp)
		if (delete_due(m))
			return true;
	return false;
}

static void send_deletes(struct core *core)
{
	struct delete_req *d = calloc(1, sizeof(*d));
	const char *ids[DELETE_BATCH_MAX];
	struct machine *m, *tmp;

	if (!d)
		abort();
	HASH_ITER (hh, core->machines, m, tmp) {
		if (!delete_due(m) || d->n == DELETE_BATCH_MAX)
			continue;
		m->delete_out = true;
		snprintf(d->ids[d->n], ID_MAX, "%s", m->id);
		ids[d->n] = d->ids[d->n];
		d->n++;
	}
	core_call(core, core->conf->cloud, "POST", fmt_path(W_PATH_DELETE), wire_delete(ids, d->n),
		  CALL_CLOUD_S, on_delete, d)
	    ->drop = free;
}

void returns_send(struct core *core)
{
	while (deletes_due(core) && cloud_take(core))
		send_deletes(core);
}
