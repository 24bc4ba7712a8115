#include "core/autoscale/rental_requests.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"
#include "wire/names.h"

/* Part of the text of the cloud's error 503 if it has no machines of the pool. */
#define NO_CAPACITY_TEXT "capacity"

/* The machines that the cloud has granted on a request. */
struct granted_machines {
	char **ids; /* owned, as is each id */
	size_t count;
};

static struct capacity_pool pool_of(const struct rental_request *request)
{
	return (struct capacity_pool){request->type, request->zone, request->kind};
}

/* Returns the request with this name; NULL if it has had its final answer. */
static struct rental_request *find_request(const struct core *core, const char *name)
{
	struct rental_request *request;

	DL_FOREACH (core->autoscale.rental_requests, request)
		if (!strcmp(request->name, name))
			return request;
	return NULL;
}

static void delete_request(struct core *core, struct rental_request *request)
{
	DL_DELETE(core->autoscale.rental_requests, request);
	free(request);
}

/* Decodes the cloud's grant of machines; false if the answer is not a grant. On success the caller
 * calls free_granted. */
static bool decode_granted(const struct call_answer *answer, struct granted_machines *granted)
{
	return answer->status == STATUS_OK &&
	       !wire_rental_answer_decode(answer->body, answer->len, &granted->ids,
					  &granted->count);
}

static void free_granted(struct granted_machines *granted)
{
	for (size_t i = 0; i < granted->count; i++)
		free(granted->ids[i]);
	free(granted->ids);
}

/* Adds a granted machine. The machine counts as planned capacity while it boots. */
static void add_granted_machine(struct core *core, const struct rental_request *request,
				const char *id)
{
	struct machine *machine;

	/* If the first answer was lost, the answer to the repeated request may name a machine that
	 * an inventory has listed and that was deleted since. It must not be added again. */
	if (machine_has_tombstone(core, id))
		return;
	machine = machine_find_or_add(core, id);
	machine_set_identity(core, machine, "", request->type, request->zone,
			     request->kind == SPOT);
	machine->cloud.expected = true;
}

/* Adds the granted machines. If there are fewer than requested, the pool's backoff starts. */
static void apply_grant(struct core *core, const struct rental_request *request,
			const struct granted_machines *granted)
{
	log_info("scale_out", "request=%s type=%s zone=%s spot=%d asked=%d got=%zu", request->name,
		 request->type, request->zone, request->kind, request->count, granted->count);
	for (size_t i = 0; i < granted->count; i++)
		add_granted_machine(core, request, granted->ids[i]);
	if ((int)granted->count < request->count)
		capacity_refusal_record(core, pool_of(request));
	else
		capacity_refusal_reset(core, pool_of(request));
}

/* Whether the cloud refused the request because it has no machines of the pool. */
static bool is_out_of_capacity(const struct call_answer *answer)
{
	return answer->status == STATUS_UNAVAILABLE && answer->body &&
	       strstr(answer->body, NO_CAPACITY_TEXT);
}

/* Whether the request is to be repeated: its outcome is not known, since the status is not 400, and
 * it was first sent less than SCALE_OUT_GIVE_UP_S ago. */
static bool should_retry(const struct core *core, const struct rental_request *request,
			 const struct call_answer *answer)
{
	return answer->status != STATUS_BAD_REQUEST &&
	       core->now - request->requested_at < SCALE_OUT_GIVE_UP_S;
}

/* Handles the end of a call with a rental request: the request is deleted unless it will be
 * repeated. */
static void on_rental_answer(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct granted_machines granted;
	struct rental_request *request;

	if (election_call_is_stale(core, call))
		return;
	request = find_request(core, call->key);
	if (!request)
		return;
	request->in_flight = false;
	if (decode_granted(answer, &granted)) {
		apply_grant(core, request, &granted);
		free_granted(&granted);
	} else if (is_out_of_capacity(answer)) {
		log_info("scale_out_refused", "type=%s zone=%s spot=%d", request->type,
			 request->zone, request->kind);
		capacity_refusal_record(core, pool_of(request));
	} else {
		cloud_update_backoff(core, answer);
		if (should_retry(core, request, answer)) {
			request->retry_at = core->now + CLOUD_BACKOFF_S;
			return;
		}
	}
	delete_request(core, request);
}

/* Sends the request, for the first time or again. */
static void post_request(struct core *core, struct rental_request *request)
{
	struct call *call;
	char *body = wire_rental_request(request->name, request->type, request->zone,
					 request->kind == SPOT, request->count);

	request->in_flight = true;
	call = core_call(core, core->conf->cloud_addr, "POST", format_path(W_PATH_MACHINES), body,
			 CALL_CLOUD_TIMEOUT_S, on_rental_answer, NULL);
	snprintf(call->key, sizeof(call->key), "%s", request->name);
}

void rental_request_send(struct core *core, struct capacity_pool pool, int count)
{
	struct rental_request *request = xcalloc(1, sizeof(*request));

	snprintf(request->name, sizeof(request->name), "r-%llu-%u",
		 (unsigned long long)election_token(core), ++core->autoscale.request_counter);
	snprintf(request->type, sizeof(request->type), "%s", pool.type_name);
	snprintf(request->zone, sizeof(request->zone), "%s", pool.zone);
	request->kind = pool.kind;
	request->count = count;
	request->requested_at = core->now;
	DL_APPEND(core->autoscale.rental_requests, request);
	post_request(core, request);
}

void rental_requests_retry(struct core *core)
{
	struct rental_request *request;

	DL_FOREACH (core->autoscale.rental_requests, request)
		if (!request->in_flight && core->now >= request->retry_at &&
		    cloud_rate_limit_acquire(core))
			post_request(core, request);
}

void rental_requests_clear(struct core *core)
{
	struct rental_request *request, *next;

	DL_FOREACH_SAFE (core->autoscale.rental_requests, request, next)
		delete_request(core, request);
}
