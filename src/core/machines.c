/* The machines: what the cloud's list, the records and the workers say of them. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/round.h"
#include "core/state.h"
#include "util/log.h"

struct machine *machine_find(struct core *c, const char *id)
{
	struct machine *m;

	HASH_FIND_STR(c->machines, id, m);
	return m;
}

struct machine *machine_get(struct core *c, const char *id)
{
	struct machine *m = machine_find(c, id);

	if (m)
		return m;
	m = calloc(1, sizeof(*m));
	if (!m)
		abort();
	snprintf(m->id, sizeof(m->id), "%s", id);
	m->last_beat = m->last_word = m->reported = m->notice_s = -1;
	m->asked_at = c->now - MACHINE_ASK_S;
	m->hears = true;
	m->rented_at = m->idle_since = c->now;
	HASH_ADD_STR(c->machines, id, m);
	return m;
}

void machine_free(struct core *c, struct machine *m)
{
	HASH_DEL(c->machines, m);
	report_cache_remove(&c->reports, &m->last_report);
	free(m->left);
	free(m);
}

static const struct machine_type *type_find(const struct core *c, const char *name)
{
	for (size_t i = 0; i < c->ntypes; i++)
		if (!strcmp(c->types[i].name, name))
			return &c->types[i];
	return NULL;
}

/* Free room is what the type offers less what is bound; an unknown type offers nothing. */
static void machine_link(struct core *c, struct machine *m)
{
	const struct binding *b;

	m->type = type_find(c, m->type_name);
	m->cpus = m->type ? m->type->cpus : 0;
	m->gpus = m->type ? m->type->gpus : 0;
	m->mem_gb = m->type ? m->type->mem_gb : 0;
	DL_FOREACH2 (m->bindings, b, mnext) {
		m->cpus -= b->job->spec.cpus;
		m->gpus -= b->job->spec.gpus;
		m->mem_gb -= b->job->spec.mem_gb;
	}
}

void machines_relink(struct core *c)
{
	struct machine *m, *tmp;

	HASH_ITER (hh, c->machines, m, tmp)
		machine_link(c, m);
}

void machine_describe(struct core *c, struct machine *m, const char *addr, const char *type,
		      const char *zone, bool spot)
{
	if (*addr && strcmp(m->addr, addr))
		snprintf(m->addr, sizeof(m->addr), "%s", addr);
	if (m->type && !strcmp(m->type_name, type))
		return;
	snprintf(m->type_name, sizeof(m->type_name), "%s", type);
	snprintf(m->zone, sizeof(m->zone), "%s", zone);
	m->spot = spot;
	machine_link(c, m);
}

bool machine_fresh(const struct core *c, const struct machine *m)
{
	return m->last_word >= 0 &&
	       c->now - m->last_word < MACHINE_FRESH_REPORTS * c->conf->report_s;
}

/*
 * Only reports keep a worker's lease: one that answers direct commands but reports to nobody, or to
 * a leader of before, will lose what runs on it.
 */
static bool machine_reports(const struct core *c, const struct machine *m)
{
	return m->reported >= 0 && c->now - m->reported < MACHINE_FRESH_REPORTS * c->conf->report_s;
}

bool machine_leaves(const struct machine *m)
{
	return (m->notice_s >= 0 || m->draining) && !m->deleting;
}

bool machine_usable(const struct core *c, const struct machine *m)
{
	return m->type && m->session && m->hears && !m->draining && !m->deleting && !m->failed &&
	       m->notice_s < 0 && machine_reports(c, m) && c->now >= m->no_place_until;
}

bool machine_allowed(const struct machine_type *t, const char *zone, bool spot,
		     const struct job_spec *s)
{
	if (spot && !s->spot)
		return false;
	if (*s->zone && strcmp(s->zone, zone))
		return false;
	for (int i = 0; i < s->ntypes; i++)
		if (!strcmp(s->types[i], t->name))
			return true;
	return s->ntypes == 0;
}

bool machine_has_image(const struct machine *m, const char *image)
{
	for (int i = 0; i < m->nimages; i++)
		if (!strcmp(m->images[i], image))
			return true;
	return false;
}

/* Most recently used first, as the machines' caches keep them. */
void machine_note_image(struct machine *m, const char *image)
{
	int at = m->nimages < MACHINE_IMAGES ? m->nimages : MACHINE_IMAGES - 1;

	for (int i = 0; i < m->nimages; i++)
		if (!strcmp(m->images[i], image))
			at = i;
	if (at == m->nimages)
		m->nimages++;
	memmove(m->images[1], m->images[0], (size_t)at * NAME_MAX_LEN);
	snprintf(m->images[0], NAME_MAX_LEN, "%s", image);
}

