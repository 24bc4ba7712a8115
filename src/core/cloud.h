/*
 * What is rented from the cloud, what it lists, and what goes back.
 */
#ifndef PLOVERLOFT_CLOUD_H
#define PLOVERLOFT_CLOUD_H

#include "core/call.h"
#include "core/machine.h"

/* A type, zone and kind that the cloud has refused of late. */
struct refusal {
	char key[3 * NAME_MAX_LEN];
	double until, wait;
	UT_hash_handle hh;
};

/* A deleted machine that lagging lists may still name. */
struct tombstone {
	char id[ID_MAX];
	double at;
	UT_hash_handle hh;
};

/* A request for machines. */
struct rent_req {
	char name[NAME_MAX_LEN];
	char type[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	bool spot;
	int count;
	double since;
	bool out;
	double again;
	struct rent_req *prev, *next;
};

struct rentals {
	double next, next_list;
	double again; /* steady; no request before: the last one failed */
	struct allowance requests;
	bool list_out;
	char list_after[ID_MAX];
	uint64_t list_round;
	struct rent_req *requested;
	struct refusal *refusals;
	struct tombstone *tombstones; /* oldest first */
	double tombstones_dropped;    /* steady; when some last were */
	uint32_t counter;
};

/* The types of machines on offer. */
struct catalog {
	struct machine_type *types;
	size_t ntypes;
	bool out;    /* a read is under way */
	bool stored; /* a copy is on record */
	double next; /* steady */
};

/* One request of the cloud's rate, which lists, returns and rentals share; false if none is left.
 */
bool cloud_take(struct core *core);
/* An answer came: all requests wait for a while after an error. */
void cloud_trouble(struct core *core, int status);

/* machine_list.c */
/* Asks for the list, or its next page, when it is due. */
void list_tick(struct core *core);
/* The machine is deleted: lists and copies of its reports that still name it are void. */
void tombstone_add(struct core *core, const char *id);
/* Enough tombstones are old enough that a new token is worth it, under which they are needless. */
bool tombstones_many(const struct core *core);
/*
 * A new token is held, taken at that moment: copies of reports of machines deleted before it are
 * void under it, and so are tombstones that no list needs any more.
 */
void tombstones_drop(struct core *core, double fenced_at);

/* returns.c */
/* Decides which machines go back, and saves work on those with a notice. */
void returns_look(struct core *core);
/* Deletes what is to go, as far as the rate allows. */
void returns_send(struct core *core);

/* rent.c */
void rent_tick(struct core *core);
void rent_clear(struct core *core);
/* True if money is among the aims. */
bool rent_thrifty(const struct core *core);
/* A machine like this one was given back, so one may be had again. */
void refusal_lift(struct core *core, const struct machine *machine);

/* catalog.c */
void catalog_tick(struct core *core);

#endif
