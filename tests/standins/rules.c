/* The checker of the rules: what is on which machine, whether jobs can run, what users are told. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf/conf.h"
#include "core/state.h"
#include "wire/names.h"
#include "standins/private.h"

struct standin_job *standin_job_find(struct standin *s, const char *id)
{
	struct standin_job *j;

	HASH_FIND_STR(s->jobs, id, j);
	return j;
}

static bool holds(const struct standin_machine *m, const struct standin_task *t)
{
	return m->power == POWER_UP && t->state != TASK_EXITED && t->state != TASK_FETCHING;
}

static bool team_limited(const struct standin *s, const char *team)
{
	for (size_t i = 0; i < s->conf->nteams; i++)
		if (!strcmp(s->conf->teams[i].name, team))
			return s->conf->teams[i].cpus_max > 0 || s->conf->teams[i].gpus_max > 0;
	return false;
}

static void check_team(struct standin *s, const struct standin_job *j)
{
	double cpus = 0, gpus = 0;
	struct standin_job *o, *tmp;
	const struct standin_task *t;

	if (!team_limited(s, j->spec.team))
		return;
	HASH_ITER (hh, s->jobs, o, tmp) {
		if (strcmp(o->spec.team, j->spec.team))
			continue;
		DL_FOREACH2 (o->tasks, t, jnext) {
			if (!holds(t->on, t))
				continue;
			cpus += o->spec.cpus;
			gpus += o->spec.gpus;
		}
	}
	for (size_t i = 0; i < s->conf->nteams; i++) {
		const struct conf_team *t = &s->conf->teams[i];

		if (!strcmp(t->name, j->spec.team) &&
		    ((t->cpus_max > 0 && cpus > t->cpus_max + 1e-6) ||
		     (t->gpus_max > 0 && gpus > t->gpus_max + 1e-6)))
			standin_rule_broken(s, RULE_QUOTA, "team %s uses %.1f cpus %.1f gpus",
					    t->name, cpus, gpus);
	}
}

static void check_place(struct standin *s, const struct standin_machine *m,
			const struct standin_job *j)
{
	uint32_t here = 0, most = (j->spec.task_count + 1) / 2;
	bool type_ok = j->spec.types.count == 0;
	const struct standin_task *t;

	for (int i = 0; i < j->spec.types.count; i++)
		type_ok |= !strcmp(j->spec.types.names[i], m->type->name);
	if (!type_ok || (*j->spec.zone && strcmp(j->spec.zone, m->zone)) ||
	    (m->spot && !j->spec.spot))
		standin_rule_broken(s, RULE_WRONG_PLACE, "job %s on %s", j->spec.id, m->id);
	if (!j->spec.one_zone && !j->spec.spread)
		return;
	DL_FOREACH2 (j->tasks, t, jnext) {
		if (!holds(t->on, t))
			continue;
		here += !strcmp(t->on->zone, m->zone);
		if (j->spec.one_zone && strcmp(t->on->zone, m->zone))
			standin_rule_broken(s, RULE_WRONG_PLACE, "job %s in two zones", j->spec.id);
	}
	if (j->spec.spread && here > most)
		standin_rule_broken(s, RULE_WRONG_PLACE, "job %s not spread", j->spec.id);
}

void check_start(struct standin *s, struct standin_machine *m, struct standin_task *t)
{
	struct standin_job *j = t->of;

	const struct standin_task *o;

	DL_FOREACH2 (j->tasks, o, jnext)
		if (o != t && holds(o->on, o) && o->task == t->task)
			standin_rule_broken(s, RULE_RAN_TWICE, "%s/%u on %s and %s", t->job,
					    t->task, o->on->id, m->id);
	s->starts_cancelled += j->told_cancelled;
	if (j->told_cancelled && s->now > j->cancelled_at + s->conf->cancel_s)
		standin_rule_broken(s, RULE_RAN_CANCELLED, "%s started", t->job);
	if (j->began_at < 0 &&
	    ++j->starts_seen >= (j->spec.kind == JOB_GANG ? j->spec.task_count : 1))
		j->began_at = s->now;
	j->starts++;
	m->used_at = s->now;
	s->starts_total++;
	check_place(s, m, j);
	check_team(s, j);
}

void check_cancelled(struct standin *s)
{
	for (int i = 0; i < s->nmachines; i++)
		for (struct standin_task *t = s->machines[i].tasks; t; t = t->next) {
			struct standin_job *j = t->of;

			if (holds(&s->machines[i], t) && j->told_cancelled &&
			    s->now > j->cancelled_at + s->conf->cancel_s)
				standin_rule_broken(s, RULE_RAN_CANCELLED, "%s/%u on %s", t->job,
						    t->task, s->machines[i].id);
		}
}

/* --- whether a job can run --- */

