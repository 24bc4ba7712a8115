/*
 * What is rented from the cloud, what it lists, and what goes back.
 */
#ifndef PLOVERLOFT_AUTOSCALE_H
#define PLOVERLOFT_AUTOSCALE_H

#include "core/runtime/call.h"
#include "core/model/machine.h"

/* A type, zone and kind that the cloud has refused of late. */
struct capacity_refusal {
	char key[3 * NAME_MAX_LEN];
	double retry_at, backoff_s;
	UT_hash_handle hh;
};

/* A request for machines. */
struct rental_request {
	char name[NAME_MAX_LEN];
	char type[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	bool spot;
	int count;
	double requested_at;
	bool in_flight;
	double retry_at;
	struct rental_request *prev, *next;
};

/* Reads of the catalog from the cloud. */
struct catalog_reader {
	bool in_flight;
	bool stored;	     /* a copy is on record */
	double next_read_at; /* steady */
};

struct autoscale {
	struct catalog_reader catalog_reader;
	double next_scan_at, next_inventory_at;
	double retry_at; /* steady; no request before: the last one failed */
	struct rate_limiter request_limiter;
	bool inventory_in_flight;
	char inventory_cursor[ID_MAX];
	uint64_t inventory_number;
	struct rental_request *rental_requests;
	struct capacity_refusal *refusals;
	uint32_t request_counter;
};

/* One request of the cloud's rate, which lists, returns and rentals share; false if none is left.
 */
bool cloud_request_allowed(struct core *core);
/* An answer came: all requests wait for a while after an error. */
void cloud_note_answer(struct core *core, const struct call_answer *answer);

/* machine_list.c */
/* Asks for the list, or its next page, when it is due. */
void inventory_tick(struct core *core);

/* returns.c */
/* Decides which machines go back, and saves work on those with a notice. */
void scale_in_scan(struct core *core);
/* Deletes what is to go, as far as the rate allows. */
void scale_in_send_deletes(struct core *core);

/* rent.c */
void autoscale_tick(struct core *core);
/* The next tick scans at once: machines are to be deleted. */
void autoscale_request_scan(struct core *core);
void autoscale_clear(struct core *core);
/* True if money is among the aims. */
bool autoscale_minimises_cost(const struct core *core);
/* A machine like this one was given back, so one may be had again. */
void capacity_refusal_lift(struct core *core, const struct machine *machine);

/* catalog.c */
void catalog_tick(struct core *core);

#endif
