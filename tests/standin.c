#include "standin.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf/conf.h"
#include "core/state.h"
#include "wire/names.h"

const char *const rule_names[RULES] = {
    "ran_twice", "quota",	"wrong_place", "ran_cancelled", "forgotten", "invented", "not_done",
    "went_back", "nothing_ran", "unserved",    "late_large",	"idle_room", "wrong_job"};

static void *zalloc(size_t n)
{
	void *p = calloc(1, n);

	if (!p)
		abort();
	return p;
}

void si_broken(struct standin *s, enum rule r, const char *fmt, ...)
{
	va_list ap;

	if (!s->broken[r]++) {
		va_start(ap, fmt);
		vsnprintf(s->why, sizeof(s->why), fmt, ap);
		va_end(ap);
		if (s->verbose)
			fprintf(stderr, "%8.3f RULE %s: %s\n", s->now, rule_names[r], s->why);
	}
}

void si_init(struct standin *s, const struct si_ops *ops, void *ctx, const struct conf *conf)
{
	memset(s, 0, sizeof(*s));
	s->ops = ops;
	s->ctx = ctx;
	s->conf = conf;
	s->state.revision = 1;
	s->state.next_lease = 1;
	s->state.txn_ops = conf->limits.txn_ops;
	s->state.value_bytes = (size_t)(conf->limits.value_kb * 1024);
	s->state.rps = conf->limits.rps;
	s->state.write_rps = conf->limits.write_rps;
	s->cloud.types = zalloc(SI_TYPES * sizeof(struct machine_type));
	s->machines_cap = 16384; /* pointers to machines stay valid */
	s->machines = zalloc((size_t)s->machines_cap * sizeof(*s->machines));
}

void si_type(struct standin *s, const struct machine_type *t, int capacity, bool reuse)
{
	s->cloud.reuse[s->cloud.ntypes] = reuse;
	s->cloud.capacity[s->cloud.ntypes] = capacity;
	s->cloud.types[s->cloud.ntypes++] = *t;
}

/* --- state service --- */

static char *dump(json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	if (!text)
		abort();
	return text;
}

static void answer(struct standin *s, uint64_t handle, int status, json_t *o)
{
	char *text = dump(o);

	s->ops->reply(s->ctx, handle, status, text);
	free(text);
}

static void answer_error(struct standin *s, uint64_t handle, int status, const char *why)
{
	answer(s, handle, status, json_pack("{s:s}", "error", why));
}

static json_t *item(const struct si_key *k)
{
	return json_pack("{s:s,s:O,s:I}", W_KEY, k->key, W_VALUE, k->value, W_VERSION,
			 (json_int_t)k->version);
}

static struct si_key *key_find(struct si_state *st, const char *key)
{
	struct si_key *k;

	HASH_FIND_STR(st->keys, key, k);
	return k;
}

static void note_change(struct si_state *st, const char *key, json_t *value)
{
	struct si_change *c;

	if (st->nchanges == st->changes_cap) {
		st->changes_cap = st->changes_cap ? st->changes_cap * 2 : 256;
		st->changes = realloc(st->changes, st->changes_cap * sizeof(*st->changes));
		if (!st->changes)
			abort();
	}
	c = &st->changes[st->nchanges++];
	c->revision = st->revision;
	snprintf(c->key, sizeof(c->key), "%s", key);
	c->value = json_incref(value);
}

static void key_drop(struct si_state *st, struct si_key *k)
{
	note_change(st, k->key, NULL);
	HASH_DEL(st->keys, k);
	json_decref(k->value);
	free(k);
}

static void key_put(struct si_state *st, const char *key, json_t *value, uint64_t lease)
{
	struct si_key *k = key_find(st, key);

	if (!k) {
		k = zalloc(sizeof(*k));
		snprintf(k->key, sizeof(k->key), "%s", key);
		HASH_ADD_STR(st->keys, key, k);
	}
	json_decref(k->value);
	k->value = json_incref(value);
	k->version = st->revision;
	k->lease = lease;
	note_change(st, key, value);
}

static json_t *watch_events(const struct si_state *st, const struct si_watch *w)
{
	json_t *events = json_array();

	for (size_t i = 0; i < st->nchanges; i++) {
		const struct si_change *c = &st->changes[i];

		if (c->revision <= w->from || strncmp(c->key, w->prefix, strlen(w->prefix)))
			continue;
		json_array_append_new(
		    events, c->value ? json_pack("{s:s,s:O,s:I}", W_PUT, c->key, W_VALUE, c->value,
						 W_VERSION, (json_int_t)c->revision)
				     : json_pack("{s:s,s:I}", W_DROP, c->key, W_VERSION,
						 (json_int_t)c->revision));
	}
	return events;
}

static void watches_run(struct standin *s)
{
	struct si_watch **p = &s->state.watches, *w;

	while ((w = *p)) {
		json_t *events;

		if (s->state.down || s->state.refuses[w->node] || s->state.stalls[w->node]) {
			p = &w->next;
			continue;
		}
		events = watch_events(&s->state, w);
		if (!json_array_size(events) && s->now < w->ends) {
			json_decref(events);
			p = &w->next;
			continue;
		}
		*p = w->next;
		answer(s, w->handle, 200,
		       json_pack("{s:I,s:o}", W_REVISION, (json_int_t)s->state.revision, W_EVENTS,
				 events));
		free(w);
	}
}

static const char *query(const char *path, const char *name, char *out, size_t cap)
{
	char pat[64];
	const char *p;
	size_t n = 0;

	snprintf(pat, sizeof(pat), "%s=", name);
	out[0] = 0;
	p = strchr(path, '?');
	while (p && strncmp(p + 1, pat, strlen(pat)))
		p = strchr(p + 1, '&');
	if (!p)
		return out;
	for (p += 1 + strlen(pat); *p && *p != '&' && n + 1 < cap; p++)
		out[n++] = *p;
	out[n] = 0;
	return out;
}

static int by_key(const void *a, const void *b)
{
	return strcmp((*(struct si_key *const *)a)->key, (*(struct si_key *const *)b)->key);
}