#define ROOM_STAYS_S                                                                               \
	10.0 /* seconds without a start on a machine: room that the next start takes is in use */

static bool fits_type(const struct standin_job *j, const struct machine_type *t)
{
	bool named = j->spec.types.count == 0, zone = !*j->spec.zone;

	for (int i = 0; i < j->spec.types.count; i++)
		named |= !strcmp(j->spec.types.names[i], t->name);
	for (int i = 0; i < t->zones.count; i++)
		zone |= !strcmp(j->spec.zone, t->zones.names[i]);
	return named && zone && j->spec.cpus <= t->cpus && j->spec.gpus <= t->gpus &&
	       j->spec.mem_gb <= t->mem_gb;
}

static const struct conf_team *team_of(const struct standin *s, const struct standin_job *j)
{
	for (size_t i = 0; i < s->conf->nteams; i++)
		if (!strcmp(s->conf->teams[i].name, j->spec.team))
			return &s->conf->teams[i];
	return NULL;
}

static bool under_limit(const struct conf_team *t, const struct standin_job *j, double cpus,
			double gpus)
{
	uint32_t n = j->spec.kind == JOB_ARRAY ? 1 : j->spec.task_count;

	return (t->cpus_max <= 0 || cpus + n * j->spec.cpus <= t->cpus_max + 1e-6) &&
	       (t->gpus_max <= 0 || gpus + n * j->spec.gpus <= t->gpus_max + 1e-6);
}

/* Half of a scattered gang fits in a zone: it takes two of them. */
static bool zones_suffice(struct standin *s, const struct standin_job *j)
{
	const char *first = NULL;

	if (j->spec.kind == JOB_ARRAY || !j->spec.spread || j->spec.task_count < 2)
		return true;
	if (j->spec.one_zone || *j->spec.zone)
		return false;
	for (size_t i = 0; i < s->cloud.ntypes; i++)
		for (int z = 0; z < s->cloud.types[i].zones.count; z++) {
			if (!fits_type(j, &s->cloud.types[i]))
				continue;
			if (first && strcmp(first, s->cloud.types[i].zones.names[z]))
				return true;
			first = s->cloud.types[i].zones.names[z];
		}
	return false;
}

static bool can_ever_run(struct standin *s, const struct standin_job *j)
{
	const struct conf_team *team = team_of(s, j);
	bool type = false;

	for (size_t i = 0; i < s->cloud.ntypes; i++)
		type |= fits_type(j, &s->cloud.types[i]);
	return type && team && under_limit(team, j, 0, 0) && zones_suffice(s, j);
}

/* What is free on each machine, and how many tasks of each job are on any. */
static void count_use(struct standin *s)
{
	struct standin_job *j, *tmp;

	HASH_ITER (hh, s->jobs, j, tmp)
		j->held = 0;
	for (int i = 0; i < s->nmachines; i++) {
		struct standin_machine *m = &s->machines[i];

		m->cpus = m->type->cpus;
		m->gpus = m->type->gpus;
		m->mem_gb = m->type->mem_gb;
		for (const struct standin_task *t = m->tasks; t; t = t->next) {
			j = t->of;
			j->held++;
			if (t->state == TASK_EXITED)
				continue;
			m->cpus -= j->spec.cpus;
			m->gpus -= j->spec.gpus;
			m->mem_gb -= j->spec.mem_gb;
		}
	}
}

static void team_use(const struct standin *s, const struct conf_team *t, double *cpus, double *gpus)
{
	struct standin_job *j, *tmp;

	*cpus = *gpus = 0;
	HASH_ITER (hh, s->jobs, j, tmp) {
		if (!j->held || strcmp(j->spec.team, t->name))
			continue;
		*cpus += j->held * j->spec.cpus;
		*gpus += j->held * j->spec.gpus;
	}
}

