/*
 * The leader's answer to requests for task counts, and the requests of the other controllers.
 */
#include "core/api/task_counts.h"

#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "peer.pb-c.h"
#include "util/xalloc.h"

/* Sets `received_at` and `last_demand_at` so far in the past that the counts are not fresh and no
 * request is due. */
void task_counts_init(struct core *core)
{
	core->api.counts.received_at = core->now - COUNTS_DEMAND_WINDOW_S;
	core->api.counts.last_demand_at = core->now - COUNTS_DEMAND_WINDOW_S;
}

void task_counts_record_demand(struct core *core)
{
	core->api.counts.last_demand_at = core->now;
}

bool task_counts_are_fresh(const struct core *core)
{
	return core->now - core->api.counts.received_at < COUNTS_MAX_AGE_S;
}

/* --- the leader's answer --- */

/* True if the leader's answer lists the job. Jobs without done or running tasks are left out, and
 * so are jobs that have no open record any more. */
static bool has_counts(const struct job *job)
{
	return !job->orphan && (job->done_count || job->running_count);
}

static void fill_count(Peer__TaskCount *count, const struct job *job)
{
	peer__task_count__init(count);
	count->job = (char *)job->spec.id;
	count->done = job->done_count;
	count->running = job->running_count;
}

void task_counts_reply(struct core *core, uint64_t connection)
{
	size_t max = job_count(core), len;
	Peer__TaskCount *counts = xcalloc(max + 1, sizeof(*counts));
	Peer__TaskCount **list = xcalloc(max + 1, sizeof(*list));
	Peer__TaskCounts message = PEER__TASK_COUNTS__INIT;
	struct job *job, *next;
	uint8_t *packed;

	JOBS_FOR_EACH (core, job, next) {
		Peer__TaskCount *count = &counts[message.n_counts];

		if (!has_counts(job))
			continue;
		fill_count(count, job);
		list[message.n_counts++] = count;
	}
	message.token = election_token(core);
	message.counts = list;
	packed = peers_pack(&message.base, &len);
	core_reply_packed(core, connection, packed, len);
	free(counts);
	free(list);
}

/* --- requests of the other controllers --- */

/* Sets the task counts of all open jobs in the index to 0. Jobs that the leader does not list have
 * neither done nor running tasks. */
static void reset_counts(struct core *core)
{
	struct indexed_job *entry, *next;

	HASH_ITER (hh, core->api.index.entries, entry, next) {
		if (entry->final)
			continue;
		entry->status.done_count = 0;
		entry->status.running_count = 0;
	}
}

static void apply_count(struct core *core, const Peer__TaskCount *count)
{
	struct indexed_job *entry = job_index_find(core, count->job);

	if (!entry || entry->final)
		return;
	entry->status.done_count = count->done;
	entry->status.running_count = count->running;
}

static void apply_counts(struct core *core, const Peer__TaskCounts *message)
{
	struct task_counts *state = &core->api.counts;

	/* The sender of the counts was deposed: counts of a newer leader were received before. */
	if (message->token < state->token)
		return;
	state->token = message->token;
	state->received_at = core->now;
	reset_counts(core);
	for (size_t i = 0; i < message->n_counts; i++)
		apply_count(core, message->counts[i]);
}

static void on_counts(struct core *core, struct call *call, const struct call_answer *answer)
{
	Peer__TaskCounts *message;

	core->api.counts.in_flight = false;
	peer_record_answer(core, peer_of_call(call), answer);
	if (answer->status != STATUS_OK)
		return;
	message = peer__task_counts__unpack(NULL, answer->len, (const uint8_t *)answer->body);
	if (!message)
		return;
	apply_counts(core, message);
	peer__task_counts__free_unpacked(message, NULL);
}

static void request_counts(struct core *core, size_t peer)
{
	struct task_counts *state = &core->api.counts;

	state->in_flight = true;
	state->next_request_at = core->now + COUNTS_INTERVAL_S;
	peer_send_empty(core, peer, COUNTS_PATH, on_counts);
}

/* True if a request for task counts is due: in a follower, for COUNTS_DEMAND_WINDOW_S after a user
 * was answered with counts. */
static bool request_due(const struct core *core)
{
	const struct task_counts *state = &core->api.counts;

	return !election_is_leader(core) && !state->in_flight &&
	       core->now >= state->next_request_at &&
	       core->now - state->last_demand_at <= COUNTS_DEMAND_WINDOW_S;
}

/* Sends no request for task counts while no leader is known. */
void task_counts_tick(struct core *core)
{
	if (!request_due(core))
		return;
	for (size_t i = 0; i < core->conf->peer_count; i++)
		if (!strcmp(core->conf->peers[i].name, election_leader(core)))
			request_counts(core, i);
}