static void state_range(struct standin *s, uint64_t handle, const char *path)
{
	struct si_state *st = &s->state;
	size_t n = HASH_COUNT(st->keys), i = 0;
	struct si_key **all = zalloc((n + 1) * sizeof(*all)), *k, *tmp;
	char prefix[201], after[201], limit[16];
	json_t *items = json_array();
	bool more = false;

	query(path, W_PREFIX, prefix, sizeof(prefix));
	query(path, W_AFTER, after, sizeof(after));
	query(path, W_LIMIT, limit, sizeof(limit));
	HASH_ITER (hh, st->keys, k, tmp)
		all[i++] = k;
	qsort(all, n, sizeof(*all), by_key);
	for (i = 0; i < n; i++) {
		if (strncmp(all[i]->key, prefix, strlen(prefix)) ||
		    (*after && strcmp(all[i]->key, after) <= 0))
			continue;
		if (json_array_size(items) >= (size_t)atoi(limit)) {
			more = true;
			break;
		}
		json_array_append_new(items, item(all[i]));
	}
	free(all);
	answer(s, handle, 200,
	       json_pack("{s:o,s:b,s:I}", W_ITEMS, items, W_MORE, (int)more, W_REVISION,
			 (json_int_t)st->revision));
}

static struct si_lease *lease_find(struct si_state *st, uint64_t id)
{
	struct si_lease *l = st->leases;

	while (l && l->id != id)
		l = l->next;
	return l;
}

#define TXN_GUARDS 4 /* conditions for each change that a transaction may have */

/* 0: may be applied; else the status, with the answer in `out`. */
static int txn_check(struct standin *s, json_t *o, json_t **out)
{
	struct si_state *st = &s->state;
	json_t *e, *failed = json_array();
	size_t i;

	json_array_foreach (json_object_get(o, W_IF), i, e) {
		const char *key = json_string_value(json_object_get(e, W_KEY));
		struct si_key *k = key_find(st, key);

		if ((k ? k->version : 0) !=
		    (uint64_t)json_integer_value(json_object_get(e, W_VERSION)))
			json_array_append_new(failed, json_string(key));
	}
	*out = NULL;
	if (json_array_size(json_object_get(o, W_THEN)) > (size_t)st->txn_ops)
		*out = json_pack("{s:s}", "error", "too many operations");
	json_array_foreach (json_object_get(o, W_THEN), i, e) {
		json_t *lease = json_object_get(e, W_LEASE);
		char *text =
		    json_dumps(json_object_get(e, W_VALUE), JSON_COMPACT | JSON_ENCODE_ANY);

		if (text && strlen(text) > st->value_bytes)
			*out = json_pack("{s:s}", "error", "value too large");
		free(text);
		if (lease && !lease_find(st, (uint64_t)json_integer_value(lease)))
			*out = json_pack("{s:s}", "error", "no such lease");
	}
	if (json_array_size(json_object_get(o, W_IF)) > TXN_GUARDS * (size_t)st->txn_ops)
		*out = json_pack("{s:s}", "error", "too many conditions");
	if (*out) {
		st->too_large++;
		json_decref(failed);
		return 400;
	}
	if (!json_array_size(failed)) {
		json_decref(failed);
		return 0;
	}
	*out = json_pack("{s:o,s:I}", W_FAILED, failed, W_REVISION, (json_int_t)st->revision);
	return 409;
}

/* Whether the leader's key is written, but for the one time at which the records' format is raised.
 */
static bool takes_over(json_t *changes)
{
	bool leads = false, raises = false;
	json_t *e;
	size_t i;

	json_array_foreach (changes, i, e) {
		const char *key = json_string_value(json_object_get(e, W_PUT));

		if (!key || strncmp(key, LEADER_KEY, strlen(LEADER_KEY)))
			continue;
		leads = true;
		raises |= json_object_get(json_object_get(e, W_VALUE), "format") != NULL;
	}
	return leads && !raises;
}

static void state_txn(struct standin *s, uint64_t handle, const char *body)
{
	json_t *o = wire_parse(body, strlen(body)), *e, *bad;
	struct si_state *st = &s->state;
	int status = txn_check(s, o, &bad);
	size_t i;

	if (status) {
		answer(s, handle, status, bad);
		json_decref(o);
		return;
	}
	if (json_array_size(json_object_get(o, W_THEN)))
		st->revision++;
	st->leader_puts += takes_over(json_object_get(o, W_THEN));
	json_array_foreach (json_object_get(o, W_THEN), i, e) {
		const char *put = json_string_value(json_object_get(e, W_PUT));
		const char *drop = json_string_value(json_object_get(e, W_DROP));
		struct si_key *k = drop ? key_find(st, drop) : NULL;

		if (put)
			key_put(st, put, json_object_get(e, W_VALUE),
				(uint64_t)json_integer_value(json_object_get(e, W_LEASE)));
		else if (k)
			key_drop(st, k);
	}
	json_decref(o);
	answer(s, handle, 200, json_pack("{s:I}", W_REVISION, (json_int_t)st->revision));
	watches_run(s);
}

static void lease_end(struct standin *s, struct si_lease *l)
{
	struct si_state *st = &s->state;
	struct si_lease **p = &st->leases;
	struct si_key *k, *tmp;
	bool any = false;

	while (*p != l)
		p = &(*p)->next;
	*p = l->next;
	HASH_ITER (hh, st->keys, k, tmp) {
		if (k->lease != l->id)
			continue;
		if (!any)
			st->revision++;
		any = true;
		key_drop(st, k);
	}
	free(l);
	watches_run(s);
}

static void state_lease(struct standin *s, uint64_t handle, const char *method, const char *path,
			const char *body)
{
	struct si_state *st = &s->state;
	struct si_lease *l;

	if (!strcmp(path, W_PATH_LEASES)) {
		json_t *o = wire_parse(body, strlen(body));

		l = zalloc(sizeof(*l));
		l->id = st->next_lease++;
		l->ttl_ms = (int)json_integer_value(json_object_get(o, W_TTL));
		l->ends = s->now + l->ttl_ms / 1000.0;
		l->next = st->leases;
		st->leases = l;
		json_decref(o);
		answer(s, handle, 200, json_pack("{s:I}", W_LEASE, (json_int_t)l->id));
		return;
	}
	l = lease_find(st, strtoull(path + strlen(W_PATH_LEASES) + 1, NULL, 10));
	if (!l) {
		answer_error(s, handle, 404, "no such lease");
	} else if (!strcmp(method, "DELETE")) {
		lease_end(s, l);
		answer_error(s, handle, 200, "");
	} else {
		l->ends = s->now + l->ttl_ms / 1000.0;
		answer_error(s, handle, 200, "");
	}
}