/* The cloud answered 200 to its delete: it and everything on it is gone. */
void machine_gone(struct core *c, struct machine *m)
{
	log_info("machine_gone", "machine=%s bound=%d", m->id, m->nbindings);
	m->gone = m->deleting = true;
	while (m->bindings)
		binding_end(c, m->bindings, WHY_NONE);
}

static bool boot_overdue(const struct core *c, const struct machine *m)
{
	double boot = m->type ? m->type->boot_s : 0;

	return m->last_word < 0 &&
	       c->now - m->rented_at > MACHINE_BOOT_FACTOR * boot + MACHINE_BOOT_EXTRA_S;
}

static bool silent_too_long(const struct core *c, const struct machine *m)
{
	double since = m->last_beat >= 0 ? m->last_beat : fmax(m->up_at, c->lead_since);
	double most = c->conf->lease_s * (1 + CLOCK_DRIFT) + MACHINE_DEAD_MARGIN_S;

	if (m->last_word < 0 && !m->bindings)
		return boot_overdue(c, m);
	return c->now - since > most;
}

/*
 * Asks a machine that has not been heard of in this term. All report to a new leader by themselves
 * within two intervals; a question to each before that would cost it as much again.
 */
void machine_show(struct core *c, struct machine *m)
{
	if (m->last_word < 0 && c->now - m->asked_at > MACHINE_SHOW_S &&
	    c->now - c->lead_since > MACHINE_SHOW_REPORTS * c->conf->report_s)
		workers_ask(c, m);
}

/* No report for longer than one may be late; not heard of in this term though all others were. */
static bool overdue(const struct core *c, const struct machine *m)
{
	if (m->last_word < 0)
		return m->nbindings &&
		       c->now - c->lead_since > MACHINE_SHOW_REPORTS * c->conf->report_s;
	return c->now - m->last_word > MACHINE_NEWS_REPORTS * c->conf->report_s;
}

/*
 * A replica's users miss it at once, and waiting for the end of a lease costs them all of it. Its
 * machine is asked when a report is overdue, and deleted when it does not answer either: the
 * cloud's answer proves its end. Its other tasks lose what they would keep if it came back within
 * its lease. That is allowed only while few machines are silent: else it may be this controller
 * that is cut off.
 */
static bool replicas_unreachable(struct core *c, struct machine *m)
{
	if (!m->nreplicas || !overdue(c, m))
		return false;
	if (m->unanswered_at > fmax(m->last_word, c->lead_since))
		return c->few_silent;
	workers_ask(c, m);
	return false;
}

static void machine_look(struct core *c, struct machine *m)
{
	bool vanished = m->missing >= MACHINE_GONE_LISTS && !machine_fresh(c, m);

	/* Held room that can't be used any more. */
	if (m->hold_job && !machine_usable(c, m))
		m->hold_job = NULL;
	if (m->deleting)
		return;
	if (m->failed || vanished || silent_too_long(c, m) || replicas_unreachable(c, m)) {
		log_info("machine_lost", "machine=%s failed=%d missing=%d last_word=%.1f bound=%d",
			 m->id, m->failed, m->missing,
			 m->last_word < 0 ? -1.0 : c->now - m->last_word, m->nbindings);
		m->deleting = true;
		return;
	}
	/* Known from a record or the list, but not heard of under this leader. */
	if (m->nbindings)
		machine_show(c, m);
	/* Deaf since long, while the lease must have taken its tasks: it is replaced. */
	if (!m->hears && !m->nbindings && c->now - m->deaf_since > MACHINE_DEAF_S) {
		log_info("machine_deaf_returned", "machine=%s", m->id);
		m->deleting = true;
	}
}

/* If nearly all fall silent at once, it is this controller that is cut off. */
static bool looks_cut(struct core *c)
{
	int heard = 0, silent = 0, late = 0, known = 0;
	bool leave = false;
	struct machine *m, *tmp;

	HASH_ITER (hh, c->machines, m, tmp) {
		if (m->deleting)
			continue;
		leave |= m->nreplicas && machine_leaves(m);
		known += m->last_word >= 0 || m->nbindings;
		late += overdue(c, m);
		if (m->last_word < 0)
			continue;
		heard++;
		silent += !machine_fresh(c, m);
	}
	c->replicas_leave = leave;
	c->few_silent = known >= CUT_MACHINES && late <= fmax(1, SILENT_SHARE * known);
	return heard >= CUT_MACHINES && silent > CUT_SHARE * heard;
}

void machine_tick(struct core *c)
{
	struct machine *m, *tmp;

	if (c->now < c->next_machines)
		return;
	c->next_machines = c->now + MACHINES_EVERY_S;
	if (looks_cut(c)) {
		election_yield(c, "no_worker_heard");
		return;
	}
	HASH_ITER (hh, c->machines, m, tmp) {
		machine_look(c, m);
		if (m->gone && !m->bindings) {
			workers_unkick(c, m);
			machine_free(c, m);
		}
	}
}