/* Slots for the job's tasks on a machine that is there and answers. */
static uint32_t slots_on(const struct standin_job *j, const struct standin_machine *m)
{
	uint32_t n = 0;

	if (m->power != POWER_UP || m->cpus + 1e-6 < j->spec.cpus || m->hanging || m->faulty ||
	    m->notice_until >= 0 || !fits_type(j, m->type) || (m->spot && !j->spec.spot) ||
	    (*j->spec.zone && strcmp(j->spec.zone, m->zone)))
		return 0;
	while (n < j->spec.task_count && m->cpus + 1e-6 >= (n + 1) * j->spec.cpus &&
	       m->gpus + 1e-6 >= (n + 1) * j->spec.gpus &&
	       m->mem_gb + 1e-6 >= (n + 1) * j->spec.mem_gb)
		n++;
	return n;
}

/* Room that stays: only machines on which nothing was started of late; elsewhere it comes and goes.
 */
static uint32_t room_for(struct standin *s, const struct standin_job *j, const char *zone)
{
	uint32_t n = 0;

	for (int i = 0; i < s->nmachines; i++)
		if (s->now - s->machines[i].used_at > ROOM_STAYS_S &&
		    (!zone || !strcmp(zone, s->machines[i].zone)))
			n += slots_on(j, &s->machines[i]);
	return n;
}

static bool has_room(struct standin *s, const struct standin_job *j)
{
	uint32_t need = j->spec.kind == JOB_ARRAY ? 1 : j->spec.task_count;

	if (!j->spec.one_zone || need == 1)
		return room_for(s, j, NULL) >= need;
	for (int i = 0; i < s->nmachines; i++)
		if (room_for(s, j, s->machines[i].zone) >= need)
			return true;
	return false;
}

#define ROOM_EVERY_S 4.0 /* seconds between looks */
#define ROOM_WAIT_S                                                                                \
	90.0 /* seconds a job may wait beside room once troubles are over: the users' rule */

void standin_check_room(struct standin *s, double quiet_since)
{
	struct standin_job *j, *tmp;

	if (s->now < quiet_since || s->now < s->room_at)
		return;
	s->room_at = s->now + ROOM_EVERY_S;
	count_use(s);
	HASH_ITER (hh, s->jobs, j, tmp) {
		const struct conf_team *team = team_of(s, j);
		bool waits = j->accepted && !j->cancel_asked && !j->bad && !j->held && team &&
			     j->ndone < j->spec.task_count;
		double cpus, gpus;

		if (waits)
			team_use(s, team, &cpus, &gpus);
		if (!waits || !under_limit(team, j, cpus, gpus) || !has_room(s, j)) {
			j->room_since = -1;
			continue;
		}
		if (j->room_since < 0)
			j->room_since = s->now;
		if (s->now - j->room_since > ROOM_WAIT_S)
			standin_rule_broken(s, RULE_IDLE_ROOM, "%s waits beside room for %.0f s",
					    j->spec.id, s->now - j->room_since);
	}
}

/* --- what users are told --- */

void standin_submission_answered(struct standin *s, const char *id, int status)
{
	struct standin_job *j = standin_job_find(s, id);

	if ((status == 200 || status == 201) && !j->accepted) {
		j->accepted_at = s->now;
		j->accepted = true;
		if (!can_ever_run(s, j))
			standin_rule_broken(s, RULE_WRONG_JOB, "%s can't run", id);
	} else if ((status == 400 || status == 422) && j->accepted)
		standin_rule_broken(s, RULE_FORGOTTEN, "%s submitted again: %d", id, status);
}

/*
 * No answer to a question asked after an end or a cancellation was learned of may be older. An
 * answer to one asked before that may have overtaken, or been overtaken on the way.
 */
static void told(struct standin *s, struct standin_job *j, const char *state, double asked_at)
{
	bool done = !strcmp(state, W_JOB_DONE), cancelled = !strcmp(state, W_JOB_CANCELLED);

	if (done && j->ndone < j->spec.task_count)
		standin_rule_broken(s, RULE_NOT_DONE, "%s has %u of %u", j->spec.id, j->ndone,
				    j->spec.task_count);
	if ((j->told_done && !done && asked_at >= j->done_at) ||
	    (j->told_cancelled && !cancelled && asked_at >= j->cancelled_at) ||
	    (cancelled && !j->cancel_asked))
		standin_rule_broken(s, RULE_WENT_BACK, "%s is %s", j->spec.id, state);
	if (done && !j->told_done) {
		j->told_done = true;
		j->done_at = s->now;
	}
	if (cancelled && !j->told_cancelled) {
		j->told_cancelled = true;
		j->cancelled_at = s->now;
	}
}

