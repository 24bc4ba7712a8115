/*
 * Cancellations that users were told of. Whoever leads has to learn of them in time, also while it
 * can't read the records: each is announced to all controllers at once, and while the state service
 * is silent all ask each other what they told users.
 */
#include "core/api/cancellations.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "peer.pb-c.h"
#include "util/log.h"
#include "util/xalloc.h"
#include "wire/names.h"

static void on_cancelled_answer(struct core *core, struct call *call,
				const struct call_answer *answer)
{
	peer_note_answer(core, (size_t)(uintptr_t)call->arg, answer);
}

/*
 * The leader may be refused by the state service alone, or be cut from it and deposed without
 * knowing, while workers still report to it: a cancellation goes to all, whoever leads.
 */
void peers_announce_cancelled(struct core *core, const char *id, uint64_t version)
{
	for (size_t i = 0; i < core->conf->npeers; i++) {
		Peer__Cancelled out = PEER__CANCELLED__INIT;
		uint8_t *buf;
		size_t len;

		out.job = (char *)id;
		out.version = version;
		buf = peers_pack(&out.base, &len);
		core_call_packed(core, core->conf->peers[i].addr, CANCELLED_PATH, buf, len,
				 on_cancelled_answer, (void *)(uintptr_t)i);
	}
}

void cancelled_take(struct core *core, const struct core_request *request)
{
	Peer__Cancelled *in =
	    peer__cancelled__unpack(NULL, request->len, (const uint8_t *)request->body);

	if (!in) {
		core_reply_error(core, request->conn, STATUS_BAD_REQUEST, 0, "cancelled");
		return;
	}
	job_cancel_committed(core, in->job, in->version);
	peer__cancelled__free_unpacked(in, NULL);
	core_reply(core, request->conn, STATUS_OK, 0, xstrdup("{}"));
}

/* --- what users were told of cancellations, while the state service is silent --- */

void peers_note_confirmed(struct core *core, const char *id, uint64_t version)
{
	struct confirmed_cancel *told, *tmp;

	HASH_ITER (hh, core->api.confirmed, told, tmp) {
		bool old =
		    core->now - told->confirmed_at > CONFIRMED_KEEP_CANCELS * core->conf->cancel_s;

		if (!old && HASH_COUNT(core->api.confirmed) < CONFIRMED_MAX)
			break; /* oldest first */
		/* What is forgotten before its time must not pass for never told. */
		if (!old)
			peers_renew_incarnation(core);
		HASH_DEL(core->api.confirmed, told);
		free(told);
	}
	HASH_FIND_STR(core->api.confirmed, id, told);
	if (told)
		return;
	told = xcalloc(1, sizeof(*told));
	snprintf(told->id, sizeof(told->id), "%s", id);
	told->version = version;
	told->confirmed_at = core->now;
	HASH_ADD_STR(core->api.confirmed, id, told);
}

void confirmed_reply(struct core *core, uint64_t conn)
{
	size_t n = HASH_COUNT(core->api.confirmed), len;
	Peer__Cancelled *all = xcalloc(n + 1, sizeof(*all)), **list = xcalloc(n + 1, sizeof(*list));
	Peer__Confirmed out = PEER__CONFIRMED__INIT;
	struct confirmed_cancel *told, *tmp;
	uint8_t *buf;

	HASH_ITER (hh, core->api.confirmed, told, tmp) {
		Peer__Cancelled *x = &all[out.n_cancelled];

		peer__cancelled__init(x);
		x->job = told->id;
		x->version = told->version;
		list[out.n_cancelled++] = x;
	}
	out.incarnation = peers_incarnation(core);
	out.token = election_is_leader(core) ? election_token(core) : 0;
	out.cancelled = list;
	buf = peers_pack(&out.base, &len);
	core_reply_packed(core, conn, buf, len);
	free(all);
	free(list);
}

/* The moment up to which all that the others told users is known here; < 0: none. */
static double peers_confirmed_until(const struct core *core)
{
	double least = core->now;

	for (size_t i = 0; i < core->conf->npeers; i++)
		least = fmin(least, peer_get(core, i)->confirmed_until);
	return core->conf->npeers ? least : -1;
}

/*
 * All that the peer told users before the question left is in its answer, or it was told by a
 * process before this one, that is before we first heard of this one. If the jobs' changes were
 * read after that, we know of those too; if not, the answer proves nothing.
 */
static void confirmed_take(struct core *core, size_t i, double asked, const Peer__Confirmed *in)
{
	struct peer *peer = peer_get(core, i);

	peers_note_incarnation(core, i, in->incarnation);
	if (in->token > election_token(core))
		election_deposed(core, core->conf->peers[i].name);
	for (size_t k = 0; k < in->n_cancelled; k++)
		job_cancel_committed(core, in->cancelled[k]->job, in->cancelled[k]->version);
	if (election_is_leader(core) && peer->incarnation_since <= election_jobs_read_at(core))
		peer->confirmed_until = asked;
	election_note_peers_confirmed(core, peers_confirmed_until(core));
}

static void on_confirmed(struct core *core, struct call *call, const struct call_answer *answer)
{
	size_t i = (size_t)(uintptr_t)call->arg;
	Peer__Confirmed *in =
	    answer->status == STATUS_OK
		? peer__confirmed__unpack(NULL, answer->len, (const uint8_t *)answer->body)
		: NULL;

	peer_note_answer(core, i, answer);
	if (!in)
		return;
	confirmed_take(core, i, call->sent_at, in);
	peer__confirmed__free_unpacked(in, NULL);
}

/* While the state service is silent, the others are asked what they told users; it is a sign of
 * life too. */
void cancellations_tick(struct core *core)
{
	if (!store_is_unavailable(core) || core->now < core->api.next_ping_at)
		return;
	core->api.next_ping_at = core->now + PEER_PING_S;
	for (size_t i = 0; i < core->conf->npeers; i++)
		core_call(core, core->conf->peers[i].addr, "POST", format_path(CONFIRMED_PATH),
			  xstrdup(""), CALL_PEER_S, on_confirmed, (void *)(uintptr_t)i);
}

void cancellations_clear(struct core *core)
{
	struct confirmed_cancel *confirmed, *next;

	HASH_ITER (hh, core->api.confirmed, confirmed, next) {
		HASH_DEL(core->api.confirmed, confirmed);
		free(confirmed);
	}
}