static void state_watch(struct standin *s, int node, uint64_t handle, const char *path)
{
	struct si_watch *w = zalloc(sizeof(*w));
	char num[32];

	w->handle = handle;
	w->node = node;
	query(path, W_PREFIX, w->prefix, sizeof(w->prefix));
	w->from = strtoull(query(path, W_AFTER, num, sizeof(num)), NULL, 10);
	if (s->state.keep && s->state.nchanges > s->state.keep &&
	    w->from + 1 < s->state.changes[s->state.nchanges - s->state.keep].revision) {
		free(w);
		answer_error(s, handle, 410, "too old");
		return;
	}
	w->ends = s->now + atof(query(path, W_WAIT, num, sizeof(num))) / 1000.0;
	w->next = s->state.watches;
	s->state.watches = w;
	watches_run(s);
}

static void limits_refill(struct standin *s)
{
	struct si_state *st = &s->state;
	double dt = s->now - st->filled;

	st->filled = s->now;
	st->request_room = fmin(st->rps, st->request_room + dt * st->rps);
	st->put_room = fmin(st->write_rps, st->put_room + dt * st->write_rps);
}

/* Within the limits of requests, and of puts and deletes, a second? Counts what is taken. */
static bool limits_take(struct standin *s, const char *path, const char *body)
{
	struct si_state *st = &s->state;
	double puts = 0;

	limits_refill(s);
	if (!strcmp(path, W_PATH_TXN)) {
		json_t *o = wire_parse(body, strlen(body));

		puts = (double)json_array_size(json_object_get(o, W_THEN));
		json_decref(o);
	}
	if (st->request_room < 1 || (puts > 0 && st->put_room < puts)) {
		st->refused++;
		return false;
	}
	st->request_room -= 1;
	st->put_room -= puts;
	st->requests++;
	st->puts += (uint64_t)puts;
	return true;
}

void si_state_request(struct standin *s, int node, uint64_t handle, const char *method,
		      const char *path, const char *body)
{
	if (s->state.down || s->state.refuses[node]) {
		answer_error(s, handle, 503, "trouble");
	} else if (!limits_take(s, path, body)) {
		answer_error(s, handle, 429, "limit");
	} else if (!strcmp(path, W_PATH_TXN)) {
		state_txn(s, handle, body);
	} else if (!strncmp(path, W_PATH_LEASES, strlen(W_PATH_LEASES))) {
		state_lease(s, handle, method, path, body);
	} else if (!strncmp(path, W_PATH_WATCH, strlen(W_PATH_WATCH))) {
		state_watch(s, node, handle, path);
	} else if (!strncmp(path, W_PATH_KEYS "?", strlen(W_PATH_KEYS) + 1)) {
		state_range(s, handle, path);
	} else {
		struct si_key *k = key_find(&s->state, path + strlen(W_PATH_KEYS) + 1);

		answer(s, handle, k ? 200 : 404,
		       k ? item(k) : json_pack("{s:I}", W_REVISION, (json_int_t)s->state.revision));
	}
}

/* After an outage every lease has its full time again. */
void si_state_outage(struct standin *s, bool down)
{
	if (s->state.down && !down)
		for (struct si_lease *l = s->state.leases; l; l = l->next)
			l->ends = s->now + l->ttl_ms / 1000.0;
	s->state.down = down;
	watches_run(s);
}

static void state_tick(struct standin *s)
{
	struct si_lease *l = s->state.leases, *next;

	for (; l && !s->state.down; l = next) {
		next = l->next;
		if (s->now > l->ends)
			lease_end(s, l);
	}
	watches_run(s);
}

/* --- the rules' checker: what is on which machine --- */

struct si_job *si_job(struct standin *s, const char *id)
{
	struct si_job *j;

	HASH_FIND_STR(s->jobs, id, j);
	return j;
}

static bool holds(const struct si_machine *m, const struct si_task *t)
{
	return m->power == SI_UP && t->state != TS_EXITED && t->state != TS_FETCHING;
}

static bool team_limited(const struct standin *s, const char *team)
{
	for (size_t i = 0; i < s->conf->nteams; i++)
		if (!strcmp(s->conf->teams[i].name, team))
			return s->conf->teams[i].cpus_max > 0 || s->conf->teams[i].gpus_max > 0;
	return false;
}

static void check_team(struct standin *s, const struct si_job *j)
{
	double cpus = 0, gpus = 0;
	struct si_job *o, *tmp;
	const struct si_task *t;

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
			si_broken(s, RULE_QUOTA, "team %s uses %.1f cpus %.1f gpus", t->name, cpus,
				  gpus);
	}
}

static void check_place(struct standin *s, const struct si_machine *m, const struct si_job *j)
{
	uint32_t here = 0, most = (j->spec.ntasks + 1) / 2;
	bool type_ok = j->spec.types.count == 0;
	const struct si_task *t;

	for (int i = 0; i < j->spec.types.count; i++)
		type_ok |= !strcmp(j->spec.types.names[i], m->type->name);
	if (!type_ok || (*j->spec.zone && strcmp(j->spec.zone, m->zone)) ||
	    (m->spot && !j->spec.spot))
		si_broken(s, RULE_WRONG_PLACE, "job %s on %s", j->spec.id, m->id);
	if (!j->spec.one_zone && !j->spec.spread)
		return;
	DL_FOREACH2 (j->tasks, t, jnext) {
		if (!holds(t->on, t))
			continue;
		here += !strcmp(t->on->zone, m->zone);
		if (j->spec.one_zone && strcmp(t->on->zone, m->zone))
			si_broken(s, RULE_WRONG_PLACE, "job %s in two zones", j->spec.id);
	}
	if (j->spec.spread && here > most)
		si_broken(s, RULE_WRONG_PLACE, "job %s not spread", j->spec.id);
}

static void check_start(struct standin *s, struct si_machine *m, struct si_task *t)
{
	struct si_job *j = t->of;

	const struct si_task *o;

	DL_FOREACH2 (j->tasks, o, jnext)
		if (o != t && holds(o->on, o) && o->task == t->task)
			si_broken(s, RULE_RAN_TWICE, "%s/%u on %s and %s", t->job, t->task,
				  o->on->id, m->id);
	s->starts_cancelled += j->told_cancelled;
	if (j->told_cancelled && s->now > j->cancelled_at + s->conf->cancel_s)
		si_broken(s, RULE_RAN_CANCELLED, "%s started", t->job);
	if (j->began_at < 0 && ++j->starts_seen >= (j->spec.kind == JOB_GANG ? j->spec.ntasks : 1))
		j->began_at = s->now;
	j->starts++;
	m->used_at = s->now;
	s->starts_total++;
	check_place(s, m, j);
	check_team(s, j);
}

