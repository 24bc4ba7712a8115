/*
 * Claims the leader's key under a lease of the state service, renews that lease and returns it.
 */
#include "core/election/leader_lease.h"

#include <stdio.h>

#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"
#include "wire/names.h"

/* --- returning the lease --- */

/* Handles the answer to the return of the lease. There is nothing to do: if the request was lost,
 * the lease expires by itself. */
static void on_return_answer(struct core *core, struct call *call, const struct call_answer *answer)
{
	(void)core;
	(void)call;
	(void)answer;
}

void leader_lease_return(struct core *core)
{
	if (core->election.lease)
		core_call(
		    core, core->conf->store_addr, "DELETE",
		    format_path(W_PATH_LEASES "/%llu", (unsigned long long)core->election.lease),
		    NULL, CALL_STORE_TIMEOUT_S, on_return_answer, NULL);
	core->election.lease = 0;
}

/* --- claiming the leader's key --- */

/* Starts a term under `token`, the revision of the committed claim of the leader's key. */
static void begin_term(struct core *core, uint64_t token)
{
	struct election *election = &core->election;

	election->token = token;
	election->min_report_token = token;
	election->key_revision = token;
	snprintf(election->leader, sizeof(election->leader), "%s", core->conf->name);
	election->role = ROLE_RECOVERING;
	core_invalidate_calls(core);
	log_set_token(token);
	log_info("leader", "state=recovering");
	core->events->leadership_won(core);
}

/* Handles the answer to the claim of the leader's key. A lease without a successful claim is not
 * returned; it expires by itself. */
static void on_claim_answer(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct election *election = &core->election;
	json_t *answer_json;
	uint64_t token;

	election->claim_in_flight = false;
	store_update_availability(core, answer);
	if (answer->status != STATUS_OK || !core_call_is_current(core, call)) {
		log_debug("claim_failed", "status=%d", answer->status);
		election->lease = 0;
		election->keys_are_current = false;
		election->retry_at = core->now + STORE_READ_RETRY_S;
		return;
	}
	answer_json = wire_parse(answer->body, answer->len);
	token = wire_revision(answer_json);
	json_decref(answer_json);
	begin_term(core, token);
}

/* Writes the leader's key, on condition that this key, and LEADER_KEY if it is another key, still
 * have the revisions last read. */
static void send_claim(struct core *core)
{
	const struct election *election = &core->election;
	const char *key = election_leader_key(election->format);
	struct txn txn;

	txn_begin(&txn);
	txn_guard(&txn, key, election->key_revision);
	if (election->format >= FORMAT_SMALL_CHUNKS)
		txn_guard(&txn, LEADER_KEY, election->format_key_revision);
	txn_put(&txn, key, election_leader_key_value(core), election->lease);
	store_commit(core, txn_finish(&txn), on_claim_answer, NULL);
}

static void on_lease_answer(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct election *election = &core->election;
	json_t *answer_json;

	store_update_availability(core, answer);
	if (answer->status != STATUS_OK || !core_call_is_current(core, call)) {
		election->claim_in_flight = false;
		election->retry_at = core->now + STORE_READ_RETRY_S;
		return;
	}
	answer_json = wire_parse(answer->body, answer->len);
	election->lease = wire_lease(answer_json);
	json_decref(answer_json);
	/*
	 * If there is a leader now, another controller claimed the key while the lease was
	 * requested. Its claim must not be overwritten, and the guard would not prevent that, since
	 * the revision last read is that of the other controller's claim.
	 */
	if (*election->leader) {
		election->claim_in_flight = false;
		leader_lease_return(core);
		return;
	}
	election->renewed_at = call->sent_at;
	election->next_renewal_at = call->sent_at + LEADER_RENEW_INTERVAL_S;
	send_claim(core);
}

static bool claim_is_due(const struct core *core)
{
	const struct election *election = &core->election;

	return election->keys_are_current && !*election->leader && !election->claim_in_flight &&
	       core->now >= election->retry_at && core->now >= election->no_claim_before &&
	       election->format <= FORMAT_NEWEST;
}

void leader_lease_claim_if_due(struct core *core)
{
	if (!claim_is_due(core))
		return;
	core->election.claim_in_flight = true;
	core_call(core, core->conf->store_addr, "POST", format_path(W_PATH_LEASES),
		  wire_lease_request(LEADER_TTL_MS), CALL_STORE_TIMEOUT_S, on_lease_answer, NULL);
}

/* --- renewing the lease --- */

/*
 * The lease is taken to be renewed from the time at which the request was sent, since the state
 * service may have renewed the lease at any time after the request was sent.
 */
static void on_renewal_answer(struct core *core, struct call *call,
			      const struct call_answer *answer)
{
	struct election *election = &core->election;

	if (!core_call_is_current(core, call))
		return;
	election->renewal_in_flight = false;
	store_update_availability(core, answer);
	if (answer->status == STATUS_OK) {
		election->renewed_at = call->sent_at;
		election->next_renewal_at = call->sent_at + LEADER_RENEW_INTERVAL_S;
	} else if (answer->status == STATUS_NOT_FOUND) {
		election_step_down(core, STEP_DOWN_LEASE_ENDED);
	} else {
		election->next_renewal_at = core->now + LEADER_RENEW_RETRY_S;
	}
}

void leader_lease_renew_if_due(struct core *core)
{
	struct election *election = &core->election;

	if (election->renewal_in_flight || core->now < election->next_renewal_at ||
	    !election->lease)
		return;
	election->renewal_in_flight = true;
	core_call(
	    core, core->conf->store_addr, "POST",
	    format_path(W_PATH_LEASES "/%llu" W_PATH_RENEW, (unsigned long long)election->lease),
	    xstrdup("{}"), CALL_STORE_TIMEOUT_S, on_renewal_answer, NULL);
}

void election_resign(struct core *core, enum step_down_reason reason)
{
	uint64_t lease = core->election.lease;

	core->election.no_claim_before = core->now + LEADER_RECLAIM_DELAY_S;
	election_step_down(core, reason);
	core->election.lease = lease;
	leader_lease_return(core);
}
