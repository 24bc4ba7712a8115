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

/* A deleted machine that lagging lists may still name. */
struct tombstone {
	char id[ID_MAX];
	double deleted_at;
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

struct autoscale {
	double next_scan_at, next_inventory_at;
	double retry_at; /* steady; no request before: the last one failed */
	struct rate_limiter request_limiter;
	bool inventory_in_flight;
	char inventory_cursor[ID_MAX];
	uint64_t inventory_number;
	struct rental_request *rental_requests;
	struct capacity_refusal *refusals;
	struct tombstone *tombstones; /* oldest first */
	double tombstones_trimmed_at; /* steady; when some last were */
	uint32_t request_counter;
};

/* The types of machines on offer. */
struct catalog {
	struct machine_type *types;
	size_t type_count;
	bool in_flight;	     /* a read is under way */
	bool stored;	     /* a copy is on record */
	double next_read_at; /* steady */
};

/* One request of the cloud's rate, which lists, returns and rentals share; false if none is left.
 */
bool cloud_request_allowed(struct core *core);
/* An answer came: all requests wait for a while after an error. */
void cloud_note_answer(struct core *core, int status);

/* machine_list.c */
/* Asks for the list, or its next page, when it is due. */
void inventory_tick(struct core *core);
/* The machine is deleted: lists and copies of its reports that still name it are void. */
void tombstone_add(struct core *core, const char *id);
/* Enough tombstones are old enough that a new token is worth it, under which they are needless. */
bool tombstones_need_new_token(const struct core *core);
/*
 * A new token is held, taken at that moment: copies of reports of machines deleted before it are
 * void under it, and so are tombstones that no list needs any more.
 */
void tombstones_trim(struct core *core, double fenced_at);

/* returns.c */
/* Decides which machines go back, and saves work on those with a notice. */
void scale_in_scan(struct core *core);
/* Deletes what is to go, as far as the rate allows. */
void scale_in_send_deletes(struct core *core);

/* rent.c */
void autoscale_tick(struct core *core);
void autoscale_clear(struct core *core);
/* True if money is among the aims. */
bool autoscale_minimises_cost(const struct core *core);
/* A machine like this one was given back, so one may be had again. */
void capacity_refusal_lift(struct core *core, const struct machine *machine);

/* catalog.c */
void catalog_tick(struct core *core);

#endif