static void check_cancelled(struct standin *s)
{
	for (int i = 0; i < s->nmachines; i++)
		for (struct si_task *t = s->machines[i].tasks; t; t = t->next) {
			struct si_job *j = t->of;

			if (holds(&s->machines[i], t) && j->told_cancelled &&
			    s->now > j->cancelled_at + s->conf->cancel_s)
				si_broken(s, RULE_RAN_CANCELLED, "%s/%u on %s", t->job, t->task,
					  s->machines[i].id);
		}
}

/* --- workers --- */

struct si_machine *si_machine_at(struct standin *s, const char *addr)
{
	int high, low;

	/* Most have the address that their number gives them. */
	if (sscanf(addr, "10.1.%d.%d:", &high, &low) == 2) {
		int i = high * 250 + low - 1;

		if (i >= 0 && i < s->nmachines && !strcmp(s->machines[i].addr, addr))
			return &s->machines[i];
	}
	for (int i = 0; i < s->nmachines; i++)
		if (!strcmp(s->machines[i].addr, addr))
			return &s->machines[i];
	return NULL;
}

struct si_machine *si_machine(struct standin *s, const char *type, const char *zone, bool spot)
{
	struct si_machine *m;

	if (s->nmachines == s->machines_cap)
		abort();
	m = &s->machines[s->nmachines];
	memset(m, 0, sizeof(*m));
	snprintf(m->id, sizeof(m->id), "vm-%06d", s->nmachines);
	snprintf(m->addr, sizeof(m->addr), "10.1.%d.%d:9000", s->nmachines / 250,
		 s->nmachines % 250 + 1);
	snprintf(m->zone, sizeof(m->zone), "%s", zone);
	for (size_t i = 0; i < s->cloud.ntypes; i++)
		if (!strcmp(s->cloud.types[i].name, type))
			m->type = &s->cloud.types[i];
	if (!m->type)
		abort();
	m->spot = spot;
	m->power = SI_BOOTING;
	m->rented_at = s->now;
	m->up_at = s->now + m->type->boot_s;
	m->notice_until = -1;
	s->nmachines++;
	return m;
}

static void worker_up(struct standin *s, struct si_machine *m)
{
	m->power = SI_UP;
	m->session = 1;
	m->lease_from = s->now;
	m->next_report = s->now;
	m->node = (int)((m - s->machines) % s->nnodes);
}

static void free_task(struct si_task *t)
{
	if (t->of)
		DL_DELETE2(t->of->tasks, t, jprev, jnext);
	free(t);
}

static void drop_tasks(struct si_machine *m)
{
	while (m->tasks) {
		struct si_task *t = m->tasks;

		m->tasks = t->next;
		free_task(t);
	}
}

void si_machine_off(struct standin *s, struct si_machine *m, bool deleted)
{
	m->power = deleted ? SI_DELETED : SI_OFF;
	m->off_at = s->now;
	drop_tasks(m);
}

void si_machine_restart(struct standin *s, struct si_machine *m)
{
	drop_tasks(m);
	m->session = 1;
	m->seq = m->token = m->reported_token = 0;
	m->report_out = false;
	m->lease_from = s->now;
	m->next_report = s->now + 0.2;
}

static json_t *report(struct standin *s, struct si_machine *m)
{
	json_t *tasks = json_array(), *o;

	m->seq++;
	for (struct si_task *t = m->tasks; t; t = t->next) {
		static const char *const states[] = {W_TS_FETCHING, W_TS_WAITING, W_TS_RUNNING,
						     W_TS_SAVING, W_TS_EXITED};
		static const char *const whys[] = {
		    "",		 W_WHY_DONE,	W_WHY_STOPPED, W_WHY_PEERS,  W_WHY_ALONE,
		    W_WHY_ERROR, W_WHY_NO_ROOM, W_WHY_BUSY,    W_WHY_UNKNOWN};

		o = json_pack("{s:o,s:I,s:s}", W_TASK, json_sprintf("%s/%u", t->job, t->task),
			      W_ATTEMPT, (json_int_t)t->attempt, W_STATE, states[t->state]);
		if (t->state == TS_EXITED)
			json_object_set_new(o, W_WHY, json_string(whys[t->why]));
		if (t->kept)
			json_object_set_new(o, W_SAVED, json_true());
		json_array_append_new(tasks, o);
	}
	o = json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:o}", W_MACHINE, m->id, W_ADDR, m->addr,
		      W_TYPE, m->type->name, W_ZONE, m->zone, W_SPOT, (int)m->spot, W_SESSION,
		      (json_int_t)m->session, W_SEQ, (json_int_t)m->seq, W_TOKEN,
		      (json_int_t)m->token, W_TASKS, tasks);
	json_object_set_new(
	    o, W_NOTICE, m->notice_until >= 0 ? json_real(m->notice_until - s->now) : json_null());
	return o;
}

static void exit_task(struct si_machine *m, struct si_task *t, enum task_why why)
{
	t->state = TS_EXITED;
	t->why = why;
	m->changed = true;
}

static bool done_before(const struct si_job *j, uint32_t task)
{
	return j->done[task / 8] >> (task % 8) & 1;
}

static void mark_done(struct si_job *j, uint32_t task)
{
	if (done_before(j, task))
		return;
	j->done[task / 8] |= (uint8_t)(1u << (task % 8));
	j->ndone++;
}

static enum task_why refuse(struct standin *s, struct si_machine *m, const char *job, uint32_t task)
{
	struct si_job *j = si_job(s, job);
	double cpus = m->type->cpus, gpus = m->type->gpus, mem = m->type->mem_gb;

	if (!j || !j->asked || task >= j->spec.ntasks)
		return WHY_UNKNOWN;
	for (struct si_task *t = m->tasks; t; t = t->next) {
		struct si_job *o = t->of;

		if (t->state == TS_EXITED)
			continue;
		if (t->task == task && !strcmp(t->job, job))
			return WHY_BUSY;
		cpus -= o->spec.cpus;
		gpus -= o->spec.gpus;
		mem -= o->spec.mem_gb;
	}
	if (j->spec.cpus > cpus + 1e-6 || j->spec.gpus > gpus + 1e-6 || j->spec.mem_gb > mem + 1e-6)
		return WHY_NO_ROOM;
	return WHY_NONE;
}

