/*
 * Rental requests to the cloud. A request whose outcome is not known is repeated under the same
 * name, and the cloud rents machines only once for a name. Names are never reused: each consists of
 * the fencing token under which the request was made and a counter.
 */
#ifndef PLOVERLOFT_RENTAL_REQUESTS_H
#define PLOVERLOFT_RENTAL_REQUESTS_H

#include <stdbool.h>

#include "core/autoscale/capacity_refusals.h"
#include "wire/wire.h"

struct core;

/* A rental request without a final answer, for machines of one capacity pool. */
struct rental_request {
	char name[NAME_MAX_LEN];
	char type[NAME_MAX_LEN]; /* name of the machine type */
	char zone[NAME_MAX_LEN];
	enum purchase_kind kind;
	int count;	     /* machines requested */
	double requested_at; /* steady seconds; when the request was first sent */
	bool in_flight;	     /* sent, and not answered yet */
	double retry_at;     /* steady seconds; if not in flight, when to send the request again */
	struct rental_request *prev, *next; /* in autoscale.rental_requests */
};

/* Sends a new request for `count` machines of the pool, under the current fencing token. */
void rental_request_send(struct core *core, struct capacity_pool pool, int count);
/* Sends the requests again whose retry is due, as far as the rate limit allows. */
void rental_requests_retry(struct core *core);
/* Frees all requests. Answers that still come are ignored. Called when leadership has ended. */
void rental_requests_clear(struct core *core);

#endif
