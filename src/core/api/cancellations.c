/*
 * Announces cancellations, lists the cancellations that this controller has confirmed, and collects
 * those that the other controllers have confirmed.
 */
#include "core/api/cancellations.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/state.h"
#include "peer.pb-c.h"
#include "util/xalloc.h"

/* --- announcements --- */

static void on_announce_answer(struct core *core, struct call *call,
			       const struct call_answer *answer)
{
	peer_record_answer(core, peer_of_call(call), answer);
}

static void announce_to(struct core *core, size_t peer, const char *id, uint64_t version)
{
	Peer__Cancellation message = PEER__CANCELLATION__INIT;
	uint8_t *packed;
	size_t len;

	message.job = (char *)id;
	message.version = version;
	packed = peers_pack(&message.base, &len);
	peer_send(core, peer, CANCELLED_PATH, packed, len, on_announce_answer);
}

/*
 * A cancellation is announced to all controllers, whichever of them leads: the state service may
 * refuse the leader alone, or a controller that is cut off from the state service may not know that
 * it was deposed, while agents still report to it.
 */
void cancellations_announce(struct core *core, const char *id, uint64_t version)
{
	for (size_t i = 0; i < core->conf->peer_count; i++)
		announce_to(core, i, id, version);
}

/* The answer "cancelled" means that the message can't be decoded. */
void cancellations_receive(struct core *core, const struct core_request *request)
{
	Peer__Cancellation *message =
	    peer__cancellation__unpack(NULL, request->len, (const uint8_t *)request->body);

	if (!message) {
		core_reply_error(core, request->connection, STATUS_BAD_REQUEST, 0, "cancelled");
		return;
	}
	job_on_cancel_committed(core, message->job, message->version);
	peer__cancellation__free_unpacked(message, NULL);
	core_reply(core, request->connection, STATUS_OK, 0, xstrdup("{}"));
}

/* --- cancellations that this controller has confirmed --- */

static void remove_confirmed(struct core *core, struct confirmed_cancel *confirmed)
{
	HASH_DEL(core->api.cancellations.confirmed, confirmed);
	free(confirmed);
}

/*
 * Removes the confirmed cancellations that are older than any leader needs, and further ones, the
 * oldest first, until there is space for one more.
 */
static void trim_confirmed(struct core *core)
{
	double keep_s = CONFIRMED_CANCELS_KEEP_FACTOR * core->conf->cancel_s;
	struct confirmed_cancel *confirmed, *next;

	HASH_ITER (hh, core->api.cancellations.confirmed, confirmed, next) {
		bool expired = core->now - confirmed->confirmed_at > keep_s;

		if (!expired &&
		    HASH_COUNT(core->api.cancellations.confirmed) < CONFIRMED_CANCELS_MAX)
			break; /* all later entries are newer */
		/*
		 * A leader must not conclude from the shorter list that this cancellation was never
		 * confirmed. The new incarnation tells the leader that the list may lack earlier
		 * cancellations.
		 */
		if (!expired)
			peers_renew_incarnation(core);
		remove_confirmed(core, confirmed);
	}
}

void cancellations_record_confirmed(struct core *core, const char *id, uint64_t version)
{
	struct confirmed_cancel *confirmed;

	trim_confirmed(core);
	HASH_FIND_STR(core->api.cancellations.confirmed, id, confirmed);
	if (confirmed)
		return;
	confirmed = xcalloc(1, sizeof(*confirmed));
	snprintf(confirmed->id, sizeof(confirmed->id), "%s", id);
	confirmed->version = version;
	confirmed->confirmed_at = core->now;
	HASH_ADD_STR(core->api.cancellations.confirmed, id, confirmed);
}

static void fill_cancelled(Peer__Cancellation *cancelled, struct confirmed_cancel *confirmed)
{
	peer__cancellation__init(cancelled);
	cancelled->job = confirmed->id;
	cancelled->version = confirmed->version;
}