static void start_task(struct standin *s, struct si_machine *m, const char *job, uint32_t task,
		       uint64_t attempt)
{
	struct si_task *t;
	enum task_why no;

	for (t = m->tasks; t; t = t->next)
		if (t->task == task && t->attempt == attempt && !strcmp(t->job, job))
			return;
	no = refuse(s, m, job, task);
	if (no == WHY_UNKNOWN && !si_job(s, job))
		return;
	t = zalloc(sizeof(*t));
	snprintf(t->job, sizeof(t->job), "%s", job);
	t->task = task;
	t->attempt = attempt;
	t->since = s->now;
	t->next = m->tasks;
	m->tasks = t;
	t->on = m;
	t->of = si_job(s, job);
	if (t->of)
		DL_APPEND2(t->of->tasks, t, jprev, jnext);
	m->changed = true;
	if (no != WHY_NONE) {
		exit_task(m, t, no);
		return;
	}
	t->image_at = s->now + t->of->spec.image_gb / m->type->fetch_gb_per_s;
}

void si_force_start(struct standin *s, struct si_machine *m, const char *job, uint32_t task)
{
	start_task(s, m, job, task, 999999999u + (uint64_t)task);
	m->tasks->state = TS_RUNNING;
	check_start(s, m, m->tasks);
}

static void stop_task(struct standin *s, struct si_machine *m, struct si_task *t, double grace)
{
	struct si_job *j = t->of;

	if (t->state == TS_EXITED || (t->state == TS_SAVING && grace > 0))
		return;
	if (t->state == TS_RUNNING && j->spec.checkpoint_s > 0 && grace >= j->spec.save_s) {
		t->state = TS_SAVING;
		t->save_until = s->now + j->spec.save_s;
		m->changed = true;
		return;
	}
	exit_task(m, t, WHY_STOPPED);
}

static void forget_task(struct si_machine *m, const char *job, uint32_t task, uint64_t attempt)
{
	for (struct si_task **p = &m->tasks; *p; p = &(*p)->next) {
		struct si_task *t = *p;

		if (t->state != TS_EXITED || t->task != task || t->attempt != attempt ||
		    strcmp(t->job, job))
			continue;
		*p = t->next;
		free_task(t);
		m->changed = true;
		return;
	}
}

static void run_command(struct standin *s, struct si_machine *m, json_t *o)
{
	const char *op = json_string_value(json_object_get(o, W_OP));
	const char *name = json_string_value(json_object_get(o, W_TASK));
	uint64_t attempt = (uint64_t)json_integer_value(json_object_get(o, W_ATTEMPT));
	char job[ID_MAX];
	uint32_t task;

	if (!op || !name || sscanf(name, "%47[^/]/%u", job, &task) != 2)
		abort();
	if (!strcmp(op, W_OP_START)) {
		start_task(s, m, job, task, attempt);
	} else if (!strcmp(op, W_OP_FORGET)) {
		forget_task(m, job, task, attempt);
	} else {
		for (struct si_task *t = m->tasks; t; t = t->next)
			if (t->task == task && t->attempt == attempt && !strcmp(t->job, job))
				stop_task(s, m, t, json_number_value(json_object_get(o, W_GRACE)));
	}
}

static void run_commands(struct standin *s, struct si_machine *m, json_t *o, uint64_t token)
{
	json_t *e;
	size_t i;

	if (token > m->token) {
		m->token = token;
		m->changed = true;
	}
	json_array_foreach (json_object_get(o, W_COMMANDS), i, e)
		run_command(s, m, e);
}

void si_worker_request(struct standin *s, struct si_machine *m, uint64_t handle, const char *path,
		       const char *body)
{
	json_t *o;
	uint64_t token;
	int status = 200;

	if (m->power != SI_UP)
		return;
	s->shows += !strcmp(path, W_PATH_STATUS);
	s->directs += !strcmp(path, W_PATH_COMMANDS);
	if (!strcmp(path, W_PATH_STATUS)) {
		answer(s, handle, 200, report(s, m));
		return;
	}
	o = wire_parse(body, strlen(body));
	token = (uint64_t)json_integer_value(json_object_get(o, W_TOKEN));
	if (!json_object_get(o, W_TOKEN) || !json_object_get(o, W_SESSION))
		status = 400;
	else if (token < m->token ||
		 (uint64_t)json_integer_value(json_object_get(o, W_SESSION)) != m->session)
		status = 409;
	else
		run_commands(s, m, o, token);
	json_decref(o);
	answer(s, handle, status, report(s, m));
}

void si_worker_answer(struct standin *s, int machine, uint64_t session, uint64_t seq, int status,
		      const char *body)
{
	struct si_machine *m = &s->machines[machine];
	json_t *o;
	uint64_t token;

	if (m->power != SI_UP || !m->report_out || m->report_seq != seq ||
	    m->report_session != session || m->session != session)
		return;
	m->report_out = false;
	o = body ? wire_parse(body, strlen(body)) : NULL;
	if (status == 200) {
		token = (uint64_t)json_integer_value(json_object_get(o, W_TOKEN));
		if (token && token >= m->token) {
			m->lease_from = m->report_sent;
			run_commands(s, m, o, token);
		}
	} else {
		const char *to = json_string_value(json_object_get(o, W_REPORT_TO));
		int node = -1;

		for (int i = 0; to && i < s->nnodes; i++)
			if (!strcmp(s->node_names[i], to))
				node = i;
		if (status == 421 && node >= 0 && node != m->node) {
			m->node = node;
			m->next_report = s->now + 0.1;
		} else {
			m->node = (m->node + 1) % s->nnodes;
			m->next_report = s->now + 1;
		}
	}
	json_decref(o);
}

static bool gang_complete(const struct si_job *j, uint64_t attempt, enum task_state least)
{
	const struct si_task *t;
	uint32_t n = 0;

	DL_FOREACH2 (j->tasks, t, jnext)
		n += t->attempt == attempt && t->state >= least &&
		     (t->state != TS_EXITED || t->why == WHY_DONE || t->why == WHY_STOPPED);
	return n == j->spec.ntasks;
}

