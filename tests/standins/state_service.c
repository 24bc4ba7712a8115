/* The stand-in of the state service. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf/conf.h"
#include "core/state.h"
#include "wire/names.h"
#include "standins/private.h"

char *dump(json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	if (!text)
		abort();
	return text;
}

void answer(struct standin *s, uint64_t handle, int status, json_t *o)
{
	char *text = dump(o);

	s->ops->reply(s->ctx, handle, status, text);
	free(text);
}

void answer_error(struct standin *s, uint64_t handle, int status, const char *why)
{
	answer(s, handle, status, json_pack("{s:s}", "error", why));
}

static json_t *item(const struct standin_key *k)
{
	return json_pack("{s:s,s:O,s:I}", W_KEY, k->key, W_VALUE, k->value, W_VERSION,
			 (json_int_t)k->version);
}

static struct standin_key *key_find(struct standin_state_service *st, const char *key)
{
	struct standin_key *k;

	HASH_FIND_STR(st->keys, key, k);
	return k;
}

static void note_change(struct standin_state_service *st, const char *key, json_t *value)
{
	struct standin_change *c;

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

static void key_drop(struct standin_state_service *st, struct standin_key *k)
{
	note_change(st, k->key, NULL);
	HASH_DEL(st->keys, k);
	json_decref(k->value);
	free(k);
}

static void key_put(struct standin_state_service *st, const char *key, json_t *value,
		    uint64_t lease)
{
	struct standin_key *k = key_find(st, key);

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

static json_t *watch_events(const struct standin_state_service *st, const struct standin_watch *w)
{
	json_t *events = json_array();

	for (size_t i = 0; i < st->nchanges; i++) {
		const struct standin_change *c = &st->changes[i];

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
	struct standin_watch **p = &s->state.watches, *w;

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
	return strcmp((*(struct standin_key *const *)a)->key,
		      (*(struct standin_key *const *)b)->key);
}

static void state_range(struct standin *s, uint64_t handle, const char *path)
{
	struct standin_state_service *st = &s->state;
	size_t n = HASH_COUNT(st->keys), i = 0;
	struct standin_key **all = zalloc((n + 1) * sizeof(*all)), *k, *tmp;
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

static struct standin_lease *lease_find(struct standin_state_service *st, uint64_t id)
{
	struct standin_lease *l = st->leases;

	while (l && l->id != id)
		l = l->next;
	return l;
}

#define TXN_GUARDS 4 /* conditions for each change that a transaction may have */

/* 0: may be applied; else the status, with the answer in `out`. */
static int txn_check(struct standin *s, json_t *o, json_t **out)
{
	struct standin_state_service *st = &s->state;
	json_t *e, *failed = json_array();
	size_t i;

	json_array_foreach (json_object_get(o, W_IF), i, e) {
		const char *key = json_string_value(json_object_get(e, W_KEY));
		struct standin_key *k = key_find(st, key);

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
	struct standin_state_service *st = &s->state;
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
		struct standin_key *k = drop ? key_find(st, drop) : NULL;

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

static void lease_end(struct standin *s, struct standin_lease *l)
{
	struct standin_state_service *st = &s->state;
	struct standin_lease **p = &st->leases;
	struct standin_key *k, *tmp;
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
	struct standin_state_service *st = &s->state;
	struct standin_lease *l;

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
	struct standin_watch *w = zalloc(sizeof(*w));
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
	struct standin_state_service *st = &s->state;
	double dt = s->now - st->filled;

	st->filled = s->now;
	st->request_room = fmin(st->rps, st->request_room + dt * st->rps);
	st->put_room = fmin(st->write_rps, st->put_room + dt * st->write_rps);
}

/* Within the limits of requests, and of puts and deletes, a second? Counts what is taken. */
static bool limits_take(struct standin *s, const char *path, const char *body)
{
	struct standin_state_service *st = &s->state;
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

void standin_state_request(struct standin *s, int node, uint64_t handle, const char *method,
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
		struct standin_key *k = key_find(&s->state, path + strlen(W_PATH_KEYS) + 1);

		answer(s, handle, k ? 200 : 404,
		       k ? item(k) : json_pack("{s:I}", W_REVISION, (json_int_t)s->state.revision));
	}
}

/* After an outage every lease has its full time again. */
void standin_state_outage(struct standin *s, bool down)
{
	if (s->state.down && !down)
		for (struct standin_lease *l = s->state.leases; l; l = l->next)
			l->ends = s->now + l->ttl_ms / 1000.0;
	s->state.down = down;
	watches_run(s);
}

void state_tick(struct standin *s)
{
	struct standin_lease *l = s->state.leases, *next;

	for (; l && !s->state.down; l = next) {
		next = l->next;
		if (s->now > l->ends)
			lease_end(s, l);
	}
	watches_run(s);
}
