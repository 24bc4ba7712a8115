/* The stand-ins for everything around the controllers: their start, time and end. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf/conf.h"
#include "core/state.h"
#include "wire/names.h"
#include "standins/private.h"

const char *const rule_names[RULES] = {
    "ran_twice", "quota",	"wrong_place", "ran_cancelled", "forgotten", "invented", "not_done",
    "went_back", "nothing_ran", "unserved",    "late_large",	"idle_room", "wrong_job"};

void *zalloc(size_t n)
{
	void *p = calloc(1, n);

	if (!p)
		abort();
	return p;
}

void standin_rule_broken(struct standin *s, enum rule r, const char *fmt, ...)
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

void standin_init(struct standin *s, const struct standin_callbacks *ops, void *ctx,
		  const struct conf *conf)
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
	s->cloud.types = zalloc(STANDIN_TYPES_MAX * sizeof(struct machine_type));
	s->machines_cap = 16384; /* pointers to machines stay valid */
	s->machines = zalloc((size_t)s->machines_cap * sizeof(*s->machines));
}

void standin_type_add(struct standin *s, const struct machine_type *t, int capacity, bool reuse)
{
	s->cloud.reuse[s->cloud.ntypes] = reuse;
	s->cloud.capacity[s->cloud.ntypes] = capacity;
	s->cloud.types[s->cloud.ntypes++] = *t;
}

/* --- time --- */

void standin_tick(struct standin *s, double now)
{
	double dt = now - s->ticked; /* `now` moves on with each message in between */

	s->now = s->ticked = now;
	state_tick(s);
	for (int i = 0; i < s->nmachines; i++)
		worker_tick(s, &s->machines[i], dt);
	count_served(s, dt);
	check_cancelled(s);
}

void standin_free(struct standin *s)
{
	struct standin_key *k, *ktmp;
	struct standin_job *j, *jtmp;

	HASH_ITER (hh, s->state.keys, k, ktmp) {
		HASH_DEL(s->state.keys, k);
		json_decref(k->value);
		free(k);
	}
	while (s->state.leases) {
		struct standin_lease *l = s->state.leases;

		s->state.leases = l->next;
		free(l);
	}
	while (s->state.watches) {
		struct standin_watch *w = s->state.watches;

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