static void task_step(struct standin *s, struct si_machine *m, struct si_task *t, double dt)
{
	struct si_job *j = t->of;
	bool gang = j->spec.kind == JOB_GANG;

	if (t->state == TS_FETCHING && s->now >= t->image_at) {
		t->state = gang ? TS_WAITING : TS_RUNNING;
		t->since = s->now;
		check_start(s, m, t);
		m->changed = true;
		if (m->faulty || j->bad)
			exit_task(m, t, WHY_ERROR);
		else if (done_before(j, t->task) && j->spec.kind != JOB_SERVICE)
			exit_task(m, t, WHY_DONE);
		return;
	}
	if (t->state == TS_WAITING) {
		if (gang_complete(j, t->attempt, TS_WAITING)) {
			t->state = TS_RUNNING;
			m->changed = true;
		} else if (s->now - t->since > s->conf->gang_wait_s) {
			exit_task(m, t, WHY_ALONE);
		}
		return;
	}
	if (t->state == TS_SAVING && s->now >= t->save_until) {
		t->kept = true;
		exit_task(m, t, WHY_STOPPED);
		return;
	}
	if (t->state != TS_RUNNING)
		return;
	if (gang && !gang_complete(j, t->attempt, TS_RUNNING)) {
		if (t->stopped_at <= 0)
			t->stopped_at = s->now;
		if (s->now - t->stopped_at > s->conf->gang_peer_s)
			exit_task(m, t, WHY_PEERS);
		return;
	}
	t->progress += dt;
	if (t->progress >= j->run_s && j->spec.kind == JOB_SERVICE && j->ends != WHY_NONE)
		exit_task(m, t, j->ends);
	if (t->progress >= j->run_s && j->spec.kind != JOB_SERVICE) {
		for (uint32_t k = 0; k < j->spec.ntasks; k++)
			if (k == t->task || gang) /* a gang completes together */
				mark_done(j, k);
		exit_task(m, t, WHY_DONE);
	}
}

#define SERVED_AFTER_S 5.0 /* seconds from a service's acceptance until its time counts */

/* Replica time that is asked of services, and what of it is served. */
static void count_served(struct standin *s, double dt)
{
	struct si_job *j, *tmp;
	const struct si_task *t;

	HASH_ITER (hh, s->jobs, j, tmp) {
		bool counts = j->spec.kind == JOB_SERVICE && j->accepted && !j->cancel_asked &&
			      s->now - j->accepted_at > SERVED_AFTER_S;

		if (!counts)
			continue;
		j->replica_s += j->spec.ntasks * dt;
		DL_FOREACH2 (j->tasks, t, jnext)
			if (t->state == TS_RUNNING && !t->on->hanging)
				j->served_s += dt;
	}
}

static void worker_report(struct standin *s, struct si_machine *m)
{
	bool due = s->now >= m->next_report;
	char *text;

	if (m->report_out && s->now - m->report_sent > 4) {
		m->report_out = false;
		m->node = (m->node + 1) % s->nnodes;
		m->next_report = s->now + 1;
		return;
	}
	if (m->report_out || (!due && !(m->changed && s->now - m->last_report >= 0.5 &&
					s->now - m->report_sent >= 0.5)))
		return;
	m->changed = false;
	m->report_out = true;
	m->report_sent = m->last_report = s->now;
	m->next_report = s->now + s->conf->report_s;
	text = dump(report(s, m));
	m->report_seq = m->seq;
	m->report_session = m->session;
	s->ops->report(s->ctx, (int)(m - s->machines), m->node, text);
	free(m->report_text);
	m->report_text = text;
}

static void worker_tick(struct standin *s, struct si_machine *m, double dt)
{
	if (m->power == SI_BOOTING && s->now >= m->up_at)
		worker_up(s, m);
	if (m->power != SI_UP || m->hanging)
		return;
	if (m->notice_until >= 0 && s->now >= m->notice_until) {
		si_machine_off(s, m, true);
		return;
	}
	if (s->now - m->lease_from > s->conf->lease_s) {
		drop_tasks(m);
		m->session++;
		m->lease_from = s->now;
		m->report_out = false;
		m->changed = true;
	}
	for (struct si_task *t = m->tasks; t; t = t->next)
		task_step(s, m, t, dt);
	worker_report(s, m);
}

/* --- cloud --- */

static void cloud_rent(struct standin *s, uint64_t handle, const char *body)
{
	json_t *o = wire_parse(body, strlen(body)), *list;
	const char *name = json_string_value(json_object_get(o, W_REQUEST));
	const char *type = json_string_value(json_object_get(o, W_TYPE));
	const char *zone = json_string_value(json_object_get(o, W_ZONE));
	int n = (int)json_integer_value(json_object_get(o, W_COUNT)), got = 0;
	struct si_cloud *cl = &s->cloud;

	for (size_t i = 0; i < cl->nrequests; i++)
		if (!strcmp(cl->requests[i].name, name)) {
			s->ops->reply(s->ctx, handle, 200, cl->requests[i].answer);
			json_decref(o);
			return;
		}
	list = json_array();
	for (size_t i = 0; i < cl->ntypes; i++)
		while (!strcmp(cl->types[i].name, type) && cl->capacity[i] > 0 && got < n) {
			struct si_machine *m =
			    si_machine(s, type, zone, json_is_true(json_object_get(o, W_SPOT)));

			if (cl->never_boot > 0) {
				cl->never_boot--;
				m->up_at = INFINITY;
			}
			cl->capacity[i]--;
			got++;
			json_array_append_new(list, json_string(m->id));
		}
	if (!got) {
		json_decref(list);
		answer_error(s, handle, 503, "no capacity");
	} else {
		json_t *a = json_pack("{s:o}", W_MACHINES_LIST, list);

		cl->requests = realloc(cl->requests, (cl->nrequests + 1) * sizeof(*cl->requests));
		if (!cl->requests)
			abort();
		snprintf(cl->requests[cl->nrequests].name, NAME_MAX_LEN, "%s", name);
		cl->requests[cl->nrequests++].answer = json_dumps(a, JSON_COMPACT);
		answer(s, handle, 200, a);
	}
	json_decref(o);
}

static void cloud_delete(struct standin *s, uint64_t handle, const char *body)
{
	json_t *o = wire_parse(body, strlen(body)), *e;
	size_t i;

	json_array_foreach (json_object_get(o, W_MACHINES_LIST), i, e)
		for (int k = 0; k < s->nmachines; k++)
			if (!strcmp(s->machines[k].id, json_string_value(e)) &&
			    s->machines[k].power != SI_DELETED) {
				si_machine_off(s, &s->machines[k], true);
				for (size_t t = 0; t < s->cloud.ntypes; t++)
					s->cloud.capacity[t] +=
					    s->cloud.reuse[t] &&
					    s->machines[k].type == &s->cloud.types[t];
			}
	json_decref(o);
	answer_error(s, handle, 200, "");
}

