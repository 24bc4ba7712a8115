/*
 * How many tasks of each job are done and running: only the leader knows. The others ask it for
 * them while users poll, and show them for some seconds.
 */
#include "core/api/peer_requests.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "peer.pb-c.h"
#include "util/log.h"
#include "util/xalloc.h"
#include "wire/names.h"

void task_counts_reply(struct core *core, uint64_t conn)
{
	size_t n = job_count(core), len;
	Peer__Count *all = xcalloc(n + 1, sizeof(*all)), **list = xcalloc(n + 1, sizeof(*list));
	Peer__Counts out = PEER__COUNTS__INIT;
	struct job *job, *tmp;
	uint8_t *buf;

	JOBS_FOR_EACH (core, job, tmp) {
		Peer__Count *x = &all[out.n_counts];

		if (job->orphan || (!job->done_count && !job->running_count))
			continue;
		peer__count__init(x);
		x->job = job->spec.id;
		x->done = job->done_count;
		x->running = job->running_count;
		list[out.n_counts++] = x;
	}
	out.token = election_token(core);
	out.counts = list;
	buf = peers_pack(&out.base, &len);
	core_reply_packed(core, conn, buf, len);
	free(all);
	free(list);
}

static void counts_take(struct core *core, const uint8_t *data, size_t len)
{
	Peer__Counts *in = peer__counts__unpack(NULL, len, data);
	struct indexed_job *known, *tmp;

	/* What a deposed leader still believes is no news. */
	if (in && in->token >= core->api.counts_token) {
		core->api.counts_token = in->token;
		core->api.counts_received_at = core->now;
		HASH_ITER (hh, core->api.index, known, tmp)
			if (!known->final)
				known->done_count = known->running_count = 0;
		for (size_t i = 0; i < in->n_counts; i++) {
			HASH_FIND_STR(core->api.index, in->counts[i]->job, known);
			if (!known || known->final)
				continue;
			known->done_count = in->counts[i]->done;
			known->running_count = in->counts[i]->running;
		}
	}
	if (in)
		peer__counts__free_unpacked(in, NULL);
}

static void on_counts(struct core *core, struct call *call, const struct call_answer *answer)
{
	size_t i = (size_t)(uintptr_t)call->arg;

	core->api.counts_in_flight = false;
	peer_note_answer(core, i, answer);
	if (answer->status == STATUS_OK)
		counts_take(core, (const uint8_t *)answer->body, answer->len);
}

/* The message is empty: its path says all. */
static void counts_ask(struct core *core, size_t i)
{
	core_call(core, core->conf->peers[i].addr, "POST", format_path(COUNTS_PATH), xstrdup(""),
		  CALL_PEER_S, on_counts, (void *)(uintptr_t)i);
}

void task_counts_tick(struct core *core)
{
	if (election_is_leader(core) || core->api.counts_in_flight ||
	    core->now < core->api.next_counts_at ||
	    core->now - core->api.counts_wanted_at > COUNTS_DEMAND_S)
		return;
	for (size_t i = 0; i < core->conf->npeers; i++) {
		if (strcmp(core->conf->peers[i].name, election_leader(core)))
			continue;
		core->api.counts_in_flight = true;
		core->api.next_counts_at = core->now + COUNTS_EVERY_S;
		counts_ask(core, i);
	}
}
