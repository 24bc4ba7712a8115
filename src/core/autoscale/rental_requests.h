/*
 * Rental requests: machines requested from the cloud. A request that may have been lost is repeated
 * under the same name, for which the cloud rents once. The name holds the token under which the
 * request was made and a counter, so none ever recurs.
 */
#ifndef PLOVERLOFT_RENTAL_REQUESTS_H
#define PLOVERLOFT_RENTAL_REQUESTS_H

#include <stdbool.h>

#include "core/autoscale/capacity_refusals.h"
#include "wire/wire.h"

struct core;

/* A request without a final answer. All of its machines are of one pool. */
struct rental_request {
	char name[NAME_MAX_LEN];
	char type[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	enum purchase_kind kind;
	int count;
	double requested_at; /* steady; when it was first sent */
	bool in_flight;
	double retry_at; /* steady; unless in flight */
	struct rental_request *prev, *next;
};

/* Sends a new request for so many machines. The name's token is the present one. */
void rental_request_send(struct core *core, struct capacity_pool pool, int count);
/* Repeats the requests whose time has come, as far as the cloud's rate allows. */
void rental_requests_retry(struct core *core);
/* Frees all requests; answers to them are void. Leadership has ended. */
void rental_requests_clear(struct core *core);

#endif