static void cloud_list(struct standin *s, uint64_t handle)
{
	double lag = s->conf->list_lag_s;
	json_t *list = json_array();

	for (int i = 0; i < s->nmachines; i++) {
		struct si_machine *m = &s->machines[i];
		const char *st = m->power == SI_OFF	    ? W_MS_FAILED
				 : s->now - lag >= m->up_at ? W_MS_RUNNING
							    : W_MS_BOOTING;

		if (s->now - lag < m->rented_at && s->now > lag)
			continue;
		if (m->power == SI_DELETED && s->now - m->off_at > lag)
			continue;
		json_array_append_new(list, json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", W_ID, m->id,
						      W_ADDR, m->addr, W_TYPE, m->type->name,
						      W_ZONE, m->zone, W_SPOT, (int)m->spot,
						      W_STATE, st, W_AGE, s->now - m->rented_at));
	}
	answer(s, handle, 200, json_pack("{s:o,s:b}", W_MACHINES_LIST, list, W_MORE, 0));
}

void si_cloud_request(struct standin *s, uint64_t handle, const char *method, const char *path,
		      const char *body)
{
	if (s->cloud.down)
		answer_error(s, handle, 503, "trouble");
	else if (!strcmp(path, W_PATH_TYPES))
		answer(s, handle, 200, wire_types_encode(s->cloud.types, s->cloud.ntypes));
	else if (!strcmp(path, W_PATH_DELETE))
		cloud_delete(s, handle, body);
	else if (!strcmp(method, "POST"))
		cloud_rent(s, handle, body);
	else
		cloud_list(s, handle);
}

/* --- whether a job can run --- */

#define ROOM_STAYS_S                                                                               \
	10.0 /* seconds without a start on a machine: room that the next start takes is in use */

static bool fits_type(const struct si_job *j, const struct machine_type *t)
{
	bool named = j->spec.types.count == 0, zone = !*j->spec.zone;

	for (int i = 0; i < j->spec.types.count; i++)
		named |= !strcmp(j->spec.types.names[i], t->name);
	for (int i = 0; i < t->zones.count; i++)
		zone |= !strcmp(j->spec.zone, t->zones.names[i]);
	return named && zone && j->spec.cpus <= t->cpus && j->spec.gpus <= t->gpus &&
	       j->spec.mem_gb <= t->mem_gb;
}

static const struct conf_team *team_of(const struct standin *s, const struct si_job *j)
{
	for (size_t i = 0; i < s->conf->nteams; i++)
		if (!strcmp(s->conf->teams[i].name, j->spec.team))
			return &s->conf->teams[i];
	return NULL;
}

static bool under_limit(const struct conf_team *t, const struct si_job *j, double cpus, double gpus)
{
	uint32_t n = j->spec.kind == JOB_ARRAY ? 1 : j->spec.ntasks;

	return (t->cpus_max <= 0 || cpus + n * j->spec.cpus <= t->cpus_max + 1e-6) &&
	       (t->gpus_max <= 0 || gpus + n * j->spec.gpus <= t->gpus_max + 1e-6);
}

/* Half of a scattered gang fits in a zone: it takes two of them. */
static bool zones_suffice(struct standin *s, const struct si_job *j)
{
	const char *first = NULL;

	if (j->spec.kind == JOB_ARRAY || !j->spec.spread || j->spec.ntasks < 2)
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

static bool can_ever_run(struct standin *s, const struct si_job *j)
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
	struct si_job *j, *tmp;

	HASH_ITER (hh, s->jobs, j, tmp)
		j->held = 0;
	for (int i = 0; i < s->nmachines; i++) {
		struct si_machine *m = &s->machines[i];

		m->cpus = m->type->cpus;
		m->gpus = m->type->gpus;
		m->mem_gb = m->type->mem_gb;
		for (const struct si_task *t = m->tasks; t; t = t->next) {
			j = t->of;
			j->held++;
			if (t->state == TS_EXITED)
				continue;
			m->cpus -= j->spec.cpus;
			m->gpus -= j->spec.gpus;
			m->mem_gb -= j->spec.mem_gb;
		}
	}
}

static void team_use(const struct standin *s, const struct conf_team *t, double *cpus, double *gpus)
{
	struct si_job *j, *tmp;

	*cpus = *gpus = 0;
	HASH_ITER (hh, s->jobs, j, tmp) {
		if (!j->held || strcmp(j->spec.team, t->name))
			continue;
		*cpus += j->held * j->spec.cpus;
		*gpus += j->held * j->spec.gpus;
	}
}

/* Slots for the job's tasks on a machine that is there and answers. */
static uint32_t slots_on(const struct si_job *j, const struct si_machine *m)
{
	uint32_t n = 0;

	if (m->power != SI_UP || m->cpus + 1e-6 < j->spec.cpus || m->hanging || m->faulty ||
	    m->notice_until >= 0 || !fits_type(j, m->type) || (m->spot && !j->spec.spot) ||
	    (*j->spec.zone && strcmp(j->spec.zone, m->zone)))
		return 0;
	while (n < j->spec.ntasks && m->cpus + 1e-6 >= (n + 1) * j->spec.cpus &&
	       m->gpus + 1e-6 >= (n + 1) * j->spec.gpus &&
	       m->mem_gb + 1e-6 >= (n + 1) * j->spec.mem_gb)
		n++;
	return n;
}

/* Room that stays: only machines on which nothing was started of late; elsewhere it comes and goes.
 */
static uint32_t room_for(struct standin *s, const struct si_job *j, const char *zone)
{
	uint32_t n = 0;

	for (int i = 0; i < s->nmachines; i++)
		if (s->now - s->machines[i].used_at > ROOM_STAYS_S &&
		    (!zone || !strcmp(zone, s->machines[i].zone)))
			n += slots_on(j, &s->machines[i]);
	return n;
}

