/* Messages of the cloud: its catalog and list of machines, requests to rent and delete machines. */
#ifndef PLOVERLOFT_CLOUD_CODEC_H
#define PLOVERLOFT_CLOUD_CODEC_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "wire/name_list.h"

/* A type of machine that the cloud rents out. Sizes are in GB. */
struct machine_type {
	char name[NAME_MAX_LEN];
	double cpus, gpus, mem_gb;
	double cache_gb;	/* size of the local cache for images */
	double fetch_gb_per_s;	/* speed at which the machine fetches images */
	double price;		/* price of an hour of an on-demand machine */
	double spot_price;	/* price of an hour of a spot machine */
	double boot_s;		/* seconds from the rental to the agent's first report */
	struct name_list zones; /* zones in which the cloud offers the type; at least one */
};

/* The state of a rented machine in the cloud's list. */
enum listed_state { CLOUD_BOOTING, CLOUD_RUNNING, CLOUD_FAILED };

/* An entry of the cloud's list of rented machines. */
struct listed_machine {
	char id[ID_MAX];
	char addr[NAME_MAX_LEN]; /* address of the machine's agent; empty: not known yet */
	char type[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	bool spot; /* true if the cloud may take the machine back */
	enum listed_state state;
	double age_s; /* seconds since the machine was rented; 0 if the cloud does not say */
};

/*
 * Decodes the machine types of a catalog, without the invalid ones. Returns 0, or -1 if there is no
 * valid one. On success the caller frees the types with wire_machine_types_free; on failure there
 * is nothing to free.
 */
int wire_machine_types_decode(json_t *object, struct machine_type **types, size_t *count);

/* Frees the array of types and what each of them owns. */
void wire_machine_types_free(struct machine_type *types, size_t count);

/* Encodes a catalog as it is stored. The caller releases it with json_decref. */
json_t *wire_machine_types_encode(const struct machine_type *types, size_t count);

/*
 * Decodes one page of the list of rented machines, without the invalid entries. Returns 0, or -1 if
 * the body is not such a page. `*more` tells whether another page follows. On success the caller
 * frees the array.
 */
int wire_machine_page_decode(const char *body, size_t len, struct listed_machine **machines,
			     size_t *count, bool *more);

/*
 * Encodes a request for `count` machines. `request` is the request's name: when it is sent again
 * under the same name, the cloud rents no further machines. The caller frees the text.
 */
char *wire_rental_request(const char *request, const char *type, const char *zone, bool spot,
			  int count);

/* Encodes a request to delete machines. The caller frees the text. */
char *wire_delete_request(const char *const *ids, size_t count);

/*
 * Decodes the answer to a rental request: the ids of the rented machines, of which there may be
 * none. Returns 0, or -1 if the answer has no list of ids. On success the caller frees the array
 * and each id.
 */
int wire_rental_answer_decode(const char *body, size_t len, char ***ids, size_t *count);

#endif