void cancellations_reply_confirmed(struct core *core, uint64_t connection)
{
	size_t count = HASH_COUNT(core->api.cancellations.confirmed), len;
	Peer__Cancellation *entries = xcalloc(count + 1, sizeof(*entries));
	Peer__Cancellation **list = xcalloc(count + 1, sizeof(*list));
	Peer__ConfirmedCancellations message = PEER__CONFIRMED_CANCELLATIONS__INIT;
	struct confirmed_cancel *confirmed, *next;
	uint8_t *packed;

	HASH_ITER (hh, core->api.cancellations.confirmed, confirmed, next) {
		Peer__Cancellation *entry = &entries[message.n_cancelled];

		fill_cancelled(entry, confirmed);
		list[message.n_cancelled++] = entry;
	}
	message.incarnation = peers_incarnation(core);
	message.token = election_is_leader(core) ? election_token(core) : 0;
	message.cancelled = list;
	packed = peers_pack(&message.base, &len);
	core_reply_packed(core, connection, packed, len);
	free(entries);
	free(list);
}

void cancellations_clear(struct core *core)
{
	struct confirmed_cancel *confirmed, *next;

	HASH_ITER (hh, core->api.cancellations.confirmed, confirmed, next)
		remove_confirmed(core, confirmed);
}

/* --- cancellations that other controllers have confirmed --- */

/* Returns the steady time up to which all cancellations that the other controllers confirmed are
 * known to this controller; < 0: there is no such time. */
static double confirmed_until(const struct core *core)
{
	double oldest = core->now;

	for (size_t i = 0; i < core->conf->peer_count; i++)
		oldest = fmin(oldest, peer_get(core, i)->confirmed_until);
	return core->conf->peer_count ? oldest : -1;
}

/*
 * Applies the cancellations that the peer lists. Each cancellation that the peer confirmed before
 * the request was sent is either in the list, or was confirmed under an earlier incarnation of the
 * peer, that is, before the peer's first answer with the present incarnation. If this leader has
 * read the changes of jobs since that first answer, it knows the cancellations of the earlier
 * incarnation too. If not, the list does not prove that this leader knows all cancellations that
 * the peer confirmed.
 */
static void apply_confirmed(struct core *core, size_t index, double sent_at,
			    const Peer__ConfirmedCancellations *message)
{
	struct peer *peer = peer_get(core, index);

	peer_record_incarnation(core, index, message->incarnation);
	if (message->token > election_token(core))
		election_on_newer_leader(core, core->conf->peers[index].name);
	for (size_t i = 0; i < message->n_cancelled; i++)
		job_on_cancel_committed(core, message->cancelled[i]->job,
					message->cancelled[i]->version);
	if (election_is_leader(core) && peer->incarnation_since <= election_jobs_read_at(core))
		peer->confirmed_until = sent_at;
	election_record_peers_confirmed(core, confirmed_until(core));
}

static void on_confirmed(struct core *core, struct call *call, const struct call_answer *answer)
{
	size_t peer = peer_of_call(call);
	Peer__ConfirmedCancellations *message;

	peer_record_answer(core, peer, answer);
	if (answer->status != STATUS_OK)
		return;
	message =
	    peer__confirmed_cancellations__unpack(NULL, answer->len, (const uint8_t *)answer->body);
	if (!message)
		return;
	apply_confirmed(core, peer, call->sent_at, message);
	peer__confirmed_cancellations__free_unpacked(message, NULL);
}

/* Followers request the confirmed cancellations too: an answer also shows that the peer is running,
 * and peers_ready depends on that. */
void cancellations_tick(struct core *core)
{
	if (!store_is_unavailable(core) || core->now < core->api.cancellations.next_request_at)
		return;
	core->api.cancellations.next_request_at = core->now + PEER_PING_INTERVAL_S;
	for (size_t i = 0; i < core->conf->peer_count; i++)
		peer_send_empty(core, i, CONFIRMED_PATH, on_confirmed);
}