static bool has_room(struct standin *s, const struct si_job *j)
{
	uint32_t need = j->spec.kind == JOB_ARRAY ? 1 : j->spec.ntasks;

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

void si_check_room(struct standin *s, double quiet_since)
{
	struct si_job *j, *tmp;

	if (s->now < quiet_since || s->now < s->room_at)
		return;
	s->room_at = s->now + ROOM_EVERY_S;
	count_use(s);
	HASH_ITER (hh, s->jobs, j, tmp) {
		const struct conf_team *team = team_of(s, j);
		bool waits = j->accepted && !j->cancel_asked && !j->bad && !j->held && team &&
			     j->ndone < j->spec.ntasks;
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
			si_broken(s, RULE_IDLE_ROOM, "%s waits beside room for %.0f s", j->spec.id,
				  s->now - j->room_since);
	}
}

/* --- what users are told --- */

void si_told_submit(struct standin *s, const char *id, int status)
{
	struct si_job *j = si_job(s, id);

	if ((status == 200 || status == 201) && !j->accepted) {
		j->accepted_at = s->now;
		j->accepted = true;
		if (!can_ever_run(s, j))
			si_broken(s, RULE_WRONG_JOB, "%s can't run", id);
	} else if ((status == 400 || status == 422) && j->accepted)
		si_broken(s, RULE_FORGOTTEN, "%s submitted again: %d", id, status);
}

/*
 * No answer to a question asked after an end or a cancellation was learned of may be older. An
 * answer to one asked before that may have overtaken, or been overtaken on the way.
 */
static void told(struct standin *s, struct si_job *j, const char *state, double asked_at)
{
	bool done = !strcmp(state, W_ST_DONE), cancelled = !strcmp(state, W_ST_CANCELLED);

	if (done && j->ndone < j->spec.ntasks)
		si_broken(s, RULE_NOT_DONE, "%s has %u of %u", j->spec.id, j->ndone,
			  j->spec.ntasks);
	if ((j->told_done && !done && asked_at >= j->done_at) ||
	    (j->told_cancelled && !cancelled && asked_at >= j->cancelled_at) ||
	    (cancelled && !j->cancel_asked))
		si_broken(s, RULE_WENT_BACK, "%s is %s", j->spec.id, state);
	if (done && !j->told_done) {
		j->told_done = true;
		j->done_at = s->now;
	}
	if (cancelled && !j->told_cancelled) {
		j->told_cancelled = true;
		j->cancelled_at = s->now;
	}
}

void si_told_state(struct standin *s, const char *id, int status, const char *body, double asked_at)
{
	struct si_job *j = si_job(s, id);
	json_t *o;

	if (status == 404 && j && j->accepted)
		si_broken(s, RULE_FORGOTTEN, "%s polled: 404", id);
	if (status != 200)
		return;
	if (!j || !j->asked) {
		si_broken(s, RULE_INVENTED, "%s", id);
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

void si_check_answers(struct standin *s, double quiet_since)
{
	struct si_job *j, *tmp;

	HASH_ITER (hh, s->jobs, j, tmp) {
		double since = fmax(quiet_since, fmax(j->accepted_at, j->answered_at));

		if (j->accepted && s->now - since > FORGOTTEN_S)
			si_broken(s, RULE_FORGOTTEN, "%s unanswered for %.0f s", j->spec.id,
				  s->now - since);
	}
}

/* The jobs of a class, a team, or of a class's largest size. */
enum group { BY_CLASS, BY_TEAM, BY_LARGEST };

static bool counts(const struct si_job *j)
{
	return j->accepted && !j->cancel_asked && !j->bad;
}

static uint32_t largest(struct standin *s, const struct si_job *of)
{
	struct si_job *j, *tmp;
	uint32_t n = 0;

	HASH_ITER (hh, s->jobs, j, tmp)
		if (counts(j) && !strcmp(j->spec.class_name, of->spec.class_name) &&
		    j->spec.ntasks > n)
			n = j->spec.ntasks;
	return n;
}

static bool same_group(const struct si_job *a, const struct si_job *b, enum group g)
{
	if (g == BY_TEAM)
		return !strcmp(a->spec.team, b->spec.team);
	return !strcmp(a->spec.class_name, b->spec.class_name) &&
	       (g == BY_CLASS || a->spec.ntasks == b->spec.ntasks);
}

static void check_group(struct standin *s, const struct si_job *of, enum group g)
{
	struct si_job *j, *tmp;
	int all = 0, served = 0;

	HASH_ITER (hh, s->jobs, j, tmp) {
		if (!counts(j) || !same_group(of, j, g))
			continue;
		all++;
		served += j->began_at >= 0;
	}
	if (2 * served < all)
		si_broken(s, RULE_UNSERVED, "%d of %d like %s served (%s)", served, all,
			  of->spec.id,
			  g == BY_CLASS	 ? "class"
			  : g == BY_TEAM ? "team"
					 : "largest");
}

void si_check_served(struct standin *s)
{
	struct si_job *j, *tmp;

	HASH_ITER (hh, s->jobs, j, tmp) {
		bool large = counts(j) && j->spec.ntasks == largest(s, j);
		double began = j->began_at >= 0 ? j->began_at : s->now;

		if (!counts(j))
			continue;
		check_group(s, j, BY_CLASS);
		check_group(s, j, BY_TEAM);
		if (large)
			check_group(s, j, BY_LARGEST);
		if (large && began - j->accepted_at > LARGEST_S)
			si_broken(s, RULE_LATE_LARGE, "%s began after %.0f s", j->spec.id,
				  began - j->accepted_at);
	}
}

void si_told_cancel(struct standin *s, const char *id, int status, const char *body,
		    double asked_at)
{
	if (status == 200)
		si_told_state(s, id, status, body, asked_at);
}

/* --- time --- */

void si_tick(struct standin *s, double now)
{
	double dt = now - s->ticked; /* `now` moves on with each message in between */

	s->now = s->ticked = now;
	state_tick(s);
	for (int i = 0; i < s->nmachines; i++)
		worker_tick(s, &s->machines[i], dt);
	count_served(s, dt);
	check_cancelled(s);
}

void si_free(struct standin *s)
{
	struct si_key *k, *ktmp;
	struct si_job *j, *jtmp;

	HASH_ITER (hh, s->state.keys, k, ktmp) {
		HASH_DEL(s->state.keys, k);
		json_decref(k->value);
		free(k);
	}
	while (s->state.leases) {
		struct si_lease *l = s->state.leases;

		s->state.leases = l->next;
		free(l);
	}
	while (s->state.watches) {
		struct si_watch *w = s->state.watches;

		s->state.watches = w->next;
		free(w);
	}
	for (size_t i = 0; i < s->state.nchanges; i++)
		json_decref(s->state.changes[i].value);
	free(s->state.changes);
	for (int i = 0; i < s->nmachines; i++) {
		drop_tasks(&s->machines[i]);
		free(s->machines[i].report_text);
	}
	free(s->machines);
	for (size_t i = 0; i < s->cloud.nrequests; i++)
		free(s->cloud.requests[i].answer);
	free(s->cloud.requests);
	wire_types_free(s->cloud.types, s->cloud.ntypes);
	HASH_ITER (hh, s->jobs, j, jtmp) {
		HASH_DEL(s->jobs, j);
		wire_job_free(&j->spec);
		free(j->done);
		free(j);
	}
}