void standin_lookup_answered(struct standin *s, const char *id, int status, const char *body,
			     double asked_at)
{
	struct standin_job *j = standin_job_find(s, id);
	json_t *o;

	if (status == 404 && j && j->accepted)
		standin_rule_broken(s, RULE_FORGOTTEN, "%s polled: 404", id);
	if (status != 200)
		return;
	if (!j || !j->asked) {
		standin_rule_broken(s, RULE_INVENTED, "%s", id);
		return;
	}
	j->answered_at = s->now;
	o = wire_parse(body, strlen(body));
	j->shown_running = (int)json_integer_value(json_object_get(o, W_RUNNING));
	told(s, j, json_string_value(json_object_get(o, W_STATE)), asked_at);
	json_decref(o);
}

#define FORGOTTEN_S                                                                                \
	75.0 /* seconds without an answer once troubles are over, from the users' rules */
#define LARGEST_S 240.0 /* seconds within which the largest must begin */

void standin_check_answers(struct standin *s, double quiet_since)
{
	struct standin_job *j, *tmp;

	HASH_ITER (hh, s->jobs, j, tmp) {
		double since = fmax(quiet_since, fmax(j->accepted_at, j->answered_at));

		if (j->accepted && s->now - since > FORGOTTEN_S)
			standin_rule_broken(s, RULE_FORGOTTEN, "%s unanswered for %.0f s",
					    j->spec.id, s->now - since);
	}
}

/* The jobs of a class, a team, or of a class's largest size. */
enum group { BY_CLASS, BY_TEAM, BY_LARGEST };

static bool counts(const struct standin_job *j)
{
	return j->accepted && !j->cancel_asked && !j->bad;
}

static uint32_t largest(struct standin *s, const struct standin_job *of)
{
	struct standin_job *j, *tmp;
	uint32_t n = 0;

	HASH_ITER (hh, s->jobs, j, tmp)
		if (counts(j) && !strcmp(j->spec.class_name, of->spec.class_name) &&
		    j->spec.task_count > n)
			n = j->spec.task_count;
	return n;
}

static bool same_group(const struct standin_job *a, const struct standin_job *b, enum group g)
{
	if (g == BY_TEAM)
		return !strcmp(a->spec.team, b->spec.team);
	return !strcmp(a->spec.class_name, b->spec.class_name) &&
	       (g == BY_CLASS || a->spec.task_count == b->spec.task_count);
}

static void check_group(struct standin *s, const struct standin_job *of, enum group g)
{
	struct standin_job *j, *tmp;
	int all = 0, served = 0;

	HASH_ITER (hh, s->jobs, j, tmp) {
		if (!counts(j) || !same_group(of, j, g))
			continue;
		all++;
		served += j->began_at >= 0;
	}
	if (2 * served < all)
		standin_rule_broken(s, RULE_UNSERVED, "%d of %d like %s served (%s)", served, all,
				    of->spec.id,
				    g == BY_CLASS  ? "class"
				    : g == BY_TEAM ? "team"
						   : "largest");
}

void standin_check_served(struct standin *s)
{
	struct standin_job *j, *tmp;

	HASH_ITER (hh, s->jobs, j, tmp) {
		bool large = counts(j) && j->spec.task_count == largest(s, j);
		double began = j->began_at >= 0 ? j->began_at : s->now;

		if (!counts(j))
			continue;
		check_group(s, j, BY_CLASS);
		check_group(s, j, BY_TEAM);
		if (large)
			check_group(s, j, BY_LARGEST);
		if (large && began - j->accepted_at > LARGEST_S)
			standin_rule_broken(s, RULE_LATE_LARGE, "%s began after %.0f s", j->spec.id,
					    began - j->accepted_at);
	}
}

void standin_cancellation_answered(struct standin *s, const char *id, int status, const char *body,
				   double asked_at)
{
	if (status == 200)
		standin_lookup_answered(s, id, status, body, asked_at);
}
